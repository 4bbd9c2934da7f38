//! Explains where a request or a job would go now, and why, without sending it.
//!
//! An explanation reads the same state as the decisions and draws from a copy of the host's random numbers. It counts, reserves and
//! changes nothing. Where a coordinator decides, it names that host: only the coordinator knows the load of its group exactly.

use crate::coordinator::{CoordinatorView, slot_candidates};
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::load::EndpointPick;
use crate::node::{SwitchNode, SwitchState};
use crate::route::{RouteKind, RouteTable, ServiceRoute};
use crate::wait::max_wait;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of candidates in an explanation.
const MAX_CANDIDATES: usize = 256;

/// What a request or a job would ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementQuery {
    /// Host name.
    pub host: Arc<str>,
    /// Path, without a query.
    pub path: Arc<str>,
    /// Name of its workspace.
    pub workspace: Option<Arc<str>>,
}

/// What a host believes of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateEndpoint {
    /// The endpoint, as it is listed.
    pub endpoint: Arc<ListedEndpoint>,
    /// Online requests of all hosts that are in flight there.
    pub online: u16,
    /// Items of all hosts that run there.
    pub batch: u16,
    /// Expected wait of one more online request.
    pub wait: Duration,
    /// Whether this host uses it first.
    pub is_preferred: bool,
    /// Why it gets nothing; `None` if it may.
    pub excluded: Option<&'static str>,
}

/// Where a request or a job would go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// To this endpoint.
    Endpoint(Arc<str>),
    /// The coordinator of a group would choose an endpoint.
    Coordinator(CoordinatorView),
    /// The job would be written to the log, and its items run at the hosts that have them by their hash.
    Log {
        /// Number of hosts that run items, this one included.
        hosts: usize,
    },
    /// To another host, since this one reaches no endpoint.
    OtherHost,
    /// It would be rejected.
    Rejected(&'static str),
}

/// Where a request or a job would go now, and what that follows from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementExplanation {
    /// Version of the configuration in force; `None` before the first one was read.
    pub config: Option<u64>,
    /// The route that it matches.
    pub route: Option<Arc<ServiceRoute>>,
    /// Age of the last complete read of the listings.
    pub listing_age: Option<Duration>,
    /// Age of the oldest heartbeat that the load follows from.
    pub report_age: Duration,
    /// Longest wait with which an online request is sent.
    pub max_wait: Option<Duration>,
    /// The endpoints of the route's services, by ID; at most 256.
    pub candidates: Vec<CandidateEndpoint>,
    /// The decision.
    pub decision: PlacementDecision,
}

impl SwitchNode {
    /// Explains where a request or a job would go now.
    #[must_use]
    pub fn explain_placement(&self, query: &PlacementQuery) -> PlacementExplanation {
        let now = Instant::now();
        let has_log = self.has_log(now);
        let domain = &self.settings.descriptor.domain;
        self.lock().explain_placement(query, domain, has_log, now)
    }
}

impl SwitchState {
    fn explain_placement(
        &self,
        query: &PlacementQuery,
        domain: &str,
        has_log: bool,
        now: Instant,
    ) -> PlacementExplanation {
        let routes = self.routes.as_ref();
        let route = routes.and_then(|routes| routes.find(&query.host, &query.path));
        let is_online = route.is_some_and(|route| route.kind != RouteKind::Batch);
        let candidates = route.map_or_else(Vec::new, |route| self.candidates(route, now));
        let max_wait = route.filter(|_| is_online).map(|route| {
            let first_byte = self.load.response_times().first_byte();
            max_wait(route.latency_target, first_byte, route.timeout)
        });
        let decision = match (routes, route) {
            (None, _) => PlacementDecision::Rejected("no configuration has been read"),
            (Some(_), None) => PlacementDecision::Rejected("no route matches"),
            (Some(routes), Some(route)) => {
                let refusal = self.refusal(routes, route, query, has_log);
                refusal.map_or_else(
                    || self.decide_placement(route, domain, max_wait, now),
                    PlacementDecision::Rejected,
                )
            }
        };
        PlacementExplanation {
            config: routes.map(|routes| routes.version),
            route: route.cloned(),
            listing_age: self.endpoints.read_age(now),
            report_age: self.members.oldest_heartbeat_age(now),
            max_wait,
            candidates,
            decision,
        }
    }

