use std::sync::Arc;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_upstream::UpstreamBehaviour;
use comfreymast_net::sleep_ms;
use comfreymast_proof::ProofError;
use hyper::StatusCode;

use crate::daemon::GRACE_MS;
use crate::disturbance::Touched;
use crate::fault::{Fault, PlannedFault, StoreTrouble, UpstreamTrouble};
use crate::site::Site;

/// How long a killed daemon is down.
const RESTART_MS: u64 = 250;
/// How long an upstream serves on after its notice.
const LINGER_MS: u64 = 1_600;
const POLL_MS: u64 = 20;

/// Plays the faults of a plan at their times.
pub(crate) async fn play(site: &Arc<Site>, plan: &[PlannedFault]) {
    let started_ms = site.record.now_ms();
    for planned in plan {
        let now_ms = site.record.now_ms() - started_ms;
        sleep_ms(planned.at_ms.saturating_sub(now_ms)).await;
        let (playing, fault) = (site.clone(), planned.fault);
        site.spawner.detach(async move {
            if let Err(error) = play_fault(&playing, fault).await {
                eprintln!("fault {fault:?} could not be played: {error}");
            }
        });
    }
}

/// Mends all that is still broken.
pub(crate) fn heal(site: &Site) -> Result<(), ProofError> {
    site.set_store_faults(LogFaults::default());
    for (daemon, link) in site.daemons.iter().zip(&site.store_links) {
        link.delay(0);
        link.restore();
        daemon.signal("CONT")?;
        daemon.start()?;
    }
    Ok(())
}

async fn play_fault(site: &Arc<Site>, fault: Fault) -> Result<(), ProofError> {
    match fault {
        Fault::Kill { daemon } => kill(site, &[daemon]).await,
        Fault::KillAll => kill(site, &(0..site.daemons.len()).collect::<Vec<_>>()).await,
        Fault::Terminate { daemon } => terminate(site, daemon).await,
        Fault::Pause { daemon, for_ms } => {
            let disturbance = site.record.disturb(Touched::Daemon(daemon));
            site.daemons[daemon].signal("STOP")?;
            sleep_ms(for_ms).await;
            site.daemons[daemon].signal("CONT")?;
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::Reload { daemon } => site.daemons[daemon].signal("HUP"),
        Fault::StoreSilent { daemon, way, for_ms } => {
            let disturbance = site.record.disturb(Touched::Daemon(daemon));
            site.store_links[daemon].silence_all(way);
            sleep_ms(for_ms).await;
            site.store_links[daemon].restore();
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::StoreReset { daemon } => {
            let disturbance = site.record.disturb(Touched::Daemon(daemon));
            site.store_links[daemon].cut_open();
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::StoreDelayed { daemon, delay_ms, for_ms } => {
            let disturbance = site.record.disturb(Touched::Daemon(daemon));
            site.store_links[daemon].delay(delay_ms);
            sleep_ms(for_ms).await;
            site.store_links[daemon].delay(0);
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::Store { trouble, for_ms } => {
            let disturbance = site.record.disturb(Touched::Store);
            site.set_store_faults(store_faults(trouble));
            sleep_ms(for_ms).await;
            site.set_store_faults(LogFaults::default());
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::UpstreamReset { upstream } => {
            let placed = site.placed(upstream);
            let name = placed.upstream.name.to_string();
            let disturbance = site.record.disturb(Touched::Upstream(name));
            placed.link.cut_open();
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::UpstreamSilent { upstream, way } => {
            let placed = site.placed(upstream);
            // Connections that went silent stay so for good.
            let _lasts = site.record.disturb(Touched::Upstream(placed.upstream.name.to_string()));
            placed.link.silence_open(way);
            Ok(())
        }
        Fault::UpstreamDelayed { upstream, delay_ms, for_ms } => {
            let placed = site.placed(upstream);
            let name = placed.upstream.name.to_string();
            let disturbance = site.record.disturb(Touched::Upstream(name));
            placed.link.delay(delay_ms);
            sleep_ms(for_ms).await;
            placed.link.delay(0);
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::Upstream { upstream, trouble, for_ms } => {
            let placed = site.placed(upstream);
            let name = placed.upstream.name.to_string();
            let disturbance = site.record.disturb(Touched::Upstream(name));
            placed.upstream.update_behaviour(|behaviour| set_trouble(behaviour, trouble));
            sleep_ms(for_ms).await;
            placed.upstream.update_behaviour(end_troubles);
            site.record.calm(disturbance);
            Ok(())
        }
        Fault::Leave { upstream, gives_notice } => leave(site, upstream, gives_notice).await,
        Fault::Publish => {
            site.publish();
            Ok(())
        }
    }
}

async fn kill(site: &Site, daemons: &[usize]) -> Result<(), ProofError> {
    let touched = daemons.iter().map(|daemon| site.record.disturb(Touched::Daemon(*daemon)));
    let touched: Vec<_> = touched.collect();
    for daemon in daemons {
        site.daemons[*daemon].kill();
    }
    sleep_ms(RESTART_MS).await;
    for daemon in daemons {
        site.daemons[*daemon].start()?;
    }
    touched.into_iter().for_each(|disturbance| site.record.calm(disturbance));
    Ok(())
}

async fn terminate(site: &Site, daemon: usize) -> Result<(), ProofError> {
    let disturbance = site.record.disturb(Touched::Stopping(daemon));
    let stopped = &site.daemons[daemon];
    let incarnation = stopped.incarnation();
    let started_ms = site.record.now_ms();
    stopped.signal("TERM")?;
    while stopped.incarnation() == incarnation && !stopped.has_ended()? {
        if site.record.now_ms() - started_ms > GRACE_MS {
            stopped.kill();
        }
        sleep_ms(POLL_MS).await;
    }
    stopped.start()?;
    site.record.calm(disturbance);
    Ok(())
}

async fn leave(site: &Arc<Site>, place: usize, gives_notice: bool) -> Result<(), ProofError> {
    let leaving = site.placed(place);
    let successor = site.new_upstream(leaving.service).await?;
    site.replace(place, successor);
    if gives_notice {
        site.announce(&leaving, "draining");
        site.note_departure(&leaving);
        sleep_ms(LINGER_MS).await;
    }
    site.drop_entry(&leaving);
    if !gives_notice {
        site.note_departure(&leaving);
    }
    sleep_ms(LINGER_MS).await;
    // What is still open on it ends with it.
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

fn set_trouble(behaviour: &mut UpstreamBehaviour, trouble: UpstreamTrouble) {
    const BREAKS_AFTER: u64 = 9;
    match trouble {
        UpstreamTrouble::Refuses => behaviour.refuses = true,
        UpstreamTrouble::LosesAnswers => behaviour.loses_answers = true,
        UpstreamTrouble::Hangs => behaviour.hangs = true,
        UpstreamTrouble::Fails => behaviour.status = StatusCode::INTERNAL_SERVER_ERROR,
        UpstreamTrouble::BreaksStreams => behaviour.breaks_after = Some(BREAKS_AFTER),
        UpstreamTrouble::HasNoRoom => behaviour.is_full = true,
    }
}

fn end_troubles(behaviour: &mut UpstreamBehaviour) {
    let (events, event_ms) = (behaviour.events, behaviour.event_ms);
    *behaviour = UpstreamBehaviour { events, event_ms, ..UpstreamBehaviour::default() };
}
