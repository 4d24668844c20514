use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use comfreymast_base::Clock;
use comfreymast_decide::send_pacer::{PacerOptions, SendPacer};
use comfreymast_net::{Body, BodyError, Spawner, channel, empty, full, sleep_ms, within};
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prost::Message;

use crate::followed_topic::FollowedTopic;
use crate::topic_message::{CODING, CompressedTopic, parse_after};

/// How many peers get a topic at the same time.
const MAX_PEERS: usize = 3;
/// The share of the VM's link that is used to hand topics on.
const LINK_SHARE: f64 = 0.5;
/// What is sent at once after a pause.
const BURST_BYTES: u64 = 64 * 1024;
const CHUNK_BYTES: usize = 4 * 1024;
/// How long a peer may take for a chunk before it gets no more.
const CHUNK_TIMEOUT_MS: u64 = 2_000;

/// Hands whole topics on to peers that are behind, few at a time and at a bounded rate.
#[derive(Clone, Debug)]
pub(crate) struct TopicServer {
    spawner: Spawner,
    clock: Clock,
    serving: Arc<AtomicUsize>,
    /// `None` if the rate of the link is not known.
    pacer: Option<Arc<Mutex<SendPacer>>>,
}

/// A peer that is being served, until it is dropped.
#[derive(Debug)]
struct Turn(Arc<AtomicUsize>);

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl TopicServer {
    /// A server behind a link of `link_bytes_per_s`, if that is known.
    pub(crate) fn new(spawner: Spawner, clock: Clock, link_bytes_per_s: Option<u64>) -> Self {
        let pacer = link_bytes_per_s.map(|link_bytes_per_s| {
            let bytes_per_s = (link_bytes_per_s as f64 * LINK_SHARE) as u64;
            let options = PacerOptions { bytes_per_s, burst_bytes: BURST_BYTES };
            Arc::new(Mutex::new(SendPacer::new(options)))
        });
        Self { spawner, clock, serving: Arc::default(), pacer }
    }

    /// Answers a peer that asks for a topic: 204 if it has that already, 503 if enough others are being
    /// served. Daemons of earlier releases would take either for an empty topic, so they get theirs at
    /// once.
    pub(crate) fn answer<B>(&self, topic: &FollowedTopic, request: &Request<B>) -> Response<Body> {
        if !takes_compressed(request.headers()) {
            return Response::new(full(topic.snapshot().encode_to_vec()));
        }
        let after = request.uri().query().and_then(parse_after);
        if after.is_some_and(|after| topic.position_if_loaded() <= after) {
            return without_body(StatusCode::NO_CONTENT);
        }
        let Some(turn) = self.take_turn() else {
            return without_body(StatusCode::SERVICE_UNAVAILABLE);
        };
        let CompressedTopic(bytes) = topic.compressed();
        let (chunks, body) = channel(1);
        self.spawner.detach(self.clone().send(bytes, chunks, turn));
        let mut response = Response::new(body);
        response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(CODING));
        response
    }

    fn take_turn(&self) -> Option<Turn> {
        let before = self.serving.fetch_add(1, Ordering::AcqRel);
        let turn = Turn(self.serving.clone());
        (before < MAX_PEERS).then_some(turn)
    }

    async fn send(
        self,
        mut bytes: Bytes,
        chunks: async_channel::Sender<Result<Bytes, BodyError>>,
        _turn: Turn,
    ) {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            sleep_ms(self.delay_ms(chunk.len())).await;
            let sent = within(CHUNK_TIMEOUT_MS, chunks.send(Ok(chunk))).await;
            if !matches!(sent, Ok(Ok(()))) {
                // Fails if the peer has left; otherwise it must not take what it has for the whole.
                let _ = chunks.force_send(Err(BodyError::Aborted));
                return;
            }
        }
    }

    fn delay_ms(&self, bytes: usize) -> u64 {
        let Some(pacer) = &self.pacer else { return 0 };
        let mut pacer = pacer.lock().unwrap_or_else(PoisonError::into_inner);
        pacer.delay_ms(bytes as u64, self.clock.now_ms())
    }
}

fn without_body(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

fn takes_compressed(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING).is_some_and(|coding| coding.as_bytes() == CODING.as_bytes())
}
