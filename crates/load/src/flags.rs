//! The command line.
#![allow(missing_docs, unreachable_pub, clippy::all)]

xflags::xflags! {
    /// The demo, the relay benches and the capacity slopes.
    cmd comfreymast-load {
        /// Stream a generation to the terminal while its daemon is killed.
        cmd demo {}
    }
}
