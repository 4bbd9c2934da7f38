//! Counters of one process, served at `/metrics`.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::{Arc, Mutex, PoisonError};

/// Label of the counters that are split by outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EndLabel {
    /// Outcome, such as `appended` or `refused`.
    pub end: &'static str,
}

/// Counters and gauges of one process.
#[derive(Clone, Default)]
pub struct HostMetrics {
    /// Online requests by outcome at the front end of this host.
    pub requests: Family<EndLabel, Counter>,
    /// Batch items by outcome. No role counts them, so the family has no samples.
    pub items: Family<EndLabel, Counter>,
    /// Appends to the log by outcome.
    pub appends: Family<EndLabel, Counter>,
    /// Bytes appended to the log.
    pub append_bytes: Counter,
    /// Records appended to the log.
    pub append_records: Counter,
    /// Records that copy state forward, or forget it, before the log's retention drops it.
    pub retention_records: Counter,
    /// Messages sent to other hosts.
    pub peer_messages: Counter,
    /// Batch streams cancelled in favour of online requests.
    pub preemptions: Counter,
    /// Attempts that were repeated at another endpoint.
    pub retries: Counter,
    /// Suspicions raised against endpoints.
    pub suspicions: Counter,
    /// Calls of all kinds in progress at the front end of this host.
    pub online_in_progress: Gauge,
    registry: Arc<Mutex<Registry>>,
}

impl HostMetrics {
    /// Creates the metrics and registers all of them.
    ///
    /// ```
    /// let metrics = fulmarswitch::metrics::HostMetrics::new();
    /// metrics.retries.inc();
    /// assert!(metrics.render().contains("fulmarswitch_retries_total 1"));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self::default();
        {
            let mut guard = metrics
                .registry
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let registry = guard.sub_registry_with_prefix("fulmarswitch");
            registry.register(
                "requests",
                "Online requests by end",
                metrics.requests.clone(),
            );
            registry.register("items", "Batch items by end", metrics.items.clone());
            registry.register(
                "appends",
                "Appends to the log by end",
                metrics.appends.clone(),
            );
            registry.register(
                "carried",
                "Records that write state again or forget it",
                metrics.retention_records.clone(),
            );
            registry.register(
                "append_bytes",
                "Bytes appended",
                metrics.append_bytes.clone(),
            );
            registry.register(
                "append_records",
                "Records appended",
                metrics.append_records.clone(),
            );
            registry.register(
                "peer_messages",
                "Messages sent",
                metrics.peer_messages.clone(),
            );
            registry.register(
                "preemptions",
                "Batch streams cancelled",
                metrics.preemptions.clone(),
            );
            registry.register("retries", "Attempts made again", metrics.retries.clone());
            registry.register(
                "suspicions",
                "Endpoints suspected",
                metrics.suspicions.clone(),
            );
            registry.register(
                "online_in_progress",
                "Online requests in progress",
                metrics.online_in_progress.clone(),
            );
        }
        metrics
    }

    /// Increments the counter of `family` for the outcome `end`.
    pub fn count(family: &Family<EndLabel, Counter>, end: &'static str) {
        family.get_or_create(&EndLabel { end }).inc();
    }

    /// Renders the metrics in the text format that Prometheus scrapes.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
