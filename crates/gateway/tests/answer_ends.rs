//! Tests that an answer that broke off never looks complete to its caller, however it was framed and
//! wherever it was cut, and that a whole answer always does.

mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_net::{Body, BodyFraming, Spawner};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, Version};
use support::{Gateway, TestEnv, call, generation, run_test, wait_for};

const FRAMINGS: [(Version, BodyFraming); 5] = [
    (Version::HTTP_11, BodyFraming::Length),
    (Version::HTTP_11, BodyFraming::Chunked),
    (Version::HTTP_11, BodyFraming::ConnectionClose),
    (Version::HTTP_10, BodyFraming::Length),
    (Version::HTTP_10, BodyFraming::ConnectionClose),
];
const EVENTS: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
const PLAIN_BODY: &str = "a plain answer\n\nof several lines\n";
const EVENT_STREAM: Option<&str> = Some("text/event-stream");
/// Large enough for one retry of each case although the daemon has just started.
const RETRY_SLACK: f64 = 100_000.0;

/// One way in which an answer is framed, cut and ended.
#[derive(Clone, Copy, Debug)]
struct Case {
    version: Version,
    framing: BodyFraming,
    cut_at_bytes: usize,
    end: AnswerEnd,
}

impl Case {
    /// Every framing and end at each byte of `body`.
    fn all(body: &[u8]) -> Vec<Self> {
        let mut cases = Vec::new();
        for (version, framing) in FRAMINGS {
            for end in [AnswerEnd::Complete, AnswerEnd::Close, AnswerEnd::Reset] {
                for cut_at_bytes in 0..=body.len() {
                    // Whether a reset overtakes the last bytes of a whole answer is open.
                    if end != AnswerEnd::Reset || cut_at_bytes < body.len() {
                        cases.push(Self { version, framing, cut_at_bytes, end });
                    }
                }
            }
        }
        cases
    }

    /// True if the framing shows that the answer is whole.
    fn is_framed_whole(&self, body: &[u8]) -> bool {
        match (self.end, self.framing) {
            (AnswerEnd::Reset | AnswerEnd::Crash | AnswerEnd::CrashLate, _) => false,
            (AnswerEnd::Complete, _) | (_, BodyFraming::ConnectionClose) => true,
            (AnswerEnd::Close, BodyFraming::Length) => self.cut_at_bytes == body.len(),
            (AnswerEnd::Close, BodyFraming::Chunked) => false,
        }
    }

    fn answer(&self, body: &'static str) -> WrittenAnswer {
        WrittenAnswer {
            version: self.version,
            framing: self.framing,
            body: body.into(),
            cut_at_bytes: Some(self.cut_at_bytes),
            end: self.end,
            ..WrittenAnswer::default()
        }
    }
}

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    status: StatusCode,
    body: Bytes,
    looks_complete: bool,
}

impl Received {
    fn whole(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into(), looks_complete: true }
    }
}

fn stream_body() -> Bytes {
    EVENTS.concat().into()
}

/// The events that a cut at this byte leaves whole.
fn complete_events(cut_at_bytes: usize) -> Bytes {
    let count = cut_at_bytes / EVENTS[0].len();
    EVENTS[..count].concat().into()
}

fn is_between_events(cut_at_bytes: usize) -> bool {
    complete_events(cut_at_bytes).len() == cut_at_bytes
}

/// The case that an identifier names, as the tests choose them.
fn case_of(request: &ReceivedRequest, cases: &[Case]) -> Option<Case> {
    cases.get(request.id().parse::<usize>().ok()?).copied()
}

/// A gateway and upstreams of `service` that answer the case that a request's identifier names.
async fn start(
    spawner: &Spawner,
    service: &str,
    upstreams: usize,
    respond: Arc<dyn Fn(&ReceivedRequest) -> WrittenAnswer + Send + Sync>,
) -> (TestEnv, Gateway, Vec<FramedUpstream>) {
    let mut env = TestEnv::new(spawner).await;
    env.retry_slack = RETRY_SLACK;
    env.publish(1, |_| ());
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    let mut started = Vec::new();
    for number in 0..upstreams {
        let name = format!("u{number}");
        let respond = respond.clone();
        let answer = move |request: &ReceivedRequest| respond(request);
        let upstream = FramedUpstream::start(spawner, &name, answer).await.expect("a port");
        env.announce_at(&name, upstream.addr, service, "ready");
        started.push(upstream);
    }
    let (method, path) =
        if service == "plain" { ("GET", "/safe/x") } else { ("POST", "/caption/x") };
    for upstream in &started {
        wait_for("upstream", async || {
            receive(spawner, &gateway, call(method, path, "probe")).await;
            !upstream.requests().is_empty()
        })
        .await;
    }
    (env, gateway, started)
}

