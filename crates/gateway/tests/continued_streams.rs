//! Tests that a stream which broke off and goes on at another upstream has nothing in it but its own events, and
//! ends as complete only if it is.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_base::EndMark;
use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_net::{BodyFraming, Spawner};
use hyper::StatusCode;
use support::{Gateway, TestEnv, generation, read_marked, run_test};

const FIRST: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const HALF_AN_EVENT: &str = "id: 3\nda";
const REST: &str = "id: 3\ndata: c\n\n";
const ERROR_TEXT: &str =
    "HTTP/1.1 500 Internal Server Error\r\nServer: e\r\n\r\nsomething failed\n\n";
const EVENT_STREAM: Option<&str> = Some("text/event-stream");

type Respond = Arc<dyn Fn(&ReceivedRequest) -> WrittenAnswer + Send + Sync>;

/// A gateway and engines, the first answer of which breaks off; the second one is `next`.
async fn start(
    spawner: &Spawner,
    broken_body: String,
    next: WrittenAnswer,
) -> (TestEnv, Gateway, Vec<FramedUpstream>) {
    let mut env = TestEnv::new(spawner).await;
    env.retry_slack = 1_000.0;
    env.publish(1, |_| ());
    let count = Arc::new(AtomicU64::new(0));
    let respond: Respond = Arc::new(move |request| {
        if !request.line.contains("/caption/") {
            return WrittenAnswer::default();
        }
        if count.fetch_add(1, Ordering::AcqRel) > 0 {
            return next.clone();
        }
        WrittenAnswer {
            content_type: EVENT_STREAM,
            body: broken_body.clone().into(),
            end: AnswerEnd::Close,
            ..WrittenAnswer::default()
        }
    });
    let mut engines = Vec::new();
    for name in ["e0", "e1"] {
        let respond = respond.clone();
        let engine = FramedUpstream::start(spawner, name, move |request| respond(request)).await;
        let engine = engine.expect("a port");
        env.announce_at(name, engine.addr, "engines", "ready");
        engines.push(engine);
    }
    let gateway = env.gateway("d0").await;
    gateway.wait_ready(spawner).await;
    (env, gateway, engines)
}

/// What a caller gets of a stream, and whether it looks complete.
async fn stream(spawner: &Spawner, broken_body: String, next: WrittenAnswer) -> (String, bool) {
    let (_env, gateway, engines) = start(spawner, broken_body, next).await;
    let (_connection, response) = gateway.open(spawner, generation("/caption/a", "id")).await;
    assert_eq!(response.status(), StatusCode::OK);
    let (bytes, mark) = read_marked(response).await;
    let asked = engines.iter().map(|engine| engine.requests().len()).sum::<usize>();
    assert!(asked >= 2, "the stream did not go on");
    let text = String::from_utf8(bytes).expect("text");
    (text, mark == EndMark::Framed)
}

/// Every way in which the next upstream may answer with an error.
fn errors() -> Vec<WrittenAnswer> {
    let mut answers = Vec::new();
    let statuses = [200, 204, 206, 302, 400, 404, 408, 429, 500, 502, 503];
    let types = [None, EVENT_STREAM, Some("text/html"), Some("application/json")];
    for framing in [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::ConnectionClose] {
        for status in statuses {
            for content_type in types {
                answers.push(WrittenAnswer {
                    status: StatusCode::from_u16(status).expect("a status"),
                    content_type,
                    framing,
                    body: ERROR_TEXT.into(),
                    ..WrittenAnswer::default()
                });
            }
        }
    }
    answers
}

#[test]
fn an_error_of_the_next_upstream_is_no_part_of_the_stream_and_no_complete_end() {
    run_test(async |spawner| {
        for next in errors() {
            // A response without content has no body by its status.
            let is_empty = next.status == StatusCode::NO_CONTENT;
            for broken in [FIRST.to_owned(), format!("{FIRST}{HALF_AN_EVENT}")] {
                let had_begun = broken.len() > FIRST.len();
                let case = format!("{} {:?} {:?}", next.status, next.content_type, next.framing);
                let (text, looks_complete) = stream(&spawner, broken, next.clone()).await;
                assert_eq!(text, FIRST, "{case}");
                assert!(!looks_complete || (is_empty && !had_begun), "{case}");
            }
        }
    });
}

/// Issue 49.
#[test]
fn a_continuation_without_the_event_that_was_under_way_is_no_complete_end() {
    run_test(async |spawner| {
        for framing in [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::ConnectionClose] {
            let next =
                WrittenAnswer { content_type: EVENT_STREAM, framing, ..WrittenAnswer::default() };
            let broken = format!("{FIRST}{HALF_AN_EVENT}");
            let (text, looks_complete) = stream(&spawner, broken, next).await;
            assert_eq!(text, FIRST);
            assert!(!looks_complete, "{framing}");
        }
    });
}

#[test]
fn a_continuation_with_the_event_that_was_under_way_is_complete() {
    run_test(async |spawner| {
        let next = WrittenAnswer {
            content_type: EVENT_STREAM,
            body: REST.into(),
            ..WrittenAnswer::default()
        };
        let broken = format!("{FIRST}{HALF_AN_EVENT}");
        let received = stream(&spawner, broken, next).await;
        assert_eq!(received, (format!("{FIRST}{REST}"), true));
    });
}

#[test]
fn comments_in_a_continuation_and_events_without_ids_after_its_first_one_are_passed_on() {
    run_test(async |spawner| {
        let rest = format!(": still there\n\n{REST}data: last\n\n");
        let next = WrittenAnswer {
            content_type: EVENT_STREAM,
            body: rest.clone().into(),
            ..WrittenAnswer::default()
        };
        let received = stream(&spawner, FIRST.to_owned(), next).await;
        assert_eq!(received, (format!("{FIRST}{rest}"), true));
    });
}
