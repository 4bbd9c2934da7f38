//! What one entry host knows of the endpoints, and how it chooses among them.
//!
//! The policy in use runs the same decisions as the daemon's chooser: the prepared table, the load from the
//! gates' notes, the trust in endpoints and the budget of retries. The others know what the entry has sent.

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

/// Names of the endpoints, in order.
const NAMES: [&str; ENDPOINTS] = [
    "e00", "e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09", "e10", "e11",
];
/// Names of the failure domains.
const DOMAIN_NAMES: [&str; DOMAINS] = ["x", "y", "z"];
/// Share over the mean load up to which an endpoint kept its prefixes in the first version, in percent.
const OLD_BOUND_PERCENT: usize = 125;
/// Requests above the mean that an endpoint could hold in the first version.
const OLD_SLACK: usize = 2;
/// Time that another attempt is taken to need while the typical time is not known.
const UNKNOWN_NEED: Duration = Duration::from_millis(50);

/// One entry host's view of the endpoints.
#[derive(Debug)]
pub struct EntryBook {
    kind: PolicyKind,
    sent: Vec<usize>,
    table: EndpointTable,
    loads: Vec<EndpointLoad>,
    health: ServiceHealth,
    front: OnlinePool,
    budget: RetryBudget,
    turn: usize,
    /// Whether the last choice was a probe of a suspected endpoint.
    probed: bool,
}

impl EntryBook {
    /// Creates the view of an entry that has sent nothing; entries start their turns at different places.
    #[must_use]
    pub fn new(kind: PolicyKind, entry: usize) -> Self {
        let spec = |name: &&str| EndpointSpec {
            name: (*name).into(),
            same_domain: false,
        };
        Self {
            kind,
            sent: vec![0; ENDPOINTS],
            table: EndpointTable::new(NAMES.iter().map(spec).collect()),
            loads: vec![EndpointLoad::default(); ENDPOINTS],
            health: ServiceHealth::new(ENDPOINTS),
            front: first_front(),
            budget: RetryBudget::new(Duration::ZERO),
            turn: entry,
            probed: false,
        }
    }

    /// Chooses an endpoint and counts the request as sent to it.
    pub fn choose(&mut self, now: Duration, prefix: &str, excluded: &[usize]) -> Option<usize> {
        self.turn += 1;
        self.probed = false;
        let sites: Vec<usize> = (0..ENDPOINTS).filter(|at| !excluded.contains(at)).collect();
        if sites.is_empty() {
            return None;
        }
        let site = match self.kind {
            PolicyKind::RoundRobin => sites[self.turn % sites.len()],
            PolicyKind::FixedCap(_) | PolicyKind::PacedCap(_) => self.least_sent(&sites)?,
            PolicyKind::Previous => self.first_version(&sites, prefix)?,
            PolicyKind::Current => self.current(now, prefix, excluded)?,
        };
        self.sent[site] += 1;
        self.loads[site].record_sent();
        Some(site)
    }

    /// Tells whether the last choice was a probe of a suspected endpoint.
    #[must_use]
    pub fn probed(&self) -> bool {
        self.probed
    }

    /// Counts the end of a request sent.
    pub fn end(&mut self, site: usize) {
        self.sent[site] -= 1;
        self.loads[site].record_end();
    }

    /// Takes the load note of a gate.
    pub fn take_load(&mut self, now: Duration, site: usize, share: LoadShare) {
        self.loads[site].record_report(now, share);
        if let Some(index) = index_of(site) {
            self.front.record_load(now, index, share);
        }
    }

    /// Learns from an attempt.
    pub fn note(&mut self, now: Duration, site: usize, sign: AttemptSignal) {
        if let Some(index) = index_of(site) {
            self.health.record_attempt(now, index, sign);
        }
    }

    /// Counts a request that was answered.
    pub fn succeed(&mut self) {
        self.budget.record_success();
    }

    /// Returns how long an attempt waits for its first token before it is overdue.
    #[must_use]
    pub fn patience(&self) -> Option<Duration> {
        self.health.first_token_timeout()
    }

    /// Tells whether a request whose attempt broke off is tried again; the other policies always try.
    pub fn may_retry(&mut self, now: Duration, left: Duration) -> bool {
        if self.kind != PolicyKind::Current {
            return true;
        }
        let failed = FailedAttempt {
            idempotent: true,
            may_have_run: true,
            time_left: left,
            time_needed: self.health.median_first_token().unwrap_or(UNKNOWN_NEED),
        };
        self.budget.decide(now, failed) == RetryDecision::Retry
    }

    fn least_sent(&self, sites: &[usize]) -> Option<usize> {
        let order = |site: &&usize| (self.sent[**site], (**site + self.turn) % ENDPOINTS);
        sites.iter().min_by_key(order).copied()
    }

    fn first_version(&self, sites: &[usize], prefix: &str) -> Option<usize> {
        let total: usize = sites.iter().map(|site| self.sent[*site]).sum();
        let bound = total / sites.len() * OLD_BOUND_PERCENT / 100 + OLD_SLACK;
        let order = |site: &&usize| (self.sent[**site] <= bound, weight(NAMES[**site], prefix));
        sites.iter().max_by_key(order).copied()
    }

    fn current(&mut self, now: Duration, prefix: &str, excluded: &[usize]) -> Option<usize> {
        let is_shunned = |index: EndpointIndex| {
            let due = excluded.is_empty() && self.health.probe_due(now, index);
            self.health.is_suspected(index) && !due
        };
        let look = |index: EndpointIndex| EndpointView {
            load: self.loads[index.as_usize()].estimate(now),
            eligibility: if excluded.contains(&index.as_usize()) {
                EndpointEligibility::Excluded
            } else if is_shunned(index) {
                EndpointEligibility::Suspected
            } else if !self.front.contains(index) {
                EndpointEligibility::Reserved
            } else {
                EndpointEligibility::Ready
            },
        };
        let affinity = RequestAffinity::of_prefix(prefix);
        let index = self.table.choose(affinity, look)?;
        self.probed = self.health.is_suspected(index);
        self.health.record_probe(now, index);
        Some(index.as_usize())
    }
}

/// Returns the front before any load is known.
fn first_front() -> OnlinePool {
    let endpoints: Vec<(&str, &str)> = (0..)
        .zip(NAMES)
        .map(|(at, name): (usize, &str)| (name, DOMAIN_NAMES[at % DOMAINS]))
        .collect();
    OnlinePool::new(&endpoints)
}

/// Returns the endpoint that the front takes first, which faults strike so that they meet online requests.
#[must_use]
pub fn first_front_site() -> usize {
    let front = first_front();
    let is_first = |site: &usize| index_of(*site).and_then(|index| front.rank_of(index)) == Some(0);
    (0..ENDPOINTS).find(is_first).unwrap_or(0)
}

fn index_of(site: usize) -> Option<EndpointIndex> {
    u32::try_from(site).ok().map(EndpointIndex)
}
