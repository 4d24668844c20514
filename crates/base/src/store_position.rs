use std::fmt::{Display, Formatter, Result};

/// A place in a topic of the store. When the store comes back from an older copy, its era rises and
/// offsets are assigned again, so offsets of different eras cannot be compared: any position of a
/// higher era is newer, as with the generations of group members in Kafka's KIP-792.
///
/// ```
/// use comfreymast_base::StorePosition;
///
/// let before = StorePosition { era: 1, offset: 900 };
/// assert!(before < StorePosition { era: 2, offset: 10 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// The era of the store; 0 for a store that states none.
    pub era: u64,
    /// The offset of the next expected record.
    pub offset: u64,
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
