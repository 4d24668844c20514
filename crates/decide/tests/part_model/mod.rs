//! A service of engines in virtual time, under requests with bad parts, sound ones and kills. All
//! daemons' reports arrive in one table at once.

use std::collections::BTreeMap;

use comfreymast_base::Upstream;
use comfreymast_decide::quarantine::{
    DeathReport, Fingerprint, QuarantineOptions, QuarantineStatus, RecentSuccesses, RequestContent,
    SuspicionTable, part_fingerprint,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 10;
const RUN_MS: u64 = 30_000;
const CALM_MS: u64 = 3_000;
const RESTART_MS: u64 = 3_400;
/// How long an engine lives once it has begun to answer on a bad part.
const CRASH_MS: u64 = 60;
const LIVED_ON_MS: u64 = 250;
const EVALUATION_MS: u64 = 320;
const CONTACT_MS: u64 = 3_000;
/// The parts of sessions, each in the requests of one caller.
const SESSIONS: u32 = 20;
const MAX_ATTEMPTS: u32 = 3;

/// One case of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) engines: usize,
    pub(crate) bad_parts: usize,
    pub(crate) bad_interval_ms: u64,
    pub(crate) sound_interval_ms: u64,
    pub(crate) kill_interval_ms: Option<u64>,
}

/// What became of one run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Sound parts and requests that were quarantined.
    pub(crate) wrong: Vec<Vec<Fingerprint>>,
    /// For each bad part, its arrivals later than allowed after the fifth end.
    pub(crate) late: BTreeMap<usize, usize>,
    /// Engines that ended under bad parts.
    pub(crate) ends: usize,
}

#[derive(Clone)]
struct Running {
    content: RequestContent,
    bad: Option<usize>,
    begins_ms: u64,
    ends_ms: u64,
    has_lived_on: bool,
    attempts: u32,
}

struct Engine {
    start: u64,
    up_from_ms: u64,
    running: Vec<Running>,
}

struct Model {
    case: Case,
    random: SmallRng,
    table: SuspicionTable,
    recent: RecentSuccesses,
    engines: Vec<Engine>,
    starts: u64,
    requests: u64,
    evaluations_ms: Vec<u64>,
    ends_ms: BTreeMap<usize, Vec<u64>>,
    outcome: Outcome,
}

/// Plays one case.
pub(crate) fn play(case: Case, seed: u64) -> Outcome {
    let engines = (0..case.engines as u64)
        .map(|start| Engine { start, up_from_ms: 0, running: Vec::new() })
        .collect();
    let mut model = Model {
        case,
        random: SmallRng::seed_from_u64(seed),
        table: SuspicionTable::new(QuarantineOptions::for_any_request()),
        recent: RecentSuccesses::default(),
        engines,
        starts: case.engines as u64,
        requests: 0,
        evaluations_ms: Vec::new(),
        ends_ms: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        model.step(now_ms);
    }
    model.outcome
}

fn is_due(now_ms: u64, interval_ms: u64) -> bool {
    now_ms % interval_ms < STEP_MS
}

impl Model {
    fn step(&mut self, now_ms: u64) {
        if is_due(now_ms, self.case.sound_interval_ms) {
            let session = self.random.random_range(0..SESSIONS);
            self.send_new(&["common", &format!("session{session}")], None, now_ms);
        }
        for bad in 0..self.case.bad_parts {
            let shifted_ms = now_ms + bad as u64 * 37;
            if now_ms >= CALM_MS && is_due(shifted_ms, self.case.bad_interval_ms) {
                self.send_new(&["common", &format!("bad{bad}")], Some(bad), now_ms);
            }
        }
        if self.case.kill_interval_ms.is_some_and(|interval_ms| is_due(now_ms, interval_ms)) {
            let killed = self.random.random_range(0..self.engines.len());
            self.end(killed, now_ms);
        }
        for place in 0..self.engines.len() {
            self.run(place, now_ms);
        }
        let due = self.evaluations_ms.iter().filter(|at_ms| **at_ms <= now_ms).count();
        if due > 0 {
            self.evaluations_ms.drain(..due);
            self.evaluate(now_ms);
        }
    }

