use std::sync::Arc;

use async_channel::Receiver;
use bytes::Bytes;
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{Body, OwnedConnection, sleep_ms, within};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::call::{Call, CallAnswer, CallEnd, CallOutcome, Kind};
use crate::daemon::Door;
use crate::site::{HOST, KEY, Site, TIMEOUT_MS, TOKENS};

const MOST_PAUSE_MS: u64 = 60;
const GIVE_UP_SHARE: f64 = 0.06;
const OPEN_LIMIT_MS: u64 = 1_000;
/// Longer than any promise: a call that takes this long is a finding.
pub(crate) const WAIT_LIMIT_MS: u64 = TIMEOUT_MS + 5_000;

/// Makes calls on one daemon until `stop` closes, on a connection that it keeps for as long as the
/// daemon does.
pub(crate) async fn call_on(
    site: Arc<Site>,
    daemon: usize,
    number: usize,
    seed: u64,
    stop: Receiver<()>,
) {
    let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut kept: Option<(OwnedConnection, Door)> = None;
    let mut calls = 0_u32;
    while !stop.is_closed() {
        sleep_ms(random.random_range(0..MOST_PAUSE_MS)).await;
        let (mut connection, door) = match kept.take() {
            Some(kept) => kept,
            None => match open(&site, daemon).await {
                Some(opened) => opened,
                None => continue,
            },
        };
        calls += 1;
        let call = Call {
            id: format!("{number:x}c{calls:x}"),
            kind: draw_kind(&mut random),
            body: Bytes::from(format!("body of {number} {calls}")),
            daemon,
            incarnation: door.incarnation,
            sent_ms: site.record.now_ms(),
            outcome: None,
        };
        let gives_up = random.random_bool(GIVE_UP_SHARE);
        let wait_ms = if gives_up { random.random_range(1..400) } else { WAIT_LIMIT_MS };
        let (id, asked) = (call.id.clone(), asked(&call));
        site.record.sent(call);
        let end = match within(wait_ms, exchange(&mut connection, asked)).await {
            Ok(end) => end,
            Err(_) => CallEnd::GaveUp,
        };
        let may_keep = matches!(&end, CallEnd::Answered(answer) if may_keep(answer));
        site.record.ended(&id, CallOutcome { ended_ms: site.record.now_ms(), end });
        if may_keep && connection.is_reusable() {
            kept = Some((connection, door));
        }
    }
}

async fn open(site: &Site, daemon: usize) -> Option<(OwnedConnection, Door)> {
    let door = site.daemons[daemon].door()?;
    let connection = OwnedConnection::open(&site.spawner, door.addr, OPEN_LIMIT_MS).await.ok()?;
    Some((connection, door))
}

fn draw_kind(random: &mut StdRng) -> Kind {
    match random.random_range(0..10) {
        0..4 => Kind::Plain,
        4..7 => Kind::Safe,
        7..9 => Kind::Report,
        _ => Kind::Caption,
    }
}

/// The request as it is sent.
pub(crate) fn asked(call: &Call) -> Request<Body> {
    let path = format!("/{}/x?id={}", call.kind.path(), call.id);
    CallerRequest {
        id: &call.id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: call.kind.is_stream().then_some(TOKENS),
        forged_organisation: Some("not-mine"),
    }
    .request("POST", &path, call.body.clone())
}

async fn exchange(connection: &mut OwnedConnection, asked: Request<Body>) -> CallEnd {
    let Ok(response) = connection.send(asked).await else { return CallEnd::Broken };
    let (head, incoming) = response.into_parts();
    let mut body = Vec::new();
    let is_whole = read(incoming, &mut body).await;
    CallEnd::Answered(CallAnswer { status: head.status, headers: head.headers, body, is_whole })
}

/// Reads a body; true when it looks complete.
async fn read(mut incoming: Incoming, body: &mut Vec<u8>) -> bool {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return false };
        if let Ok(bytes) = frame.into_data() {
            body.extend_from_slice(&bytes);
        }
    }
    true
}

fn may_keep(answer: &CallAnswer) -> bool {
    let closes = answer.headers.get(CONNECTION).is_some_and(|value| value == "close");
    answer.is_whole && !closes
}
