//! Counters and latency histograms of the process.

mod accounts;

use std::rc::Rc;

pub(crate) use accounts::AccountMetrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of the request counter: the kind of the call and the outcome of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// Labels of the counter of closed connections: the listener and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClosedLabels {
    pub(crate) listener: &'static str,
    pub(crate) reason: &'static str,
}

/// Label of the histogram of first bytes: the kind of the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    pub(crate) kind: &'static str,
}

/// Label of the counter of avoided servers: whether the prompt is long or short.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PromptLabel {
    pub(crate) prompt: &'static str,
}

/// Label of the gauge of models without a copy. The configuration bounds the number of services.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    pub(crate) service: String,
}

/// Metrics of the process, with the registry that encodes them.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    pub(crate) first_byte: Family<KindLabel, Histogram>,
    pub(crate) reading_servers_avoided: Family<PromptLabel, Counter>,
    pub(crate) long_prompts: Counter,
    pub(crate) sends: Counter,
    pub(crate) retries: Counter,
    pub(crate) orders: Counter,
    pub(crate) reports: Counter,
    pub(crate) loads: Counter,
    pub(crate) store_calls: Counter,
    pub(crate) store_losses: Counter,
    pub(crate) oversized_responses: Counter,
    pub(crate) bodies_without_memory: Counter,
    pub(crate) server_crashes: Counter,
    pub(crate) server_pauses: Counter,
    pub(crate) leaving_servers: Counter,
    pub(crate) connections_closed: Family<ClosedLabels, Counter>,
    pub(crate) caller_connections: Gauge,
    pub(crate) caller_memory: Gauge,
    pub(crate) relayed_connections: Gauge,
    pub(crate) configuration_version: Gauge,
    pub(crate) accounts: Rc<AccountMetrics>,
    pub(crate) cut_off_data_centres: Gauge,
    pub(crate) models_without_copy: Family<ServiceLabel, Gauge>,
    log_lines_dropped: Gauge,
    dropped_lines: Box<dyn Fn() -> usize>,
}

impl Metrics {
    pub(crate) fn new(dropped_lines: impl Fn() -> usize + 'static) -> Self {
        let mut registry = Registry::with_prefix("sequoiawell");
        let requests = Family::<OutcomeLabels, Counter>::default();
        // Buckets from 1 ms to about 33 s, which covers the longest timeout of callers.
        let new_histogram: fn() -> Histogram =
            || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let first_byte = Family::<KindLabel, Histogram>::new_with_constructor(new_histogram);
        registry.register("requests", "Requests of callers, by outcome", requests.clone());
        registry.register(
            "first_byte_seconds",
            "Time from the arrival of a request to the first byte of its answer",
            first_byte.clone(),
        );
        let connections_closed = Family::<ClosedLabels, Counter>::default();
        registry.register(
            "connections_closed",
            "Connections that were closed to stay within the limits, by listener and reason",
            connections_closed.clone(),
        );
        let reading_servers_avoided = Family::<PromptLabel, Counter>::default();
        registry.register(
            "reading_servers_avoided",
            "Requests sent past a server because it had long prompts to read",
            reading_servers_avoided.clone(),
        );
        let models_without_copy = Family::<ServiceLabel, Gauge>::default();
        registry.register(
            "models_without_copy",
            "Models that only the weight store has, at the instance that gives the orders",
            models_without_copy.clone(),
        );
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let long_prompts = counter("long_prompts", "Long prompts sent to engines");
        let sends = counter("sends", "Requests sent to backend servers");
        let retries = counter("repeats", "Requests sent once more");
        let orders = counter("orders", "Orders sent to engines");
        let reports = counter("reports", "Reports asked of engines");
        let loads = counter("loads", "Loads of models that engines accepted");
        let store_calls = counter("store_calls", "Calls to the store");
        let store_losses = counter("store_losses", "Times that the store was lost");
        let oversized_responses = counter(
            "oversized_responses",
            "Responses of servers that were cut off because their head, body or an event was too long",
        );
        let bodies_without_memory = counter(
            "bodies_without_memory",
            "Bodies of requests and responses for which the others left no memory",
        );
        let server_crashes = counter(
            "server_crashes",
            "Requests without an answer at servers that ended under them",
        );
        let server_pauses = counter("server_pauses", "Pauses that servers asked for");
        let leaving_servers =
            counter("leaving_servers", "Servers that said in a response that they are leaving");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let caller_connections = gauge("caller_connections", "Open connections of callers");
        let caller_memory =
            gauge("caller_memory_bytes", "Memory that connections of callers count for");
        let relayed_connections = gauge(
            "relayed_connections",
            "Open connections of another instance that are passed on to the store",
        );
        let configuration_version = gauge("configuration_version", "Configuration in force");
        let cut_off_data_centres =
            gauge("cut_off_data_centres", "Data centres with servers that cannot be reached");
        let log_lines_dropped =
            gauge("log_lines_dropped", "Log lines dropped because nobody read standard output");
        let accounts = Rc::new(AccountMetrics::new(&mut registry));
        Self {
            registry,
            accounts,
            log_lines_dropped,
            dropped_lines: Box::new(dropped_lines),
            requests,
            first_byte,
            reading_servers_avoided,
            long_prompts,
            sends,
            retries,
            orders,
            reports,
            loads,
            store_calls,
            store_losses,
            oversized_responses,
            bodies_without_memory,
            server_crashes,
            server_pauses,
            leaving_servers,
            connections_closed,
            caller_connections,
            caller_memory,
            relayed_connections,
            configuration_version,
            cut_off_data_centres,
            models_without_copy,
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        self.log_lines_dropped.set((self.dropped_lines)() as i64);
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            tracing::error!(%error, "metrics: not encoded");
        }
        text
    }
}
