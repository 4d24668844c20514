use std::sync::atomic::Ordering;

use comfreymast_net::{Body, full};
use hyper::Response;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::json_log::DROPPED_LINES;

const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 40.0];

/// How requests of one service ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// The service.
    pub(crate) service: String,
    /// The status code of the answer, or the error that ended the request.
    pub(crate) outcome: String,
}

/// How a move of a generation ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MoveLabels {
    /// `moved`, or `stays`.
    pub(crate) outcome: &'static str,
}

/// What became of a call that was forwarded to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ForwardLabels {
    /// `answered`, `not taken` or `lost`.
    pub(crate) outcome: &'static str,
}

/// Why a stream was not taken up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OriginLabels {
    /// `no reply`, `several services`, `several versions` or `earlier versions unknown`.
    pub(crate) reason: &'static str,
}

/// What came of asking a peer for a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct FetchLabels {
    /// Where peers serve the topic.
    pub(crate) topic: &'static str,
    /// `applied`, `busy`, `not ahead` or `failed`.
    pub(crate) outcome: &'static str,
}

/// One of the topics that peers hand on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TopicLabels {
    /// Where peers serve it.
    pub(crate) topic: &'static str,
}

/// The class of a stream that waited for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WaitLabels {
    /// Its priority.
    pub(crate) priority: u32,
    /// `small`, or `large`.
    pub(crate) size: &'static str,
    /// `started`, or `rejected`.
    pub(crate) outcome: &'static str,
}

/// How an answer broke off.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BreakLabels {
    /// How its end was to be marked.
    pub(crate) framing: String,
    /// What showed that it is not whole.
    pub(crate) reason: String,
}

/// The metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests, by service and outcome.
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    /// Sends to upstreams beyond the first of a request.
    pub(crate) retries: Counter,
    /// Moves of generations.
    pub(crate) moves: Family<MoveLabels, Counter>,
    /// The time to the complete answer, or to the first event of a stream.
    pub(crate) latency_s: Histogram,
    /// The pause of a stream while its generation moves.
    pub(crate) move_pause_s: Histogram,
    /// The time that generations waited for an engine.
    pub(crate) wait_s: Histogram,
    /// The same by class, with those that were rejected after it.
    pub(crate) class_wait_s: Family<WaitLabels, Histogram, fn() -> Histogram>,
    /// Answers of upstreams that broke off, by framing and reason.
    pub(crate) broken_answers: Family<BreakLabels, Counter>,
    /// Requests during which their upstream ended.
    pub(crate) upstream_ends: Counter,
    /// Streams that were not taken up, as what began them is not known.
    pub(crate) unknown_origins: Family<OriginLabels, Counter>,
    /// Sends that were withheld, as their request may crash upstreams.
    pub(crate) quarantine_refusals: Counter,
    /// Times that an upstream was passed over, as its named limit was used up.
    pub(crate) limit_skips: Counter,
    /// Calls that were forwarded to peers, by what became of them.
    pub(crate) forwards: Family<ForwardLabels, Counter>,
    /// Times that the links to the upstreams of a service were lost.
    pub(crate) link_losses: Counter,
    /// Returns of the store from an older copy.
    pub(crate) store_returns: Counter,
    /// The era of the store since its last return, 0 before the first.
    pub(crate) store_era: Gauge,
    /// Whole topics asked of peers.
    pub(crate) topic_fetches: Family<FetchLabels, Counter>,
    /// Bytes of whole topics that peers sent.
    pub(crate) topic_fetched_bytes: Counter,
    /// How long a peer has been ahead of this daemon.
    pub(crate) topic_behind_ms: Family<TopicLabels, Gauge>,
    /// Log lines that were dropped because the log queue was full.
    dropped_lines: Counter,
}

