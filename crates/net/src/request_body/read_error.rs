use derive_more::{Display, Error};

/// Why the body of a request was not read. Nothing of it was passed on.
#[derive(Debug, Display, Error)]
pub enum RequestBodyError {
    /// It is longer than allowed.
    #[display("the body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The maximum length.
        limit_bytes: usize,
    },
    /// The daemon has no memory for it.
    #[display("no memory for the body")]
    NoRoom,
    /// It made no progress, and others needed its memory.
    #[display("the body stalled while others needed its memory")]
    Reclaimed,
    /// Nothing arrived for too long.
    #[display("the body stalled")]
    Stalled,
    /// The connection failed before the body ended.
    #[display("the body broke off: {source}")]
    Connection {
        /// The HTTP library's error.
        source: hyper::Error,
    },
}
