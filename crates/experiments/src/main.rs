//! Prints one table of docs/MEASUREMENTS.md.

use std::path::PathBuf;
use std::process::ExitCode;

use comfreymast_experiments::plot::plot_load;
use comfreymast_experiments::tables::{Scale, TABLES, markdown, table};

mod flags {
    #![allow(missing_docs, clippy::all)]
    use super::PathBuf;

    xflags::xflags! {
        /// Measures the decisions against baselines, in virtual time.
        cmd comfreymast-experiments {
            /// Which table: load, choices, lag, prefix, faults, flood or longer.
            required --table table: String
            /// The first seed; 1 by default.
            optional --seed seed: u64
            /// Runs of each case; 3 by default.
            optional --seeds seeds: u64
            /// Runs the short version, which the tests check.
            optional --short
            /// Writes pictures of the table `load` into this folder.
            optional --plots plots: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::ComfreymastExperiments::from_env_or_exit();
    let mut scale = if flags.short { Scale::short() } else { Scale::full() };
    scale.seeds = flags.seeds.unwrap_or(scale.seeds);
    let Some(lines) = table(&flags.table, flags.seed.unwrap_or(1), scale) else {
        eprintln!("there is no table {:?}; there are {}", flags.table, TABLES.join(", "));
        return ExitCode::from(2);
    };
    print!("{}", markdown(&lines));
    if let Some(folder) = flags.plots
        && let Err(error) = plot_load(&lines, &folder)
    {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
