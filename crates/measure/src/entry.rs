//! Endpoint selection on one entry host.
//!
//! [`PolicyKind::Current`] runs the same decisions as the daemon: the endpoint table, the load reported by the
//! gates, the suspicion of failed endpoints and the retry budget. The other policies use only the number of
//! requests that this entry host has outstanding at each endpoint.

use crate::policy::PolicyKind;
use crate::scenario::{DOMAINS, ENDPOINTS};
use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::online_pool::OnlinePool;
use fulmarswitch_decide::placement::weight;
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth};
use std::time::Duration;

/// Endpoint names by endpoint number.
const ENDPOINT_NAMES: [&str; ENDPOINTS] = [
    "e00", "e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09", "e10", "e11",
];
/// Failure domains; endpoint number modulo [`DOMAINS`] is the index.
const DOMAIN_NAMES: [&str; DOMAINS] = ["x", "y", "z"];
/// Load relative to the mean, in percent, above which [`PolicyKind::Previous`] gives up prefix affinity.
const PREVIOUS_LOAD_BOUND_PERCENT: usize = 125;
/// Requests that are added to that bound.
const PREVIOUS_LOAD_SLACK: usize = 2;
/// Assumed time to the first token of a retry until a median has been measured.
const DEFAULT_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// The state that one entry host keeps about the endpoints.
#[derive(Debug)]
pub struct EntryView {
    kind: PolicyKind,
    outstanding: Vec<usize>,
    table: EndpointTable,
    loads: Vec<EndpointLoad>,
    health: ServiceHealth,
    online_pool: OnlinePool,
    budget: RetryBudget,
    rotation: usize,
    /// Whether the last selected endpoint was suspected and is being probed.
    last_was_probe: bool,
}

impl EntryView {
    /// Creates the view of entry host number `entry` with no requests outstanding.
    ///
    /// The round-robin rotation starts at `entry`, so that entry hosts do not select the same endpoints in step.
    #[must_use]
    pub fn new(kind: PolicyKind, entry: usize) -> Self {
        let spec = |name: &&str| EndpointSpec {
            name: (*name).into(),
            same_domain: false,
        };
        Self {
            kind,
            outstanding: vec![0; ENDPOINTS],
            table: EndpointTable::new(ENDPOINT_NAMES.iter().map(spec).collect()),
            loads: vec![EndpointLoad::default(); ENDPOINTS],
            health: ServiceHealth::new(ENDPOINTS),
            online_pool: initial_online_pool(),
            budget: RetryBudget::new(Duration::ZERO),
            rotation: entry,
            last_was_probe: false,
        }
    }

    /// Selects an endpoint and counts the request as outstanding there.
    ///
    /// Returns `None` if every endpoint is excluded.
    pub fn choose(&mut self, now: Duration, prefix: &str, excluded: &[usize]) -> Option<usize> {
        self.rotation += 1;
        self.last_was_probe = false;
        let candidates: Vec<usize> = (0..ENDPOINTS).filter(|at| !excluded.contains(at)).collect();
        if candidates.is_empty() {
            return None;
        }
        let endpoint = match self.kind {
            PolicyKind::RoundRobin => candidates[self.rotation % candidates.len()],
            PolicyKind::FixedCap(_) | PolicyKind::PacedCap(_) => {
                self.least_outstanding(&candidates)?
            }
            PolicyKind::Previous => self.choose_previous(&candidates, prefix)?,
            PolicyKind::Current => self.choose_current(now, prefix, excluded)?,
        };
        self.outstanding[endpoint] += 1;
        self.loads[endpoint].record_sent();
        Some(endpoint)
    }

    /// Returns whether the last selected endpoint was suspected and is being probed.
    #[must_use]
    pub fn last_was_probe(&self) -> bool {
        self.last_was_probe
    }

    /// Removes one outstanding request from an endpoint.
    pub fn record_end(&mut self, endpoint: usize) {
        self.outstanding[endpoint] -= 1;
        self.loads[endpoint].record_end();
    }

    /// Records the load reported by an endpoint's gate.
    pub fn record_load(&mut self, now: Duration, endpoint: usize, share: LoadShare) {
        self.loads[endpoint].record_report(now, share);
        if let Some(index) = endpoint_index(endpoint) {
            self.online_pool.record_load(now, index, share);
        }
    }

