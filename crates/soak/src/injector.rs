use std::sync::Arc;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_upstream::UpstreamBehaviour;
use comfreymast_net::sleep_ms;
use comfreymast_proof::ProofError;
use hyper::StatusCode;

use crate::daemon::GRACE_MS;
use crate::fault::{Fault, PlannedFault, StoreTrouble, UpstreamTrouble};
use crate::fault_window::FaultTarget;
use crate::site::Site;

/// How long a killed daemon is down.
const RESTART_MS: u64 = 250;
/// How long an upstream keeps serving after it announced that it is leaving, or after its entry was
/// deleted.
const LEAVE_GRACE_MS: u64 = 1_600;
const POLL_MS: u64 = 20;

/// Injects the planned faults at their times.
pub(crate) async fn inject_faults(site: &Arc<Site>, plan: &[PlannedFault]) {
    let started_ms = site.recorder.now_ms();
    for planned in plan {
        let now_ms = site.recorder.now_ms() - started_ms;
        sleep_ms(planned.at_ms.saturating_sub(now_ms)).await;
        let (task_site, fault) = (site.clone(), planned.fault);
        site.spawner.detach(async move {
            if let Err(error) = inject_fault(&task_site, fault).await {
                eprintln!("fault {fault:?} could not be injected: {error}");
            }
        });
    }
}

/// Ends the faults of the store and its links, and resumes or restarts all daemons.
pub(crate) fn clear_faults(site: &Site) -> Result<(), ProofError> {
    site.set_store_faults(LogFaults::default());
    for (daemon, link) in site.daemons.iter().zip(&site.store_links) {
        link.delay(0);
        link.restore();
        daemon.signal("CONT")?;
        daemon.start()?;
    }
    Ok(())
}

