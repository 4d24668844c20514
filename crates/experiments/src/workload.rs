//! Deployments and the requests that they receive.

use comfreymast_fakes::engine::batch::{EngineOptions, Prefix};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

const MS_PER_S: f64 = 1_000.0;

/// One kind of work, with log-normal lengths.
#[derive(Clone, Debug)]
pub struct KindShape {
    /// Its name.
    pub name: &'static str,
    /// The share of all requests.
    pub share: f64,
    /// Whether readers receive tokens as they are generated.
    pub streamed: bool,
    /// Its priority in the contracts of large organisations.
    pub large_priority: u8,
    /// Its priority in the contracts of small organisations.
    pub small_priority: u8,
    /// The median of output lengths.
    pub output_median_tokens: f64,
    /// The standard deviation of the logarithm of output lengths.
    pub output_sigma: f64,
    /// The shortest and the longest output.
    pub output_tokens: (f64, f64),
    /// The median of prompt lengths without the shared prefix.
    pub prompt_median_tokens: f64,
    /// Maximum time for the complete answer.
    pub deadline_ms: u64,
}

/// The engines, the daemons and the work of one user.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// How many engines there are.
    pub engines: usize,
    /// How many daemons there are.
    pub daemons: usize,
    /// How many data centres they are distributed over.
    pub data_centres: usize,
    /// Speed and memory of each engine.
    pub engine: EngineOptions,
    /// The kinds of work.
    pub kinds: Vec<KindShape>,
}

impl Deployment {
    /// The mean output length of a request, without the bounds of each kind.
    #[must_use]
    pub fn mean_output_tokens(&self) -> f64 {
        let mean = |kind: &KindShape| {
            kind.output_median_tokens * (kind.output_sigma * kind.output_sigma / 2.0).exp()
        };
        self.kinds.iter().map(|kind| kind.share * mean(kind)).sum()
    }
}

/// Number of organisations in each deployment.
pub const ORGANISATIONS: usize = 10;
/// Number of large organisations, which come first.
pub const LARGE_ORGANISATIONS: usize = 3;
const LARGE_SHARE: f64 = 0.2;
/// The lowest priority that counts as high.
pub const HIGH_PRIORITY: u8 = 7;

fn engine() -> EngineOptions {
    EngineOptions { step_us: 25_000, step_per_generation_us: 250, ..EngineOptions::default() }
}

/// Acústica Andina Modelado: reports and verdicts.
#[must_use]
pub fn bogota() -> Deployment {
    Deployment {
        name: "Bogotá",
        engines: 9,
        daemons: 9,
        data_centres: 4,
        engine: engine(),
        kinds: vec![
            KindShape {
                name: "report",
                streamed: true,
                share: 0.3,
                large_priority: 7,
                small_priority: 4,
                output_median_tokens: 800.0,
                output_sigma: 1.2,
                output_tokens: (2.0, 20_000.0),
                prompt_median_tokens: 600.0,
                deadline_ms: 900_000,
            },
            KindShape {
                name: "verdict",
                streamed: false,
                share: 0.7,
                large_priority: 5,
                small_priority: 5,
                output_median_tokens: 25.0,
                output_sigma: 0.5,
                output_tokens: (2.0, 200.0),
                prompt_median_tokens: 200.0,
                deadline_ms: 15_000,
            },
        ],
    }
}

