//! Slow, silent and stalled callers, oversized bodies, HTTP/2, and the completion API's format.

#![allow(clippy::unwrap_used)] // clippy does not treat test helpers as tests

mod common;

use async_net::TcpStream;
use comfreymast_net::{sleep_ms, within};
use comfreymast_proof::{FleetOptions, Http2, Link, StreamEnd};
use common::{Fixture, KEY, daemon_flags, run};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;

const WAIT_LIMIT_MS: u64 = 20_000;

/// One fast engine that soon drops a generation without a reader.
fn options(flags: &[&str]) -> FleetOptions {
    let engine_flags =
        ["--step-us", "400", "--step-per-generation-us", "100", "--linger-ms", "300"];
    FleetOptions {
        engines: 1,
        engine_flags: engine_flags.map(str::to_owned).to_vec(),
        daemon_flags: daemon_flags(flags),
        ..FleetOptions::default()
    }
}

/// A request for a stream as raw HTTP/1.1.
fn raw_request(prompt: &str) -> String {
    let body = format!(r#"{{"model": "m", "prompt": "{prompt}", "stream": true}}"#);
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Waits until the engine runs no generation.
async fn wait_until_idle(fixture: &Fixture) {
    let load = async || fixture.fleet.page(&fixture.fleet.engines[0].process, "/load").await;
    let wait = async {
        while load().await["running"] != 0 {
            sleep_ms(20).await;
        }
    };
    within(WAIT_LIMIT_MS, wait).await.unwrap();
}

#[test]
fn streams_and_errors_have_the_shape_of_completion_apis_over_http2() {
    run(|spawner| async move {
        let fixture = Fixture::new(&spawner, options(&[])).await;
        let addr = fixture.fleet.daemons[0].callers();
        let mut http2 = Http2::connect(&spawner, addr, KEY).await.unwrap();
        let body = r#"{"model": "m", "prompt": "tokens=9", "stream": true, "max_tokens": 5}"#;
        // Two concurrent streams on one connection.
        let mut first = http2.open("POST", "/v1/completions", body.to_owned()).await.unwrap();
        let mut second = http2.open("POST", "/v1/completions", body.to_owned()).await.unwrap();
        for reader in [&mut first, &mut second] {
            assert_eq!(reader.status, 200);
            assert_eq!(reader.headers["content-type"], "text/event-stream");
            let events = reader.rest().await;
            assert_eq!(events.len(), 7);
            assert_eq!(events[6].data, "[DONE]");
            let last: Value = serde_json::from_str(&events[5].data).unwrap();
            assert_eq!(last["object"], "text_completion");
            assert_eq!(last["model"], "m");
            assert_eq!(last["choices"][0]["finish_reason"], "length");
        }
        let body = r#"{"model": "no such model", "prompt": "x"}"#;
        let refused = http2.open("POST", "/v1/completions", body.to_owned()).await.unwrap();
        assert_eq!(refused.status, 403);
        assert_eq!(refused.headers["comfreymast-outcome"], "not_run");
    });
}

#[test]
fn a_stalled_reader_is_disconnected_and_frees_the_engine() {
    run(|spawner| async move {
        let flags = ["--reader-stall-ms", "500", "--keepalive-ms", "100"];
        let fixture = Fixture::new(&spawner, options(&flags)).await;
        let addr = fixture.fleet.daemons[0].callers();
        let mut stalled = TcpStream::connect(addr).await.unwrap();
        rustix::net::sockopt::set_socket_recv_buffer_size(&stalled, 4_096).unwrap();
        stalled.write_all(raw_request("stalled, tokens=20000").as_bytes()).await.unwrap();
        let mut reading = fixture.read(0, 1, "report", "report, tokens=300").await;
        // Another reader is not delayed, and the engine is free once the stalled one is cut off.
        assert_eq!(reading.rest().await, StreamEnd::Done);
        wait_until_idle(&fixture).await;
        // Its connection is closed in the middle of the answer instead of waiting for a read.
        let mut answer = Vec::new();
        let _ = within(WAIT_LIMIT_MS, stalled.read_to_end(&mut answer)).await.unwrap();
        assert!(!answer.ends_with(b"0\r\n\r\n"));
        fixture.assert_tokens_valid();
    });
}

#[test]
fn a_caller_whose_connection_is_cut_frees_the_engine() {
    run(|spawner| async move {
        let flags = ["--reader-stall-ms", "500", "--keepalive-ms", "100"];
        let fixture = Fixture::new(&spawner, options(&flags)).await;
        let link = Link::start(&spawner, fixture.fleet.daemons[0].callers()).await.unwrap();
        let mut caller = TcpStream::connect(link.addr).await.unwrap();
        caller.write_all(raw_request("gone, tokens=20000").as_bytes()).await.unwrap();
        let mut head = [0; 64];
        caller.read_exact(&mut head).await.unwrap();
        link.cut_open();
        wait_until_idle(&fixture).await;
    });
}

#[test]
fn connections_without_a_complete_request_head_are_closed() {
    run(|spawner| async move {
        let flags = ["--header-timeout-ms", "300"];
        let fixture = Fixture::new(&spawner, options(&flags)).await;
        let addr = fixture.fleet.daemons[0].callers();
        let partial_head = "GET /drawings/1 HTTP/1.1\r\nhost: a long name of a host\r\n";
        for sent in ["", "P", "PRI * HTTP/2.0\r\n", partial_head] {
            let mut caller = TcpStream::connect(addr).await.unwrap();
            caller.write_all(sent.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            let closed = within(WAIT_LIMIT_MS, caller.read_to_end(&mut answer)).await;
            assert!(closed.is_ok(), "{sent:?} is still open");
        }
    });
}

#[test]
fn bodies_that_are_too_slow_or_too_long_are_refused_as_not_run() {
    run(|spawner| async move {
        let flags = ["--body-timeout-ms", "300", "--max-body-bytes", "2048"];
        let fixture = Fixture::new(&spawner, options(&flags)).await;
        let addr = fixture.fleet.daemons[0].callers();
        let long = format!(r#"{{"model": "m", "prompt": "{}"}}"#, "x".repeat(4_096));
        let answer =
            fixture.client.call(addr, "POST", "/v1/completions", &[], &long).await.unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (413, "not_run"));

        let mut slow = TcpStream::connect(addr).await.unwrap();
        let request = raw_request("slow, tokens=9");
        slow.write_all(&request.as_bytes()[..request.len() - 1]).await.unwrap();
        let mut answer = [0; 12];
        within(WAIT_LIMIT_MS, slow.read_exact(&mut answer)).await.unwrap().unwrap();
        assert_eq!(&answer, b"HTTP/1.1 408");
    });
}
