//! The demo, the relay benches and the capacity slopes, all against real processes.
//!
//! Nothing here is shipped.
//!
//! * `demo` — what `scripts/demo.sh` shows.

mod demo;
mod failure;
mod flags;

use std::process::ExitCode;

use comfreymast_net::Spawner;
use flags::{ComfreymastLoad, ComfreymastLoadCmd};

const THREADS: usize = 4;

fn main() -> ExitCode {
    let flags = ComfreymastLoad::from_env_or_exit();
    let done = Spawner::run(THREADS, |spawner| async move {
        match flags.subcommand {
            ComfreymastLoadCmd::Demo(_) => demo::run(&spawner).await,
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
