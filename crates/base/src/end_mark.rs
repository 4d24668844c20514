/// What marked the end of the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMark {
    /// The stated length, or the last chunk.
    Framed,
    /// Nothing but the end of the connection, which was closed in good order. The body may have been
    /// cut off.
    ConnectionClosed,
    /// The connection failed before the end.
    Failed,
    /// None: reading was given up, as more arrived than an answer may have.
    TooLong,
}
