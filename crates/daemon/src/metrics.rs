use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bucket bounds; they include the service level of 0.56 s.
const FIRST_TOKEN_BUCKETS_S: [f64; 9] = [0.05, 0.1, 0.25, 0.56, 1.0, 2.0, 5.0, 10.0, 30.0];
/// Upper bucket bounds; they include the service level of 57 ms.
const TOKEN_GAP_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.025, 0.057, 0.1, 0.25, 1.0, 5.0];

/// The labels of [`Metrics::answers`].
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    /// `done`, `not_run` or `unknown`.
    pub(crate) outcome: String,
    /// The HTTP status.
    pub(crate) status: u32,
}

/// The labels of [`Metrics::control_bytes`] and [`Metrics::control_messages`].
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ControlLabels {
    /// `peers`, `log` or `load`.
    role: &'static str,
    /// `sent` or `received`.
    direction: &'static str,
}

/// The metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Final responses to callers.
    pub(crate) answers: Family<AnswerLabels, Counter>,
    /// Tokens relayed to callers.
    pub(crate) tokens: Counter,
    /// Attempts on upstreams that failed.
    pub(crate) failed_attempts: Counter,
    /// Attempts beyond the first.
    pub(crate) retries: Counter,
    /// Requests in progress.
    pub(crate) requests_open: Gauge,
    /// Requests that had to be queued for an engine.
    pub(crate) requests_held: Counter,
    /// Requests that are queued for an engine now.
    pub(crate) requests_waiting: Gauge,
    /// Requests refused because the engines were overloaded.
    pub(crate) refused_overloaded: Counter,
    control_bytes: Family<ControlLabels, Counter>,
    control_messages: Family<ControlLabels, Counter>,
    /// Time from a request to its first token.
    pub(crate) first_token_seconds: Histogram,
    /// Time between consecutive tokens.
    pub(crate) token_gap_seconds: Histogram,
}

impl Metrics {
    /// Registers all metrics, starting at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("comfreymast");
        let answers = Family::<AnswerLabels, Counter>::default();
        let tokens = Counter::default();
        let failed_attempts = Counter::default();
        let retries = Counter::default();
        let requests_open = Gauge::default();
        registry.register("answers", "Final answers to callers", answers.clone());
        registry.register("tokens", "Tokens relayed to callers", tokens.clone());
        registry.register(
            "failed_attempts",
            "Attempts on upstreams that failed",
            failed_attempts.clone(),
        );
        registry.register("retries", "Attempts beyond the first", retries.clone());
        registry.register("requests_open", "Requests in progress", requests_open.clone());
        let requests_held = Counter::default();
        let requests_waiting = Gauge::default();
        let refused_overloaded = Counter::default();
        registry.register(
            "requests_held",
            "Requests that had to wait for an engine",
            requests_held.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests that wait for an engine now",
            requests_waiting.clone(),
        );
        registry.register(
            "refused_overloaded",
            "Requests refused because the engines were too full",
            refused_overloaded.clone(),
        );
        let first_token_seconds = Histogram::new(FIRST_TOKEN_BUCKETS_S);
        let token_gap_seconds = Histogram::new(TOKEN_GAP_BUCKETS_S);
        registry.register(
            "first_token_seconds",
            "From a request to its first token",
            first_token_seconds.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "From one token to the next",
            token_gap_seconds.clone(),
        );
        let control_bytes = Family::<ControlLabels, Counter>::default();
        let control_messages = Family::<ControlLabels, Counter>::default();
        registry.register(
            "control_bytes",
            "Bytes of messages between daemons, records and load reports",
            control_bytes.clone(),
        );
        registry.register(
            "control_messages",
            "Messages between daemons, reads of the log and load reports",
            control_messages.clone(),
        );
        Self {
            registry,
            control_bytes,
            control_messages,
            answers,
            tokens,
            failed_attempts,
            retries,
            requests_open,
            requests_held,
            requests_waiting,
            refused_overloaded,
            first_token_seconds,
            token_gap_seconds,
        }
    }

    /// Counts a control message that was sent.
    pub(crate) fn control_sent(&self, role: &'static str, bytes: usize) {
        self.control(ControlLabels { role, direction: "sent" }, bytes);
    }

    /// Counts a control message that was received.
    pub(crate) fn control_received(&self, role: &'static str, bytes: usize) {
        self.control(ControlLabels { role, direction: "received" }, bytes);
    }

    fn control(&self, labels: ControlLabels, bytes: usize) {
        self.control_messages.get_or_create(&labels).inc();
        self.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
