//! Chooses endpoints for online requests, and learns from what becomes of them.
//!
//! Each service has a prepared table of its endpoints, their load as far as known here, the trust in them
//! and a budget of retries. The decisions are in [`fulmarswitch_decide::balance`],
//! [`fulmarswitch_decide::suspicion`] and [`fulmarswitch_decide::retry`]. The table is prepared anew on the
//! first choice after a change of configuration; load and trust are carried over by name.
//!
//! The gates on this host tell the chooser what they see of their endpoints, and pass on whether it suspects
//! them.

mod tracking;

pub(crate) use tracking::{SentAttempt, WatchedCall};

use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::online_pool::OnlinePool;
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth, TrustChange};
use fulmarswitch_peer::message::LoadNote;
use fulmarswitch_records::{Offset, OnlineRequest, SortedIndex};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Bytes of an input that are taken for its prefix.
const PREFIX_BYTES: usize = 64;
/// Time that another attempt is taken to need while the service's typical time is not known.
const UNKNOWN_NEED: Duration = Duration::from_millis(50);

/// One service's endpoints as known here.
struct ServiceBook {
    /// Configuration that the table was prepared from.
    prepared: Option<Offset>,
    table: EndpointTable,
    affine: bool,
    loads: Vec<EndpointLoad>,
    health: ServiceHealth,
    /// Endpoints that online requests keep to.
    front: OnlinePool,
    budget: RetryBudget,
    choices: u64,
}

/// Chooses endpoints on one host.
pub struct LoadBalancer {
    context: HostContext,
    fleet: Arc<FleetState>,
    services: Mutex<SortedIndex<Arc<str>, ServiceBook>>,
    /// Number of suspicions so far.
    suspicions: watch::Sender<u64>,
}

impl LoadBalancer {
    /// Creates a chooser that knows no load yet.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            services: Mutex::default(),
            suspicions: watch::Sender::new(0),
        })
    }

    /// Chooses an endpoint for a request and counts the request as sent to it.
    pub(crate) fn choose(
        self: &Arc<Self>,
        request: &OnlineRequest,
        excluded: &[Arc<str>],
    ) -> Option<SentAttempt> {
        let now = self.context.now();
        let (endpoint, probe) = self.with_service(&request.service, |service| {
            let index = service.choose(now, request, excluded)?;
            let probe = service.health.is_suspected(index);
            service.health.record_probe(now, index);
            service.loads[index.as_usize()].record_sent();
            Some((
                Arc::clone(&service.table.specs()[index.as_usize()].name),
                probe,
            ))
        })?;
        let service = &request.service;
        Some(SentAttempt::new(self, service, endpoint, probe))
    }

    /// Decides whether a request that failed at one endpoint is tried at another.
    pub(crate) fn judge_retry(
        &self,
        request: &OnlineRequest,
        may_have_run: bool,
        left: Duration,
    ) -> RetryDecision {
        let now = self.context.now();
        self.with_service(&request.service, |service| {
            let needed = service.health.median_first_token();
            let failed = FailedAttempt {
                idempotent: request.idempotent,
                may_have_run,
                time_left: left,
                time_needed: needed.unwrap_or(UNKNOWN_NEED),
            };
            service.budget.decide(now, failed)
        })
    }

    /// Decides whether an attempt that is late is cancelled and made at another endpoint.
    pub(crate) fn judge_move(
        &self,
        request: &OnlineRequest,
        tried: &[Arc<str>],
        left: Duration,
    ) -> bool {
        let now = self.context.now();
        let ready = self.with_service(&request.service, |service| {
            let other = service.choose(now, request, tried);
            other.is_some_and(|other| !service.health.is_suspected(other))
        });
        ready && self.judge_retry(request, true, left) == RetryDecision::Retry
    }

    /// Watches a call that a gate on this host makes.
    pub(crate) fn watch_call(
        self: &Arc<Self>,
        service: &Arc<str>,
        endpoint: &Arc<str>,
    ) -> WatchedCall {
        WatchedCall::new(self, service, endpoint)
    }

    /// Tells whether an endpoint is suspected here.
    pub(crate) fn is_suspected(&self, service: &str, endpoint: &str) -> bool {
        self.with_service(service, |service| {
            let index = service.table.index_of(endpoint);
            index.is_some_and(|index| service.health.is_suspected(index))
        })
    }

    /// Returns the time after which an attempt's first token is overdue, once that is known.
    fn patience(&self, service: &str) -> Option<Duration> {
        self.with_service(service, |service| service.health.first_token_timeout())
    }

    /// Takes a sign of an own attempt and tells whether it speaks against the endpoint.
    fn note(&self, service: &str, endpoint: &str, sign: AttemptSignal) -> bool {
        let now = self.context.now();
        let (bad, change) = self.with_service(service, |service| {
            let bad = service.health.is_adverse(sign);
            let index = service.table.index_of(endpoint);
            (
                bad,
                index.and_then(|index| service.health.record_attempt(now, index, sign)),
            )
        });
        self.tell_change(endpoint, sign, change);
        bad
    }

    /// Takes a sign that a gate on this host has seen.
    fn note_seen(&self, service: &str, endpoint: &str, sign: AttemptSignal) {
        let now = self.context.now();
        let change = self.with_service(service, |service| {
            let index = service.table.index_of(endpoint)?;
            service.health.record_observed(now, index, sign)
        });
        self.tell_change(endpoint, sign, change);
    }

    fn tell_change(&self, endpoint: &str, sign: AttemptSignal, change: Option<TrustChange>) {
        match change {
            Some(TrustChange::Suspected(_)) => {
                self.suspicions.send_modify(|count| *count += 1);
                self.context.metrics.suspicions.inc();
                self.context
                    .events
                    .emit("suspect-endpoint", endpoint, &format!("{sign:?}"));
            }
            Some(TrustChange::Trusted(_)) => {
                self.context
                    .events
                    .emit("trust-endpoint", endpoint, "it answers well again");
            }
            None => {}
        }
    }

    fn take_load(&self, service: &str, endpoint: &str, note: &LoadNote) {
        let now = self.context.now();
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                let share = LoadShare {
                    held: note.held,
                    limit: note.limit,
                };
                service.loads[index.as_usize()].record_report(now, share);
                service.front.record_load(now, index, share);
            }
        });
    }

    fn end(&self, service: &str, endpoint: &str) {
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                service.loads[index.as_usize()].record_end();
            }
        });
    }

    fn succeed(&self, service: &str) {
        self.with_service(service, |service| service.budget.record_success());
    }

    /// Gives access to a service's book, prepared from the configuration in force.
    fn with_service<T>(&self, name: &str, act: impl FnOnce(&mut ServiceBook) -> T) -> T {
        let view = self.fleet.view();
        let now = self.context.now();
        let mut services = lock(&self.services);
        if !services.contains(name) {
            services.insert(name.into(), ServiceBook::new(now));
        }
        let Some(service) = services.get_mut(name) else {
            unreachable!("the service has just been put in");
        };
        if service.prepared != view.config.applied() {
            let domain = &self.context.settings.failure_domain;
            service.prepare(&view, name, domain);
        }
        act(service)
    }
}