/// Sends a request and reads its answer as far as it comes.
async fn receive(spawner: &Spawner, gateway: &Gateway, call: Request<Body>) -> Received {
    let Some((_connection, response)) = gateway.try_open(spawner, call).await else {
        return Received { status: StatusCode::OK, body: Bytes::new(), looks_complete: false };
    };
    let status = response.status();
    let mut incoming = response.into_body();
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => return Received { status, body: body.into(), looks_complete: false },
        }
    }
    Received { status, body: body.into(), looks_complete: true }
}

fn arrivals(upstreams: &[FramedUpstream], id: &str) -> usize {
    let requests = upstreams.iter().flat_map(FramedUpstream::requests);
    requests.filter(|request| request.id() == id).count()
}

/// Sends a stream whose lines end with `line_end`, cut in every way, and returns the cases in which
/// its caller got something wrong.
async fn wrong_streams(spawner: &Spawner, line_end: &str) -> Vec<(Case, Received)> {
    let events: Vec<_> = EVENTS.map(|event| event.replace('\n', line_end)).into();
    let body: &'static str = events.concat().leak();
    let whole_events = |cut_at_bytes: usize| &body[..cut_at_bytes - cut_at_bytes % events[0].len()];
    let cases = Case::all(body.as_bytes());
    let known = cases.clone();
    let respond = move |request: &ReceivedRequest| match case_of(request, &known) {
        Some(case) => WrittenAnswer { content_type: EVENT_STREAM, ..case.answer(body) },
        None => WrittenAnswer::default(),
    };
    let (_env, gateway, upstreams) = start(spawner, "engines", 1, Arc::new(respond)).await;
    let mut wrong = Vec::new();
    for (id, case) in cases.into_iter().enumerate() {
        let id = id.to_string();
        let received = receive(spawner, &gateway, generation("/report/x", &id)).await;
        let whole = whole_events(case.cut_at_bytes);
        // A line feed that is missing after a carriage return leaves the event whole.
        let rest = &body[whole.len()..case.cut_at_bytes];
        let is_between_events = rest.is_empty() || (line_end == "\r\n" && rest.ends_with("\r\n\r"));
        let is_right = if case.is_framed_whole(body.as_bytes()) && is_between_events {
            received == Received::whole(StatusCode::OK, &body[..case.cut_at_bytes])
        } else {
            let is_prefix = body.as_bytes().starts_with(&received.body);
            let has_part = received.body.len() > whole.len() && !is_between_events;
            !received.looks_complete && is_prefix && !has_part
        };
        if !is_right || arrivals(&upstreams, &id) != 1 {
            wrong.push((case, received));
        }
    }
    wrong
}

#[test]
fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    run_test(async |spawner| {
        for line_end in ["\n", "\r\n", "\r"] {
            let wrong = wrong_streams(&spawner, line_end).await;
            assert!(wrong.is_empty(), "{line_end:?}, {} cases: {wrong:#?}", wrong.len());
        }
    });
}

