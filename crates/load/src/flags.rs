//! The command line.
#![allow(missing_docs, unreachable_pub, clippy::all)]

xflags::xflags! {
    /// The demo, the relay benches and the capacity slopes.
    cmd comfreymast-load {
        /// Stream a generation to the terminal while its daemon is killed.
        cmd demo {}
        /// What a daemon adds to first tokens and gaps, at 7,000 tokens a second.
        cmd relay {
            /// Executor threads of the daemon; default 4.
            optional --threads threads: u32
            /// Rounds; default 3.
            optional --rounds rounds: usize
        }
        /// How many tokens one core relays.
        cmd core {
            /// Tokens of each of the 64 streams; default 20000.
            optional --tokens tokens: u32
            /// Rounds; default 3.
            optional --rounds rounds: usize
        }
        /// The memory of a daemon with 8,700 contracts and 1,000 open streams.
        cmd memory {}
        /// What a daemon uses at a few sizes: `contracts`, `upstreams`, `daemons`, `records` or `burn`.
        cmd slope { required name: String }
    }
}
