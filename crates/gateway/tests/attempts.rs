//! Tests that one attempt of a caller runs on no more upstreams than its route allows.

mod support;

use std::collections::BTreeMap;

use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use support::{TestEnv, generation, run_test};

/// The route of the test allows two.
const MAX_ATTEMPTS: usize = 2;
const CALLS: usize = 60;

/// One engine loses its answers, the others break off after an event, so that one attempt may meet both.
#[test]
fn a_stream_whose_first_answer_was_lost_is_resumed_on_no_more_upstreams_than_its_route_allows() {
    run_test(async |spawner| {
        let mut env = TestEnv::new(&spawner).await;
        env.retry_slack = 1_000.0;
        env.publish(1, |_| ());
        let mut engines = Vec::new();
        for name in ["e0", "e1", "e2"] {
            engines.push(env.upstream(name, "engines").await);
        }
        engines[0].update_behaviour(|behaviour| behaviour.loses_answers = true);
        for engine in &engines[1..] {
            engine.update_behaviour(|behaviour| behaviour.breaks_after = Some(1));
        }
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        for number in 0..CALLS {
            gateway.call(&spawner, generation("/caption/a", &format!("id{number}"))).await;
        }
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in engines.iter().flat_map(|engine| engine.runs()) {
            *runs.entry(run.id).or_default() += 1;
        }
        assert!(runs.values().any(|count| *count == MAX_ATTEMPTS), "nothing was repeated");
        runs.retain(|_, count| *count > MAX_ATTEMPTS);
        assert!(runs.is_empty(), "{runs:?}");
    });
}

/// Each send tells its upstream how much time is left, so a later one ends no later than the first.
#[test]
fn a_repeated_request_has_no_more_time_than_its_first_send_left() {
    const DEADLINE_MS: u64 = 3_000;
    /// By the platform's rule.
    const TOLERANCE_MS: u64 = 500;
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let upstreams = [env.upstream("u0", "plain").await, env.upstream("u1", "plain").await];
        for upstream in &upstreams {
            upstream.update_behaviour(|behaviour| behaviour.hangs = true);
        }
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        let caller =
            CallerRequest { id: "id", deadline_ms: DEADLINE_MS, ..CallerRequest::default() };
        gateway.call(&spawner, caller.request("GET", "/safe/a", "")).await;
        let mut sends: Vec<_> = upstreams
            .iter()
            .flat_map(PlatformUpstream::runs)
            .map(|run| {
                let left = run.headers["x-deadline-ms"].to_str().expect("text").parse::<u64>();
                (run.started_unix_ms, left.expect("a number"))
            })
            .collect();
        sends.sort_unstable();
        let [(first_ms, first_left_ms), (second_ms, second_left_ms)] = sends[..] else {
            panic!("{} sends", sends.len());
        };
        assert!(first_left_ms <= DEADLINE_MS);
        let first_end_ms = first_ms + first_left_ms;
        assert!(second_ms + second_left_ms <= first_end_ms + TOLERANCE_MS);
    });
}
