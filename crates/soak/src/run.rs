use std::collections::BTreeSet;
use std::sync::Arc;

use comfreymast_net::{OwnedConnection, Spawner, sleep_ms, within};
use comfreymast_proof::ProofError;
use derive_more::{Display, Error, From};
use hyper::StatusCode;

use crate::call::{Call, Kind};
use crate::caller::{build_request, run_caller};
use crate::checks::{self, UpstreamRuns, Violation};
use crate::daemon::Daemon;
use crate::fault::plan_faults;
use crate::injector::{clear_faults, inject_faults};
use crate::recorder::Events;
use crate::site::Site;
use crate::{SoakOptions, timing};

const CHECK_INTERVAL_MS: u64 = 400;
const POLL_MS: u64 = 50;
const PROBE_TIMEOUT_MS: u64 = 2_000;
/// Generous even for a busy machine, so exceeding it is a real failure.
const START_LIMIT_MS: u64 = 30_000;
const RECOVERY_LIMIT_MS: u64 = 30_000;

/// Why a soak could not run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process could not be started or a port not be opened.
    #[display("{_0}")]
    Proof(ProofError),
    /// A daemon did not serve in time, before any fault was injected.
    #[display("daemon {daemon} does not serve at the start")]
    #[from(ignore)]
    NotReady {
        /// Its index.
        daemon: usize,
    },
}

/// The result of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Number of requests that callers sent.
    pub calls: usize,
    /// Number of runs on upstreams; a retried request counts each time.
    pub runs: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// The guarantees that did not hold.
    pub violations: BTreeSet<Violation>,
}

/// Runs one seed: sends requests to all daemons while injecting the seed's faults, and checks the
/// guarantees meanwhile and afterwards.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start. Later failures are violations in the report.
pub async fn soak(spawner: &Spawner, options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let site = Site::start(spawner, options).await?;
    let report = run_and_check(spawner, options, &site).await;
    // Tasks of faults that still last share the site, so dropping it would not end its processes.
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn run_and_check(
    spawner: &Spawner,
    options: &SoakOptions,
    site: &Arc<Site>,
) -> Result<SoakReport, SoakError> {
    wait_until_all_serve(site).await?;
    let (stop_sender, stop) = async_channel::bounded::<()>(1);
    let callers: Vec<_> = (0..options.daemons * options.callers)
        .map(|number| {
            let daemon = number % options.daemons;
            let calls = run_caller(site.clone(), daemon, number, options.seed, stop.clone());
            spawner.spawn(calls)
        })
        .collect();
    let plan = plan_faults(options);
    let (checks_sender, checks_stop) = async_channel::bounded::<()>(1);
    let periodic_checks = spawner.spawn(check_periodically(site.clone(), checks_stop));
    inject_faults(site, &plan).await;
    wait_for_faults(site).await;
    clear_faults(site)?;
    let mut violations = check_recovery(site, options).await;
    // Closing their channels stops the callers and the periodic checks.
    drop(stop_sender);
    for caller in callers {
        caller.await;
    }
    drop(checks_sender);
    violations.extend(periodic_checks.await);
    violations.extend(check_streams_closed(site).await);
    let upstreams = upstream_runs(site);
    let events = site.recorder.events().clone();
    violations.extend(checks::check(&events, &upstreams));
    if options.checks_times {
        violations.extend(timing::check(&events, &upstreams));
    }
    Ok(SoakReport {
        calls: events.calls.len(),
        runs: upstreams.iter().map(|upstream| upstream.runs.len()).sum(),
        faults: plan.len(),
        violations,
    })
}

/// Waits until each daemon serves, before any fault is injected.
pub(crate) async fn wait_until_all_serve(site: &Arc<Site>) -> Result<(), SoakError> {
    for daemon in 0..site.daemons.len() {
        if !serves_within(site, daemon, START_LIMIT_MS).await {
            return Err(SoakError::NotReady { daemon });
        }
    }
    Ok(())
}

/// Checks the guarantees that hold at any time until `stop` closes. Reports a generation that runs
/// twice only when two checks in a row see it.
async fn check_periodically(
    site: Arc<Site>,
    stop: async_channel::Receiver<()>,
) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let mut previous_duplicates = BTreeSet::new();
    while !stop.is_closed() {
        sleep_ms(CHECK_INTERVAL_MS).await;
        let (events, upstreams) = snapshot(&site);
        violations.extend(checks::check(&events, &upstreams));
        let duplicates = running_twice(&site);
        for id in duplicates.intersection(&previous_duplicates) {
            let detail = format!("request {id}");
            let guarantee = "a generation runs at one place";
            violations.insert(Violation { guarantee, detail });
        }
        previous_duplicates = duplicates;
    }
    violations
}

