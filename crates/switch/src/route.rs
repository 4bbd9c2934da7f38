//! Routes: which services handle a request, and how often it may run.

use crate::workspace::WorkspaceTable;
use std::sync::Arc;
use std::time::Duration;

/// Kind of a route, which determines whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent and may run more than once.
    Safe,
    /// Requests may run at most once.
    Unsafe,
    /// Responses are streams of server-sent events.
    Stream,
    /// Requests are batch jobs.
    Batch,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Configuration of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Host name that requests must have.
    pub host: Arc<str>,
    /// Prefix that request paths must have.
    pub path_prefix: Arc<str>,
    /// Determines whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Target for the latency of a response; zero for none.
    pub latency_target: Duration,
    /// Time from first submission within which all items of a job are due.
    pub completion_target: Duration,
    /// Time from first submission after which the items of a job may be abandoned.
    pub retention: Duration,
    /// Maximum number of endpoints on which one request may run.
    pub attempts: u32,
    /// Whether an interrupted stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Maximum sum of tokens of unfinished items on the route, of each workspace if there are any; `None` for no limit.
    pub token_quota: Option<u64>,
    /// Rank of its requests, 0 is the highest.
    pub priority: u32,
    /// Whether its requests need no key, also where there are workspaces.
    pub is_public: bool,
    /// Services that handle the requests.
    pub shares: Vec<ServiceShare>,
}

impl ServiceRoute {
    /// Whether a request may run again after an attempt that may have run.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Services that handle the requests.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.shares.iter().map(|share| &share.service)
    }

    /// Selects a service in proportion to the weights by `draw`, a random number between 0 and 1.
    ///
    /// Returns `None` if the route has no service.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let weights = self.shares.iter().map(|share| f64::from(share.weight));
        let mut remaining = draw * weights.sum::<f64>();
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// Routes of one configuration version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    routes: Vec<Arc<ServiceRoute>>,
    workspaces: Option<Arc<WorkspaceTable>>,
    left_out: Vec<Arc<str>>,
}

impl RouteTable {
    /// Creates a table from routes in any order.
    #[must_use]
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<ServiceRoute>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        Self {
            version,
            limits,
            routes,
            workspaces: None,
            left_out: Vec::new(),
        }
    }

    /// Adds the workspaces of the configuration.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Option<WorkspaceTable>) -> Self {
        self.workspaces = workspaces.map(Arc::new);
        self
    }

    /// Adds what was malformed in the configuration and is not in the table, as texts for the log.
    #[must_use]
    pub fn with_left_out(mut self, left_out: Vec<Arc<str>>) -> Self {
        self.left_out = left_out;
        self
    }

    /// What was malformed in the configuration and is not in the table, as texts for the log.
    #[must_use]
    pub fn left_out(&self) -> &[Arc<str>] {
        &self.left_out
    }

    /// Workspaces of the configuration; `None` if it serves all callers alike.
    #[must_use]
    pub fn workspaces(&self) -> Option<&Arc<WorkspaceTable>> {
        self.workspaces.as_ref()
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.routes_of_host(host)
            .iter()
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the route of a job that was accepted on `host` under `path_prefix`. If that route was removed, the jobs' route that
    /// now covers it takes its place. Routes below the prefix concern new requests only, whatever the paths of the job's items.
    ///
    /// ```
    /// use fulmarswitch_switch::route::{CallerLimits, RouteKind, RouteTable, ServiceRoute};
    /// use std::time::Duration;
    ///
    /// let route = |path_prefix: &str, kind| ServiceRoute {
    ///     host: "host".into(),
    ///     path_prefix: path_prefix.into(),
    ///     kind,
    ///     timeout: Duration::from_secs(5),
    ///     latency_target: Duration::ZERO,
    ///     completion_target: Duration::from_secs(18),
    ///     retention: Duration::from_secs(60),
    ///     attempts: 3,
    ///     resumable: false,
    ///     token_quota: None,
    ///     priority: 0,
    ///     is_public: false,
    ///     shares: Vec::new(),
    /// };
    /// let limits = CallerLimits { header_bytes: 8192, body_bytes: 65_536, idle_timeout: Duration::from_secs(15) };
    /// let routes = vec![route("/", RouteKind::Safe), route("/jobs/", RouteKind::Batch), route("/jobs/run/", RouteKind::Safe)];
    /// let table = RouteTable::new(1, limits, routes);
    /// assert_eq!(&*table.find_for_job("host", "/jobs/").unwrap().path_prefix, "/jobs/");
    /// assert!(table.find_for_job("host", "/removed/").is_none());
    /// ```
    #[must_use]
    pub fn find_for_job(&self, host: &str, path_prefix: &str) -> Option<&Arc<ServiceRoute>> {
        self.find(host, path_prefix)
            .filter(|route| route.kind == RouteKind::Batch)
    }

    /// Whether jobs can be submitted on `host`.
    #[must_use]
    pub fn has_jobs(&self, host: &str) -> bool {
        let mut routes = self.routes_of_host(host).iter();
        routes.any(|route| route.kind == RouteKind::Batch)
    }

    /// Whether jobs can be submitted on `host` without a key.
    #[must_use]
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let mut routes = self.routes_of_host(host).iter();
        routes.any(|route| route.kind == RouteKind::Batch && route.is_public)
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    fn routes_of_host(&self, host: &str) -> &[Arc<ServiceRoute>] {
        let start = self.routes.partition_point(|route| &*route.host < host);
        let rest = &self.routes[start..];
        &rest[..rest.partition_point(|route| &*route.host == host)]
    }
}
