//! Whether an upstream has ended, after a connection to it broke or an answer did not come.
//!
//! A process that ends refuses connections, but not always at once: its connections may close before
//! its port, and a connection that still waits to be accepted is reset then, or it accepts connections
//! for a moment longer and closes each. So it is dialled again, after pauses that double. If it is
//! started again at once, only its new start tells. Silence tells nothing, since it may be the network's fault.
//!
//! A daemon whose own links are lost, all or some, is refused too. So a refusal counts only if no peer is
//! let in ([`has_ended`]).
//!
//! Load pattern: a request that crashes its upstreams, sent again and again, beside resets, cuts and
//! kills that have nothing to do with it.
//!
//! ```
//! use comfreymast_decide::upstream_end::{EndStep, EndWatch, EndSign, EndWatchOptions};
//!
//! let mut watch = EndWatch::new(EndWatchOptions::default());
//! assert_eq!(watch.after(EndSign::Accepted), EndStep::Watch { for_ms: 250 });
//! assert_eq!(watch.after(EndSign::Closed), EndStep::Dial { after_ms: 10 });
//! assert_eq!(watch.after(EndSign::Refused), EndStep::Ended);
//! ```

/// What was seen of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSign {
    /// It refused a connection.
    Refused,
    /// It accepted a connection.
    Accepted,
    /// It refused this daemon and accepted a peer.
    AcceptedByPeer,
    /// It did not answer a connection attempt.
    Unanswered,
    /// An accepted connection, on which nothing was sent, was closed.
    Closed,
    /// An accepted connection stayed open for as long as it was watched.
    StayedOpen,
    /// It was started again.
    Restarted,
    /// It announced that it would leave, so it ends for another reason.
    Left,
    /// Neither happened for as long as that was waited for.
    NoNews,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStep {
    /// Open a connection.
    Dial {
        /// After this pause.
        after_ms: u64,
    },
    /// Watch the open connection.
    Watch {
        /// For how long.
        for_ms: u64,
    },
    /// Wait for news of a new start.
    AwaitRestart {
        /// For how long.
        for_ms: u64,
    },
    /// The upstream has ended.
    Ended,
    /// Nothing shows that the upstream has ended.
    NotEnded,
}

/// The limits of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndWatchOptions {
    /// How long an accepted connection is watched.
    pub watch_ms: u64,
    /// How long an upstream that seems alive may take to tell of a new start.
    pub restart_ms: u64,
    /// The pause before the second connection, which doubles for each further one.
    pub first_pause_ms: u64,
    /// How many connections are opened at most.
    pub max_dials: u32,
}

impl Default for EndWatchOptions {
    fn default() -> Self {
        Self { watch_ms: 250, restart_ms: 2_500, first_pause_ms: 10, max_dials: 6 }
    }
}

/// The state of one watch, which begins with a dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndWatch {
    options: EndWatchOptions,
    dials: u32,
}

impl EndWatch {
    /// A watch whose first connection is about to be opened.
    #[must_use]
    pub fn new(options: EndWatchOptions) -> Self {
        Self { options, dials: 1 }
    }

    /// The step after a sign.
    pub fn after(&mut self, sign: EndSign) -> EndStep {
        match sign {
            EndSign::Refused | EndSign::Restarted => EndStep::Ended,
            EndSign::Left | EndSign::NoNews => EndStep::NotEnded,
            EndSign::Accepted => EndStep::Watch { for_ms: self.options.watch_ms },
            EndSign::Closed if self.dials < self.options.max_dials => {
                let after_ms = self.options.first_pause_ms << (self.dials - 1);
                self.dials += 1;
                EndStep::Dial { after_ms }
            }
            EndSign::Closed
            | EndSign::StayedOpen
            | EndSign::Unanswered
            | EndSign::AcceptedByPeer => EndStep::AwaitRestart { for_ms: self.options.restart_ms },
        }
    }
}

/// What a peer found when it dialled an upstream that had refused this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFinding {
    /// It accepted the connection.
    Accepted,
    /// It did not, or the peer did not answer.
    NotAccepted,
}

/// Whether an upstream that refused a connection has ended: unless a peer is let in.
#[must_use]
pub fn has_ended(peers: &[PeerFinding]) -> bool {
    !peers.contains(&PeerFinding::Accepted)
}