#[test]
fn a_stream_of_a_generation_that_may_have_been_stopped_never_looks_complete() {
    /// Longer than a move is tried.
    const PAUSE_MS: u64 = 3_500;
    run_test(async |spawner| {
        let respond = |request: &ReceivedRequest| {
            let is_last = request.body.windows(11).any(|part| part == b"\"last\":true");
            let answer = WrittenAnswer { framing: BodyFraming::Length, ..WrittenAnswer::default() };
            match request.line.contains("/-/kv-move") {
                true if is_last => WrittenAnswer { end: AnswerEnd::Reset, ..answer },
                true => WrittenAnswer { body: r#"{"handle":"h","createdRev":1}"#.into(), ..answer },
                false if request.id() == "id-1" => WrittenAnswer {
                    framing: BodyFraming::ConnectionClose,
                    body: EVENTS[0].into(),
                    pause_ms: PAUSE_MS,
                    ..answer
                },
                false => answer,
            }
        };
        let (env, gateway, upstreams) = start(&spawner, "engines", 2, Arc::new(respond)).await;
        let leaving = async {
            let runs = |upstream: &&FramedUpstream| arrivals(&[(*upstream).clone()], "id-1") > 0;
            wait_for("run", async || upstreams.iter().any(|upstream| runs(&upstream))).await;
            let engine = upstreams.iter().find(runs).expect("an engine");
            env.announce_at(&engine.name, engine.addr, "engines", "draining");
        };
        let received = receive(&spawner, &gateway, generation("/report/x", "id-1"));
        let (received, ()) = futures_lite::future::zip(received, leaving).await;
        assert_eq!(&received.body[..], EVENTS[0].as_bytes());
        assert!(!received.looks_complete, "{received:?}");
    });
}

#[test]
fn a_status_that_means_not_run_is_not_passed_on_for_a_stream_that_may_have_run() {
    run_test(async |spawner| {
        let respond = |request: &ReceivedRequest| {
            let is_probe = request.id() == "probe";
            let status = if is_probe { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            WrittenAnswer { status, framing: BodyFraming::Length, ..WrittenAnswer::default() }
        };
        let (_env, gateway, upstreams) = start(&spawner, "engines", 2, Arc::new(respond)).await;
        for (path, expected_arrivals) in [("/report/x", 1), ("/caption/x", 2)] {
            let received = receive(&spawner, &gateway, generation(path, path)).await;
            assert_eq!(received, Received::whole(StatusCode::BAD_GATEWAY, ""));
            assert_eq!(arrivals(&upstreams, path), expected_arrivals, "{path}");
        }
    });
}

#[test]
fn a_resumable_stream_that_ends_inside_an_event_is_resumed() {
    run_test(async |spawner| {
        let cases = Case::all(&stream_body());
        let known = cases.clone();
        let respond = move |request: &ReceivedRequest| {
            let last_event = request.header("last-event-id").and_then(|last| last.parse().ok());
            let rest = EVENTS[last_event.unwrap_or(0)..].concat();
            let whole = WrittenAnswer {
                content_type: EVENT_STREAM,
                body: rest.into(),
                ..WrittenAnswer::default()
            };
            match case_of(request, &known) {
                Some(case) if last_event.is_none() && request.header("x-cut").is_some() => {
                    WrittenAnswer {
                        content_type: EVENT_STREAM,
                        ..case.answer(EVENTS.concat().leak())
                    }
                }
                _ => whole,
            }
        };
        let (_env, gateway, _upstreams) = start(&spawner, "engines", 2, Arc::new(respond)).await;
        let mut wrong = Vec::new();
        for (id, case) in cases.iter().enumerate() {
            // A cut before the first event is resumed like a new request, so that would be cut too.
            if case.cut_at_bytes < EVENTS[0].len() {
                continue;
            }
            let mut call = generation("/caption/x", &id.to_string());
            call.headers_mut().insert("x-cut", "1".parse().expect("a value"));
            let received = receive(&spawner, &gateway, call).await;
            let is_whole =
                case.is_framed_whole(&stream_body()) && is_between_events(case.cut_at_bytes);
            let expected =
                if is_whole { complete_events(case.cut_at_bytes) } else { stream_body() };
            if received != Received::whole(StatusCode::OK, expected) {
                wrong.push((case, received));
            }
        }
        assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    });
}

#[test]
fn a_plain_answer_that_broke_off_never_looks_complete() {
    run_test(async |spawner| {
        let cases = Case::all(PLAIN_BODY.as_bytes());
        let known = cases.clone();
        let respond = move |request: &ReceivedRequest| match case_of(request, &known) {
            Some(case) => case.answer(PLAIN_BODY),
            None => WrittenAnswer::default(),
        };
        let (_env, gateway, upstreams) = start(&spawner, "plain", 1, Arc::new(respond)).await;
        for (id, case) in cases.iter().enumerate() {
            let id = id.to_string();
            let received = receive(&spawner, &gateway, call("POST", "/plain/x", &id)).await;
            let sent = &PLAIN_BODY[..case.cut_at_bytes];
            let expected = if case.is_framed_whole(PLAIN_BODY.as_bytes()) {
                Received::whole(StatusCode::OK, sent)
            } else {
                Received::whole(StatusCode::BAD_GATEWAY, "")
            };
            assert_eq!(received, expected, "{case:?}");
            assert_eq!(arrivals(&upstreams, &id), 1);
        }
    });
}

#[test]
fn an_error_answer_of_a_streaming_route_is_never_joined_with_a_stream() {
    run_test(async |spawner| {
        let cases = Case::all(PLAIN_BODY.as_bytes());
        let known = cases.clone();
        let failed = Mutex::new(HashSet::new());
        let respond = move |request: &ReceivedRequest| match case_of(request, &known) {
            Some(case) if failed.lock().expect("a lock").insert(request.id().to_owned()) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                WrittenAnswer { status, ..case.answer(PLAIN_BODY) }
            }
            _ => WrittenAnswer { body: stream_body(), ..WrittenAnswer::default() },
        };
        let (_env, gateway, _upstreams) = start(&spawner, "engines", 2, Arc::new(respond)).await;
        let mut wrong = Vec::new();
        for (id, case) in cases.iter().enumerate() {
            let sent = &PLAIN_BODY[..case.cut_at_bytes];
            let call = generation("/caption/x", &id.to_string());
            let received = receive(&spawner, &gateway, call).await;
            let is_right = if case.is_framed_whole(PLAIN_BODY.as_bytes()) {
                received == Received::whole(StatusCode::INTERNAL_SERVER_ERROR, sent)
            } else {
                received.status != StatusCode::INTERNAL_SERVER_ERROR || !received.looks_complete
            };
            if !is_right {
                wrong.push((case, received));
            }
        }
        assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    });
}

/// Asserts that an unframed answer whose upstream ends with `crash` does not look complete.
async fn assert_crash_is_seen(
    spawner: &Spawner,
    service: &str,
    body: &'static str,
    crash: AnswerEnd,
) {
    let respond = move |request: &ReceivedRequest| {
        let end = if request.id() == "probe" { AnswerEnd::Complete } else { crash };
        let framing = BodyFraming::ConnectionClose;
        WrittenAnswer { framing, body: body.into(), end, ..WrittenAnswer::default() }
    };
    let (_env, gateway, _upstreams) = start(spawner, service, 1, Arc::new(respond)).await;
    let request = if service == "plain" {
        call("POST", "/plain/x", "id-1")
    } else {
        generation("/report/x", "id-1")
    };
    let received = receive(spawner, &gateway, request).await;
    let is_refused = received == Received::whole(StatusCode::BAD_GATEWAY, "");
    assert!(!received.looks_complete || is_refused, "{received:?}");
}

#[test]
fn an_unframed_answer_of_an_upstream_that_ended_never_looks_complete() {
    run_test(async |spawner| {
        assert_crash_is_seen(&spawner, "engines", EVENTS[0], AnswerEnd::Crash).await;
        assert_crash_is_seen(&spawner, "plain", PLAIN_BODY, AnswerEnd::Crash).await;
    });
}

#[test]
fn an_unframed_stream_of_an_upstream_whose_port_closes_late_never_looks_complete() {
    run_test(async |spawner| {
        assert_crash_is_seen(&spawner, "engines", EVENTS[0], AnswerEnd::CrashLate).await;
    });
}

#[test]
fn a_stream_for_a_caller_without_chunks_is_rejected_at_once() {
    run_test(async |spawner| {
        let respond = |_: &ReceivedRequest| WrittenAnswer::default();
        let (_env, gateway, upstreams) = start(&spawner, "engines", 1, Arc::new(respond)).await;
        let mut old_call = generation("/report/x", "id-1");
        *old_call.version_mut() = Version::HTTP_10;
        let received = receive(&spawner, &gateway, old_call).await;
        assert_eq!(received, Received::whole(StatusCode::HTTP_VERSION_NOT_SUPPORTED, ""));
        assert_eq!(arrivals(&upstreams, "id-1"), 0);
    });
}