impl Metrics {
    /// All metrics at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("comfreymast");
        let requests = Family::default();
        registry.register("gateway_requests", "Requests by service and outcome", requests.clone());
        let retries = Counter::default();
        registry.register(
            "gateway_repeats",
            "Sends beyond the first of a request",
            retries.clone(),
        );
        let moves = Family::default();
        registry.register("gateway_moves", "Moves of generations by outcome", moves.clone());
        let latency_s = histogram(
            &mut registry,
            "gateway_latency_seconds",
            "Time to the answer or first event",
        );
        let move_pause_s = histogram(
            &mut registry,
            "gateway_move_pause_seconds",
            "Pause of a stream during a move",
        );
        let wait_s = histogram(&mut registry, "gateway_wait_seconds", "Wait for an engine");
        let new_histogram: fn() -> Histogram = || Histogram::new(LATENCY_BOUNDS_S);
        let class_wait_s = Family::new_with_constructor(new_histogram);
        registry.register(
            "gateway_class_wait_seconds",
            "Wait for an engine by priority, size and outcome",
            class_wait_s.clone(),
        );
        let broken_answers = Family::default();
        registry.register(
            "gateway_broken_answers",
            "Answers of upstreams that broke off, by framing and reason",
            broken_answers.clone(),
        );
        let upstream_ends = Counter::default();
        registry.register(
            "gateway_upstream_ends",
            "Requests during which their upstream ended",
            upstream_ends.clone(),
        );
        let quarantine_refusals = Counter::default();
        registry.register(
            "gateway_quarantine_refusals",
            "Sends withheld, as their request may crash upstreams",
            quarantine_refusals.clone(),
        );
        let unknown_origins = Family::default();
        registry.register(
            "gateway_unknown_origins",
            "Streams that were not taken up, as the service or software version that began them is not known",
            unknown_origins.clone(),
        );
        let limit_skips = Counter::default();
        registry.register(
            "gateway_limit_skips",
            "Times that an upstream was passed over, as its named limit was used up",
            limit_skips.clone(),
        );
        let forwards = Family::default();
        registry.register(
            "gateway_forwards",
            "Calls forwarded to peers, by what became of them",
            forwards.clone(),
        );
        let link_losses = Counter::default();
        registry.register(
            "gateway_link_losses",
            "Times that the links to the upstreams of a service were lost",
            link_losses.clone(),
        );
        let store_returns = Counter::default();
        registry.register(
            "gateway_store_returns",
            "Returns of the store from an older copy",
            store_returns.clone(),
        );
        let store_era = Gauge::default();
        registry.register(
            "gateway_store_era",
            "Era of the store since its last return from an older copy",
            store_era.clone(),
        );
        let topic_fetches = Family::default();
        registry.register(
            "gateway_topic_fetches",
            "Whole topics asked of peers, by topic and outcome",
            topic_fetches.clone(),
        );
        let topic_fetched_bytes = Counter::default();
        registry.register(
            "gateway_topic_fetched_bytes",
            "Bytes of whole topics that peers sent",
            topic_fetched_bytes.clone(),
        );
        let topic_behind_ms = Family::default();
        registry.register(
            "gateway_topic_behind_ms",
            "How long a peer has been ahead on a topic, 0 if none is",
            topic_behind_ms.clone(),
        );
        let dropped_lines = Counter::default();
        registry.register("log_lines_dropped", "Log lines dropped", dropped_lines.clone());
        Self {
            registry,
            requests,
            retries,
            moves,
            latency_s,
            move_pause_s,
            wait_s,
            class_wait_s,
            broken_answers,
            upstream_ends,
            quarantine_refusals,
            unknown_origins,
            limit_skips,
            forwards,
            link_losses,
            store_returns,
            store_era,
            topic_fetches,
            topic_fetched_bytes,
            topic_behind_ms,
            dropped_lines,
        }
    }

    /// The metrics in the text format of Prometheus.
    pub(crate) fn response(&self) -> Response<Body> {
        let dropped = DROPPED_LINES.load(Ordering::Acquire);
        self.dropped_lines.inc_by(dropped.saturating_sub(self.dropped_lines.get()));
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!(target: "comfreymast", error:%; "metrics cannot be encoded");
        }
        Response::new(full(text))
    }
}

fn histogram(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let histogram = Histogram::new(LATENCY_BOUNDS_S);
    registry.register(name, help, histogram.clone());
    histogram
}
