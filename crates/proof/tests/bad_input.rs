//! Malformed requests get a typed, clear error, and the daemon keeps running.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use comfreymast_net::Spawner;
use comfreymast_proof::{Answer, Client, Fleet, FleetOptions, OPERATOR_KEY};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const SEED: u64 = 9_003;
const CASES: usize = 150;
const KEY: &str = "key-of-estudio-norte";
const CONTRACT: &str = r#"
organisation = "estudio-norte"

[limits]
concurrent_requests = 1000
requests_per_s = 10000

[[keys]]
name = "site"
# SHA-256 of "key-of-estudio-norte"
sha256 = "4c87c44e5ac0537924acfa2d882f1803b5300e6b28a05909f2cb5b70ed84d713"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 20000
"#;
const VALID_BODY: &str = r#"{"model":"m","prompt":"a room","max_tokens":4,"stream":false}"#;

fn small_fleet() -> FleetOptions {
    FleetOptions { daemons: 1, engines: 1, ..FleetOptions::default() }
}

fn runner() -> TestRunner {
    TestRunner::new(Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Arbitrary text, truncated and altered valid bodies, and JSON of the wrong structure.
fn bodies() -> impl Strategy<Value = String> {
    prop_oneof![
        ".{0,80}",
        (0..VALID_BODY.len()).prop_map(|end| VALID_BODY[..end].to_owned()),
        (0..VALID_BODY.len(), "[ -~]").prop_map(|(index, replacement)| {
            let mut body = VALID_BODY.to_owned();
            body.replace_range(index..=index, &replacement);
            body
        }),
        Just("{}".to_owned()),
        Just("[]".to_owned()),
        Just("null".to_owned()),
        Just(r#"{"model":7,"prompt":"a"}"#.to_owned()),
        Just(r#"{"model":"m","prompt":"a","max_tokens":-1}"#.to_owned()),
        Just(r#"{"model":"m","prompt":"a","max_tokens":0}"#.to_owned()),
        Just(r#"{"model":"m","prompt":"a","max_tokens":4294967296}"#.to_owned()),
        Just("[".repeat(100_000)),
        any::<u16>().prop_map(|depth| format!("{}1{}", "[".repeat(depth.into()), "]".repeat(9))),
    ]
}

/// Whether a program can tell from the answer, a success or an error, what happened.
fn is_typed(answer: &Answer) -> bool {
    let error = &answer.json()["error"];
    let is_error = error["code"].is_string()
        && error["message"].as_str().is_some_and(|message| !message.is_empty())
        && error["outcome"] == answer.outcome.as_str();
    match answer.status {
        200 => answer.outcome == "done",
        // A rate limit would hide how the daemon handles the body.
        429 => false,
        400..=499 => is_error && answer.outcome == "not_run",
        _ => false,
    }
}

#[test]
fn any_body_gets_a_typed_answer_and_the_daemon_keeps_running() {
    Spawner::run(2, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, small_fleet()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        let daemon = fleet.daemons[0].callers();
        let mut runner = runner();
        for _ in 0..CASES {
            let body = bodies().new_tree(&mut runner).unwrap().current();
            let answer = client.call(daemon, "POST", "/v1/completions", &[], &body).await.unwrap();
            assert!(is_typed(&answer), "{body:?} got {answer:?}");
        }
        let valid = client.call(daemon, "POST", "/v1/completions", &[], VALID_BODY).await.unwrap();
        assert_eq!(valid.status, 200);
        assert_eq!(fleet.daemons[0].process.exit_code().unwrap(), None);
    });
}

#[test]
fn a_body_over_the_size_limit_is_refused() {
    Spawner::run(2, |spawner| async move {
        let mut options = small_fleet();
        options.daemon_flags.extend(["--max-body-bytes".to_owned(), "1024".to_owned()]);
        let fleet = Fleet::start(&spawner, options).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let client = Client::new(&spawner, KEY);
        let prompt = "a".repeat(2_000);
        let answer = client.complete(fleet.daemons[0].callers(), "m", &prompt, &[]).await.unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (413, "not_run"));
        assert_eq!(answer.json()["error"]["code"], "too_long");
    });
}

/// Writes bytes to a raw connection and reads the start of the answer, empty on close.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = [0; 512];
    let read = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

#[test]
fn malformed_http_is_refused_and_the_daemon_keeps_running() {
    Spawner::run(2, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, small_fleet()).await.unwrap();
        let addr = fleet.daemons[0].callers();
        let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(2_000_000));
        let bad = [
            "no http at all\r\n\r\n".as_bytes(),
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\ncontent-length: -4\r\n\r\n",
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\nzz\r\n",
            b"\x00\x01\x02\x03\r\n\r\n",
        ];
        for bytes in bad {
            let answer = send_raw(addr, bytes);
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
        let mut stream = TcpStream::connect(addr).unwrap();
        // The daemon may close the connection before everything is written.
        let _ = stream.write_all(long_header.as_bytes());
        assert!(fleet.answers_ok(&fleet.daemons[0], "/readyz").await);
        assert_eq!(fleet.daemons[0].process.exit_code().unwrap(), None);
    });
}

#[test]
fn callers_without_the_operator_key_learn_nothing_on_the_operators_port() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, small_fleet()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let addr = fleet.daemons[0].vm.operators_addr.unwrap();
        for path in ["/status", "/metrics", "/burn", "/contracts", "/contracts/estudio-norte"] {
            let caller = Client::new(&spawner, KEY);
            let answer = caller.call(addr, "GET", path, &[], "").await.unwrap();
            assert_eq!((answer.status, &answer.json()["code"]), (401, &"unauthorized".into()));
        }
        let operator = Client::new(&spawner, OPERATOR_KEY);
        let unknown = operator.call(addr, "GET", "/no/such/page", &[], "").await.unwrap();
        assert_eq!((unknown.status, &unknown.json()["code"]), (404, &"not_found".into()));
        let bad = operator.call(addr, "PUT", "/contracts/x", &[], "\u{0}").await.unwrap();
        assert_eq!((bad.status, &bad.json()["code"]), (400, &"bad_request".into()));
    });
}
