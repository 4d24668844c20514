use std::collections::BTreeSet;
use std::sync::Arc;

use comfreymast_net::{OwnedConnection, Spawner, sleep_ms, within};
use comfreymast_proof::ProofError;
use derive_more::{Display, Error, From};
use hyper::StatusCode;

use crate::call::{Call, Kind};
use crate::caller::{asked, call_on};
use crate::checks::{self, UpstreamRuns, Violation};
use crate::daemon::Daemon;
use crate::fault::plan;
use crate::player::{heal, play};
use crate::record::Events;
use crate::site::Site;
use crate::{SoakOptions, timing};

const CHECK_INTERVAL_MS: u64 = 400;
const POLL_MS: u64 = 50;
const CALL_LIMIT_MS: u64 = 2_000;
/// Ample, also on a busy machine; what takes longer is a finding.
const START_LIMIT_MS: u64 = 30_000;
const RECOVERY_LIMIT_MS: u64 = 30_000;

/// Why a soak could not be played.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process or port could not be had.
    #[display("{_0}")]
    Proof(ProofError),
    /// A daemon never served, before any fault.
    #[display("daemon {daemon} does not serve at the start")]
    #[from(ignore)]
    NotReady {
        /// Its number.
        daemon: usize,
    },
}

/// What came of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Requests that callers sent.
    pub calls: usize,
    /// Those that upstreams ran, each run counted.
    pub runs: usize,
    /// Faults played.
    pub faults: usize,
    /// What broke.
    pub violations: BTreeSet<Violation>,
}

/// Plays one seed: callers on all daemons, the seed's faults, and checks while they run and after.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start; what breaks later is in the report.
pub async fn soak(spawner: &Spawner, options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let site = Site::start(spawner, options).await?;
    let report = play_and_check(spawner, options, &site).await;
    // Faults that still last hold the site, so its processes are ended here.
    site.daemons.iter().for_each(Daemon::end);
    report
}

async fn play_and_check(
    spawner: &Spawner,
    options: &SoakOptions,
    site: &Arc<Site>,
) -> Result<SoakReport, SoakError> {
    for daemon in 0..options.daemons {
        if !serves_within(site, daemon, START_LIMIT_MS).await {
            return Err(SoakError::NotReady { daemon });
        }
    }
    let (calling, stop) = async_channel::bounded::<()>(1);
    let callers: Vec<_> = (0..options.daemons * options.callers)
        .map(|number| {
            let daemon = number % options.daemons;
            let calls = call_on(site.clone(), daemon, number, options.seed, stop.clone());
            spawner.spawn(calls)
        })
        .collect();
    let plan = plan(options);
    let (checking, checked) = async_channel::bounded::<()>(1);
    let watch = spawner.spawn(watch(site.clone(), checked));
    play(site, &plan).await;
    sleep_until_calm(site).await;
    heal(site)?;
    let mut violations = check_recovery(site, options).await;
    // Callers and checks end with their channels.
    drop(calling);
    for caller in callers {
        caller.await;
    }
    drop(checking);
    violations.extend(watch.await);
    violations.extend(check_quiet(site).await);
    let seen = seen(site);
    let events = site.record.events().clone();
    violations.extend(checks::check(&events, &seen));
    if options.checks_times {
        violations.extend(timing::check(&events, &seen));
    }
    Ok(SoakReport {
        calls: events.calls.len(),
        runs: seen.iter().map(|seen| seen.runs.len()).sum(),
        faults: plan.len(),
        violations,
    })
}

/// Checks what holds at any time, again and again.
async fn watch(site: Arc<Site>, checked: async_channel::Receiver<()>) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let mut doubled = BTreeSet::new();
    while !checked.is_closed() {
        sleep_ms(CHECK_INTERVAL_MS).await;
        let (events, seen) = snapshot(&site);
        violations.extend(checks::check(&events, &seen));
        let now_doubled = running_twice(&site);
        for id in now_doubled.intersection(&doubled) {
            let detail = format!("request {id}");
            let promise = "a generation runs at one place";
            violations.insert(Violation { promise, detail });
        }
        doubled = now_doubled;
    }
    violations
}

