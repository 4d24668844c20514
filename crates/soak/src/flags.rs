//! The command line.
#![allow(missing_docs, unreachable_pub, clippy::all)]

use std::path::PathBuf;

xflags::xflags! {
    /// Plays seeds of faults against real daemons and checks what callers and upstreams see.
    cmd comfreymast-soak {
        /// The first seed; default is drawn.
        optional --seed seed: u64
        /// How many seeds to play, one after another; default 1.
        optional --seeds seeds: u64
        /// How long each is played, in seconds; default 10.
        optional --seconds seconds: u64
        /// Daemons; default 4.
        optional --daemons daemons: usize
        /// Engines; default 4.
        optional --engines engines: usize
        /// Also check promises that hold within a time.
        optional --times
        /// Send requests that crash their upstreams, instead of the seed's faults.
        optional --crashes
        /// With --crashes: how many such requests; default 2.
        optional --culprits culprits: usize
        /// With --crashes: also kill an upstream or a daemon this often.
        optional --kill-interval-ms kill_interval_ms: u64
        /// With --crashes: how much later than its connections the port of an upstream closes.
        optional --port-delay-ms port_delay_ms: u64
        /// With --crashes: until then, it closes each new connection at once.
        optional --closes-accepted
        /// With --crashes: how long a crashed upstream is down; default 1500.
        optional --restart-ms restart_ms: u64
        /// With --crashes: a service of four ends as a whole and comes back under new names.
        optional --whole-service
        /// With --crashes: how long the culprits crash nothing at first.
        optional --harmless-ms harmless_ms: u64
        /// With --crashes: how many requests are sent as often but crash nothing; default 0.
        optional --harmless harmless: usize
        /// With --crashes: how long plain requests run that crash nothing.
        optional --answer-ms answer_ms: u64
        /// With --crashes: this many parts of prompts crash upstreams, instead of equal requests.
        optional --bad-parts bad_parts: usize
        /// With --bad-parts: the requests may run once.
        optional --once
        /// With --bad-parts: how many events are written before the end; default 2.
        optional --crash-after-events crash_after_events: u64
        /// With --crashes: the time between two such requests.
        optional --interval-ms interval_ms: u64
        /// Let engines of several versions break streams off, instead of the seed's faults.
        optional --versions versions: usize
        /// With --versions: kill all daemons at once, with a release before.
        optional --kill-all
        /// Let every other upstream name this limit, in requests a second, instead of the seed's faults.
        optional --limit-per-s limit_per_s: f64
        /// With --limit-per-s: all callers use the first daemon.
        optional --skewed
        /// Where settings and logs go; default is a folder for each seed below the system's.
        optional --folder folder: PathBuf
    }
}
