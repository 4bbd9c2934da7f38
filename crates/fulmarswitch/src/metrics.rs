//! Counters of one process, served at `/metrics`.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::{Arc, Mutex, PoisonError};

/// Label of a counter with several ends.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EndLabel {
    /// How it ended.
    pub end: &'static str,
}

/// Counters and gauges of one process.
#[derive(Clone, Default)]
pub struct HostMetrics {
    /// Online requests by how they ended at this entry.
    pub requests: Family<EndLabel, Counter>,
    /// Batch items by how they ended at this owner.
    pub items: Family<EndLabel, Counter>,
    /// Appends to the log by how they ended.
    pub appends: Family<EndLabel, Counter>,
    /// Bytes appended to the log.
    pub append_bytes: Counter,
    /// Records appended to the log.
    pub append_records: Counter,
    /// Records that write state again, or forget it, before the log drops it.
    pub carried: Counter,
    /// Messages sent to other hosts.
    pub peer_messages: Counter,
    /// Batch streams cancelled for online work.
    pub preemptions: Counter,
    /// Attempts that were made again elsewhere.
    pub retries: Counter,
    /// Endpoints that were suspected.
    pub suspicions: Counter,
    /// Online requests in progress at this entry.
    pub online_in_progress: Gauge,
    registry: Arc<Mutex<Registry>>,
}

impl HostMetrics {
    /// Creates the metrics, all registered.
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
                metrics.carried.clone(),
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

    /// Counts one end of `family`.
    pub fn count(family: &Family<EndLabel, Counter>, end: &'static str) {
        family.get_or_create(&EndLabel { end }).inc();
    }

    /// Renders the metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
