//! The maximum throughput of a deployment's engines.

use std::collections::HashMap;

use comfreymast_base::GenerationId;
use comfreymast_fakes::engine::batch::{Batch, Job};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::workload::{Deployment, sample};

const WAITING_REQUESTS: usize = 32;
const WARM_UP_US: u64 = 600_000_000;
const MEASURED_US: u64 = 6_000_000_000;
const US_PER_S: f64 = 1_000_000.0;

/// Output tokens a second that all engines together finish when requests always wait at each of
/// them and each engine admits them by its own rule, in order of arrival.
#[must_use]
pub fn tokens_per_s(deployment: &Deployment, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut batch = Batch::new(deployment.engine.clone());
    let mut submitted = 0_u128;
    let mut now_us = 0;
    let mut lengths = HashMap::new();
    let mut finished_tokens = 0_u64;
    while now_us < WARM_UP_US + MEASURED_US {
        while (batch.load().waiting as usize) < WAITING_REQUESTS {
            let request = sample(deployment, &mut random);
            submitted += 1;
            let generation = GenerationId::from_bytes(submitted.to_be_bytes());
            lengths.insert(generation, request.output_tokens);
            batch.submit(Job {
                generation,
                priority: 0,
                prompt_tokens: request.prompt_tokens,
                prefix: Some(request.prefix),
                done_tokens: 0,
                total_tokens: request.output_tokens,
            });
        }
        let step = batch.step();
        now_us += step.duration_us;
        for generation in step.finished {
            let tokens = lengths.remove(&generation).unwrap_or_default();
            finished_tokens += if now_us > WARM_UP_US { u64::from(tokens) } else { 0 };
        }
    }
    finished_tokens as f64 * US_PER_S / MEASURED_US as f64 * deployment.engines as f64
}
