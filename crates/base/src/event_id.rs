use std::cmp::Ordering;
use std::sync::Arc;

use derive_more::Display;

/// The most digits of an identifier. One with more would not fit into the head of a request.
const MAX_DIGITS: usize = 256;

/// The identifier of an event in a stream: a number of any size, kept as its upstream wrote it. The
/// events of a stream have increasing identifiers.
///
/// ```
/// use comfreymast_base::EventId;
///
/// let id = |text| EventId::parse(text).expect("a number");
/// assert!(id("9007199254740993") < id("18446744073709551617"));
/// assert_eq!(id(" 007 ").as_str(), "007");
/// assert_eq!(id("007"), id("7"));
/// assert_eq!(EventId::parse("7.0"), None);
/// ```
#[derive(Clone, Debug, Display)]
pub struct EventId(Arc<str>);

impl EventId {
    /// Decodes a number without a sign, which may have spaces around it. `None` if it is something else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.trim();
        let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        (is_number && digits.len() <= MAX_DIGITS).then(|| Self(digits.into()))
    }

    /// The number as its upstream wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// True for the number 0.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        self.significant().is_empty()
    }

    /// The digits from the first one on that is not 0.
    fn significant(&self) -> &str {
        self.0.trim_start_matches('0')
    }
}

impl Ord for EventId {
    fn cmp(&self, other: &Self) -> Ordering {
        let (left, right) = (self.significant(), other.significant());
        left.len().cmp(&right.len()).then_with(|| left.cmp(right))
    }
}

impl PartialOrd for EventId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for EventId {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for EventId {}
