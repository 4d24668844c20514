use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::ProofError;
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::CrashOptions;
use super::repeated_request::{RepeatedRequest, is_repeated};
use super::report::{CrashReport, culprit_report, others_refused};
use super::upstream_crashes::crash_and_restart;
use crate::SoakError;
use crate::caller::run_caller;
use crate::checks::{self, UpstreamRuns};
use crate::daemon::Daemon;
use crate::run::{upstream_runs, wait_until_all_serve};
use crate::site::Site;

/// How often a harmless request is sent, so that each engine runs it at most times.
const HARMLESS_INTERVAL_MS: u64 = 40;
/// How long a killed daemon is down.
const DAEMON_RESTART_MS: u64 = 250;

/// Sends culprits through all daemons, beside other callers, and counts how often they ran.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_crashes(
    spawner: &Spawner,
    options: &CrashOptions,
) -> Result<CrashReport, SoakError> {
    let site = Site::start(spawner, &options.fleet).await?;
    let report = run_on(&site, options).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn run_on(site: &Arc<Site>, options: &CrashOptions) -> Result<CrashReport, SoakError> {
    wait_until_all_serve(site).await?;
    let culprits: Vec<_> = options
        .culprits
        .iter()
        .enumerate()
        .map(|(number, kind)| RepeatedRequest::culprit(number, *kind))
        .collect();
    if options.is_store_down {
        site.set_store_faults(LogFaults { down: true, ..LogFaults::default() });
    }
    for upstream in site.all_upstreams() {
        upstream.update_behaviour(|behaviour| behaviour.answer_ms = options.answer_ms);
    }
    // Closing this channel stops all callers.
    let (stop_sender, stop) = async_channel::bounded::<()>(1);
    let crashing = start_upstreams(site, options);
    let callers = start_callers(site, options, &culprits, &stop);
    sleep_ms(options.harmless_ms).await;
    let crashes_from_ms = site.recorder.now_ms();
    for upstream in site.all_upstreams() {
        upstream.update_behaviour(|behaviour| {
            if options.plain_fails {
                behaviour.status = StatusCode::INTERNAL_SERVER_ERROR;
            }
            behaviour.crashes_on = culprits.iter().map(|culprit| culprit.body()).collect();
        });
    }
    inject_kills(site, options, &crashing.kills).await?;
    drop(stop_sender);
    for caller in callers {
        caller.await;
    }
    for task in crashing.tasks.into_iter().filter(Task::is_finished) {
        task.await?;
    }
    let upstreams = upstream_runs(site);
    let events = site.recorder.events().clone();
    let violations = checks::check(&events, &without_repeated(&upstreams));
    Ok(CrashReport {
        culprits: culprits
            .iter()
            .map(|culprit| culprit_report(*culprit, &upstreams, crashes_from_ms))
            .collect(),
        other_calls: events.calls.len(),
        others_refused: others_refused(&options.fleet.folder).map_err(ProofError::from)?,
        violations: violations.into_iter().collect(),
    })
}

/// The runs of the other requests, for checks that know only those.
pub(super) fn without_repeated(upstreams: &[UpstreamRuns]) -> Vec<UpstreamRuns> {
    let mut others = upstreams.to_vec();
    for upstream in &mut others {
        upstream.runs.retain(|run| !is_repeated(&run.id));
        upstream.refused.retain(|refused| !is_repeated(&refused.id));
    }
    others
}

/// The upstreams of a run, which crash and are started again.
#[derive(Default)]
pub(super) struct CrashingUpstreams {
    /// Kill the upstream at each place.
    pub(super) kills: Vec<Sender<()>>,
    /// Ends only when an upstream cannot be started again.
    pub(super) tasks: Vec<Task<Result<(), ProofError>>>,
}

/// Lets each upstream crash and restart.
pub(super) fn start_upstreams(site: &Arc<Site>, options: &CrashOptions) -> CrashingUpstreams {
    let mut started = CrashingUpstreams::default();
    for place in 0..options.fleet.engines + options.fleet.plain_upstreams {
        let (kill, kills) = async_channel::bounded(1);
        let placed = site.upstream_at(place);
        let crashes = crash_and_restart(site.clone(), placed, options.clone(), kills);
        started.kills.push(kill);
        started.tasks.push(site.spawner.spawn(crashes));
    }
    started
}

fn start_callers(
    site: &Arc<Site>,
    options: &CrashOptions,
    culprits: &[RepeatedRequest],
    stop: &Receiver<()>,
) -> Vec<Task<()>> {
    let fleet = &options.fleet;
    let others = (0..fleet.daemons * fleet.callers).map(|number| {
        let daemon = number % fleet.daemons;
        site.spawner.spawn(run_caller(site.clone(), daemon, number, fleet.seed, stop.clone()))
    });
    let culprits = culprits.iter().map(|culprit| {
        let sends = culprit.send_repeatedly(site.clone(), options.interval_ms, stop.clone());
        site.spawner.spawn(sends)
    });
    let harmless = options.harmless.iter().enumerate().map(|(number, kind)| {
        let request = RepeatedRequest::harmless(number, *kind);
        let sends = request.send_repeatedly(site.clone(), HARMLESS_INTERVAL_MS, stop.clone());
        site.spawner.spawn(sends)
    });
    others.chain(culprits).chain(harmless).collect()
}

/// Kills daemons at the same moment, and starts them again.
async fn restart(daemons: &[Daemon]) -> Result<(), ProofError> {
    daemons.iter().for_each(Daemon::kill);
    sleep_ms(DAEMON_RESTART_MS).await;
    for daemon in daemons {
        daemon.start()?;
    }
    Ok(())
}

/// Kills upstreams and daemons in turn until the run is over.
pub(super) async fn inject_kills(
    site: &Arc<Site>,
    options: &CrashOptions,
    kills: &[Sender<()>],
) -> Result<(), ProofError> {
    let mut random = StdRng::seed_from_u64(options.fleet.seed);
    let ends_ms = site.recorder.now_ms() + options.fleet.duration_ms;
    let mut count = 0_usize;
    while site.recorder.now_ms() < ends_ms {
        let left_ms = ends_ms - site.recorder.now_ms();
        sleep_ms(options.kill_interval_ms.unwrap_or(left_ms).min(left_ms)).await;
        if options.kill_interval_ms.is_none() {
            continue;
        }
        count += 1;
        if options.kills_all_upstreams {
            // A full channel means that this upstream is down already.
            for kill in kills {
                let _ = kill.try_send(());
            }
        } else if options.kills_all_daemons {
            restart(&site.daemons).await?;
        } else if count.is_multiple_of(2) {
            let daemon = random.random_range(0..site.daemons.len());
            restart(&site.daemons[daemon..=daemon]).await?;
        } else {
            // A full channel means that this upstream is down already.
            let _ = kills[random.random_range(0..kills.len())].try_send(());
        }
    }
    Ok(())
}
