//! Counters, gauges and histograms of a host, in the Prometheus text format.

use crate::backend::{BodyFraming, ReadSize};
use crate::node::SwitchNode;
use crate::workspace::counts::CapCounts;
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

/// Upper bounds of the histogram buckets in seconds, densest around the users' latency targets of 0.3 to 0.8 s.
const BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.5, 5.0];

/// Label set of the counters by outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabel {
    outcome: &'static str,
}

/// Label set of the bodies of endpoints.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct BodyLabel {
    framing: &'static str,
    within_event: &'static str,
}

/// Label set of the requests of workspaces.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct WorkspaceLabel {
    workspace: String,
    outcome: &'static str,
}

/// Label set of the open items.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StatusLabel {
    status: &'static str,
}

type OutcomeCounts = Family<OutcomeLabel, Counter>;

/// All metrics of a host.
pub struct SwitchMetrics {
    registry: Registry,
    requests: OutcomeCounts,
    attempts: OutcomeCounts,
    refused_keys: OutcomeCounts,
    jobs: OutcomeCounts,
    items: OutcomeCounts,
    resumed_streams: OutcomeCounts,
    log_calls: OutcomeCounts,
    caller_connections: OutcomeCounts,
    incomplete_answers: Counter,
    bytes: ByteMetrics,
    bodies: Family<BodyLabel, Counter>,
    leaving_endpoints: Counter,
    limited_responses: Counter,
    share_rejections: Counter,
    endpoint_crashes: Counter,
    contained_panics: Counter,
    quarantined_requests: Counter,
    passed_requests: Counter,
    first_byte: Histogram,
    request_time: Histogram,
    ledger_age: Histogram,
    job_read_time: Histogram,
    job_records: Counter,
    job_bytes: Counter,
    cap_requests: Family<WorkspaceLabel, Gauge>,
    state_gauges: StateGauges,
}

/// Metrics of the bytes that others make the host hold.
#[derive(Debug, Default)]
struct ByteMetrics {
    held: Gauge,
    refusals: OutcomeCounts,
}

impl ByteMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "held_bytes",
            "Bytes that callers and other hosts make the host hold",
            self.held.clone(),
        );
        registry.register(
            "byte_refusals",
            "Requests refused and connections closed for the bytes that they hold",
            self.refusals.clone(),
        );
    }
}

/// Gauges of the host's state, updated when the metrics are read.
#[derive(Default)]
struct StateGauges {
    members: Gauge,
    endpoints: Gauge,
    deferred_removals: Gauge,
    listing_silence: Gauge,
    config_version: Gauge,
    stream_origins: Gauge,
    quarantines: Gauge,
    cut_off: Gauge,
    jobs_open: Gauge,
    items_running: Gauge,
    open_items: Family<StatusLabel, Gauge>,
    longest_item_wait: Gauge,
    online_running: Gauge,
    log_silence: Gauge,
    overdue: Gauge,
    held_workspaces: Gauge,
    usual_first_byte: Gauge,
    mean_run: Gauge,
}

impl StateGauges {
    fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("members", "Other hosts heard lately", &self.members),
            (
                "cut_off",
                "1 while no endpoint can be reached, 0 otherwise",
                &self.cut_off,
            ),
            ("endpoints", "Endpoints listed", &self.endpoints),
            (
                "endpoints_held_back",
                "Endpoints in use whose listing was removed",
                &self.deferred_removals,
            ),
            (
                "listing_silence_ms",
                "Age of the endpoint listings' last read",
                &self.listing_silence,
            ),
            (
                "config_version",
                "Version of the configuration in force",
                &self.config_version,
            ),
            (
                "stream_origins",
                "Streams of which this host knows the software version that began them",
                &self.stream_origins,
            ),
            (
                "quarantines",
                "Sets of parts of prompts whose requests are rejected, since they crash endpoints",
                &self.quarantines,
            ),
            ("jobs_open", "Jobs with items to run", &self.jobs_open),
            (
                "items_running",
                "Batch items in progress here",
                &self.items_running,
            ),
            (
                "longest_item_wait_ms",
                "Longest time for which an open item that this host is to run has waited",
                &self.longest_item_wait,
            ),
            (
                "online_running",
                "Online requests in progress here",
                &self.online_running,
            ),
            (
                "log_silence_ms",
                "Age of the jobs' last read",
                &self.log_silence,
            ),
            (
                "online_overdue",
                "Online requests that wait for a slot, here and at hosts that are heard",
                &self.overdue,
            ),
            (
                "workspaces_held",
                "Workspaces that this host holds to their share of slots",
                &self.held_workspaces,
            ),
            (
                "usual_first_byte_ms",
                "Time to the first byte of a request that gets a slot at once",
                &self.usual_first_byte,
            ),
            (
                "mean_run_ms",
                "Time for which an online request holds a slot",
                &self.mean_run,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "open_items",
            "Open items of jobs, by whether they run here or why they do not",
            self.open_items.clone(),
        );
    }
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
            refused_keys: Family::default(),
            jobs: Family::default(),
            items: Family::default(),
            resumed_streams: Family::default(),
            log_calls: Family::default(),
            caller_connections: Family::default(),
            incomplete_answers: Counter::default(),
            bytes: ByteMetrics::default(),
            bodies: Family::default(),
            leaving_endpoints: Counter::default(),
            limited_responses: Counter::default(),
            share_rejections: Counter::default(),
            endpoint_crashes: Counter::default(),
            contained_panics: Counter::default(),
            quarantined_requests: Counter::default(),
            passed_requests: Counter::default(),
            first_byte: Histogram::new(BUCKETS),
            request_time: Histogram::new(BUCKETS),
            ledger_age: Histogram::new(BUCKETS),
            job_read_time: Histogram::new(BUCKETS),
            job_records: Counter::default(),
            job_bytes: Counter::default(),
            cap_requests: Family::default(),
            state_gauges: StateGauges::default(),
        };
        metrics.register();
        metrics.register_shares();
        metrics.registry.register(
            "cap_requests",
            "Requests of the workspaces with a cap that had the latest requests here, by decision",
            metrics.cap_requests.clone(),
        );
        metrics.bytes.register(&mut metrics.registry);
        metrics
    }
}

