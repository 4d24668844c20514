/// What the success of a request changed for the suspicion against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessEffect {
    /// Nothing: the request is not suspected, is quarantined, or the success was known.
    None,
    /// The request was in this many deaths, all before the success, which are forgotten.
    Cleared(u32),
    /// The request was in this many deaths, some after the success. They count once it is in the
    /// death of an engine that started after the success.
    Deferred(u32),
}