/// What callers and upstreams saw so far. Upstreams are asked last, so that they have seen all that
/// callers have; calls that were sent in between are added as unanswered.
fn snapshot(site: &Site) -> (Events, Vec<UpstreamRuns>) {
    let mut events = site.record.events().clone();
    let seen = seen(site);
    for (id, call) in &site.record.events().calls {
        if !events.calls.contains_key(id) {
            events.calls.insert(id.clone(), Call { outcome: None, ..call.clone() });
        }
    }
    (events, seen)
}

/// Generations that may run once and run on two engines now.
fn running_twice(site: &Site) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    let mut twice = BTreeSet::new();
    for upstream in site.all_upstreams() {
        for id in upstream.running() {
            if !seen.insert(id.clone()) {
                twice.insert(id);
            }
        }
    }
    let events = site.record.events();
    twice.retain(|id| events.calls.get(id).is_some_and(|call| call.kind.runs_once()));
    twice
}

fn seen(site: &Site) -> Vec<UpstreamRuns> {
    let upstreams = site.all_upstreams().into_iter();
    let seen = upstreams.map(|upstream| UpstreamRuns {
        upstream: upstream.name.to_string(),
        runs: upstream.runs(),
        refused: upstream.refused(),
    });
    seen.collect()
}

/// Waits until the faults that still last have ended.
async fn sleep_until_calm(site: &Site) {
    const LONGEST_FAULT_MS: u64 = 8_000;
    let started_ms = site.record.now_ms();
    let is_calm = || {
        let events = site.record.events();
        let lasting = events.disturbances.iter().filter(|lasting| lasting.to_ms.is_none());
        // Silent connections to upstreams stay silent.
        lasting
            .clone()
            .all(|lasting| matches!(lasting.touched, crate::disturbance::Touched::Upstream(_)))
    };
    while !is_calm() && site.record.now_ms() - started_ms < LONGEST_FAULT_MS {
        sleep_ms(POLL_MS).await;
    }
}

/// Once all is mended, every daemon serves again.
async fn check_recovery(site: &Arc<Site>, options: &SoakOptions) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    for daemon in 0..options.daemons {
        if !serves_within(site, daemon, RECOVERY_LIMIT_MS).await {
            let detail = format!("daemon {daemon}");
            violations.insert(Violation { promise: "a daemon serves again", detail });
        }
    }
    violations
}

/// Once callers are gone, nothing runs for them.
async fn check_quiet(site: &Site) -> BTreeSet<Violation> {
    let started_ms = site.record.now_ms();
    let open = || site.all_upstreams().iter().any(|upstream| upstream.open_streams() > 0);
    while open() {
        if site.record.now_ms() - started_ms > RECOVERY_LIMIT_MS {
            let detail = "streams are still open".to_owned();
            return [Violation { promise: "nothing runs for callers who left", detail }].into();
        }
        sleep_ms(POLL_MS).await;
    }
    BTreeSet::new()
}

async fn serves_within(site: &Arc<Site>, daemon: usize, limit_ms: u64) -> bool {
    let started_ms = site.record.now_ms();
    let mut tries = 0;
    while site.record.now_ms() - started_ms < limit_ms {
        tries += 1;
        if within(CALL_LIMIT_MS, serves(site, daemon, tries)).await == Ok(true) {
            return true;
        }
        sleep_ms(POLL_MS).await;
    }
    false
}

async fn serves(site: &Arc<Site>, daemon: usize, tries: u32) -> bool {
    let Some(door) = site.daemons[daemon].door() else { return false };
    let opened = OwnedConnection::open(&site.spawner, door.addr, CALL_LIMIT_MS).await;
    let Ok(mut connection) = opened else { return false };
    let sent_ms = site.record.now_ms();
    let call = Call {
        id: format!("probe{daemon:x}c{sent_ms:x}c{tries:x}"),
        kind: Kind::Safe,
        body: "probe".into(),
        daemon,
        incarnation: door.incarnation,
        sent_ms,
        outcome: None,
    };
    let request = asked(&call);
    site.record.sent(call);
    let answer = connection.send(request).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
