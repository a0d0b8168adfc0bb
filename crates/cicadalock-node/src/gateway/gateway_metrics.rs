use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Counters and latency histograms of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    /// Answers to callers, by status and by reason or form.
    pub(super) answers: Family<AnswerLabels, Counter>,
    /// Requests whose connection ended before they had a response.
    pub(super) unanswered: Counter,
    /// Attempts at endpoints, by how the attempt ended.
    pub(super) attempts: Family<EndLabels, Counter>,
    /// Retries of requests.
    pub(super) repeats: Counter,
    /// Silences of attempts beside which another endpoint was to be tried, by their outcome.
    pub(super) silences: Family<EndLabels, Counter>,
    /// Connections opened to endpoints.
    pub(super) connects: Counter,
    /// Reads of the store, by result.
    pub(super) reads: Family<EndLabels, Counter>,
    /// Reads of all pages of the store.
    pub(super) listings: Counter,
    /// Times that the store was found to have come back from an older copy.
    pub(super) restores: Counter,
    /// 1 while the store shows an older configuration than the one in force.
    pub(super) is_config_behind: Gauge,
    /// Changes of endpoints' entries, by the new state.
    pub(super) endpoint_changes: Family<StateLabels, Counter>,
    /// Parts of prompts that are refused now, with the number of crashes.
    pub(super) refused_parts: Family<PartLabels, Gauge>,
    /// Requests that are waiting or running in the gateway.
    pub(super) held: Gauge,
    /// Callers' connections that the gateway closed, by the clock that closed them.
    pub(super) closes: Family<ClockLabels, Counter>,
    /// Log lines that were dropped instead of written.
    pub(super) dropped_lines: Gauge,
    /// Delay of the runtime's timers, in seconds.
    pub(super) lag: Histogram,
    /// Time that requests waited in the gateway before an attempt started, in seconds.
    pub(super) wait: Histogram,
    /// Time from arrival to the first event of a stream or to a whole answer, in seconds.
    pub(super) first: Histogram,
    /// Time from arrival to the end of the answer, in seconds.
    pub(super) whole: Histogram,
}

/// Labels of answers to callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AnswerLabels {
    pub(super) status: u16,
    pub(super) reason: String,
}

/// Label for how an attempt or a read of the store ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EndLabels {
    pub(super) end: String,
}

/// Labels of a part of prompts that crashes endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct PartLabels {
    pub(super) service: String,
    pub(super) part: String,
}

/// Label for the clock that closed a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ClockLabels {
    pub(super) clock: &'static str,
}

/// Label for the new state of an endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StateLabels {
    pub(super) state: &'static str,
}

impl GatewayMetrics {
    pub(super) fn new() -> Self {
        // 1 ms to 16 s, doubling.
        let latency = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let mut metrics = Self {
            registry: Registry::with_prefix("cicadalock"),
            answers: Family::default(),
            unanswered: Counter::default(),
            attempts: Family::default(),
            repeats: Counter::default(),
            silences: Family::default(),
            connects: Counter::default(),
            reads: Family::default(),
            listings: Counter::default(),
            restores: Counter::default(),
            is_config_behind: Gauge::default(),
            endpoint_changes: Family::default(),
            refused_parts: Family::default(),
            held: Gauge::default(),
            closes: Family::default(),
            dropped_lines: Gauge::default(),
            lag: latency(),
            wait: latency(),
            first: latency(),
            whole: latency(),
        };
        let registry = &mut metrics.registry;
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register(
            "unanswered",
            "Requests whose connection ended before they had a response",
            metrics.unanswered.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at endpoints",
            metrics.attempts.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent once more",
            metrics.repeats.clone(),
        );
        registry.register(
            "silences",
            "Silent attempts, by what followed",
            metrics.silences.clone(),
        );
        registry.register(
            "connects",
            "Connections opened to endpoints",
            metrics.connects.clone(),
        );
        registry.register("store_reads", "Reads of the store", metrics.reads.clone());
        registry.register(
            "store_listings",
            "Reads of all pages of the store",
            metrics.listings.clone(),
        );
        registry.register(
            "store_restores",
            "Returns of the store from an older copy",
            metrics.restores.clone(),
        );
        registry.register(
            "config_behind",
            "Whether the store shows an older configuration than the one in force",
            metrics.is_config_behind.clone(),
        );
        registry.register(
            "endpoint_changes",
            "Changes of endpoints' entries",
            metrics.endpoint_changes.clone(),
        );
        registry.register(
            "refused_part_crashes",
            "Crashes by parts of prompts that are refused",
            metrics.refused_parts.clone(),
        );
        registry.register("held", "Requests in the gateway", metrics.held.clone());
        registry.register(
            "closes",
            "Callers' connections closed by a clock",
            metrics.closes.clone(),
        );
        registry.register(
            "dropped_lines",
            "Log lines not written",
            metrics.dropped_lines.clone(),
        );
        registry.register("lag_seconds", "Delay of the runtime", metrics.lag.clone());
        registry.register(
            "wait_seconds",
            "Wait before the start",
            metrics.wait.clone(),
        );
        registry.register(
            "first_seconds",
            "Time to head or first event",
            metrics.first.clone(),
        );
        registry.register(
            "whole_seconds",
            "Time to the end of the answer",
            metrics.whole.clone(),
        );
        metrics
    }

    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl EndLabels {
    pub(super) fn new(end: &str) -> Self {
        Self {
            end: end.to_owned(),
        }
    }
}
