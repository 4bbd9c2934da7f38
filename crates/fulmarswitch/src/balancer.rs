//! Load balancer for online requests: chooses endpoints and tracks how attempts at them end.
//!
//! Each service has a table of its endpoints, their load as last reported to this host, their health
//! and a retry budget. The decisions are in [`fulmarswitch_decide::balance`],
//! [`fulmarswitch_decide::suspicion`] and [`fulmarswitch_decide::retry`]. The table is rebuilt on the
//! first choice after a change of configuration; load and health are carried over by endpoint name.
//!
//! The gates on this host report to the balancer what they observe at their endpoints, and report to
//! other hosts whether the balancer suspects these endpoints.

mod tracking;

pub(crate) use tracking::{TrackedAttempt, TrackedCall};

use crate::context::{HostContext, lock};
use crate::fleet::{FleetState, FleetView};
use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::online_pool::OnlinePool;
use fulmarswitch_decide::retry::{FailedAttempt, RetryBudget, RetryDecision};
use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth, TrustChange};
use fulmarswitch_peer::message::GateStatus;
use fulmarswitch_records::{Offset, OnlineRequest, SortedIndex};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Length in bytes of the prefix of an input that decides prefix affinity.
const PREFIX_BYTES: usize = 64;
/// Assumed duration of a further attempt until the service's median is known.
const DEFAULT_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// State of one service's endpoints as known to this host.
struct ServiceState {
    /// Offset of the configuration that the table was built from.
    config_offset: Option<Offset>,
    table: EndpointTable,
    prefix_affinity: bool,
    loads: Vec<EndpointLoad>,
    health: ServiceHealth,
    /// Endpoints that serve online requests; the others are reserved for batch items.
    online_pool: OnlinePool,
    budget: RetryBudget,
    choice_count: u64,
}

/// Load balancer of one host.
pub struct LoadBalancer {
    context: HostContext,
    fleet: Arc<FleetState>,
    services: Mutex<SortedIndex<Arc<str>, ServiceState>>,
    /// Number of times that an endpoint became suspected; a change wakes attempts in flight.
    suspicions: watch::Sender<u64>,
}

impl LoadBalancer {
    /// Creates a balancer without load or health data.
    #[must_use]
    pub fn new(context: &HostContext, fleet: &Arc<FleetState>) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            services: Mutex::default(),
            suspicions: watch::Sender::new(0),
        })
    }

    /// Chooses an endpoint for a request and counts the request as in flight there.
    ///
    /// Returns `None` if no endpoint of the service is eligible.
    pub(crate) fn choose(
        self: &Arc<Self>,
        request: &OnlineRequest,
        excluded: &[Arc<str>],
    ) -> Option<TrackedAttempt> {
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
        Some(TrackedAttempt::new(self, service, endpoint, probe))
    }

    /// Decides whether a request that failed at one endpoint is retried at another.
    pub(crate) fn decide_retry(
        &self,
        request: &OnlineRequest,
        may_have_run: bool,
        time_left: Duration,
    ) -> RetryDecision {
        let now = self.context.now();
        self.with_service(&request.service, |service| {
            let median = service.health.median_first_token();
            let failed = FailedAttempt {
                idempotent: request.idempotent,
                may_have_run,
                time_left,
                time_needed: median.unwrap_or(DEFAULT_ATTEMPT_TIME),
            };
            service.budget.decide(now, failed)
        })
    }

    /// Decides whether a late attempt is cancelled and repeated at another endpoint. If so, the retry is
    /// charged to the budget.
    pub(crate) fn may_reroute(
        &self,
        request: &OnlineRequest,
        tried: &[Arc<str>],
        time_left: Duration,
    ) -> bool {
        let now = self.context.now();
        let ready = self.with_service(&request.service, |service| {
            let other = service.choose(now, request, tried);
            other.is_some_and(|other| !service.health.is_suspected(other))
        });
        ready && self.decide_retry(request, true, time_left) == RetryDecision::Retry
    }

    /// Starts tracking a call that a gate on this host makes.
    pub(crate) fn track_call(
        self: &Arc<Self>,
        service: &Arc<str>,
        endpoint: &Arc<str>,
    ) -> TrackedCall {
        TrackedCall::new(self, service, endpoint)
    }

    /// Returns whether this host suspects an endpoint.
    pub(crate) fn is_suspected(&self, service: &str, endpoint: &str) -> bool {
        self.with_service(service, |service| {
            let index = service.table.index_of(endpoint);
            index.is_some_and(|index| service.health.is_suspected(index))
        })
    }

    /// Returns the time after which the first token of an attempt is overdue, or `None` until it is
    /// known for the service.
    fn first_token_timeout(&self, service: &str) -> Option<Duration> {
        self.with_service(service, |service| service.health.first_token_timeout())
    }

    /// Applies a signal of one of this host's attempts, and returns whether it indicates that the
    /// endpoint is unhealthy.
    fn observe(&self, service: &str, endpoint: &str, signal: AttemptSignal) -> bool {
        let now = self.context.now();
        let (adverse, change) = self.with_service(service, |service| {
            let adverse = service.health.is_adverse(signal);
            let index = service.table.index_of(endpoint);
            (
                adverse,
                index.and_then(|index| service.health.record_attempt(now, index, signal)),
            )
        });
        self.report_trust_change(endpoint, signal, change);
        adverse
    }

    /// Applies a signal that a gate on this host observed.
    fn observe_from_gate(&self, service: &str, endpoint: &str, signal: AttemptSignal) {
        let now = self.context.now();
        let change = self.with_service(service, |service| {
            let index = service.table.index_of(endpoint)?;
            service.health.record_observed(now, index, signal)
        });
        self.report_trust_change(endpoint, signal, change);
    }

    fn report_trust_change(
        &self,
        endpoint: &str,
        signal: AttemptSignal,
        change: Option<TrustChange>,
    ) {
        match change {
            Some(TrustChange::Suspected(_)) => {
                self.suspicions.send_modify(|count| *count += 1);
                self.context.metrics.suspicions.inc();
                self.context
                    .events
                    .emit("suspect-endpoint", endpoint, &format!("{signal:?}"));
            }
            Some(TrustChange::Trusted(_)) => {
                self.context.events.emit(
                    "trust-endpoint",
                    endpoint,
                    "the endpoint answers normally again",
                );
            }
            None => {}
        }
    }

    fn update_load(&self, service: &str, endpoint: &str, status: &GateStatus) {
        let now = self.context.now();
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                let share = LoadShare {
                    held: status.held,
                    limit: status.limit,
                };
                service.loads[index.as_usize()].record_report(now, share);
                service.online_pool.record_load(now, index, share);
            }
        });
    }

    fn record_end(&self, service: &str, endpoint: &str) {
        self.with_service(service, |service| {
            if let Some(index) = service.table.index_of(endpoint) {
                service.loads[index.as_usize()].record_end();
            }
        });
    }

    fn record_success(&self, service: &str) {
        self.with_service(service, |service| service.budget.record_success());
    }

    /// Gives access to a service's state, rebuilt if the configuration has changed.
    fn with_service<T>(&self, name: &str, act: impl FnOnce(&mut ServiceState) -> T) -> T {
        let view = self.fleet.view();
        let now = self.context.now();
        let mut services = lock(&self.services);
        if !services.contains(name) {
            services.insert(name.into(), ServiceState::new(now));
        }
        let Some(service) = services.get_mut(name) else {
            unreachable!("the service has just been inserted");
        };
        if service.config_offset != view.config.applied() {
            let domain = &self.context.settings.failure_domain;
            service.rebuild(&view, name, domain);
        }
        act(service)
    }
}

