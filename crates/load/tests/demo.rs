//! Runs the demo of the README: a reader receives every token although the daemon that streams
//! them is killed.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::process::Command;

#[test]
fn demo_reader_receives_every_token_after_daemon_is_killed() {
    let output = Command::new(env!("CARGO_BIN_EXE_comfreymast-load")).arg("demo").output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}\n{}", String::from_utf8_lossy(&output.stderr));
    assert!(stdout.ends_with("all 120 tokens were read once, in order, from one generation\n"));
}
