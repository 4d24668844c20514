//! When a daemon sends the next part of what it hands on to its peers, so that its link is left to callers.
//!
//! Load pattern: one long configuration for a data centre of daemons, some of which have slow links that are
//! busy with callers' answers.

/// How fast a daemon hands on to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacerOptions {
    /// The rate over time.
    pub bytes_per_s: u64,
    /// What may be sent at once after a pause.
    pub burst_bytes: u64,
}

/// The parts that a daemon sends to all its peers together.
#[derive(Clone, Copy, Debug)]
pub struct SendPacer {
    options: PacerOptions,
    /// When all that was sent would be through at the rate.
    through_ms: f64,
}

impl SendPacer {
    /// A pacer of a daemon that has sent nothing yet.
    #[must_use]
    pub fn new(options: PacerOptions) -> Self {
        Self { options, through_ms: 0.0 }
    }

    /// Counts a part of `bytes` as sent, and returns how long to wait before it is.
    pub fn delay_ms(&mut self, bytes: u64, now_ms: u64) -> u64 {
        const MS_PER_S: f64 = 1_000.0;
        let ms_per_byte = MS_PER_S / self.options.bytes_per_s.max(1) as f64;
        let now_ms = now_ms as f64;
        let earliest_ms = self.through_ms - self.options.burst_bytes as f64 * ms_per_byte;
        self.through_ms = self.through_ms.max(now_ms) + bytes as f64 * ms_per_byte;
        (earliest_ms - now_ms).max(0.0) as u64
    }
}
