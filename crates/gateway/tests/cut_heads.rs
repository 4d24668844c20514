//! Tests that an answer whose head broke off never looks like an answer.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_base::EndMark;
use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_gateway::GatewayOptions;
use comfreymast_net::{BodyFraming, Spawner, sleep_ms};
use comfreymast_proof::Link;
use hyper::StatusCode;
use support::{Gateway, TestEnv, generation, read_marked, run_test, wait_for};

/// More than any head of these answers has.
const MAX_HEAD_BYTES: usize = 160;
/// The kinds of requests: unsafe, safe, a stream that runs once and one that may be resumed.
const PATHS: [&str; 4] = ["/plain/x", "/safe/x", "/report/x", "/caption/x"];
const BODY: &str = "id: 1\ndata: x\n\n";
const FRAMINGS: [BodyFraming; 3] =
    [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::ConnectionClose];
const PLAIN: usize = 3;
const ENGINES: usize = 3;

/// Upstreams that cut the heads of their answers at the same place, and a daemon with links to them.
struct Fleet {
    env: TestEnv,
    upstreams: Vec<FramedUpstream>,
    links: Vec<Link>,
    gateway: Gateway,
    lacking_bytes: Arc<AtomicUsize>,
}

impl Fleet {
    async fn new(spawner: &Spawner, framing: BodyFraming, end: AnswerEnd) -> Self {
        let mut env = TestEnv::new(spawner).await;
        env.retry_slack = 100_000.0;
        env.publish(1, |_| ());
        let lacking_bytes = Arc::new(AtomicUsize::new(0));
        let mut upstreams = Vec::new();
        for (service, count) in [("plain", PLAIN), ("engines", ENGINES)] {
            for number in 0..count {
                let lacking_bytes = lacking_bytes.clone();
                let name = format!("{service}-{number}");
                let respond = move |request: &ReceivedRequest| {
                    answer(request, framing, end, lacking_bytes.load(Ordering::Acquire))
                };
                let upstream = FramedUpstream::start(spawner, &name, respond).await;
                upstreams.push(upstream.expect("a port"));
            }
        }
        let links = announce(spawner, &env, &upstreams).await;
        let gateway = env.gateway("d0").await;
        gateway.wait_ready(spawner).await;
        Self { env, upstreams, links, gateway, lacking_bytes }
    }
}

/// Announces links to the upstreams.
async fn announce(spawner: &Spawner, env: &TestEnv, upstreams: &[FramedUpstream]) -> Vec<Link> {
    let mut links = Vec::new();
    for upstream in upstreams {
        let link = Link::start(spawner, upstream.addr).await.expect("a port");
        let (service, _) = upstream.name.split_once('-').expect("a service");
        env.announce_at(&upstream.name, link.addr, service, "ready");
        links.push(link);
    }
    links
}

/// A whole answer, or one whose head lacks its last bytes if its request's identifier asks for that.
fn answer(
    request: &ReceivedRequest,
    framing: BodyFraming,
    end: AnswerEnd,
    lacking_bytes: usize,
) -> WrittenAnswer {
    let is_stream = !request.line.contains("/plain/") && !request.line.contains("/safe/");
    let whole = WrittenAnswer {
        content_type: is_stream.then_some("text/event-stream"),
        body: BODY.into(),
        framing,
        ..WrittenAnswer::default()
    };
    if !request.id().starts_with("cut-") {
        return whole;
    }
    WrittenAnswer { head_lacks_bytes: Some(lacking_bytes), end, ..whole }
}

/// An answer, whether it looks complete, and what arrived of its body.
async fn call(
    spawner: &Spawner,
    gateway: &Gateway,
    path: &str,
    id: &str,
) -> Option<(StatusCode, bool, Vec<u8>)> {
    let (_connection, response) = gateway.try_open(spawner, generation(path, id)).await?;
    let status = response.status();
    let (body, mark) = read_marked(response).await;
    Some((status, mark == EndMark::Framed, body))
}

/// Asks for answers whose heads are cut at each of `places`, counted from their ends. None of them may look complete.
async fn check(
    spawner: &Spawner,
    fleet: &Fleet,
    gateway: &Gateway,
    path: &str,
    places: impl Iterator<Item = usize>,
) {
    for lacking_bytes in places {
        fleet.lacking_bytes.store(lacking_bytes, Ordering::Release);
        // On a kept connection, where there is one.
        wait_for("a whole answer", async || {
            let whole = call(spawner, gateway, path, "whole").await;
            whole.is_some_and(|(status, ..)| status == StatusCode::OK)
        })
        .await;
        let received = call(spawner, gateway, path, &format!("cut-{lacking_bytes}")).await;
        let Some((status, looks_complete, body)) = received else { continue };
        let is_success = status.is_success() && looks_complete;
        assert!(!is_success, "{path}, without {lacking_bytes} bytes: {status} with {body:?}");
    }
}

/// Guards against a success with an empty or short body where only a part of its head has come (MIXED, ORDER).
#[test]
fn an_answer_whose_head_was_cut_is_no_success() {
    run_test(async |spawner| {
        for (number, framing) in FRAMINGS.into_iter().enumerate() {
            for (end, step) in [(AnswerEnd::Close, FRAMINGS.len()), (AnswerEnd::Reset, 11)] {
                let fleet = Fleet::new(&spawner, framing, end).await;
                for path in PATHS {
                    // With the three framings together, each place.
                    let places = (1 + number..MAX_HEAD_BYTES).step_by(step);
                    check(&spawner, &fleet, &fleet.gateway, path, places).await;
                }
            }
        }
    });
}

/// Guards against the same where a peer serves the call (MIXED, ORDER).
#[test]
fn an_answer_whose_head_was_cut_is_no_success_over_a_peer() {
    const HEARTBEATS_MS: u64 = 600;
    const STEP_BYTES: usize = 9;
    run_test(async |spawner| {
        for framing in FRAMINGS {
            let fleet = Fleet::new(&spawner, framing, AnswerEnd::Close).await;
            let mut env = TestEnv::new(&spawner).await;
            env.retry_slack = fleet.env.retry_slack;
            env.publish(1, |_| ());
            let links = announce(&spawner, &env, &fleet.upstreams).await;
            let options = GatewayOptions::default();
            let gateway = env.gateway_at("d1", env.store_addr, options, &[&fleet.gateway]).await;
            gateway.wait_ready(&spawner).await;
            sleep_ms(HEARTBEATS_MS).await;
            links.iter().for_each(Link::close);
            for path in PATHS {
                let places = (1..MAX_HEAD_BYTES).step_by(STEP_BYTES);
                check(&spawner, &fleet, &gateway, path, places).await;
            }
            drop(fleet.links);
        }
    });
}
