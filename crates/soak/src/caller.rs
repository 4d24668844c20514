use std::sync::Arc;

use async_channel::Receiver;
use bytes::Bytes;
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{Body, OwnedConnection, ReceivedBody, sleep_ms, within};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::header::CONNECTION;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::call::{Call, CallAnswer, CallEnd, CallOutcome, Kind};
use crate::daemon::Endpoint;
use crate::site::{HOST, KEY, Site, TIMEOUT_MS, TOKENS};

const MAX_PAUSE_MS: u64 = 60;
const GIVE_UP_PROBABILITY: f64 = 0.06;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Exceeds every guaranteed limit, so a call that takes this long is a violation.
pub(crate) const CALL_TIMEOUT_MS: u64 = TIMEOUT_MS + 5_000;

/// Sends requests to one daemon until `stop` closes. Reuses the connection for as long as the
/// daemon keeps it open.
pub(crate) async fn run_caller(
    site: Arc<Site>,
    daemon: usize,
    number: usize,
    seed: u64,
    stop: Receiver<()>,
) {
    let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut idle: Option<(OwnedConnection, Endpoint)> = None;
    let mut calls = 0_u32;
    while !stop.is_closed() {
        sleep_ms(random.random_range(0..MAX_PAUSE_MS)).await;
        let (mut connection, endpoint) = match idle.take() {
            Some(idle) => idle,
            None => match open(&site, daemon).await {
                Some(opened) => opened,
                None => continue,
            },
        };
        calls += 1;
        let call = Call {
            id: format!("{number:x}-{calls:x}"),
            kind: random_kind(&mut random),
            body: Bytes::from(format!("body of {number} {calls}")),
            daemon,
            incarnation: endpoint.incarnation,
            sent_ms: site.recorder.now_ms(),
            outcome: None,
        };
        let gives_up = random.random_bool(GIVE_UP_PROBABILITY);
        let timeout_ms = if gives_up { random.random_range(1..400) } else { CALL_TIMEOUT_MS };
        let (id, request) = (call.id.clone(), build_request(&call));
        site.recorder.call_sent(call);
        let end = match within(timeout_ms, exchange(&mut connection, request)).await {
            Ok(end) => end,
            Err(_) => CallEnd::GaveUp,
        };
        let is_kept_open = matches!(&end, CallEnd::Answered(answer) if keeps_open(answer));
        site.recorder.call_ended(&id, CallOutcome { ended_ms: site.recorder.now_ms(), end });
        if is_kept_open && connection.is_reusable() {
            idle = Some((connection, endpoint));
        }
    }
}

async fn open(site: &Site, daemon: usize) -> Option<(OwnedConnection, Endpoint)> {
    let endpoint = site.daemons[daemon].endpoint()?;
    let connection =
        OwnedConnection::open(&site.spawner, endpoint.addr, CONNECT_TIMEOUT_MS).await.ok()?;
    Some((connection, endpoint))
}

fn random_kind(random: &mut StdRng) -> Kind {
    match random.random_range(0..10) {
        0..4 => Kind::Plain,
        4..7 => Kind::Safe,
        7..9 => Kind::Report,
        _ => Kind::Caption,
    }
}

/// The HTTP request of a call.
pub(crate) fn build_request(call: &Call) -> Request<Body> {
    let path = format!("/{}/x?id={}", call.kind.path(), call.id);
    CallerRequest {
        id: &call.id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: call.kind.is_stream().then_some(TOKENS),
        prompt_parts: None,
        resumes: None,
        forged_organisation: Some("not-mine"),
    }
    .request("POST", &path, call.body.clone())
}

async fn exchange(connection: &mut OwnedConnection, request: Request<Body>) -> CallEnd {
    let Ok(response) = connection.send(request).await else { return CallEnd::Broken };
    let (head, incoming) = response.into_parts();
    let mut body = Vec::new();
    let is_whole = read_body(incoming, &mut body).await;
    CallEnd::Answered(CallAnswer { status: head.status, headers: head.headers, body, is_whole })
}

/// Reads a body to its end; false when it ended with an error.
async fn read_body(mut incoming: ReceivedBody, body: &mut Vec<u8>) -> bool {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return false };
        if let Ok(bytes) = frame.into_data() {
            body.extend_from_slice(&bytes);
        }
    }
    true
}

/// True when the daemon keeps the connection open after this answer.
fn keeps_open(answer: &CallAnswer) -> bool {
    let closes = answer.headers.get(CONNECTION).is_some_and(|value| value == "close");
    answer.is_whole && !closes
}
