//! Streams on engines of several software versions, broken off and taken up again by their callers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Receiver;
use comfreymast_fakes::platform_documents::{CallerRequest, event_ids, event_versions};
use comfreymast_net::{OwnedConnection, Spawner, sleep_ms, within};
use comfreymast_proof::Direction;
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::daemon::Daemon;
use crate::injector::replace_upstream;
use crate::run::wait_until_all_serve;
use crate::site::{EVENTS, HOST, KEY, Site, TIMEOUT_MS, TOKENS};
use crate::{Kind, SoakError, SoakOptions};

const MAX_PAUSE_MS: u64 = 150;
const MAX_TRIES: u32 = 3;
/// As after a lost connection.
const TAKE_UP_PAUSE_MS: u64 = 30;
/// After this many events a stream breaks off at its engine.
const BREAK_AFTER: u64 = 3;
const DAEMON_RESTART_MS: u64 = 250;
/// How long a daemon is suspended beside the time that a release takes.
const SUSPENSION_MS: u64 = 1_500;
/// How long the store is silent to a daemon that was suspended.
const STORE_SILENCE_MS: u64 = 1_000;
/// The platform's rule.
const TOLERATED_MIXED: usize = 2;

/// The configuration of a run with several software versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOptions {
    /// Size of the fleet, number of versions, the seed and the duration.
    pub fleet: SoakOptions,
    /// Callers of streams that may be resumed.
    pub stream_callers: usize,
    /// One stream in so many breaks off at its engine.
    pub breaks_one_in: u64,
    /// A daemon is killed and started again, or suspended, this often. `None` for never.
    pub kill_interval_ms: Option<u64>,
    /// Suspends a daemon instead of killing it, and lets the store be silent to it for a while after that.
    pub suspends: bool,
    /// Kills all daemons at once instead of one after another.
    pub kills_all: bool,
    /// How long a caller waits before it takes a stream up.
    pub take_up_pause_ms: u64,
    /// Before each kill, an engine leaves and one of a new version takes its place.
    pub releases: bool,
}

impl VersionOptions {
    /// Callers of a fleet with two versions, without kills.
    #[must_use]
    pub fn new(mut fleet: SoakOptions) -> Self {
        fleet.versions = 2;
        Self {
            fleet,
            stream_callers: 12,
            breaks_one_in: 3,
            kill_interval_ms: None,
            suspends: false,
            kills_all: false,
            take_up_pause_ms: TAKE_UP_PAUSE_MS,
            releases: false,
        }
    }
}

impl VersionOptions {
    /// Kills all daemons at once instead of one after another, with a release before; callers wait until
    /// they are back.
    #[must_use]
    pub fn kills_all(mut self) -> Self {
        self.kills_all = true;
        self.releases = true;
        self.take_up_pause_ms = 2 * DAEMON_RESTART_MS;
        self
    }

    /// Suspends one daemon after another, each while an engine leaves and one of a new version takes its
    /// place.
    #[must_use]
    pub fn suspends(mut self) -> Self {
        self.suspends = true;
        self
    }
}

/// What became of the streams of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionReport {
    /// Streams that callers began.
    pub new: usize,
    /// Those of them that had an event.
    pub begun: usize,
    /// Streams with events of two versions in one answer.
    pub mixed_in_answer: usize,
    /// Other streams with events of two versions over their caller's tries.
    pub mixed_over_tries: usize,
    /// Tries that took a stream up.
    pub taken_up: usize,
    /// Those of them that had a further event.
    pub went_on: usize,
    /// Streams that ended whole.
    pub whole: usize,
}

impl VersionReport {
    /// True if hardly any stream holds the events of two versions.
    #[must_use]
    pub fn keeps_versions(&self) -> bool {
        self.mixed_in_answer + self.mixed_over_tries <= TOLERATED_MIXED
    }

    /// True if streams that are taken up go on at least half as often as new ones begin.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        2 * self.went_on * self.new >= self.begun * self.taken_up
    }
}

/// One answer, as far as it came.
#[derive(Default)]
struct Answer {
    ids: Vec<u64>,
    versions: BTreeSet<String>,
}

/// Lets engines break streams off, and callers take them up through other daemons.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_versions(
    spawner: &Spawner,
    options: &VersionOptions,
) -> Result<VersionReport, SoakError> {
    let site = Site::start(spawner, &options.fleet).await?;
    let report = run_on(&site, options).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn run_on(site: &Arc<Site>, options: &VersionOptions) -> Result<VersionReport, SoakError> {
    wait_until_all_serve(site).await?;
    break_streams(site, options);
    // Closing this channel stops all callers.
    let (stop_sender, stop) = async_channel::bounded::<()>(1);
    let report = Arc::new(Mutex::new(VersionReport::default()));
    let callers: Vec<_> = (0..options.stream_callers)
        .map(|number| {
            let seed = options.fleet.seed ^ (number as u64) << 32;
            let pause_ms = options.take_up_pause_ms;
            let calls =
                call_streams(site.clone(), number, seed, pause_ms, report.clone(), stop.clone());
            site.spawner.spawn(calls)
        })
        .collect();
    kill_daemons(site, options).await?;
    drop(stop_sender);
    for caller in callers {
        caller.await;
    }
    let report = *report.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report)
}

