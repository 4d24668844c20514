//! The retry budget of the fleet when one daemon needs most of the retries.

use comfreymast_decide::fleet_budget::{FleetBudgetOptions, Traffic, TrafficWindow, may_retry};

const OPTIONS: FleetBudgetOptions =
    FleetBudgetOptions { ratio: 0.2, slack: 58.0, used_share: 0.75 };
const WINDOW_MS: u64 = 10_000;

#[test]
fn one_daemon_may_use_the_budget_that_others_leave_unused() {
    let others = Traffic { requests: 400, retries: 2 };
    let own = Traffic { requests: 30, retries: 60 };
    assert!(may_retry(own.plus(others), &OPTIONS));
}

#[test]
fn nine_daemons_with_counts_as_old_as_a_heartbeat_stay_within_the_budget() {
    const DAEMONS: usize = 9;
    const HEARTBEAT_MS: u64 = 150;
    let mut windows = vec![TrafficWindow::new(WINDOW_MS); DAEMONS];
    let mut reported = [Traffic::default(); DAEMONS];
    for now_ms in (0..40_000).step_by(10) {
        if now_ms % HEARTBEAT_MS == 0 {
            for (reported, window) in reported.iter_mut().zip(&mut windows) {
                *reported = window.total(now_ms);
            }
        }
        for (daemon, window) in windows.iter_mut().enumerate() {
            // Every request fails, and every daemon tries to retry it immediately.
            if (now_ms / 10 + daemon as u64).is_multiple_of(20) {
                window.record_request(now_ms);
                let others = (0..DAEMONS).filter(|other| *other != daemon);
                let others =
                    others.fold(Traffic::default(), |sum, other| sum.plus(reported[other]));
                if may_retry(window.total(now_ms).plus(others), &OPTIONS) {
                    window.record_retry(now_ms);
                }
            }
        }
        let fleet = windows.iter_mut().map(|window| window.total(now_ms));
        let fleet = fleet.fold(Traffic::default(), Traffic::plus);
        let allowed = fleet.requests as f64 * OPTIONS.ratio + OPTIONS.slack;
        assert!(fleet.retries as f64 <= allowed, "{fleet:?} at {now_ms} ms");
    }
}

#[test]
fn counts_expire_with_the_window() {
    let mut window = TrafficWindow::new(WINDOW_MS);
    window.record_request(0);
    window.record_retry(5_000);
    assert_eq!(window.total(9_000), Traffic { requests: 1, retries: 1 });
    assert_eq!(window.total(12_000), Traffic { requests: 0, retries: 1 });
    assert_eq!(window.total(100_000), Traffic::default());
}
