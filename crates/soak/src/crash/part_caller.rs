use std::sync::{Arc, Mutex, PoisonError};

use async_channel::Receiver;
use bytes::Bytes;
use comfreymast_fakes::platform_documents::{CallerRequest, event_ids};
use comfreymast_net::{OwnedConnection, sleep_ms, within};
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::bad_part_report::SoundCall;
use super::repeated_request::{CULPRIT, SOUND};
use crate::Kind;
use crate::site::{EVENTS, HOST, KEY, Site, TIMEOUT_MS, TOKENS};

/// The first part of all prompts.
const COMMON_PART: &str = "c0";
const MAX_PAUSE_MS: u64 = 400;

/// The identifier of a part that crashes upstreams.
pub(super) fn bad_part(number: usize) -> String {
    format!("bad{number:x}")
}

/// Sends requests with a bad part until `stop` closes, each through another daemon. No two are alike:
/// body and last part are their own.
pub(super) async fn send_bad_requests(
    site: Arc<Site>,
    number: usize,
    kind: Kind,
    interval_ms: u64,
    stop: Receiver<()>,
) {
    let mut attempt = 0;
    while !stop.is_closed() {
        let daemon = (attempt + number) % site.daemons.len();
        attempt += 1;
        let id = format!("{CULPRIT}{number}a{attempt}");
        let parts =
            format!("{COMMON_PART}:79,{}:300,e{number:04x}{attempt:08x}:20", bad_part(number));
        let sent_site = site.clone();
        site.spawner.detach(async move {
            // An attempt without an answer has no effect here: upstreams record what they run.
            let _ = within(TIMEOUT_MS, send(&sent_site, daemon, &id, kind, &parts)).await;
        });
        sleep_ms(interval_ms).await;
    }
}

/// Sends sound requests until `stop` closes, each through a random daemon. They share path, key and
/// first part with the bad ones.
pub(super) async fn send_sound_requests(
    site: Arc<Site>,
    number: usize,
    kind: Kind,
    calls: Arc<Mutex<Vec<SoundCall>>>,
    stop: Receiver<()>,
) {
    let mut random = StdRng::seed_from_u64(number as u64);
    let mut attempt = 0;
    while !stop.is_closed() {
        sleep_ms(random.random_range(0..MAX_PAUSE_MS)).await;
        attempt += 1;
        let daemon = random.random_range(0..site.daemons.len());
        let id = format!("{SOUND}{number}a{attempt}");
        let parts = format!("{COMMON_PART}:79,f{number:04x}{attempt:08x}:20");
        let sent_unix_ms = site.recorder.now_ms();
        let answer = within(TIMEOUT_MS, send(&site, daemon, &id, kind, &parts)).await;
        let events = answer.ok().flatten().unwrap_or_default();
        let call = SoundCall {
            sent_unix_ms,
            has_begun: !events.is_empty(),
            is_whole: events.len() as u64 == EVENTS,
        };
        calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}

/// Sends one request and returns the events of its answer, as far as they came.
async fn send(site: &Site, daemon: usize, id: &str, kind: Kind, parts: &str) -> Option<Vec<u64>> {
    let addr = site.daemons[daemon].endpoint()?.addr;
    let mut connection = OwnedConnection::open(&site.spawner, addr, TIMEOUT_MS).await.ok()?;
    let request = CallerRequest {
        id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: Some(TOKENS),
        prompt_parts: Some(parts),
        resumes: None,
        forged_organisation: None,
    }
    .request("POST", &format!("/{}/parts", kind.path()), Bytes::from(format!("body of {id}")));
    let mut answer = connection.send(request).await.ok()?.into_body();
    let mut body = Vec::new();
    while let Some(Ok(frame)) = answer.frame().await {
        if let Ok(bytes) = frame.into_data() {
            body.extend_from_slice(&bytes);
        }
    }
    Some(event_ids(&body))
}
