use bytes::Bytes;
use comfreymast_fakes::platform_documents;
use hyper::{HeaderMap, StatusCode};

/// The kinds of requests, which are also the first parts of their paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A plain call that may run once.
    Plain,
    /// A plain call that may run again.
    Safe,
    /// A generation that may run once.
    Report,
    /// A generation that may be resumed.
    Caption,
}

impl Kind {
    /// The first part of the path.
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

    /// True for generations.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Report | Self::Caption)
    }

    /// True when the request may run once only.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Plain | Self::Report)
    }
}

/// One request as its caller saw it. Times are Unix milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) body: Bytes,
    pub(crate) daemon: usize,
    /// Counts the starts of that daemon.
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
    /// An answer, whole or broken off.
    Answered(CallAnswer),
    /// The connection ended before an answer.
    Broken,
    /// The caller left.
    GaveUp,
}

#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// True when the body looks complete.
    pub(crate) is_whole: bool,
}

impl CallAnswer {
    /// The upstream that signed it.
    pub(crate) fn signer(&self) -> Option<&str> {
        platform_documents::signer(&self.headers)
    }

    /// The ids of the events in a stream.
    pub(crate) fn event_ids(&self) -> Vec<u64> {
        platform_documents::event_ids(&self.body)
    }
}