    /// Why the request or job would be rejected whatever the load is.
    fn refusal(
        &self,
        routes: &RouteTable,
        route: &ServiceRoute,
        query: &PlacementQuery,
        has_log: bool,
    ) -> Option<&'static str> {
        let is_known = |workspace: &Arc<str>| {
            let mut tables = routes.workspaces().into_iter();
            tables.any(|table| table.get(workspace).is_some())
        };
        let needs_key = routes.workspaces().is_some() && !route.is_public;
        if needs_key && !query.workspace.as_ref().is_some_and(is_known) {
            Some("the configuration has no such workspace")
        } else if self.stopping {
            Some("this host stops")
        } else if route.kind == RouteKind::Batch && !has_log {
            Some("this host has not read the log lately")
        } else {
            None
        }
    }

    fn decide_placement(
        &self,
        route: &ServiceRoute,
        domain: &str,
        max_wait: Option<Duration>,
        now: Instant,
    ) -> PlacementDecision {
        // A copy, so that the next decision draws what it would have drawn.
        let mut rng = self.rng.clone();
        let Some(max_wait) = max_wait else {
            let hosts = self.members.live(now).filter(|entry| entry.ready).count() + 1;
            return PlacementDecision::Log { hosts };
        };
        if self.reach.is_cut_off() {
            return PlacementDecision::OtherHost;
        }
        let Some(service) = route.pick_service(rand::Rng::random(&mut rng)) else {
            return PlacementDecision::Rejected("the route has no service");
        };
        let filter = EndpointFilter::from(&**service);
        let usable = slot_candidates(self, filter, &[], |limits, id| limits.admits(id, now));
        let home = self
            .coordination
            .view_home(domain, &usable.groups, &mut rng, now);
        if let Some(view) = home {
            return PlacementDecision::Coordinator(view);
        }
        let serving = self.endpoints.serving(&**service, now);
        let limited = serving.filter(|endpoint| !self.limits.admits(&endpoint.id, now));
        let excluded: Vec<Arc<str>> = limited.map(|endpoint| endpoint.id.clone()).collect();
        let endpoints = &self.endpoints;
        match self
            .load
            .pick_online(endpoints, filter, &excluded, max_wait, now, &mut rng)
        {
            EndpointPick::Use(endpoint) => PlacementDecision::Endpoint(endpoint.id.clone()),
            EndpointPick::Full { .. } => {
                PlacementDecision::Rejected("the expected wait is too long at all endpoints")
            }
            EndpointPick::Missing => PlacementDecision::Rejected("no endpoint is left"),
        }
    }

    fn candidates(&self, route: &ServiceRoute, now: Instant) -> Vec<CandidateEndpoint> {
        let serving: Vec<&Arc<ListedEndpoint>> = route
            .services()
            .flat_map(|service| self.endpoints.serving(&**service, now))
            .collect();
        let usual_event = self.load.usual_event(&serving, now);
        let candidates = serving.into_iter().map(|endpoint| {
            let counts = self.load.total(&endpoint.id);
            let preferred = &self.load.affinity().endpoints;
            CandidateEndpoint {
                endpoint: endpoint.clone(),
                online: counts.online,
                batch: counts.batch,
                wait: self.load.expected_wait(endpoint, usual_event, now),
                is_preferred: preferred.binary_search(&endpoint.id).is_ok(),
                excluded: self.exclusion(&endpoint.id, now),
            }
        });
        candidates.take(MAX_CANDIDATES).collect()
    }

    /// Why an endpoint gets nothing now.
    fn exclusion(&self, id: &str, now: Instant) -> Option<&'static str> {
        if self.load.is_avoided(id, now) {
            Some("it failed a short time ago")
        } else if self.load.is_full(id, now) {
            Some("it refused a request as full a short time ago")
        } else if !self.limits.admits(id, now) {
            Some("the limit that it names is used up")
        } else if self.reach.is_unreached(id) {
            Some("this host does not reach it")
        } else {
            None
        }
    }
}
