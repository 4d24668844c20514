use std::sync::Arc;

use async_channel::Sender;
use comfreymast_base::{Clock, Organisation};
use comfreymast_burn::{Indicator, Sample, SeriesKey};
use comfreymast_contract::{ServiceLevel, Work};

use super::StreamRecord;
use crate::callers::{CallError, Outcome};

/// Measures one request against the service level of its contract.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    samples: Sender<Sample>,
    clock: Clock,
    key: SeriesKey,
    level: ServiceLevel,
    started_ms: u64,
}

impl RequestRecord {
    pub(super) fn new(
        samples: Sender<Sample>,
        clock: Clock,
        organisation: Organisation,
        work: &Work,
    ) -> Self {
        let shared = Shared {
            samples,
            started_ms: clock.now_ms(),
            clock,
            key: SeriesKey { organisation, kind: work.kind.clone() },
            level: work.service_level.clone(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Starts to measure the stream of this request.
    pub(crate) fn stream(&self) -> StreamRecord {
        StreamRecord::new(self.clone())
    }

    /// Records that the request was answered with an error. Errors caused by the caller, such as a
    /// malformed body or a limit of its contract, do not count against the service level.
    pub(crate) fn failed(&self, error: &CallError) {
        if !error.status().is_server_error() {
            return;
        }
        match error.outcome() {
            Outcome::NotRun => self.send_outcome(Indicator::Refused, true),
            Outcome::Done | Outcome::Unknown => self.lost(),
        }
    }

    /// Records that the answer is complete. It counts as missed if it was late.
    pub(crate) fn whole(&self) {
        let late = self.elapsed_ms() > self.shared.level.deadline_ms;
        self.send_outcome(Indicator::Refused, false);
        self.send_outcome(Indicator::Whole, late);
    }

    /// Records that the request was accepted but its answer was cut off.
    pub(crate) fn lost(&self) {
        self.send_outcome(Indicator::Refused, false);
        self.send_outcome(Indicator::Whole, true);
    }

    /// Records that the request was accepted and its caller left before the end.
    pub(super) fn caller_left(&self) {
        self.send_outcome(Indicator::Refused, false);
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.shared.clock.now_ms()
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.shared.started_ms)
    }

    pub(super) fn level(&self) -> &ServiceLevel {
        &self.shared.level
    }

    pub(super) fn send_first_token(&self, wait_ms: u32) {
        let bound_ms = self.shared.level.first_token_ms;
        self.send(Sample::first_token(self.shared.key.clone(), wait_ms, bound_ms));
    }

    pub(super) fn send_gaps(&self, gaps_ms: Vec<u32>) {
        let bound_ms = self.shared.level.between_tokens_ms;
        self.send(Sample::gaps(self.shared.key.clone(), gaps_ms, bound_ms));
    }

    pub(super) fn send_outcome(&self, indicator: Indicator, missed: bool) {
        self.send(Sample::outcome(self.shared.key.clone(), indicator, missed));
    }

    /// Never blocks the request: if the channel is full, the sample is dropped.
    fn send(&self, sample: Sample) {
        if let Err(error) = self.shared.samples.try_send(sample) {
            log::debug!("service-level sample dropped: {error}");
        }
    }
}