/// Fælles Stemningstavle: narratives over captions.
#[must_use]
pub fn jutland() -> Deployment {
    Deployment {
        name: "Jutland",
        engines: 9,
        daemons: 9,
        data_centres: 3,
        engine: engine(),
        kinds: vec![
            KindShape {
                name: "narrative",
                streamed: true,
                share: 0.08,
                large_priority: 7,
                small_priority: 7,
                output_median_tokens: 500.0,
                output_sigma: 0.9,
                output_tokens: (50.0, 8_000.0),
                prompt_median_tokens: 900.0,
                deadline_ms: 300_000,
            },
            KindShape {
                name: "caption",
                streamed: false,
                share: 0.92,
                large_priority: 3,
                small_priority: 3,
                output_median_tokens: 40.0,
                output_sigma: 0.5,
                output_tokens: (2.0, 200.0),
                prompt_median_tokens: 200.0,
                deadline_ms: 10_000,
            },
        ],
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When it arrives.
    pub at_ms: u64,
    /// The daemon that the load balancer sends it to.
    pub daemon: usize,
    /// Its organisation, an index below [`ORGANISATIONS`].
    pub organisation: usize,
    /// Its kind, an index of [`Deployment::kinds`].
    pub kind: usize,
    /// From 0 to 9.
    pub priority: u8,
    /// The prompt's length, with the shared prefix.
    pub prompt_tokens: u32,
    /// The prefix that it shares with other prompts.
    pub prefix: Prefix,
    /// The length of the answer, which no policy knows.
    pub output_tokens: u32,
    /// When the answer must be complete.
    pub deadline_ms: u64,
}

/// A change in the demand of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandChange {
    /// The index of the organisation.
    pub organisation: usize,
    /// The factor by which the rate or the length is multiplied.
    pub factor: f64,
    /// When the change begins.
    pub from_ms: u64,
}

/// How much work is requested.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Mean output tokens a second that are requested, without any change.
    pub tokens_per_s: f64,
    /// How long requests arrive.
    pub duration_ms: u64,
    /// One organisation sends requests at a higher rate.
    pub flood: Option<DemandChange>,
    /// The answers of one organisation get longer.
    pub longer: Option<DemandChange>,
}

/// Generates the requests of all organisations, ordered by arrival time.
///
/// Each organisation has its own random number generator, so that a change in one does not affect
/// the requests of another. Arrival times are scaled so that every seed requests the same number of
/// tokens a second; otherwise a few long answers would determine the load of a run.
#[must_use]
pub fn generate_requests(deployment: &Deployment, demand: &Demand, seed: u64) -> Vec<Request> {
    let unchanged = Demand { flood: None, longer: None, ..demand.clone() };
    let offered_tokens: f64 = generate_all(deployment, &unchanged, 1.0, seed)
        .iter()
        .map(|request| f64::from(request.output_tokens))
        .sum();
    let offered_per_s = offered_tokens * MS_PER_S / demand.duration_ms as f64;
    let mut all = generate_all(deployment, demand, offered_per_s / demand.tokens_per_s, seed);
    all.sort_by_key(|request| (request.at_ms, request.organisation));
    all
}

fn generate_all(
    deployment: &Deployment,
    demand: &Demand,
    time_scale: f64,
    seed: u64,
) -> Vec<Request> {
    (0..ORGANISATIONS)
        .flat_map(|organisation| {
            organisation_requests(deployment, demand, organisation, time_scale, seed)
        })
        .collect()
}

/// Generates a request of a random organisation at time 0, for a closed-loop load.
#[must_use]
pub fn sample(deployment: &Deployment, random: &mut SmallRng) -> Request {
    let is_large = random.random_bool(LARGE_SHARE * LARGE_ORGANISATIONS as f64);
    let organisation = if is_large {
        random.random_range(0..LARGE_ORGANISATIONS)
    } else {
        random.random_range(LARGE_ORGANISATIONS..ORGANISATIONS)
    };
    generate_request(deployment, organisation, 0, 1.0, random)
}

/// The share of all requests that an organisation sends.
#[must_use]
pub fn organisation_share(organisation: usize) -> f64 {
    const SMALL_ORGANISATIONS: f64 = (ORGANISATIONS - LARGE_ORGANISATIONS) as f64;
    if organisation < LARGE_ORGANISATIONS {
        LARGE_SHARE
    } else {
        (1.0 - LARGE_SHARE * LARGE_ORGANISATIONS as f64) / SMALL_ORGANISATIONS
    }
}

