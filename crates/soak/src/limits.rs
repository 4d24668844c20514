//! Upstreams that name limits, under callers of real daemons.

use std::sync::Arc;

use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_proof::ProofError;

use crate::caller::run_caller;
use crate::checks::{self, Violation};
use crate::daemon::Daemon;
use crate::run::{upstream_runs, wait_until_all_serve};
use crate::site::Site;
use crate::{SoakError, SoakOptions};

/// The platform's rule: from this long after a limit was named, in any span of this length, one and a
/// half times what the limit allows, and some more.
const CONTACT_MS: u64 = 3_000;
const SPAN_MS: u64 = 4_000;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
const MS_PER_S: f64 = 1_000.0;

/// The configuration of a run with upstreams that name limits.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitOptions {
    /// Size of the fleet, its callers, the seed and the duration.
    pub fleet: SoakOptions,
    /// The limit that every other upstream names, in requests a second.
    pub per_s: f64,
    /// All callers use the first daemon.
    pub is_skewed: bool,
    /// A daemon is killed and started again this often. `None` for never.
    pub kill_interval_ms: Option<u64>,
}

/// What upstreams that named a limit got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// The most requests in a span, at each of them.
    pub most_in_span: Vec<usize>,
    /// What the rule allows in a span.
    pub allowed: f64,
    /// The number of requests that callers sent.
    pub calls: usize,
    /// Guarantees of any run that did not hold.
    pub violations: Vec<Violation>,
}

impl LimitReport {
    /// True if no upstream got more than allowed.
    #[must_use]
    pub fn is_within_limits(&self) -> bool {
        self.most_in_span.iter().all(|most| *most as f64 <= self.allowed)
    }
}

/// Lets every other upstream name a limit once all daemons serve, and counts what arrives there.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_limits(
    spawner: &Spawner,
    options: &LimitOptions,
) -> Result<LimitReport, SoakError> {
    let site = Site::start(spawner, &options.fleet).await?;
    let report = run_on(&site, options).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn run_on(site: &Arc<Site>, options: &LimitOptions) -> Result<LimitReport, SoakError> {
    let fleet = &options.fleet;
    wait_until_all_serve(site).await?;
    // Closing this channel stops all callers.
    let (stop_sender, stop) = async_channel::bounded::<()>(1);
    let callers: Vec<_> = (0..fleet.daemons * fleet.callers)
        .map(|number| {
            let daemon = if options.is_skewed { 0 } else { number % fleet.daemons };
            site.spawner.spawn(run_caller(site.clone(), daemon, number, fleet.seed, stop.clone()))
        })
        .collect();
    let limited: Vec<_> = site.all_upstreams().into_iter().step_by(2).collect();
    for upstream in &limited {
        upstream.update_behaviour(|behaviour| {
            behaviour.named_limit = Some(options.per_s.to_string());
        });
    }
    let named_ms = site.recorder.now_ms();
    restart_daemons(site, options).await?;
    drop(stop_sender);
    for caller in callers {
        caller.await;
    }
    let events = site.recorder.events().clone();
    let most_in_span = |arrivals_ms: Vec<u64>| {
        let counted: Vec<_> =
            arrivals_ms.into_iter().filter(|at_ms| *at_ms >= named_ms + CONTACT_MS).collect();
        let in_span = |from_ms: &u64| {
            counted.iter().filter(|at_ms| (*from_ms..from_ms + SPAN_MS).contains(at_ms)).count()
        };
        counted.iter().map(in_span).max().unwrap_or(0)
    };
    Ok(LimitReport {
        most_in_span: limited
            .iter()
            .map(|upstream| most_in_span(upstream.arrivals_unix_ms()))
            .collect(),
        allowed: options.per_s * SPAN_MS as f64 / MS_PER_S * TOLERANCE + SLACK,
        calls: events.calls.len(),
        violations: checks::check(&events, &upstream_runs(site)),
    })
}

/// Kills one daemon after the other until the run is over.
async fn restart_daemons(site: &Site, options: &LimitOptions) -> Result<(), ProofError> {
    const RESTART_MS: u64 = 250;
    let ends_ms = site.recorder.now_ms() + options.fleet.duration_ms;
    let mut killed = 0;
    while site.recorder.now_ms() < ends_ms {
        let left_ms = ends_ms - site.recorder.now_ms();
        sleep_ms(options.kill_interval_ms.unwrap_or(left_ms).min(left_ms)).await;
        if options.kill_interval_ms.is_some() {
            killed += 1;
            let daemon = &site.daemons[killed % site.daemons.len()];
            daemon.kill();
            sleep_ms(RESTART_MS).await;
            daemon.start()?;
        }
    }
    Ok(())
}
