use std::sync::{Arc, OnceLock};

use comfreymast_base::Clock;
use comfreymast_decide::data_centres::RegionNeed;
use comfreymast_decide::quarantine::RequestContent;
use comfreymast_fleet::{KeyHolder, RetryPolicy, Route};
use comfreymast_platform::RequestHead;
use hyper::http::request::Parts;

use crate::call_error::CallError;
use crate::request_body::CallBody;

/// One caller's request, read whole and admitted by the configuration.
#[derive(Debug)]
pub(crate) struct Call {
    /// Its decoded headers.
    pub(crate) head: RequestHead,
    /// Its head as received.
    pub(crate) parts: Parts,
    /// Its body.
    pub(crate) body: CallBody,
    /// The route that serves it.
    pub(crate) route: Arc<Route>,
    /// The holder of its key; `None` on a public route or while no key is required.
    pub(crate) key_holder: Option<Arc<KeyHolder>>,
    /// The regions whose upstreams may get it.
    pub(crate) regions: RegionNeed,
    /// The version of the configuration that admitted it.
    pub(crate) version: u64,
    /// When its head arrived.
    pub(crate) started_ms: u64,
    /// When it times out: the deadline of the caller or of the route, whichever is earlier.
    pub(crate) timeout_at_ms: u64,
    /// What identifies it, once somebody has asked.
    pub(crate) content: OnceLock<RequestContent>,
}

impl Call {
    /// The time left until the call times out.
    pub(crate) fn remaining_ms(&self, clock: &Clock) -> u64 {
        self.timeout_at_ms.saturating_sub(clock.now_ms())
    }

    /// The time since the call arrived.
    pub(crate) fn age_ms(&self, clock: &Clock) -> u64 {
        clock.now_ms().saturating_sub(self.started_ms)
    }

    /// The time limit of an attempt after `runs` earlier ones: half of what is left if another attempt may
    /// follow, else all.
    pub(crate) fn attempt_limit_ms(&self, clock: &Clock, runs: u32) -> u64 {
        let left_ms = self.remaining_ms(clock);
        let may_retry_send = self.route.retry_policy == RetryPolicy::Idempotent
            && runs + 1 < self.route.max_attempts;
        if may_retry_send { left_ms / 2 } else { left_ms }
    }

    /// The error for its caller once an answer was lost and no further attempt is allowed.
    pub(crate) fn lost_answer_error(&self, clock: &Clock) -> CallError {
        if self.remaining_ms(clock) == 0 { CallError::TimedOut } else { CallError::OutcomeUnknown }
    }

    /// Its priority, 0 first: that of the organisation, else that of the route.
    pub(crate) fn priority(&self) -> u8 {
        let organisation = self.key_holder.as_ref().and_then(|holder| holder.priority);
        organisation.unwrap_or(self.route.priority)
    }
}
