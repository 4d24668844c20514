use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The label of [`Metrics::answers`].
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    /// `done`, `not_run` or `unknown`.
    pub(crate) outcome: String,
    /// The HTTP status.
    pub(crate) status: u32,
}

/// What this daemon counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Final answers to callers.
    pub(crate) answers: Family<AnswerLabels, Counter>,
    /// Tokens relayed to callers.
    pub(crate) tokens: Counter,
    /// Attempts on upstreams that failed.
    pub(crate) failed_attempts: Counter,
    /// Attempts beyond the first.
    pub(crate) retries: Counter,
    /// Requests in progress.
    pub(crate) requests_open: Gauge,
}

impl Metrics {
    /// All metrics at zero.
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
        Self { registry, answers, tokens, failed_attempts, retries, requests_open }
    }

    /// The text that a scraper reads.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
