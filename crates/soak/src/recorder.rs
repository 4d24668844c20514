use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Clock;

use crate::call::{Call, CallOutcome};
use crate::fault_window::{FaultTarget, FaultWindow};

/// A configuration that the store has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Published {
    pub(crate) version: u64,
    pub(crate) at_ms: u64,
}

/// An upstream that is leaving or gone according to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Departure {
    pub(crate) upstream: String,
    pub(crate) at_ms: u64,
}

/// Everything that happened so far. Times are Unix milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Events {
    pub(crate) calls: BTreeMap<String, Call>,
    pub(crate) published: Vec<Published>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) fault_windows: Vec<FaultWindow>,
}

/// Records the events of one soak. Shared by all its tasks.
#[derive(Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    events: Mutex<Events>,
}

impl Recorder {
    pub(crate) fn new() -> Self {
        Self { clock: Clock::system(), events: Mutex::default() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    pub(crate) fn events(&self) -> MutexGuard<'_, Events> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call. Must come before its first byte is sent.
    pub(crate) fn call_sent(&self, call: Call) {
        self.events().calls.insert(call.id.clone(), call);
    }

    /// Records how a call ended.
    pub(crate) fn call_ended(&self, id: &str, outcome: CallOutcome) {
        if let Some(call) = self.events().calls.get_mut(id) {
            call.outcome = Some(outcome);
        }
    }

    /// Opens a fault window and returns its index for [`Self::fault_ended`].
    pub(crate) fn fault_started(&self, target: FaultTarget) -> usize {
        let from_ms = self.now_ms();
        let mut events = self.events();
        events.fault_windows.push(FaultWindow { target, from_ms, to_ms: None });
        events.fault_windows.len() - 1
    }

    /// Closes a fault window.
    pub(crate) fn fault_ended(&self, index: usize) {
        let now_ms = self.now_ms();
        if let Some(window) = self.events().fault_windows.get_mut(index) {
            window.to_ms = Some(now_ms);
        }
    }
}