    /// Updates the suspicion of an endpoint from the outcome or latency of an attempt.
    pub fn record_attempt(&mut self, now: Duration, endpoint: usize, signal: AttemptSignal) {
        if let Some(index) = endpoint_index(endpoint) {
            self.health.record_attempt(now, index, signal);
        }
    }

    /// Credits the retry budget with a completed request.
    pub fn record_success(&mut self) {
        self.budget.record_success();
    }

    /// Returns the time after which an attempt without a first token is overdue, or `None` while too little
    /// has been measured.
    #[must_use]
    pub fn first_token_timeout(&self) -> Option<Duration> {
        self.health.first_token_timeout()
    }

    /// Returns whether a request is retried after its attempt failed with `time_left` before its deadline.
    ///
    /// Only [`PolicyKind::Current`] has a retry budget; the other policies always retry.
    pub fn may_retry(&mut self, now: Duration, time_left: Duration) -> bool {
        if self.kind != PolicyKind::Current {
            return true;
        }
        let failed = FailedAttempt {
            idempotent: true,
            may_have_run: true,
            time_left,
            time_needed: self
                .health
                .median_first_token()
                .unwrap_or(DEFAULT_ATTEMPT_TIME),
        };
        self.budget.decide(now, failed) == RetryDecision::Retry
    }

    fn least_outstanding(&self, candidates: &[usize]) -> Option<usize> {
        let key = |endpoint: &&usize| {
            (
                self.outstanding[**endpoint],
                (**endpoint + self.rotation) % ENDPOINTS,
            )
        };
        candidates.iter().min_by_key(key).copied()
    }

    fn choose_previous(&self, candidates: &[usize], prefix: &str) -> Option<usize> {
        let total: usize = candidates
            .iter()
            .map(|endpoint| self.outstanding[*endpoint])
            .sum();
        let bound =
            total / candidates.len() * PREVIOUS_LOAD_BOUND_PERCENT / 100 + PREVIOUS_LOAD_SLACK;
        let key = |endpoint: &&usize| {
            (
                self.outstanding[**endpoint] <= bound,
                weight(ENDPOINT_NAMES[**endpoint], prefix),
            )
        };
        candidates.iter().max_by_key(key).copied()
    }

    fn choose_current(&mut self, now: Duration, prefix: &str, excluded: &[usize]) -> Option<usize> {
        let is_avoided = |index: EndpointIndex| {
            let probe_due = excluded.is_empty() && self.health.probe_due(now, index);
            self.health.is_suspected(index) && !probe_due
        };
        let view = |index: EndpointIndex| EndpointView {
            load: self.loads[index.as_usize()].estimate(now),
            eligibility: if excluded.contains(&index.as_usize()) {
                EndpointEligibility::Excluded
            } else if is_avoided(index) {
                EndpointEligibility::Suspected
            } else if !self.online_pool.contains(index) {
                EndpointEligibility::Reserved
            } else {
                EndpointEligibility::Ready
            },
        };
        let affinity = RequestAffinity::of_prefix(prefix);
        let index = self.table.choose(affinity, view)?;
        self.last_was_probe = self.health.is_suspected(index);
        self.health.record_probe(now, index);
        Some(index.as_usize())
    }
}

/// Returns the online pool before any load report.
fn initial_online_pool() -> OnlinePool {
    let endpoints: Vec<(&str, &str)> = (0..)
        .zip(ENDPOINT_NAMES)
        .map(|(at, name): (usize, &str)| (name, DOMAIN_NAMES[at % DOMAINS]))
        .collect();
    OnlinePool::new(&endpoints)
}

/// Returns the first endpoint of the initial online pool.
///
/// Faults are injected there, since an endpoint outside the pool may serve no online requests.
#[must_use]
pub fn first_online_pool_endpoint() -> usize {
    let online_pool = initial_online_pool();
    let is_first = |endpoint: &usize| {
        endpoint_index(*endpoint).and_then(|index| online_pool.rank_of(index)) == Some(0)
    };
    (0..ENDPOINTS).find(is_first).unwrap_or(0)
}

fn endpoint_index(endpoint: usize) -> Option<EndpointIndex> {
    u32::try_from(endpoint).ok().map(EndpointIndex)
}
