use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::Clock;
use comfreymast_fleet::{KeyHolder, Route};
use comfreymast_platform::RequestHead;
use hyper::http::request::Parts;

/// One caller's request, read whole and admitted by the configuration.
#[derive(Debug)]
pub(crate) struct Call {
    /// What its headers say.
    pub(crate) head: RequestHead,
    /// Its head as it came.
    pub(crate) parts: Parts,
    /// Its body.
    pub(crate) body: Bytes,
    /// How it is served.
    pub(crate) route: Arc<Route>,
    /// Who asks; `None` on a public route.
    pub(crate) member: Option<Arc<KeyHolder>>,
    /// The version of the configuration that admitted it.
    pub(crate) version: u64,
    /// When it came.
    pub(crate) started_ms: u64,
    /// When the caller or the route wants no answer any more.
    pub(crate) ends_ms: u64,
}

impl Call {
    /// The time that is left.
    pub(crate) fn left_ms(&self, clock: &Clock) -> u64 {
        self.ends_ms.saturating_sub(clock.now_ms())
    }

    /// The time since it came.
    pub(crate) fn age_ms(&self, clock: &Clock) -> u64 {
        clock.now_ms().saturating_sub(self.started_ms)
    }

    /// Its rank, 0 first: that of the organisation, else that of the route.
    pub(crate) fn priority(&self) -> u8 {
        let organisation = self.member.as_ref().and_then(|member| member.priority);
        organisation.unwrap_or(self.route.priority)
    }
}