async fn inject_fault(site: &Arc<Site>, fault: Fault) -> Result<(), ProofError> {
    match fault {
        Fault::Kill { daemon } => kill(site, &[daemon]).await,
        Fault::KillAll => kill(site, &(0..site.daemons.len()).collect::<Vec<_>>()).await,
        Fault::Terminate { daemon } => terminate(site, daemon).await,
        Fault::Pause { daemon, for_ms } => {
            let window = site.recorder.fault_started(FaultTarget::Daemon(daemon));
            site.daemons[daemon].signal("STOP")?;
            sleep_ms(for_ms).await;
            site.daemons[daemon].signal("CONT")?;
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::Reload { daemon } => site.daemons[daemon].signal("HUP"),
        Fault::StoreSilent { daemon, way, for_ms } => {
            let window = site.recorder.fault_started(FaultTarget::Daemon(daemon));
            site.store_links[daemon].silence_all(way);
            sleep_ms(for_ms).await;
            site.store_links[daemon].restore();
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::StoreReset { daemon } => {
            let window = site.recorder.fault_started(FaultTarget::Daemon(daemon));
            site.store_links[daemon].cut_open();
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::StoreDelayed { daemon, delay_ms, for_ms } => {
            let window = site.recorder.fault_started(FaultTarget::Daemon(daemon));
            site.store_links[daemon].delay(delay_ms);
            sleep_ms(for_ms).await;
            site.store_links[daemon].delay(0);
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::Store { trouble, for_ms } => {
            let window = site.recorder.fault_started(FaultTarget::Store);
            site.set_store_faults(store_faults(trouble));
            sleep_ms(for_ms).await;
            site.set_store_faults(LogFaults::default());
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::UpstreamReset { upstream } => {
            let placed = site.upstream_at(upstream);
            let name = placed.upstream.name.to_string();
            let window = site.recorder.fault_started(FaultTarget::Upstream(name));
            placed.link.cut_open();
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::UpstreamSilent { upstream, way } => {
            let placed = site.upstream_at(upstream);
            // Silenced connections stay silent, so the window never ends.
            let _window = site
                .recorder
                .fault_started(FaultTarget::Upstream(placed.upstream.name.to_string()));
            placed.link.silence_open(way);
            Ok(())
        }
        Fault::UpstreamDelayed { upstream, delay_ms, for_ms } => {
            let placed = site.upstream_at(upstream);
            let name = placed.upstream.name.to_string();
            let window = site.recorder.fault_started(FaultTarget::Upstream(name));
            placed.link.delay(delay_ms);
            sleep_ms(for_ms).await;
            placed.link.delay(0);
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::Upstream { upstream, trouble, for_ms } => {
            let placed = site.upstream_at(upstream);
            let name = placed.upstream.name.to_string();
            let window = site.recorder.fault_started(FaultTarget::Upstream(name));
            placed.upstream.update_behaviour(|behaviour| set_upstream_trouble(behaviour, trouble));
            sleep_ms(for_ms).await;
            placed.upstream.update_behaviour(reset_behaviour);
            site.recorder.fault_ended(window);
            Ok(())
        }
        Fault::Leave { upstream, gives_notice } => {
            replace_upstream(site, upstream, gives_notice).await
        }
        Fault::StoreReturn { copy_age_ms, away_ms } => {
            return_store(site, copy_age_ms, away_ms).await;
            Ok(())
        }
        Fault::Publish => {
            site.publish();
            Ok(())
        }
    }
}

/// Plays a return of the store from an older copy.
async fn return_store(site: &Site, copy_age_ms: u64, away_ms: u64) {
    /// How long operators and upstreams take to write again.
    const REWRITE_MS: u64 = 400;
    let copy = site.copy_store();
    sleep_ms(copy_age_ms).await;
    let window = site.recorder.fault_started(FaultTarget::Store);
    site.set_store_faults(store_faults(StoreTrouble::Down));
    sleep_ms(away_ms).await;
    site.return_store(&copy);
    site.set_store_faults(LogFaults::default());
    sleep_ms(REWRITE_MS).await;
    site.write_again();
    site.recorder.fault_ended(window);
}

async fn kill(site: &Site, daemons: &[usize]) -> Result<(), ProofError> {
    let windows =
        daemons.iter().map(|daemon| site.recorder.fault_started(FaultTarget::Daemon(*daemon)));
    let windows: Vec<_> = windows.collect();
    for daemon in daemons {
        site.daemons[*daemon].kill();
    }
    sleep_ms(RESTART_MS).await;
    for daemon in daemons {
        site.daemons[*daemon].start()?;
    }
    windows.into_iter().for_each(|window| site.recorder.fault_ended(window));
    Ok(())
}

async fn terminate(site: &Site, daemon: usize) -> Result<(), ProofError> {
    let window = site.recorder.fault_started(FaultTarget::Stopping(daemon));
    let stopping = &site.daemons[daemon];
    let incarnation = stopping.incarnation();
    let started_ms = site.recorder.now_ms();
    stopping.signal("TERM")?;
    while stopping.incarnation() == incarnation && !stopping.reap_if_exited()? {
        if site.recorder.now_ms() - started_ms > GRACE_MS {
            stopping.kill();
        }
        sleep_ms(POLL_MS).await;
    }
    stopping.start()?;
    site.recorder.fault_ended(window);
    Ok(())
}

/// Lets the upstream at `place` leave, and starts one of a new version in its place.
pub(crate) async fn replace_upstream(
    site: &Arc<Site>,
    place: usize,
    gives_notice: bool,
) -> Result<(), ProofError> {
    let leaving = site.upstream_at(place);
    let successor = site.start_upstream(leaving.service, &site.next_version()).await?;
    site.replace(place, successor);
    if gives_notice {
        site.write_entry(&leaving, "draining");
        site.record_departure(&leaving);
        sleep_ms(LEAVE_GRACE_MS).await;
    }
    site.delete_entry(&leaving);
    if !gives_notice {
        site.record_departure(&leaving);
    }
    sleep_ms(LEAVE_GRACE_MS).await;
    // Resets the connections that are still open, as the end of its process does.
    leaving.link.cut_open();
    Ok(())
}

fn store_faults(trouble: StoreTrouble) -> LogFaults {
    const SLOW_MS: u64 = 150;
    match trouble {
        StoreTrouble::Down => LogFaults { down: true, ..LogFaults::default() },
        StoreTrouble::Hangs => LogFaults { hang: true, ..LogFaults::default() },
        StoreTrouble::Slow => LogFaults { read_delay_ms: SLOW_MS, ..LogFaults::default() },
        StoreTrouble::ForgetsReaders => LogFaults { forget_readers: true, ..LogFaults::default() },
        StoreTrouble::ForgetsHistory => LogFaults { retention_records: 1, ..LogFaults::default() },
    }
}

fn set_upstream_trouble(behaviour: &mut UpstreamBehaviour, trouble: UpstreamTrouble) {
    const BREAKS_AFTER: u64 = 9;
    match trouble {
        UpstreamTrouble::Refuses => behaviour.refuses = true,
        UpstreamTrouble::LosesAnswers => behaviour.loses_answers = true,
        UpstreamTrouble::Hangs => behaviour.hangs = true,
        UpstreamTrouble::Fails => behaviour.status = StatusCode::INTERNAL_SERVER_ERROR,
        UpstreamTrouble::BreaksStreams => behaviour.breaks_after = Some(BREAKS_AFTER),
        UpstreamTrouble::HasNoRoom => behaviour.is_full = true,
        UpstreamTrouble::EndsInsideEvents => {
            behaviour.ends_inside_event_after = Some(BREAKS_AFTER);
        }
        UpstreamTrouble::IsUnframed => behaviour.is_unframed = true,
        UpstreamTrouble::BreaksUnframedStreams => {
            behaviour.is_unframed = true;
            behaviour.breaks_after = Some(BREAKS_AFTER);
        }
    }
}

/// Ends all faults of an upstream, but keeps the number and interval of its events.
fn reset_behaviour(behaviour: &mut UpstreamBehaviour) {
    let (events, event_ms) = (behaviour.events, behaviour.event_ms);
    *behaviour = UpstreamBehaviour { events, event_ms, ..UpstreamBehaviour::default() };
}
