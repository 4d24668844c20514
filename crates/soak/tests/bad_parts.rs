//! Parts of prompts that crash upstreams are found, although no two requests with them are alike.

use comfreymast_net::Spawner;
use comfreymast_soak::{BadPartOptions, BadPartReport, Kind, SoakOptions, run_bad_parts};
use tempfile::TempDir;

const THREADS: usize = 4;
/// Long enough to count sound requests from six seconds after the fifth end.
const DURATION_MS: u64 = 14_000;
/// As many sound requests as the comparison needs.
const MIN_SOUND_CALLS: usize = 20;

fn run_parts(change: impl FnOnce(&mut BadPartOptions)) -> BadPartReport {
    let folder = TempDir::new().expect("a folder");
    let fleet = SoakOptions::new(1, folder.path().to_owned())
        .duration_ms(DURATION_MS)
        .daemons(3)
        .engines(6);
    let mut options = BadPartOptions::new(fleet);
    options.crashes.fleet.callers = 1;
    change(&mut options);
    Spawner::run(THREADS, async |spawner| run_bad_parts(&spawner, &options).await)
        .expect("programs that start")
}

fn assert_stopped(report: &BadPartReport) {
    for part in &report.parts {
        assert!(part.ends > 0, "crashed nothing: {part:?}");
    }
    assert!(report.not_stopped().is_empty(), "sent on after the fifth end: {:?}", report.parts);
    assert!(report.sound_before.sent >= MIN_SOUND_CALLS, "{:?}", report.sound_before);
    assert!(report.sound_after.sent >= MIN_SOUND_CALLS, "{:?}", report.sound_after);
    let sound = (report.sound_before, report.sound_after);
    assert!(report.is_sound_served(), "sound requests suffer: {sound:?}");
    assert!(report.others_refused.is_empty(), "{:?}", report.others_refused);
    let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn requests_with_a_part_that_crashed_five_engines_are_not_sent_on() {
    assert_stopped(&run_parts(|_| ()));
}

#[test]
fn requests_with_a_part_that_crashes_engines_at_the_head_of_the_answer_are_not_sent_on() {
    assert_stopped(&run_parts(|options| {
        options.crash_after_events = 0;
        options.kind = Kind::Report;
    }));
}

/// All engines end within a second, and come back under their names.
#[test]
fn a_part_that_ends_a_small_service_whole_is_found() {
    assert_stopped(&run_parts(|options| {
        options.crashes.fleet.engines = 4;
        options.crashes.interval_ms = 150;
    }));
}
