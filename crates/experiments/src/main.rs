//! Prints one table of docs/MEASUREMENTS.md.

use std::path::PathBuf;
use std::process::ExitCode;

use comfreymast_experiments::limit_strategies::limits_table;
use comfreymast_experiments::plot::plot_load;
use comfreymast_experiments::tables::{Scale, TABLES, markdown, table};

mod flags {
    #![allow(missing_docs, clippy::all)]
    use super::PathBuf;

    xflags::xflags! {
        /// Measures the decisions against baselines, in virtual time.
        cmd comfreymast-experiments {
            /// Which table: load, choices, lag, prefix, faults, flood, longer or limits.
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

const LIMITS: &str = "limits";

fn main() -> ExitCode {
    let flags = flags::ComfreymastExperiments::from_env_or_exit();
    let mut scale = if flags.short { Scale::short() } else { Scale::full() };
    scale.seeds = flags.seeds.unwrap_or(scale.seeds);
    let first_seed = flags.seed.unwrap_or(1);
    if flags.table == LIMITS {
        print!("{}", limits_table(first_seed, scale.seeds));
        return ExitCode::SUCCESS;
    }
    let Some(rows) = table(&flags.table, first_seed, scale) else {
        eprintln!(
            "unknown table {:?}; the tables are {}, {LIMITS}",
            flags.table,
            TABLES.join(", ")
        );
        return ExitCode::from(2);
    };
    print!("{}", markdown(&rows));
    if let Some(folder) = flags.plots
        && let Err(error) = plot_load(&rows, &folder)
    {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
