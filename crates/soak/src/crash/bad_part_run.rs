use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Receiver;
use async_executor::Task;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::ProofError;

use super::bad_part_options::BadPartOptions;
use super::bad_part_report::{BadPartReport, SoundCall, part_report, sound_calls};
use super::part_caller::{bad_part, send_bad_requests, send_sound_requests};
use super::report::others_refused;
use super::run::{inject_kills, start_upstreams, without_repeated};
use crate::SoakError;
use crate::caller::run_caller;
use crate::checks;
use crate::daemon::Daemon;
use crate::run::{upstream_runs, wait_until_all_serve};
use crate::site::Site;

/// Sends requests with bad parts through all daemons, beside sound ones, and counts what reached
/// upstreams and what became of the sound ones.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_bad_parts(
    spawner: &Spawner,
    options: &BadPartOptions,
) -> Result<BadPartReport, SoakError> {
    let site = Site::start(spawner, &options.crashes.fleet).await?;
    let report = run_on(&site, options).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn run_on(site: &Arc<Site>, options: &BadPartOptions) -> Result<BadPartReport, SoakError> {
    wait_until_all_serve(site).await?;
    let parts: Vec<_> = (0..options.bad_parts).map(bad_part).collect();
    for upstream in site.all_upstreams() {
        upstream.update_behaviour(|behaviour| {
            behaviour.crashes_on_parts = parts.clone();
            behaviour.crash_after_events = options.crash_after_events;
            behaviour.is_unframed = true;
        });
    }
    // Closing this channel stops all callers.
    let (stop_sender, stop) = async_channel::bounded::<()>(1);
    let crashing = start_upstreams(site, &options.crashes);
    let calls = Arc::default();
    let started_ms = site.recorder.now_ms();
    let mut callers = start_sound_callers(site, options, &calls, &stop);
    sleep_ms(options.calm_ms).await;
    let bad_from_ms = site.recorder.now_ms();
    for number in 0..options.bad_parts {
        let interval_ms = options.crashes.interval_ms;
        let sends =
            send_bad_requests(site.clone(), number, options.kind, interval_ms, stop.clone());
        callers.push(site.spawner.spawn(sends));
    }
    inject_kills(site, &options.crashes, &crashing.kills).await?;
    drop(stop_sender);
    for caller in callers {
        caller.await;
    }
    for task in crashing.tasks.into_iter().filter(Task::is_finished) {
        task.await?;
    }
    let upstreams = site.all_upstreams();
    let parts: Vec<_> = parts.iter().map(|part| part_report(part, &upstreams)).collect();
    let settled_ms = parts.iter().filter_map(|part| part.settled_unix_ms).max();
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let events = site.recorder.events().clone();
    let violations = checks::check(&events, &without_repeated(&upstream_runs(site)));
    let folder = &options.crashes.fleet.folder;
    Ok(BadPartReport {
        sound_before: sound_calls(&calls, started_ms, bad_from_ms),
        sound_after: sound_calls(&calls, settled_ms.unwrap_or(bad_from_ms), u64::MAX),
        parts,
        others_refused: others_refused(folder).map_err(ProofError::from)?,
        violations: violations.into_iter().collect(),
    })
}

/// Starts callers of sound requests with parts, and those of a soak.
fn start_sound_callers(
    site: &Arc<Site>,
    options: &BadPartOptions,
    calls: &Arc<Mutex<Vec<SoundCall>>>,
    stop: &Receiver<()>,
) -> Vec<Task<()>> {
    let fleet = &options.crashes.fleet;
    let sound = (0..options.sound_callers).map(|number| {
        let sends =
            send_sound_requests(site.clone(), number, options.kind, calls.clone(), stop.clone());
        site.spawner.spawn(sends)
    });
    let others = (0..fleet.daemons * fleet.callers).map(|number| {
        let daemon = number % fleet.daemons;
        site.spawner.spawn(run_caller(site.clone(), daemon, number, fleet.seed, stop.clone()))
    });
    sound.chain(others).collect()
}
