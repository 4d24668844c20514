/// Which request an answer of an upstream names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRequest {
    /// The one that was sent.
    This,
    /// Another one.
    Other,
    /// None.
    None,
}
