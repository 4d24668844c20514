/// An upstream that lived for this long after the first event of an answer was not crashed by beginning
/// to write it.
const LIVED_ON_MS: u64 = 250;
/// It has written this many events by then, so that a late packet does not look like life.
const LIVED_ON_EVENTS: u32 = 4;

/// The start of an answer at one upstream, which tells whether the parts of the prompt crash it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerStart {
    first_event_ms: Option<u64>,
    events: u32,
    is_past: bool,
}

impl AnswerStart {
    /// Records an event. Returns when the answer began, once the upstream has lived on long enough.
    pub(super) fn record_event(&mut self, now_ms: u64) -> Option<u64> {
        let first_ms = *self.first_event_ms.get_or_insert(now_ms);
        self.events = self.events.saturating_add(1);
        let has_lived_on =
            self.events >= LIVED_ON_EVENTS && now_ms.saturating_sub(first_ms) >= LIVED_ON_MS;
        if self.is_past || !has_lived_on {
            return None;
        }
        self.is_past = true;
        Some(first_ms)
    }

    /// True once the upstream has lived on.
    pub(super) fn is_past(&self) -> bool {
        self.is_past
    }

    /// When the answer began, or `now_ms` if it had no event.
    pub(super) fn begun_ms(&self, now_ms: u64) -> u64 {
        self.first_event_ms.unwrap_or(now_ms)
    }
}
