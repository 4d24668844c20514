//! The demo, the relay benches and the capacity slopes, all against real processes. Not shipped.
//!
//! * `demo` — the demo that `scripts/demo.sh` runs.
//! * `slope` — resource usage of a daemon at a few sizes.
//! * `relay` — latency that a daemon adds.
//! * `core` — tokens that one core relays.
//! * `memory` — resident memory with contracts and open streams.

mod bench_fleet;
mod demo;
mod failure;
mod flags;
mod memory;
mod paced_engine;
mod relay;
mod slope;
mod usage;

use std::process::ExitCode;

use comfreymast_net::Spawner;
use flags::{ComfreymastLoad, ComfreymastLoadCmd};

const THREADS: usize = 4;

fn main() -> ExitCode {
    let flags = ComfreymastLoad::from_env_or_exit();
    let result = Spawner::run(THREADS, |spawner| async move {
        match flags.subcommand {
            ComfreymastLoadCmd::Demo(_) => demo::run(&spawner).await,
            ComfreymastLoadCmd::Relay(relay) => {
                relay::compare_latency(&spawner, relay.threads, relay.rounds).await
            }
            ComfreymastLoadCmd::Core(core) => {
                relay::measure_core(&spawner, core.tokens, core.rounds).await
            }
            ComfreymastLoadCmd::Slope(slope) => slope::run(&spawner, &slope.name).await,
            ComfreymastLoadCmd::Memory(_) => memory::run(&spawner).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("comfreymast-load: {failure}");
            ExitCode::FAILURE
        }
    }
}
