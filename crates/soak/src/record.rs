use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Clock;

use crate::call::{Call, CallOutcome};
use crate::disturbance::{Disturbance, Touched};

/// A configuration that the store has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Published {
    pub(crate) version: u64,
    pub(crate) at_ms: u64,
}

/// An upstream whose leaving the store has taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Departure {
    pub(crate) upstream: String,
    pub(crate) at_ms: u64,
}

/// What happened so far. Times are Unix milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Events {
    pub(crate) calls: BTreeMap<String, Call>,
    pub(crate) published: Vec<Published>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) disturbances: Vec<Disturbance>,
}

/// The record of one soak, written by all of its tasks.
#[derive(Debug)]
pub(crate) struct Record {
    clock: Clock,
    events: Mutex<Events>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self { clock: Clock::system(), events: Mutex::default() }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    pub(crate) fn events(&self) -> MutexGuard<'_, Events> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes down a call before its first byte is sent.
    pub(crate) fn sent(&self, call: Call) {
        self.events().calls.insert(call.id.clone(), call);
    }

    /// Writes down how a call ended.
    pub(crate) fn ended(&self, id: &str, outcome: CallOutcome) {
        if let Some(call) = self.events().calls.get_mut(id) {
            call.outcome = Some(outcome);
        }
    }

    /// Notes the beginning of a disturbance; its number ends it.
    pub(crate) fn disturb(&self, touched: Touched) -> usize {
        let from_ms = self.now_ms();
        let mut events = self.events();
        events.disturbances.push(Disturbance { touched, from_ms, to_ms: None });
        events.disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub(crate) fn calm(&self, number: usize) {
        let now_ms = self.now_ms();
        if let Some(disturbance) = self.events().disturbances.get_mut(number) {
            disturbance.to_ms = Some(now_ms);
        }
    }
}