/// What callers and upstreams observed so far. Upstreams are read after the calls, so that the runs
/// of all answered calls are included. Calls sent in between are added as unanswered.
fn snapshot(site: &Site) -> (Events, Vec<UpstreamRuns>) {
    let mut events = site.recorder.events().clone();
    let upstreams = upstream_runs(site);
    for (id, call) in &site.recorder.events().calls {
        if !events.calls.contains_key(id) {
            events.calls.insert(id.clone(), Call { outcome: None, ..call.clone() });
        }
    }
    (events, upstreams)
}

/// Generations that may run at most once but are running on two engines.
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
    let events = site.recorder.events();
    twice.retain(|id| events.calls.get(id).is_some_and(|call| call.kind.is_at_most_once()));
    twice
}

/// The requests that each upstream received so far.
pub(crate) fn upstream_runs(site: &Site) -> Vec<UpstreamRuns> {
    let upstreams = site.all_upstreams().into_iter();
    let runs = upstreams.map(|upstream| UpstreamRuns {
        name: upstream.name.to_string(),
        runs: upstream.runs(),
        refused: upstream.refused(),
    });
    runs.collect()
}

/// Waits until all faults but those of upstreams have ended, for `LONGEST_FAULT_MS` at most.
async fn wait_for_faults(site: &Site) {
    const LONGEST_FAULT_MS: u64 = 8_000;
    let started_ms = site.recorder.now_ms();
    let have_ended = || {
        let events = site.recorder.events();
        let open = events.fault_windows.iter().filter(|window| window.to_ms.is_none());
        // Silenced connections to upstreams stay silent.
        open.clone()
            .all(|window| matches!(window.target, crate::fault_window::FaultTarget::Upstream(_)))
    };
    while !have_ended() && site.recorder.now_ms() - started_ms < LONGEST_FAULT_MS {
        sleep_ms(POLL_MS).await;
    }
}

/// Checks that every daemon serves again after all faults were cleared.
async fn check_recovery(site: &Arc<Site>, options: &SoakOptions) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    for daemon in 0..options.daemons {
        if !serves_within(site, daemon, RECOVERY_LIMIT_MS).await {
            let detail = format!("daemon {daemon}");
            violations.insert(Violation { guarantee: "a daemon serves again", detail });
        }
    }
    violations
}

/// Checks that upstreams stop streaming after the callers are gone.
async fn check_streams_closed(site: &Site) -> BTreeSet<Violation> {
    let started_ms = site.recorder.now_ms();
    let are_open = || site.all_upstreams().iter().any(|upstream| upstream.open_streams() > 0);
    while are_open() {
        if site.recorder.now_ms() - started_ms > RECOVERY_LIMIT_MS {
            let detail = "streams are still open".to_owned();
            return [Violation { guarantee: "nothing runs for callers who left", detail }].into();
        }
        sleep_ms(POLL_MS).await;
    }
    BTreeSet::new()
}

/// Probes a daemon until it serves; false when it does not within the limit.
async fn serves_within(site: &Arc<Site>, daemon: usize, limit_ms: u64) -> bool {
    let started_ms = site.recorder.now_ms();
    let mut tries = 0;
    while site.recorder.now_ms() - started_ms < limit_ms {
        tries += 1;
        if within(PROBE_TIMEOUT_MS, answers_probe(site, daemon, tries)).await == Ok(true) {
            return true;
        }
        sleep_ms(POLL_MS).await;
    }
    false
}

async fn answers_probe(site: &Arc<Site>, daemon: usize, tries: u32) -> bool {
    let Some(endpoint) = site.daemons[daemon].endpoint() else { return false };
    let opened = OwnedConnection::open(&site.spawner, endpoint.addr, PROBE_TIMEOUT_MS).await;
    let Ok(mut connection) = opened else { return false };
    let sent_ms = site.recorder.now_ms();
    let call = Call {
        id: format!("probe-{daemon:x}-{sent_ms:x}-{tries:x}"),
        kind: Kind::Safe,
        body: "probe".into(),
        daemon,
        incarnation: endpoint.incarnation,
        sent_ms,
        outcome: None,
    };
    let request = build_request(&call);
    site.recorder.call_sent(call);
    let answer = connection.send(request).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