/// Kills daemons until the run is over.
async fn kill_daemons(site: &Arc<Site>, options: &VersionOptions) -> Result<(), SoakError> {
    let ends_ms = site.recorder.now_ms() + options.fleet.duration_ms;
    let mut rounds = 0;
    while site.recorder.now_ms() < ends_ms {
        let left_ms = ends_ms - site.recorder.now_ms();
        sleep_ms(options.kill_interval_ms.unwrap_or(left_ms).min(left_ms)).await;
        if options.kill_interval_ms.is_none() {
            continue;
        }
        if options.suspends {
            suspend_during_release(site, options, rounds).await?;
            rounds += 1;
            continue;
        }
        if options.releases {
            replace_upstream(site, rounds % options.fleet.engines, true).await?;
            break_streams(site, options);
        }
        let killed: Vec<_> = if options.kills_all {
            site.daemons.iter().collect()
        } else {
            vec![&site.daemons[rounds % site.daemons.len()]]
        };
        rounds += 1;
        killed.iter().for_each(|daemon| daemon.kill());
        sleep_ms(DAEMON_RESTART_MS).await;
        for daemon in killed {
            daemon.start()?;
        }
    }
    Ok(())
}

/// Suspends a daemon while an engine leaves and one of a new version takes its place. The store stays silent to
/// it for a while after it goes on.
async fn suspend_during_release(
    site: &Arc<Site>,
    options: &VersionOptions,
    round: usize,
) -> Result<(), SoakError> {
    let daemon = round % site.daemons.len();
    let store_link = &site.store_links[daemon];
    site.daemons[daemon].signal("STOP")?;
    store_link.silence_all(Direction::ToTarget);
    store_link.silence_all(Direction::FromTarget);
    replace_upstream(site, round % options.fleet.engines, true).await?;
    break_streams(site, options);
    sleep_ms(SUSPENSION_MS).await;
    site.daemons[daemon].signal("CONT")?;
    sleep_ms(STORE_SILENCE_MS).await;
    store_link.restore();
    Ok(())
}

/// Lets engines break some streams off.
fn break_streams(site: &Site, options: &VersionOptions) {
    for upstream in site.all_upstreams() {
        upstream.update_behaviour(|behaviour| {
            behaviour.breaks_after = Some(BREAK_AFTER);
            behaviour.breaks_one_in = options.breaks_one_in;
        });
    }
}

/// Begins one stream after another until `stop` closes, and takes up those that break off.
async fn call_streams(
    site: Arc<Site>,
    number: usize,
    seed: u64,
    pause_ms: u64,
    report: Arc<Mutex<VersionReport>>,
    stop: Receiver<()>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut streams = 0_u32;
    while !stop.is_closed() {
        sleep_ms(random.random_range(0..MAX_PAUSE_MS)).await;
        streams += 1;
        let name = format!("{number:x}s{streams:x}");
        let stream = call_stream(&site, &name, pause_ms, &mut random).await;
        add(&mut report.lock().unwrap_or_else(PoisonError::into_inner), &stream);
    }
}

fn add(sum: &mut VersionReport, stream: &VersionReport) {
    sum.new += stream.new;
    sum.begun += stream.begun;
    sum.mixed_in_answer += stream.mixed_in_answer;
    sum.mixed_over_tries += stream.mixed_over_tries;
    sum.taken_up += stream.taken_up;
    sum.went_on += stream.went_on;
    sum.whole += stream.whole;
}

/// One stream over all tries of its caller, each through a random daemon.
async fn call_stream(site: &Site, name: &str, pause_ms: u64, random: &mut StdRng) -> VersionReport {
    let mut report = VersionReport { new: 1, ..VersionReport::default() };
    let mut first_attempt: Option<String> = None;
    let mut last_event = 0;
    let mut versions = BTreeSet::new();
    for attempt in 0..MAX_TRIES {
        let id = format!("{name}t{attempt}");
        let daemon = random.random_range(0..site.daemons.len());
        let resumes = first_attempt.as_deref().map(|first| (first, last_event));
        let sent = within(TIMEOUT_MS, send(site, daemon, &id, resumes)).await;
        let answer = sent.ok().flatten().unwrap_or_default();
        let has_events = !answer.ids.is_empty();
        if resumes.is_some() {
            report.taken_up += 1;
            report.went_on += usize::from(has_events);
        }
        if has_events && first_attempt.is_none() {
            report.begun = 1;
            first_attempt = Some(id);
        }
        report.mixed_in_answer |= usize::from(answer.versions.len() > 1);
        versions.extend(answer.versions);
        last_event = answer.ids.last().copied().unwrap_or(last_event);
        if last_event == EVENTS {
            report.whole = 1;
            break;
        }
        sleep_ms(pause_ms).await;
    }
    if versions.len() > 1 && report.mixed_in_answer == 0 {
        report.mixed_over_tries = 1;
    }
    report
}

async fn send(
    site: &Site,
    daemon: usize,
    id: &str,
    resumes: Option<(&str, u64)>,
) -> Option<Answer> {
    let addr = site.daemons[daemon].endpoint()?.addr;
    let mut connection = OwnedConnection::open(&site.spawner, addr, TIMEOUT_MS).await.ok()?;
    let request = CallerRequest {
        id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: Some(TOKENS),
        prompt_parts: None,
        resumes,
        forged_organisation: None,
    }
    .request("POST", &format!("/{}/versions", Kind::Caption.path()), "body");
    let mut received = connection.send(request).await.ok()?.into_body();
    let mut body = Vec::new();
    while let Some(Ok(frame)) = received.frame().await {
        if let Ok(bytes) = frame.into_data() {
            body.extend_from_slice(&bytes);
        }
    }
    Some(Answer { ids: event_ids(&body), versions: event_versions(&body) })
}
