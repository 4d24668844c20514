/// Whether a request may run, given the deaths so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request is not suspected.
    Clear,
    /// The request was in a death; it should not share an engine with another suspect.
    Suspect,
    /// The request was in enough deaths to be quarantined, but reports may still arrive.
    Pending,
    /// The request crashes engines.
    Quarantined,
}
