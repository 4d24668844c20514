//! Tests that an answer which does not end holds up nobody, takes a bounded number of bytes and is
//! given up, whatever element of it repeats.

mod support;

use bytes::Bytes;
use comfreymast_fakes::endless_upstream::{EndlessAnswer, EndlessUpstream};
use comfreymast_net::{Spawner, collect, within};
use hyper::StatusCode;
use support::{TestEnv, call, generation, run_test, wait_for};

/// How long an upstream writes unless its connection is closed.
const WRITES_MS: u64 = 18_000;
/// Answers that are asked for at once.
const CALLS: usize = 4;
const MIB: u64 = 1024 * 1024;
const SIGNED: &str = "x-attempt-id: {id}\r\nx-server-signature: signed.e0\r\n";

/// An element of an answer that repeats without end.
struct Case {
    name: &'static str,
    beginning: String,
    repeated: &'static str,
    /// The most bytes that may be written before the connection is closed, socket buffers included.
    max_bytes: u64,
}

fn case(name: &'static str, beginning: &str, repeated: &'static str, max_mib: u64) -> Case {
    Case { name, beginning: beginning.to_owned(), repeated, max_bytes: max_mib * MIB }
}

/// The head of an answer with these further lines.
fn head(lines: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{SIGNED}{lines}\r\n")
}

/// Elements that may repeat in any answer.
fn framing_cases() -> Vec<Case> {
    const LIMIT_MIB: u64 = 16;
    let chunked = head("transfer-encoding: chunked\r\n");
    vec![
        case("noise", "", "no answer at all ", LIMIT_MIB),
        case("blank lines before a head", "", "\r\n", LIMIT_MIB),
        case("header lines", "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n", LIMIT_MIB),
        case("a header value", "HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaa", LIMIT_MIB),
        case("informational heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n", LIMIT_MIB),
        case("zeros of a chunk size", &chunked, "00000000", LIMIT_MIB),
        case("an extension of a chunk", &format!("{chunked}5;"), "aaaaaaaa", LIMIT_MIB),
        case("trailers", &format!("{chunked}0\r\n"), "x-more: 1\r\n", LIMIT_MIB),
    ]
}

/// The same body or events in each framing.
fn body_cases(repeated: [&'static str; 2], lines: &str, max_mib: u64) -> Vec<Case> {
    let [plain, chunks] = repeated;
    vec![
        case("length", &head(&format!("{lines}content-length: 99999999999\r\n")), plain, max_mib),
        case("chunks", &head(&format!("{lines}transfer-encoding: chunked\r\n")), chunks, max_mib),
        case("closed connection", &head(lines), plain, max_mib),
    ]
}

/// Asks for several answers of an upstream of `service` at once, while a neighbour's upstream is asked
/// too.
async fn play(spawner: &Spawner, case: &Case, path: &'static str, service: &str) {
    let env = TestEnv::new(spawner).await;
    env.publish(1, |configuration| {
        for route in configuration["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = 4_000.into();
        }
    });
    let other = if service == "plain" { "engines" } else { "plain" };
    let _neighbour = env.upstream("n0", other).await;
    let endless = EndlessUpstream::start(EndlessAnswer {
        beginning: case.beginning.clone(),
        repeated: Bytes::from_static(case.repeated.as_bytes()),
        max_ms: WRITES_MS,
    })
    .expect("a port");
    env.announce_at("e0", endless.addr, service, "ready");
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let (addr, spawner) = (gateway.addresses.callers, spawner.clone());
            let id = format!("id{number}");
            let request =
                if service == "plain" { call("GET", path, &id) } else { generation(path, &id) };
            let task_spawner = spawner.clone();
            spawner.spawn(async move {
                let opened = comfreymast_net::OwnedConnection::open(&task_spawner, addr, WRITES_MS);
                let mut connection = opened.await.expect("a connection");
                let answer = connection.send(request).await.expect("an answer");
                let status = answer.status();
                // A stream has begun with success, and is cut.
                let body = collect(answer.into_body(), usize::MAX).await;
                (status, body.is_ok())
            })
        })
        .collect();
    let neighbour_path = if service == "plain" { "/report/n" } else { "/safe/n" };
    for number in 0..10 {
        let id = format!("n{number}");
        let request = if service == "plain" {
            generation(neighbour_path, &id)
        } else {
            call("GET", neighbour_path, &id)
        };
        let answer = gateway.call(spawner, request).await;
        assert_eq!(answer.status, StatusCode::OK, "{}: neighbour", case.name);
    }
    assert!(
        endless.ended().iter().all(|written| written.closed_by_caller),
        "{}: neighbours waited",
        case.name
    );
    for call in calls {
        let (status, is_whole) =
            within(WRITES_MS, call).await.unwrap_or_else(|_| panic!("{}: no end", case.name));
        let is_failure = status == StatusCode::BAD_GATEWAY || status == StatusCode::GATEWAY_TIMEOUT;
        assert!(is_failure || !is_whole, "{}: {status}, whole: {is_whole}", case.name);
    }
    wait_for("all closed", async || endless.ended().len() >= CALLS).await;
    for written in endless.ended() {
        assert!(written.closed_by_caller, "{}: {written:?}", case.name);
        assert!(written.bytes <= case.max_bytes, "{}: {written:?}", case.name);
    }
}

#[test]
fn elements_of_the_framing_that_repeat_without_end_are_given_up() {
    for case in framing_cases() {
        run_test(async |spawner| play(&spawner, &case, "/plain/a", "plain").await);
    }
}

#[test]
fn a_plain_body_without_end_is_given_up_in_each_framing() {
    for case in body_cases(["abcdefgh", "8\r\nabcdefgh\r\n"], "", 64) {
        run_test(async |spawner| play(&spawner, &case, "/plain/a", "plain").await);
    }
}

#[test]
fn an_event_without_end_is_given_up_in_each_framing() {
    let lines = "content-type: text/event-stream\r\n";
    for case in body_cases(["data: abc\n", "a\r\ndata: abc\n\r\n"], lines, 16) {
        run_test(async |spawner| play(&spawner, &case, "/report/a", "engines").await);
    }
}

/// They are relayed, but the route's time limit ends the stream.
#[test]
fn comments_without_end_are_cut_at_the_time_limit() {
    let lines = "content-type: text/event-stream\r\n";
    for case in body_cases([":\n\n", "3\r\n:\n\n\r\n"], lines, u64::MAX / MIB) {
        run_test(async |spawner| play(&spawner, &case, "/report/a", "engines").await);
    }
}
