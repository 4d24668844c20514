//! The batch scheduler of the fake engine.

use comfreymast_base::GenerationId;
use comfreymast_fakes::engine::batch::{Batch, EngineOptions, Job, Prefix};

fn job(number: u8, priority: u8, total_tokens: u32) -> Job {
    Job {
        generation: GenerationId::from_bytes([number; 16]),
        priority,
        prompt_tokens: 100,
        prefix: None,
        done_tokens: 0,
        total_tokens,
    }
}

fn options(memory_tokens: u64) -> EngineOptions {
    EngineOptions { memory_tokens, ..EngineOptions::default() }
}

#[test]
fn every_token_is_produced_once_in_order() {
    let mut batch = Batch::new(options(10_000));
    batch.submit(job(1, 5, 20));
    batch.submit(job(2, 5, 30));
    let mut produced = Vec::new();
    while !batch.is_idle() {
        produced.extend(batch.step().produced);
    }
    for (number, total_tokens) in [(1, 20), (2, 30)] {
        let id = GenerationId::from_bytes([number; 16]);
        let indices: Vec<_> =
            produced.iter().filter(|(of, _)| *of == id).map(|(_, index)| *index).collect();
        assert_eq!(indices, (0..total_tokens).collect::<Vec<_>>());
    }
}

#[test]
fn the_lowest_priority_is_preempted_when_memory_is_full() {
    let mut batch = Batch::new(options(300));
    batch.submit(job(1, 7, 150));
    batch.submit(job(2, 3, 150));
    let mut preempted = Vec::new();
    let mut finished = Vec::new();
    while !batch.is_idle() {
        let step = batch.step();
        preempted.extend(step.preempted);
        finished.extend(step.finished);
    }
    assert_eq!(preempted, [GenerationId::from_bytes([2; 16])]);
    assert_eq!(finished, [1, 2].map(|number| GenerationId::from_bytes([number; 16])));
    assert_eq!(batch.load().preemptions, 1);
}

#[test]
fn a_larger_batch_has_longer_steps() {
    let step_us = |generations| {
        let mut batch = Batch::new(options(10_000));
        (0..generations).for_each(|number| batch.submit(job(number, 5, 1_000)));
        (0..20).map(|_| batch.step().duration_us).last()
    };
    assert!(step_us(10) > step_us(1));
}

#[test]
fn a_cached_prefix_is_not_prefilled_again() {
    let prefix = Some(Prefix { hash: 7, tokens: 90 });
    let mut batch = Batch::new(options(10_000));
    let run_alone_us = |batch: &mut Batch, number| {
        batch.submit(Job { prefix, ..job(number, 5, 1) });
        let mut total_us = 0;
        while !batch.is_idle() {
            total_us += batch.step().duration_us;
        }
        total_us
    };
    let cold_us = run_alone_us(&mut batch, 1);
    let warm_us = run_alone_us(&mut batch, 2);
    assert_eq!(cold_us - warm_us, 90 * EngineOptions::default().prefill_per_token_us);
    assert_eq!(batch.cached_prefixes(), [7]);
}