fn organisation_requests(
    deployment: &Deployment,
    demand: &Demand,
    organisation: usize,
    time_scale: f64,
    seed: u64,
) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed * ORGANISATIONS as u64 + organisation as u64);
    let requests_per_s = demand.tokens_per_s / deployment.mean_output_tokens();
    let rate_per_s = requests_per_s * organisation_share(organisation);
    let mut bursts = Bursts::default();
    let mut requests = Vec::new();
    let mut now_ms = 0.0;
    loop {
        let flood_factor = change_factor(demand.flood, organisation, now_ms * time_scale);
        let rate_per_ms = rate_per_s * flood_factor * bursts.factor(now_ms, &mut random) / MS_PER_S;
        now_ms += exponential(rate_per_ms, &mut random);
        let at_ms = now_ms * time_scale;
        if at_ms >= demand.duration_ms as f64 {
            return requests;
        }
        let length_factor = change_factor(demand.longer, organisation, at_ms);
        requests.push(generate_request(
            deployment,
            organisation,
            at_ms as u64,
            length_factor,
            &mut random,
        ));
    }
}

fn change_factor(change: Option<DemandChange>, organisation: usize, now_ms: f64) -> f64 {
    let applies = |change: &DemandChange| {
        change.organisation == organisation && now_ms >= change.from_ms as f64
    };
    change.filter(applies).map_or(1.0, |change| change.factor)
}

/// The arrival rate of an organisation, which alternates between a base rate and bursts.
#[derive(Debug, Default)]
struct Bursts {
    in_burst: bool,
    until_ms: f64,
}

impl Bursts {
    const BASE_MS: f64 = 45_000.0;
    const BURST_MS: f64 = 15_000.0;
    const BASE_FACTOR: f64 = 2.0 / 3.0;
    const BURST_FACTOR: f64 = 2.0;

    fn factor(&mut self, now_ms: f64, random: &mut SmallRng) -> f64 {
        while now_ms >= self.until_ms {
            self.in_burst = !self.in_burst;
            let mean_ms = if self.in_burst { Self::BURST_MS } else { Self::BASE_MS };
            self.until_ms += exponential(1.0 / mean_ms, random);
        }
        if self.in_burst { Self::BURST_FACTOR } else { Self::BASE_FACTOR }
    }
}

fn exponential(rate: f64, random: &mut SmallRng) -> f64 {
    Exp::new(rate).map_or(f64::INFINITY, |exp| exp.sample(random))
}

fn log_normal(median: f64, sigma: f64, random: &mut SmallRng) -> f64 {
    LogNormal::new(median.ln(), sigma).map_or(median, |normal| normal.sample(random))
}

fn generate_request(
    deployment: &Deployment,
    organisation: usize,
    at_ms: u64,
    length_factor: f64,
    random: &mut SmallRng,
) -> Request {
    const PREFIXES_PER_ORGANISATION: u64 = 4;
    const PREFIX_TOKENS: u32 = 400;
    const PROMPT_SIGMA: f64 = 0.5;
    let kind_index = usize::from(!random.random_bool(deployment.kinds[0].share));
    let kind = &deployment.kinds[kind_index];
    let (shortest, longest) = kind.output_tokens;
    let output = log_normal(kind.output_median_tokens, kind.output_sigma, random) * length_factor;
    let prompt = log_normal(kind.prompt_median_tokens, PROMPT_SIGMA, random);
    let prefix = random.random_range(0..PREFIXES_PER_ORGANISATION);
    let is_large = organisation < LARGE_ORGANISATIONS;
    Request {
        at_ms,
        daemon: random.random_range(0..deployment.daemons),
        organisation,
        kind: kind_index,
        priority: if is_large { kind.large_priority } else { kind.small_priority },
        prompt_tokens: PREFIX_TOKENS + prompt as u32,
        prefix: Prefix {
            hash: organisation as u64 * PREFIXES_PER_ORGANISATION + prefix,
            tokens: PREFIX_TOKENS,
        },
        output_tokens: output.clamp(shortest, longest) as u32,
        deadline_ms: at_ms + kind.deadline_ms,
    }
}