impl ServiceBook {
    fn new(now: Duration) -> Self {
        Self {
            prepared: None,
            table: EndpointTable::default(),
            affine: true,
            loads: Vec::new(),
            health: ServiceHealth::default(),
            front: OnlinePool::default(),
            budget: RetryBudget::new(now),
            choices: 0,
        }
    }

    fn prepare(&mut self, view: &FleetView, name: &str, domain: &str) {
        let specs: Vec<EndpointSpec> = view
            .config
            .endpoints()
            .filter(|(_, endpoint)| *endpoint.service == *name && !endpoint.leaving)
            .map(|(name, endpoint)| EndpointSpec {
                name: name.into(),
                same_domain: *endpoint.failure_domain == *domain,
            })
            .collect();
        let table = EndpointTable::new(specs);
        let old_places: Vec<Option<EndpointIndex>> = table
            .specs()
            .iter()
            .map(|spec| self.table.index_of(&spec.name))
            .collect();
        let old_loads = std::mem::take(&mut self.loads);
        for old in &old_places {
            let load = old.map(|old| old_loads[old.as_usize()].clone());
            self.loads.push(load.unwrap_or_default());
        }
        self.health = self.health.remapped(&old_places);
        self.front = self.front.remapped(&domains_of(&table, view));
        self.table = table;
        self.affine = view
            .config
            .service(name)
            .is_some_and(|service| service.prefix_affinity);
        self.prepared = view.config.applied();
    }

    fn choose(
        &mut self,
        now: Duration,
        request: &OnlineRequest,
        excluded: &[Arc<str>],
    ) -> Option<EndpointIndex> {
        self.choices += 1;
        let affinity = if self.affine {
            RequestAffinity::of_prefix(prefix_of(&request.input))
        } else {
            RequestAffinity::Any(self.choices)
        };
        let is_excluded = |index: EndpointIndex| {
            let name = &self.table.specs()[index.as_usize()].name;
            excluded.contains(name)
        };
        let may_probe = request.idempotent && excluded.is_empty();
        let is_shunned = |index: EndpointIndex| {
            let due = may_probe && self.health.probe_due(now, index);
            self.health.is_suspected(index) && !due
        };
        self.table.choose(affinity, |index| {
            let eligibility = if is_excluded(index) {
                EndpointEligibility::Excluded
            } else if is_shunned(index) {
                EndpointEligibility::Suspected
            } else if !self.front.contains(index) {
                EndpointEligibility::Reserved
            } else {
                EndpointEligibility::Ready
            };
            EndpointView {
                load: self.loads[index.as_usize()].estimate(now),
                eligibility,
            }
        })
    }
}

/// Returns the names of a table's endpoints with their failure domains.
fn domains_of<'a>(table: &'a EndpointTable, view: &'a FleetView) -> Vec<(&'a str, &'a str)> {
    let domain = |name: &str| {
        let endpoint = view.config.endpoint(name);
        endpoint.map_or("", |endpoint| &*endpoint.failure_domain)
    };
    let specs = table.specs().iter();
    specs
        .map(|spec| (&*spec.name, domain(&spec.name)))
        .collect()
}

fn prefix_of(input: &str) -> &str {
    let end = (0..=PREFIX_BYTES.min(input.len()))
        .rev()
        .find(|end| input.is_char_boundary(*end));
    &input[..end.unwrap_or(0)]
}
