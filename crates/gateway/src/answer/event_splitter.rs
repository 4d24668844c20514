use bytes::{Bytes, BytesMut};

/// Splits a stream into complete events, so that no partial event is relayed. Lines end as the
/// format of event streams allows: with a line feed, a carriage return, or both.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The number after `id:`, if it has one.
    pub(crate) id: Option<u64>,
    /// Its bytes, including the blank line at its end.
    pub(crate) bytes: Bytes,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Removes the blank lines after the last event, if nothing else is left.
    pub(crate) fn blank_rest(&mut self) -> Option<Bytes> {
        let is_blank = !self.buffer.is_empty() && self.buffer.iter().all(|byte| is_line_end(*byte));
        is_blank.then(|| self.buffer.split().freeze())
    }

    /// Bytes of an incomplete event.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// The length of the first event, including the blank lines before it and the one at its end.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut has_line = false;
    while let Some(length) = bytes[line_start..].iter().position(|byte| is_line_end(*byte)) {
        let line_end = line_start + length;
        let is_pair = bytes[line_end..].starts_with(b"\r\n");
        line_start = line_end + if is_pair { 2 } else { 1 };
        if length == 0 && has_line {
            return Some(line_start);
        }
        has_line |= length > 0;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| is_line_end(*byte));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}
