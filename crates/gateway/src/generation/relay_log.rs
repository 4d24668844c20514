use comfreymast_decide::answer_end::BreakReason;

use super::relay::Relay;
use crate::metrics::MoveLabels;

/// The log lines of a stream.
impl Relay {
    pub(super) fn log_broken(&self, reason: BreakReason, unfinished_bytes: usize) {
        log::info!(target: "comfreymast", code = 1409, request = &*self.call.head.id,
            upstream = self.upstream.record.name.as_str(), version = self.upstream.version_text(),
            reason:%, framing:% = self.framing,
            unfinished_bytes, events = self.events; "stream broke off");
    }

    pub(super) fn log_end(&self, outcome: &str) {
        log::info!(target: "comfreymast", code = 1103, request = &*self.call.head.id,
            upstream = self.upstream.record.name.as_str(), version = self.upstream.version_text(),
            outcome, events = self.events, moves = self.moves, framing:% = self.framing, longest_pause_ms = self.longest_pause_ms,
            age_ms = self.call.age_ms(&self.dispatch.clock); "stream ended");
    }

    pub(super) fn log_not_moved(&self, outcome: &'static str, reason: &str) {
        self.dispatch.metrics.moves.get_or_create(&MoveLabels { outcome }).inc();
        let since_notice_ms = self.upstream.since_notice_ms(self.dispatch.clock.now_ms());
        log::info!(target: "comfreymast", code = 1403, request = &*self.call.head.id,
            upstream = self.upstream.record.name.as_str(), outcome, reason, since_notice_ms,
            events = self.events; "generation does not move");
    }
}
