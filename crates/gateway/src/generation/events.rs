use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events, so that one that broke off midway is never passed on.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its number in the stream.
    pub(crate) id: Option<u64>,
    /// Its bytes, the blank line after it included.
    pub(crate) bytes: Bytes,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// What is left when the stream has ended.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// The length of the first event, the blank line after it included.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
