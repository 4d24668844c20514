//! Tests that stopping a daemon or reloading its settings interrupts no requests.

mod support;

use std::net::SocketAddr;

use async_net::TcpStream;
use comfreymast_fakes::framed_upstream::{FramedUpstream, WrittenAnswer};
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{BodyFraming, Spawner, empty, request, sleep_ms, within};
use comfreymast_proof::Link;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::StatusCode;
use support::{Gateway, TestEnv, call, event_ids, generation, run_test, wait_for};

const GRACE_S: u64 = 3;
const GRACE_MS: u64 = 3_000;
/// Until when a gateway of these tests takes requests, after it was told to stop.
const ACCEPT_MS: u64 = 1_000;
const HALF_A_HEAD_BYTES: usize = 60;
/// The kinds of requests: unsafe, safe, a stream that runs once and one that may be resumed.
const PATHS: [&str; 4] = ["/plain/x", "/safe/x", "/report/x", "/caption/x"];

#[test]
fn a_draining_daemon_finishes_its_stream_and_refuses_long_ones() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let engine = env.upstream("e0", "engines").await;
        engine.update_behaviour(|behaviour| behaviour.events = 200);
        let gateway = env.gateway("d0").await;
        wait_for("engine", async || {
            let answer = gateway.call(&spawner, generation("/caption/x", "probe")).await;
            answer.status == StatusCode::OK
        })
        .await;
        let stopping = async {
            wait_for("run", async || engine.runs().iter().any(|run| run.id == "id-1")).await;
            gateway.stop();
            wait_for("not-ready answer", async || {
                let ready = request(gateway.addresses.ready, "GET", "/-/ready", empty());
                let mut connection = comfreymast_net::OwnedConnection::open(
                    &spawner,
                    gateway.addresses.ready,
                    1_000,
                )
                .await
                .expect("a connection");
                let answer = connection.send(ready).await.expect("an answer");
                answer.status() == StatusCode::SERVICE_UNAVAILABLE
            })
            .await;
            let mut long = generation("/report/x", "id-2");
            long.headers_mut().insert("x-token-counts", "100,90000".parse().expect("a value"));
            let refused = gateway.call(&spawner, long).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(refused.headers["connection"], "close");
        };
        let answer = gateway.call(&spawner, generation("/report/x", "id-1"));
        let (answer, ()) = futures_lite::future::zip(answer, stopping).await;
        assert_eq!(event_ids(&answer.body), (1..=200).collect::<Vec<_>>());
        gateway.ended().await;
    });
}

#[test]
fn invalid_settings_are_ignored_on_reload() {
    run_test(async |spawner| {
        let env = TestEnv::new(&spawner).await;
        env.publish(1, |_| ());
        let _upstream = env.upstream("u0", "plain").await;
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(&spawner).await;
        std::fs::write(&gateway.settings_path, "{ not settings").expect("a file");
        gateway.reload.send(()).await.expect("a gateway that runs");
        wait_for("answer", async || {
            let answer = gateway.call(&spawner, call("GET", "/safe/x", "id")).await;
            answer.status == StatusCode::OK
        })
        .await;
    });
}

/// A caller that writes its request itself, in parts.
struct SlowCaller {
    stream: TcpStream,
}

