//! The stand-ins of the review's cases: `review-stand-ins CASE RECORD`. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run.
//!
//! `review-stand-ins server ...` is one server, which a case starts as a process of its own.

mod caller;
mod cases;
mod client;
mod daemon;
mod frozen;
mod http;
mod joined;
mod large_bodies;
mod process;
mod record;
mod restarted;
mod server;
mod stale_zone;
mod store;
mod taken_up;
mod upstream;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Recorder;
use stale_zone::Change;
use taken_up::Kind;

/// Whether the rule held.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

/// The number in an environment variable, or `default`.
pub fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|verb| verb == "server") {
        return server::run(&arguments[2..]);
    }
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let recorder = match Recorder::create(Path::new(record)) {
        Ok(recorder) => Arc::new(recorder),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = setting("TROUBLE", 1) != 0;
    let played = match case.as_str() {
        "split-route" => taken_up::play(&recorder, Kind::SplitRoute, has_trouble),
        "long-ids" => taken_up::play(&recorder, Kind::LongIds, has_trouble),
        "frozen" => frozen::play(&recorder, has_trouble),
        "large-bodies" => large_bodies::play(&recorder, has_trouble),
        "stale-key" => stale_zone::play(&recorder, Change::KeyRevoked, has_trouble),
        "stale-server" => stale_zone::play(&recorder, Change::ServerLeaves, has_trouble),
        "joined-versions" => joined::play(&recorder, has_trouble),
        "restarted" => restarted::play(&recorder, has_trouble),
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let exit = match played {
        Ok(Outcome::Held) => {
            recorder.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            recorder.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            recorder.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    };
    recorder.flush();
    exit
}
