use bytes::{Bytes, BytesMut};
use comfreymast_base::EventId;

/// Splits a stream into complete events, so that no partial event is relayed. Lines end as the
/// format of event streams allows: with a line feed, a carriage return, or both.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    scan: Scan,
}

/// How far the buffer was searched for the end of its first event, so that no byte is searched twice.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    /// Where the line begins that is not complete yet.
    line_start: usize,
    /// The next byte to look at.
    next: usize,
    /// True if the event has a line that is not blank.
    has_line: bool,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The number after `id:`, if it has one.
    pub(crate) id: Option<EventId>,
    /// Its bytes, including the blank line at its end.
    pub(crate) bytes: Bytes,
}

impl Event {
    /// True if it has only comments, which keep a connection alive.
    pub(crate) fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| is_line_end(*byte));
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// True if it says where in its stream it belongs, or is no part of it.
    pub(crate) fn has_place(&self) -> bool {
        self.id.is_some() || self.is_comment()
    }
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let end = self.scan.event_end(&self.buffer)?;
        self.scan = Scan::default();
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Removes the blank lines after the last event, if nothing else is left.
    pub(crate) fn blank_rest(&mut self) -> Option<Bytes> {
        let is_blank = !self.buffer.is_empty() && self.buffer.iter().all(|byte| is_line_end(*byte));
        is_blank.then(|| {
            self.scan = Scan::default();
            self.buffer.split().freeze()
        })
    }

    /// Bytes of an incomplete event.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }
}

impl Scan {
    /// The length of the first event in `bytes`, including the blank lines before it and the one at
    /// its end; `None` if it is not complete.
    fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        loop {
            let Some(length) = bytes[self.next..].iter().position(|byte| is_line_end(*byte)) else {
                self.next = bytes.len();
                return None;
            };
            let line_end = self.next + length;
            let is_blank = line_end == self.line_start;
            let is_pair = bytes[line_end..].starts_with(b"\r\n");
            if is_blank && self.has_line {
                return Some(line_end + if is_pair { 2 } else { 1 });
            }
            if bytes[line_end..] == *b"\r" {
                // A line feed that arrives next belongs to this line end.
                self.next = line_end;
                return None;
            }
            self.has_line |= !is_blank;
            self.line_start = line_end + if is_pair { 2 } else { 1 };
            self.next = self.line_start;
        }
    }
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| is_line_end(*byte));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    EventId::parse(std::str::from_utf8(id).ok()?)
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}