impl SlowCaller {
    async fn connect(addr: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(addr).await.expect("a connection") }
    }

    async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("an open connection");
    }

    /// The answer up to the end of the connection; empty without one.
    async fn read(&mut self) -> String {
        let mut bytes = Vec::new();
        // A reset ends the answer too.
        let _ = within(GRACE_MS, self.stream.read_to_end(&mut bytes)).await;
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A request whose body has four bytes.
fn text(path: &str, id: &str) -> String {
    CallerRequest { id, tokens: Some((100, 80)), ..CallerRequest::default() }
        .text("POST", path, "body")
}

/// A gateway with a grace period of `GRACE_S`, and upstreams whose answers end after `answer_ms`.
async fn start(spawner: &Spawner, answer_ms: u64) -> (TestEnv, Gateway, Vec<FramedUpstream>) {
    let mut env = TestEnv::new(spawner).await;
    env.grace_s = GRACE_S;
    env.publish(1, |_| ());
    let mut upstreams = Vec::new();
    for (name, service) in [("u0", "plain"), ("e0", "engines")] {
        let upstream = FramedUpstream::start(spawner, name, move |request| {
            let is_stream = !request.line.contains("/plain/") && !request.line.contains("/safe/");
            WrittenAnswer {
                content_type: is_stream.then_some("text/event-stream"),
                body: "id: 1\ndata: x\n\n".into(),
                framing: BodyFraming::ConnectionClose,
                pause_ms: if request.id() == "probe" { 0 } else { answer_ms },
                ..WrittenAnswer::default()
            }
        });
        let upstream = upstream.await.expect("a port");
        env.announce_at(name, upstream.addr, service, "ready");
        upstreams.push(upstream);
    }
    let options = GatewayOptions { drain_grace_ms: ACCEPT_MS, ..GatewayOptions::default() };
    let gateway = env.gateway_at("d0", env.store_addr, options, &[]).await;
    for path in PATHS {
        wait_for("upstreams", async || {
            gateway.call(spawner, generation(path, "probe")).await.status == StatusCode::OK
        })
        .await;
    }
    (env, gateway, upstreams)
}

fn ran(upstreams: &[FramedUpstream], id: &str) -> bool {
    let requests = upstreams.iter().flat_map(FramedUpstream::requests);
    requests.into_iter().any(|request| request.id() == id)
}

fn assert_refused(answer: &str, path: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{path}: {answer:?}");
    assert!(answer.contains("retry-after: 0."), "{path}: {answer:?}");
    assert!(answer.contains("connection: close"), "{path}: {answer:?}");
}

/// Guards against requests that are passed on late in the grace period and cut at its end (LOST).
#[test]
fn a_request_that_comes_late_in_the_grace_period_is_refused_and_does_not_run() {
    run_test(async |spawner| {
        let (_env, gateway, upstreams) = start(&spawner, GRACE_MS).await;
        let mut callers = Vec::new();
        for path in PATHS {
            let mut caller = SlowCaller::connect(gateway.addresses.callers).await;
            // A connection without a byte of a request is closed.
            caller.write(&text(path, path)[..HALF_A_HEAD_BYTES]).await;
            callers.push((path, caller));
        }
        sleep_ms(100).await;
        gateway.stop();
        sleep_ms(ACCEPT_MS + 200).await;
        for (path, caller) in &mut callers {
            caller.write(&text(path, path)[HALF_A_HEAD_BYTES..]).await;
            assert_refused(&caller.read().await, path);
            assert!(!ran(&upstreams, path), "{path} ran");
        }
    });
}

/// Guards against the same for a request whose body arrives late (LOST).
#[test]
fn a_request_whose_body_comes_late_in_the_grace_period_is_refused_and_does_not_run() {
    run_test(async |spawner| {
        let (_env, gateway, upstreams) = start(&spawner, GRACE_MS).await;
        let mut callers = Vec::new();
        for path in PATHS {
            let mut caller = SlowCaller::connect(gateway.addresses.callers).await;
            caller.write(text(path, path).strip_suffix("dy").expect("a body")).await;
            callers.push((path, caller));
        }
        sleep_ms(100).await;
        gateway.stop();
        sleep_ms(ACCEPT_MS + 200).await;
        for (path, caller) in &mut callers {
            caller.write("dy").await;
            assert_refused(&caller.read().await, path);
            assert!(!ran(&upstreams, path), "{path} ran");
        }
    });
}

/// Guards against requests that are cut without an answer when the grace period ends (LOST).
#[test]
fn a_request_that_outlasts_the_grace_period_is_answered_before_its_end() {
    run_test(async |spawner| {
        for path in ["/plain/x", "/safe/x"] {
            let (_env, gateway, _upstreams) = start(&spawner, 3 * GRACE_MS).await;
            let mut caller = SlowCaller::connect(gateway.addresses.callers).await;
            caller.write(&text(path, path)).await;
            sleep_ms(100).await;
            gateway.stop();
            // Read for as long as the platform lets the daemon run.
            let answer = caller.read().await;
            // It may have run, so a refusal would not be true.
            assert!(answer.starts_with("HTTP/1.1 502"), "{path}: {answer:?}");
        }
    });
}

/// Requests that end in time are served through the whole grace period.
#[test]
fn a_request_under_way_when_the_daemon_is_told_to_stop_is_served() {
    run_test(async |spawner| {
        let (_env, gateway, _upstreams) = start(&spawner, GRACE_MS / 2).await;
        let mut callers = Vec::new();
        for path in PATHS {
            let mut caller = SlowCaller::connect(gateway.addresses.callers).await;
            caller.write(&text(path, path)).await;
            callers.push((path, caller));
        }
        sleep_ms(100).await;
        gateway.stop();
        for (path, caller) in &mut callers {
            let answer = caller.read().await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer:?}");
            assert!(answer.contains("data: x"), "{path}: {answer:?}");
        }
        gateway.ended().await;
    });
}

/// Guards against a call that a daemon without links passes on to one that stops, which is cut with it (LOST).
#[test]
fn a_daemon_that_stops_takes_no_calls_of_peers() {
    const HEARTBEATS_MS: u64 = 600;
    run_test(async |spawner| {
        let (_env, stopping, upstreams) = start(&spawner, 3 * GRACE_MS).await;
        let other = TestEnv::new(&spawner).await;
        other.publish(1, |_| ());
        let mut links = Vec::new();
        for (upstream, service) in upstreams.iter().zip(["plain", "engines"]) {
            let link = Link::start(&spawner, upstream.addr).await.expect("a port");
            other.announce_at(&upstream.name, link.addr, service, "ready");
            links.push(link);
        }
        let options = GatewayOptions::default();
        let gateway = other.gateway_at("d1", other.store_addr, options, &[&stopping]).await;
        gateway.wait_ready(&spawner).await;
        sleep_ms(HEARTBEATS_MS).await;
        links.iter().for_each(Link::close);
        // Its peer serves it until that stops.
        let served = gateway.call(&spawner, generation("/safe/x", "probe")).await;
        assert_eq!(served.status, StatusCode::OK);
        stopping.stop();
        for path in PATHS {
            let answer = gateway.call(&spawner, generation(path, path)).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert!(!ran(&upstreams, path), "{path} ran");
        }
    });
}