impl ServiceState {
    fn new(now: Duration) -> Self {
        Self {
            config_offset: None,
            table: EndpointTable::default(),
            prefix_affinity: true,
            loads: Vec::new(),
            health: ServiceHealth::default(),
            online_pool: OnlinePool::default(),
            budget: RetryBudget::new(now),
            choice_count: 0,
        }
    }

    fn rebuild(&mut self, view: &FleetView, name: &str, domain: &str) {
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
        let previous: Vec<Option<EndpointIndex>> = table
            .specs()
            .iter()
            .map(|spec| self.table.index_of(&spec.name))
            .collect();
        let previous_loads = std::mem::take(&mut self.loads);
        for index in &previous {
            let load = index.map(|index| previous_loads[index.as_usize()].clone());
            self.loads.push(load.unwrap_or_default());
        }
        self.health = self.health.remapped(&previous);
        self.online_pool = self.online_pool.remapped(&domains_of(&table, view));
        self.table = table;
        self.prefix_affinity = view
            .config
            .service(name)
            .is_some_and(|service| service.prefix_affinity);
        self.config_offset = view.config.applied();
    }

    fn choose(
        &mut self,
        now: Duration,
        request: &OnlineRequest,
        excluded: &[Arc<str>],
    ) -> Option<EndpointIndex> {
        self.choice_count += 1;
        let affinity = if self.prefix_affinity {
            RequestAffinity::of_prefix(prefix_of(&request.input))
        } else {
            RequestAffinity::Any(self.choice_count)
        };
        let is_excluded = |index: EndpointIndex| {
            let name = &self.table.specs()[index.as_usize()].name;
            excluded.contains(name)
        };
        let may_probe = request.idempotent && excluded.is_empty();
        let is_avoided = |index: EndpointIndex| {
            let due = may_probe && self.health.probe_due(now, index);
            self.health.is_suspected(index) && !due
        };
        self.table.choose(affinity, |index| {
            let eligibility = if is_excluded(index) {
                EndpointEligibility::Excluded
            } else if is_avoided(index) {
                EndpointEligibility::Suspected
            } else if !self.online_pool.contains(index) {
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
