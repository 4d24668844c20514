use std::collections::BTreeSet;

use bytes::Bytes;
use comfreymast_fakes::platform_documents;
use hyper::{HeaderMap, StatusCode};

/// The kind of a request. Each kind has its own route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A plain call that runs at most once.
    Plain,
    /// A plain call that may be retried.
    Safe,
    /// A generation that runs at most once.
    Report,
    /// A generation that may be resumed.
    Caption,
}

impl Kind {
    /// The first segment of the path.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Safe => "safe",
            Self::Report => "report",
            Self::Caption => "caption",
        }
    }

    /// The service that serves it.
    pub(crate) fn service(self) -> &'static str {
        if self.is_stream() { "engines" } else { "plain" }
    }

    /// True for generations, which are streamed.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Report | Self::Caption)
    }

    /// True when the request may run at most once.
    pub(crate) fn is_at_most_once(self) -> bool {
        matches!(self, Self::Plain | Self::Report)
    }
}

/// A request as observed by its caller. Times are Unix milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) body: Bytes,
    pub(crate) daemon: usize,
    /// How many times that daemon had been started when the request was sent.
    pub(crate) incarnation: u32,
    pub(crate) sent_ms: u64,
    pub(crate) outcome: Option<CallOutcome>,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallOutcome {
    pub(crate) ended_ms: u64,
    pub(crate) end: CallEnd,
}

#[derive(Clone, Debug)]
pub(crate) enum CallEnd {
    /// An answer, complete or truncated.
    Answered(CallAnswer),
    /// The connection ended before an answer.
    Broken,
    /// The caller gave up waiting.
    GaveUp,
}

#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// True when the body ended without an error.
    pub(crate) is_whole: bool,
}

impl CallAnswer {
    /// The name of the upstream that signed it.
    pub(crate) fn signer(&self) -> Option<&str> {
        platform_documents::signer(&self.headers)
    }

    /// The versions of the upstreams that wrote the complete events, for a stream.
    pub(crate) fn event_versions(&self) -> BTreeSet<String> {
        platform_documents::event_versions(&self.body)
    }

    /// The ids of the complete events, for a stream.
    pub(crate) fn event_ids(&self) -> Vec<u64> {
        platform_documents::event_ids(&self.body)
    }
}
