//! Prompts, answers and keys appear in no log, not even at level `trace`.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use comfreymast_fakes::engine::server::EngineFaults;
use comfreymast_net::Spawner;
use comfreymast_proof::{Client, FLEET_KEY, Fleet, FleetOptions, OPERATOR_KEY};

const KEY: &str = "key-of-estudio-norte";
const PROMPT: &str = "the chapel of the secret client, tokens=40";
const CONTRACT: &str = r#"
organisation = "estudio-norte"

[[keys]]
name = "site"
# SHA-256 of "key-of-estudio-norte"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000

[[routes]]
prefix = "/drawings"
service = "s"
methods = ["POST"]
"#;

#[test]
fn no_log_contains_a_prompt_an_answer_or_a_key() {
    Spawner::run(2, |spawner| async move {
        let options = FleetOptions { daemon_log: "trace".to_owned(), ..FleetOptions::default() };
        let fleet = Fleet::start(&spawner, options).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        let unauthorized = Client::new(&spawner, "a-key-that-no-contract-lists");
        let mut answers = Vec::new();
        for daemon in &fleet.daemons {
            let completion = client.complete(daemon.callers(), "m", PROMPT, &[]).await.unwrap();
            answers.push(completion.json()["choices"][0]["text"].as_str().unwrap().to_owned());
            unauthorized.complete(daemon.callers(), "m", PROMPT, &[]).await.unwrap();
            let body = format!("{{\"model\": \"m\", \"prompt\": \"{PROMPT}\"");
            client.call(daemon.callers(), "POST", "/v1/completions", &[], &body).await.unwrap();
            client.call(daemon.callers(), "POST", "/drawings/7", &[], PROMPT).await.unwrap();
        }
        // Failures log more than successes do.
        let crossed = EngineFaults { cross_tokens: 3, ..EngineFaults::default() };
        let refusing = EngineFaults { refuse: true, ..EngineFaults::default() };
        for faults in [crossed, refusing] {
            for engine in &fleet.engines {
                fleet.set_faults(&engine.process, &faults).await.unwrap();
            }
            for daemon in &fleet.daemons {
                client.complete(daemon.callers(), "m", PROMPT, &[]).await.unwrap();
            }
        }
        let logs: String = (0..3).map(|index| fleet.read(&format!("d{index}.err"))).collect();
        assert!(logs.contains("E0101"), "the logs were not read");
        let secrets =
            [KEY, OPERATOR_KEY, FLEET_KEY, "a-key-that-no-contract-lists", "secret client"];
        for secret in secrets.into_iter().chain(answers.iter().map(String::as_str)) {
            assert!(!logs.contains(secret), "a log contains {secret:?}");
        }
    });
}
