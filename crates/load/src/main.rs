//! The demo, the relay benches and the capacity slopes, all against real processes.
//!
//! Nothing here is shipped.
//!
//! * `demo` — what `scripts/demo.sh` shows.
//! * `slope` — what a daemon uses at a few sizes.
//! * `relay`, `core`, `memory` — what a daemon adds, how much a core relays, what it holds.

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
    let done = Spawner::run(THREADS, |spawner| async move {
        match flags.subcommand {
            ComfreymastLoadCmd::Demo(_) => demo::run(&spawner).await,
            ComfreymastLoadCmd::Relay(relay) => {
                relay::added(&spawner, relay.threads, relay.rounds).await
            }
            ComfreymastLoadCmd::Core(core) => relay::core(&spawner, core.tokens, core.rounds).await,
            ComfreymastLoadCmd::Slope(slope) => slope::run(&spawner, &slope.name).await,
            ComfreymastLoadCmd::Memory(_) => memory::run(&spawner).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("comfreymast-load: {failure}");
            ExitCode::FAILURE
        }
    }
}
