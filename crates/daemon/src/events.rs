//! The numbered events that a daemon logs. `docs/EVENTS.md` is their catalogue.
//!
//! A number is never reused for another event. Prompts, keys and answers are never logged.

use std::fmt;

use log::Level;

/// One numbered event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCode {
    /// The number, printed as in `E0101`.
    pub number: u16,
    /// The severity.
    pub level: Level,
    /// A short description of what happened.
    pub title: &'static str,
}

impl EventCode {
    /// Logs this event with its details.
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(target: "comfreymast", self.level, "E{:04} {}: {details}", self.number, self.title);
    }
}

macro_rules! events {
    ($($name:ident = $number:literal $level:ident $title:literal;)*) => {
        $(
            #[doc = concat!("E", stringify!($number), ": ", $title, ".")]
            pub const $name: EventCode =
                EventCode { number: $number, level: Level::$level, title: $title };
        )*

        /// Every event, by number.
        pub const ALL: &[EventCode] = &[$($name),*];
    };
}

events! {
    DAEMON_STARTED = 101 Info "daemon started";
    DAEMON_DRAINING = 102 Info "daemon is draining";
    DAEMON_STOPPED = 103 Info "daemon stopped";
    DAEMON_READY = 104 Info "daemon is ready";
    DAEMON_CLOSING = 105 Info "daemon accepts no more connections";
    STREAMS_HANDED_OVER = 106 Warn "drain limit reached, streams handed over";
    LOG_UNAVAILABLE = 201 Warn "log service unavailable";
    LOG_RESTORED = 202 Info "log service available again";
    RECORD_SKIPPED = 203 Warn "invalid record skipped";
    LOG_GAP = 204 Error "records expired before they were applied";
    LOG_BEHIND = 205 Error "log ends before the applied records";
    SNAPSHOT_APPENDED = 206 Info "snapshot appended";
    SNAPSHOT_INSTALLED = 207 Info "snapshot installed";
    SNAPSHOT_REFUSED = 208 Error "snapshot cannot be used";
    SNAPSHOT_DIFFERS = 209 Error "snapshot differs from the applied records";
    CONTRACT_IN_FORCE = 301 Info "contract in force";
    CONTRACT_CONFLICT = 302 Info "contract change conflicts with an earlier one";
    NOT_CURRENT = 303 Warn "no update from log or peers: new work refused";
    CURRENT_AGAIN = 304 Info "up to date again";
    PEER_CATCH_UP = 305 Info "records requested from a peer";
    VM_LIST_UNAVAILABLE = 401 Warn "VM list unavailable";
    VM_LIST_RESTORED = 402 Info "VM list available again";
    UPSTREAM_LEAVING = 403 Info "upstream is leaving";
    VM_LIST_HELD = 404 Warn "VM list dropped most VMs: earlier entries kept";
    UPSTREAM_GONE = 405 Info "upstream removed without notice";
    PEER_CONNECTED = 501 Info "peer connected";
    PEER_REFUSED = 502 Warn "peer refused";
    PEER_LINK_LOST = 503 Info "link to peer lost";
    ATTEMPT_FAILED = 601 Warn "attempt on an upstream failed";
    FOREIGN_TOKEN = 602 Error "token of another generation dropped";
    CONNECTION_SILENT = 603 Warn "connection to an engine is silent";
    STREAM_REATTACHED = 604 Info "stream attached again";
    GENERATION_CONTINUED = 605 Warn "generation continued on another engine";
    GENERATION_LOST = 606 Error "generation abandoned";
    STREAM_SUPERSEDED = 607 Info "reader has moved to another daemon";
    CURSOR_REFUSED = 608 Warn "cursor refused";
    READER_STALLED = 609 Info "stalled reader disconnected";
    CLAIM_END_LOST = 701 Warn "end of a claim not recorded";
    CLAIM_UNRESOLVED = 702 Warn "claim not seen on the log in time";
    ENGINE_DEATH = 711 Warn "engine died while running a request";
    QUARANTINE_DECLARED = 712 Error "request quarantined";
    QUARANTINE_LIFTED = 713 Info "quarantine lifted";
    ENGINES_FULL = 801 Info "requests wait for an engine";
    ENGINES_FREE = 802 Info "no request waits for an engine";
    REQUEST_REFUSED = 803 Info "engines overloaded, request refused";
    BURN_INCOMPLETE = 901 Warn "burn report incomplete";
}