impl SwitchMetrics {
    /// Registers the counters by outcome.
    fn register_outcomes(&mut self) {
        let registry = &mut self.registry;
        let counts = [
            ("requests", "Online requests by outcome", &self.requests),
            (
                "attempts",
                "Failed sends to endpoints by outcome",
                &self.attempts,
            ),
            (
                "refused_keys",
                "Requests of callers without a key of a workspace, by outcome",
                &self.refused_keys,
            ),
            ("jobs", "Submissions of jobs by outcome", &self.jobs),
            ("items", "Runs of batch items by outcome", &self.items),
            (
                "resumed_streams",
                "Streams to be resumed, by whether their software version was found",
                &self.resumed_streams,
            ),
            (
                "log_calls",
                "Appends and reads of the log by outcome",
                &self.log_calls,
            ),
            (
                "caller_connections",
                "Connections of callers that ended, by outcome",
                &self.caller_connections,
            ),
        ];
        for (name, help, counts) in counts {
            registry.register(name, help, counts.clone());
        }
    }

    fn register(&mut self) {
        self.register_outcomes();
        let registry = &mut self.registry;
        registry.register(
            "answers_not_completed",
            "Requests of callers that ended without a complete answer",
            self.incomplete_answers.clone(),
        );
        registry.register(
            "leaving_endpoints",
            "Endpoints that said in a response that they leave",
            self.leaving_endpoints.clone(),
        );
        registry.register(
            "limited_responses",
            "Responses in which an endpoint names a limit of requests a second",
            self.limited_responses.clone(),
        );
        registry.register(
            "endpoint_crashes",
            "Endpoints that crashed with requests of this host",
            self.endpoint_crashes.clone(),
        );
        registry.register(
            "contained_panics",
            "Panics on data from outside, which was left out, and in runs of items",
            self.contained_panics.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Times that a request or an item was not sent, since endpoints crash under it",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "passed_requests",
            "Attempts that were passed on to another host, since this one is cut off from the endpoints",
            self.passed_requests.clone(),
        );
        registry.register(
            "endpoint_bodies",
            "Ends of the bodies of online responses, by framing and by whether they ended within an event",
            self.bodies.clone(),
        );
        registry.register(
            "job_records_read",
            "Job records read from the log, tombstones included",
            self.job_records.clone(),
        );
        registry.register(
            "job_bytes_read",
            "Bytes of the job records read from the log",
            self.job_bytes.clone(),
        );
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
            (
                "ledger_age",
                "Age of the job records when a caller that reads results is answered",
                &self.ledger_age,
            ),
            (
                "job_read",
                "Duration of a read of the job records",
                &self.job_read_time,
            ),
        ];
        for (name, help, times) in times {
            registry.register_with_unit(name, help, Unit::Seconds, times.clone());
        }
        self.state_gauges.register(registry);
    }

    fn register_shares(&mut self) {
        self.registry.register(
            "share_rejections",
            "Requests that this host rejected since their workspaces have had their share",
            self.share_rejections.clone(),
        );
    }

    pub(crate) fn count_request(&self, outcome: &'static str, elapsed: Duration) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        self.request_time.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_body(&self, framing: BodyFraming, within_event: bool) {
        let label = BodyLabel {
            framing: framing.as_str(),
            within_event: if within_event { "true" } else { "false" },
        };
        self.bodies.get_or_create(&label).inc();
    }

    pub(crate) fn count_leaving_endpoint(&self) {
        self.leaving_endpoints.inc();
    }

    pub(crate) fn count_limited_response(&self) {
        self.limited_responses.inc();
    }

    pub(crate) fn count_share_rejections(&self, count: u64) {
        self.share_rejections.inc_by(count);
    }

    pub(crate) fn count_contained_panic(&self) {
        self.contained_panics.inc();
    }

    pub(crate) fn count_endpoint_crash(&self) {
        self.endpoint_crashes.inc();
    }

    pub(crate) fn count_quarantined_request(&self) {
        self.quarantined_requests.inc();
    }

    pub(crate) fn count_passed_request(&self) {
        self.passed_requests.inc();
    }

    pub(crate) fn count_job(&self, outcome: &'static str) {
        self.jobs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_item(&self, outcome: &'static str) {
        self.items.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn count_resumed_stream(&self, outcome: &'static str) {
        self.resumed_streams
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    pub(crate) fn record_ledger_age(&self, age: Duration) {
        self.ledger_age.observe(age.as_secs_f64());
    }

    pub(crate) fn record_job_read(&self, elapsed: Duration, size: ReadSize) {
        self.job_read_time.observe(elapsed.as_secs_f64());
        self.job_records.inc_by(size.records as u64);
        self.job_bytes.inc_by(size.bytes as u64);
    }

    fn set_cap_requests(&self, counts: &CapCounts) {
        // Workspaces that are not counted any more are left out.
        self.cap_requests.clear();
        for count in counts.iter() {
            for (outcome, requests) in [("granted", count.granted), ("refused", count.refused)] {
                let workspace = count.workspace.to_string();
                let label = WorkspaceLabel { workspace, outcome };
                let requests = i64::try_from(requests).unwrap_or(i64::MAX);
                self.cap_requests.get_or_create(&label).set(requests);
            }
        }
    }

    pub(crate) fn count_log_call(&self, outcome: &'static str) {
        self.log_calls
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }
}

impl SwitchNode {
    /// Counts a connection of a caller that ended.
    pub fn count_caller_connection(&self, outcome: &'static str) {
        let connections = &self.metrics.caller_connections;
        connections.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request of a caller that has no key of a workspace.
    pub fn count_refused_key(&self, outcome: &'static str) {
        let keys = &self.metrics.refused_keys;
        keys.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request of a caller that ended without a complete answer.
    pub fn count_incomplete_answer(&self) {
        self.metrics.incomplete_answers.inc();
    }

    /// Counts a request that was refused, or a connection that was closed, for the bytes that it holds.
    pub fn count_byte_refusal(&self, outcome: &'static str) {
        let refusals = &self.metrics.bytes.refusals;
        refusals.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records the bytes that callers and other hosts make the host hold.
    pub fn record_held_bytes(&self, bytes: usize) {
        let held_bytes = &self.metrics.bytes.held;
        held_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    /// Returns the formatter's error.
    pub fn write_metrics(&self) -> Result<String, fmt::Error> {
        self.update_state_gauges();
        let mut text = String::new();
        encode(&mut text, &self.metrics.registry)?;
        Ok(text)
    }

    fn update_state_gauges(&self) {
        let now = Instant::now();
        let state_gauges = &self.metrics.state_gauges;
        let state = self.lock();
        self.metrics.set_cap_requests(&state.caps.counts);
        let times = state.load.response_times();
        let listing_silence = state.endpoints.read_age(now);
        for (status, count) in state.item_waits.counts().iter() {
            let status = status.as_str();
            let gauge = state_gauges
                .open_items
                .get_or_create(&StatusLabel { status });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let times = [
            (
                &state_gauges.longest_item_wait,
                state.item_waits.longest(now),
            ),
            (&state_gauges.usual_first_byte, times.first_byte()),
            (&state_gauges.mean_run, times.run()),
            (
                &state_gauges.listing_silence,
                listing_silence.unwrap_or_else(|| now.duration_since(self.started)),
            ),
        ];
        for (gauge, time) in times {
            gauge.set(i64::try_from(time.as_millis()).unwrap_or(i64::MAX));
        }
        state_gauges.overdue.set(state.load.overdue().into());
        let counts = [
            (&state_gauges.members, state.members.live(now).count()),
            (&state_gauges.endpoints, state.endpoints.len()),
            (
                &state_gauges.deferred_removals,
                state.endpoints.deferred_removals(),
            ),
            (&state_gauges.stream_origins, state.origins.len()),
            (
                &state_gauges.quarantines,
                state.crashes.quarantine.in_force(),
            ),
            (&state_gauges.cut_off, usize::from(state.reach.is_cut_off())),
            (
                &state_gauges.held_workspaces,
                state.coordination.shares.held_count(),
            ),
            (&state_gauges.jobs_open, state.ledger.open_jobs().count()),
            (&state_gauges.items_running, state.running.len()),
            (&state_gauges.online_running, state.online_in_flight),
        ];
        for (gauge, count) in counts {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        // The version reads 0, which no configuration has, before the first one is applied.
        let version = state.routes.as_ref().map_or(0, |routes| routes.version);
        state_gauges
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        drop(state);
        let silence = self.ledger_age(now).as_millis();
        state_gauges
            .log_silence
            .set(i64::try_from(silence).unwrap_or(i64::MAX));
    }
}
