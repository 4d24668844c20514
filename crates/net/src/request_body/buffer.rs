use super::read_error::RequestBodyError;

/// The first step of a body of unknown length.
const FIRST_STEP_BYTES: usize = 4 * 1024;
/// The most that a body of unknown length grows by.
const MAX_STEP_BYTES: usize = 256 * 1024;

/// The bytes of one body. It copies what arrives, so that no chunk keeps its own buffer.
#[derive(Debug)]
pub(super) struct Buffer {
    pub(super) bytes: Vec<u8>,
    limit_bytes: usize,
}

impl Buffer {
    pub(super) fn new(limit_bytes: usize) -> Self {
        Self { bytes: Vec::new(), limit_bytes }
    }

    /// How much more memory it needs before it takes `bytes` more; 0 if it has room.
    pub(super) fn step_bytes(&self, bytes: usize) -> Result<usize, RequestBodyError> {
        let needed_bytes = self.bytes.len() + bytes;
        if needed_bytes > self.limit_bytes {
            return Err(RequestBodyError::TooLong { limit_bytes: self.limit_bytes });
        }
        let capacity = self.bytes.capacity();
        if needed_bytes <= capacity {
            return Ok(0);
        }
        let step = capacity.clamp(FIRST_STEP_BYTES, MAX_STEP_BYTES);
        let grown = needed_bytes.max(capacity + step).min(self.limit_bytes);
        Ok(grown - capacity)
    }

    /// Grows by a step that was granted.
    pub(super) fn grow(&mut self, step_bytes: usize) {
        let capacity = self.bytes.capacity() + step_bytes;
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }
}
