use std::collections::BTreeMap;

use comfreymast_decide::evacuation::RunView;
use comfreymast_decide::fleet_budget::Traffic;
use comfreymast_wire::news::{EngineUse, GenerationUse, ServiceTraffic, UpstreamLimit};

use crate::named_limit::LimitNews;
use crate::room::QueueNews;

/// The total load and traffic of several daemons.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetSum {
    /// Load by engine.
    pub(crate) engines: BTreeMap<String, EngineSum>,
    /// Requests and retries by service.
    pub(crate) services: BTreeMap<String, Traffic>,
    /// What was told of upstreams that name limits.
    pub(crate) limits: BTreeMap<String, LimitNews>,
    /// What waits for an engine.
    pub(crate) queues: QueueNews,
}

/// The total load of several daemons on one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSum {
    /// Number of generations.
    pub(crate) runs: u32,
    /// Tokens of memory that they hold or are expected to hold.
    pub(crate) reserved_tokens: u64,
    /// Prompt tokens that the engine has not processed yet.
    pub(crate) prefill_tokens: u64,
    /// Generations that move away when the engine shuts down.
    pub(crate) generations: Vec<RunView>,
}

impl FleetSum {
    /// Adds the report of one daemon or data centre.
    pub(crate) fn add(&mut self, engines: &[EngineUse], services: &[ServiceTraffic]) {
        for engine in engines {
            let sum = self.engines.entry(engine.upstream.clone()).or_default();
            sum.runs += engine.runs;
            sum.reserved_tokens += engine.reserved_tokens;
            sum.prefill_tokens += engine.prefill_tokens;
            sum.generations.extend(engine.generations.iter().map(run_view));
        }
        for service in services {
            let sum = self.services.entry(service.service.clone()).or_default();
            *sum = sum.plus(Traffic {
                requests: u64::from(service.requests),
                retries: u64::from(service.repeats),
            });
        }
    }

    /// Adds what one daemon or data centre told of limits at `received_ms`.
    pub(crate) fn add_limits(&mut self, limits: &[UpstreamLimit], received_ms: u64) {
        for limit in limits {
            self.limits.entry(limit.upstream.clone()).or_default().add(limit, received_ms);
        }
    }

    /// What was told of limits, in the form of a peer message that is sent at `now_ms`.
    pub(crate) fn limit_news(&self, now_ms: u64) -> Vec<UpstreamLimit> {
        let limits = self.limits.iter();
        limits.map(|(upstream, told)| told.message(upstream.clone(), now_ms)).collect()
    }

    /// The sums by engine, in the form of a peer message.
    pub(crate) fn engine_uses(&self) -> Vec<EngineUse> {
        let uses = self.engines.iter().map(|(upstream, sum)| EngineUse {
            upstream: upstream.clone(),
            runs: sum.runs,
            reserved_tokens: sum.reserved_tokens,
            prefill_tokens: sum.prefill_tokens,
            generations: sum.generations.iter().map(generation_use).collect(),
        });
        uses.collect()
    }

    /// The sums by service, in the form of a peer message.
    pub(crate) fn service_traffic(&self) -> Vec<ServiceTraffic> {
        let traffic = self.services.iter().map(|(service, traffic)| ServiceTraffic {
            service: service.clone(),
            requests: u32::try_from(traffic.requests).unwrap_or(u32::MAX),
            repeats: u32::try_from(traffic.retries).unwrap_or(u32::MAX),
        });
        traffic.collect()
    }
}

/// Converts a generation to the form of a peer message.
pub(crate) fn generation_use(run: &RunView) -> GenerationUse {
    GenerationUse {
        key: run.key,
        tokens: u32::try_from(run.tokens).unwrap_or(u32::MAX),
        started_unix_ms: run.started_unix_ms,
    }
}

fn run_view(generation: &GenerationUse) -> RunView {
    RunView {
        key: generation.key,
        tokens: u64::from(generation.tokens),
        started_unix_ms: generation.started_unix_ms,
    }
}
