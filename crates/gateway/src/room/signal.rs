use event_listener::{Event, EventListener};

/// Tells the streams that wait at one service that room may have become free.
#[derive(Debug, Default)]
pub(crate) struct RoomSignal(Event);

impl RoomSignal {
    /// Wakes who waits.
    pub(crate) fn notify(&self) {
        self.0.notify(usize::MAX);
    }

    /// Completes at the next notification.
    pub(crate) fn listen(&self) -> EventListener {
        self.0.listen()
    }
}
