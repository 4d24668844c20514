//! Tests that one attempt of a caller runs on no more upstreams than its route allows.

mod support;

use std::collections::BTreeMap;

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
