//! Counters, gauges and histograms of a host, in the text format of Prometheus.

use crate::node::SwitchNode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Bounds of the histograms' buckets in seconds: around the users' latency targets of 0.3 to 0.8 s.
const BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.5, 5.0];

/// Label of a count by outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabel {
    outcome: &'static str,
}

type OutcomeCounts = Family<OutcomeLabel, Counter>;

/// Metrics of a host.
pub struct SwitchMetrics {
    registry: Registry,
    requests: OutcomeCounts,
    attempts: OutcomeCounts,
    jobs: OutcomeCounts,
    items: OutcomeCounts,
    log_calls: OutcomeCounts,
    first_byte: Histogram,
    request_time: Histogram,
    beliefs: BeliefGauges,
}

/// What the host believes, as of the moment of reading.
#[derive(Default)]
struct BeliefGauges {
    members: Gauge,
    endpoints: Gauge,
    config_version: Gauge,
    jobs_open: Gauge,
    items_running: Gauge,
    online_running: Gauge,
    log_silence: Gauge,
}

impl fmt::Debug for SwitchMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SwitchMetrics")
            .finish_non_exhaustive()
    }
}

impl Default for SwitchMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("fulmarswitch"),
            requests: Family::default(),
            attempts: Family::default(),
            jobs: Family::default(),
            items: Family::default(),
            log_calls: Family::default(),
            first_byte: Histogram::new(BUCKETS),
            request_time: Histogram::new(BUCKETS),
            beliefs: BeliefGauges::default(),
        };
        metrics.register();
        metrics
    }
}

impl SwitchMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counts = [
            ("requests", "Online requests by outcome", &self.requests),
            (
                "attempts",
                "Failed sends to endpoints by outcome",
                &self.attempts,
            ),
            ("jobs", "Submissions of jobs by outcome", &self.jobs),
            ("items", "Runs of batch items by outcome", &self.items),
            (
                "log_calls",
                "Appends and reads of the log by outcome",
                &self.log_calls,
            ),
        ];
        for (name, help, counts) in counts {
            registry.register(name, help, counts.clone());
        }
        let times = [
            (
                "first_byte",
                "Time to the first byte of an answer",
                &self.first_byte,
            ),
            (
                "request",
                "Time to the end of an answer",
                &self.request_time,
            ),
        ];
        for (name, help, times) in times {
            registry.register_with_unit(name, help, Unit::Seconds, times.clone());
        }
        let beliefs = &self.beliefs;
        let gauges = [
            ("members", "Other hosts heard lately", &beliefs.members),
            ("endpoints", "Endpoints listed", &beliefs.endpoints),
            (
                "config_version",
                "Version of the configuration in force",
                &beliefs.config_version,
            ),
            ("jobs_open", "Jobs with items to run", &beliefs.jobs_open),
            (
                "items_running",
                "Batch items in progress here",
                &beliefs.items_running,
            ),
            (
                "online_running",
                "Online requests in progress here",
                &beliefs.online_running,
            ),
            (
                "log_silence_ms",
                "Age of the jobs' last read",
                &beliefs.log_silence,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    pub(crate) fn count_request(&self, outcome: &'static str, took: Duration) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        self.request_time.observe(took.as_secs_f64());
    }

    pub(crate) fn note_first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }

    pub(crate) fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_job(&self, outcome: &'static str) {
        self.jobs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_item(&self, outcome: &'static str) {
        self.items.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_log_call(&self, outcome: &'static str) {
        self.log_calls
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }
}

impl SwitchNode {
    /// Writes all metrics as text.
    ///
    /// # Errors
    /// Returns the formatter's error.
    pub fn write_metrics(&self) -> Result<String, fmt::Error> {
        self.read_beliefs();
        let mut text = String::new();
        encode(&mut text, &self.metrics.registry)?;
        Ok(text)
    }

    fn read_beliefs(&self) {
        let now = Instant::now();
        let beliefs = &self.metrics.beliefs;
        let state = self.lock();
        let counts = [
            (&beliefs.members, state.members.live(now).count()),
            (&beliefs.endpoints, state.endpoints.len()),
            (&beliefs.jobs_open, state.ledger.open_jobs().count()),
            (&beliefs.items_running, state.running.len()),
            (&beliefs.online_running, state.online),
        ];
        for (gauge, count) in counts {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        // Before the first configuration the version reads 0, which no configuration has.
        let version = state.routes.as_ref().map_or(0, |routes| routes.version);
        beliefs
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        drop(state);
        let synced = self.synced.borrow().unwrap_or(self.started);
        let silence = now.duration_since(synced).as_millis();
        beliefs
            .log_silence
            .set(i64::try_from(silence).unwrap_or(i64::MAX));
    }
}
