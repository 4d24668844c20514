//! The demo of the README: a reader misses nothing when the daemon that streams is killed.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::process::Command;

#[test]
fn the_demo_shows_a_reader_that_misses_nothing() {
    let output = Command::new(env!("CARGO_BIN_EXE_comfreymast-load")).arg("demo").output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{said}\n{}", String::from_utf8_lossy(&output.stderr));
    assert!(said.ends_with("all 120 tokens were read once, in order, from one generation\n"));
}