    fn send_new(&mut self, parts: &[&str], bad: Option<usize>, now_ms: u64) {
        self.requests += 1;
        let mut fingerprint = Fingerprint::default();
        fingerprint[24..].copy_from_slice(&self.requests.to_be_bytes());
        let parts = parts.iter().map(|id| part_fingerprint(id)).collect();
        self.send(RequestContent { fingerprint, parts }, bad, 1, now_ms);
    }

    fn send(&mut self, content: RequestContent, bad: Option<usize>, attempts: u32, now_ms: u64) {
        if self.table.status_of(&content, now_ms) == QuarantineStatus::Quarantined {
            return;
        }
        let live: Vec<_> =
            (0..self.engines.len()).filter(|at| self.engines[*at].up_from_ms <= now_ms).collect();
        if live.is_empty() {
            return;
        }
        let place = live[self.random.random_range(0..live.len())];
        if let Some(bad) = bad {
            let fifth_ms = self.ends_ms.get(&bad).and_then(|ends| ends.get(4)).copied();
            if fifth_ms.is_some_and(|fifth_ms| now_ms > fifth_ms + CONTACT_MS) {
                *self.outcome.late.entry(bad).or_default() += 1;
            }
        }
        let begins_ms = now_ms + self.random.random_range(100..700);
        let ends_ms = begins_ms + self.random.random_range(100..3_000);
        let running = Running { content, bad, begins_ms, ends_ms, has_lived_on: false, attempts };
        self.engines[place].running.push(running);
    }

    /// Lets the requests of an engine go on.
    fn run(&mut self, place: usize, now_ms: u64) {
        let crash = self.engines[place]
            .running
            .iter()
            .find_map(|one| one.bad.filter(|_| now_ms >= one.begins_ms + CRASH_MS));
        if let Some(bad) = crash {
            self.outcome.ends += 1;
            self.ends_ms.entry(bad).or_default().push(now_ms);
            return self.end(place, now_ms);
        }
        let mut begun = Vec::new();
        for one in &mut self.engines[place].running {
            let lives_on = now_ms >= (one.begins_ms + LIVED_ON_MS).min(one.ends_ms);
            if lives_on && !one.has_lived_on {
                one.has_lived_on = true;
                begun.push(one.clone());
            }
        }
        for one in begun {
            for part in &one.content.parts {
                self.recent.record(*part, one.begins_ms);
                self.table.record_success(part, one.begins_ms);
            }
        }
        self.engines[place].running.retain(|one| now_ms < one.ends_ms);
    }

    /// Ends an engine; its requests are reported and sent again.
    fn end(&mut self, place: usize, now_ms: u64) {
        if self.engines[place].up_from_ms > now_ms {
            return;
        }
        let engine = &mut self.engines[place];
        let running = std::mem::take(&mut engine.running);
        let (start, known_since_ms) = (engine.start, engine.up_from_ms);
        engine.up_from_ms = now_ms + RESTART_MS;
        engine.start = self.starts;
        self.starts += 1;
        for one in &running {
            let mut content = one.content.clone();
            if one.has_lived_on {
                content.parts.clear();
            }
            let report = DeathReport {
                content,
                upstream: Upstream::from(format!("e{start}")),
                progress_tokens: (now_ms.saturating_sub(one.begins_ms) / 10) as u32,
                last_alive_ms: now_ms,
                known_since_ms: Some(known_since_ms),
            };
            self.table.record(&report, now_ms);
            for part in &report.content.parts {
                if let Some(succeeded_ms) = self.recent.last(part, now_ms) {
                    self.table.record_success(part, succeeded_ms);
                }
            }
        }
        self.evaluations_ms.push(now_ms + EVALUATION_MS);
        for one in running.into_iter().filter(|one| one.attempts < MAX_ATTEMPTS) {
            self.send(one.content, one.bad, one.attempts + 1, now_ms);
        }
    }

    fn evaluate(&mut self, now_ms: u64) {
        for (key, _) in self.table.find_culprits(now_ms) {
            let members = self.table.members(&key).to_vec();
            let bad = (0..self.case.bad_parts).map(|bad| part_fingerprint(&format!("bad{bad}")));
            let names_bad = bad.into_iter().any(|bad| members.contains(&bad));
            // A quarantine of one request refuses no other.
            let is_part =
                members.iter().any(|one| comfreymast_decide::quarantine::part_id(one).is_some());
            if is_part && !names_bad {
                self.outcome.wrong.push(members);
            }
        }
    }
}
