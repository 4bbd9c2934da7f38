//! Routes: which service answers a request, and what may be done with it.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run once.
    Unsafe,
    /// Answers are streams of events.
    Stream,
    /// Requests are batch jobs.
    Batch,
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part of the requests, against the sum of all parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Beginning of the requests' paths.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer counts in full.
    pub latency_target: Duration,
    /// Time within which all items of a job are due, from its first submission.
    pub completion_target: Duration,
    /// Time after which an item of a job may be abandoned, from its first submission.
    pub retention: Duration,
    /// Most endpoints on which one request may run.
    pub attempts: u32,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Most tokens of unfinished items on the route; `None` for no bound.
    pub token_quota: Option<u64>,
    /// The services that answer.
    pub shares: Vec<ServiceShare>,
}

impl ServiceRoute {
    /// Whether a request may run a second time after a run that may have begun.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a draw between 0 and 1, in proportion to the weights.
    ///
    /// Returns `None` for a route without a service.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// Bounds of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// The routes of one version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds for callers.
    pub limits: CallerLimits,
    routes: Vec<Arc<ServiceRoute>>,
}

impl RouteTable {
    /// Makes a table.
    #[must_use]
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<ServiceRoute>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        Self {
            version,
            limits,
            routes,
        }
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.of_host(host)
            .iter()
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Whether any route has this host.
    #[must_use]
    pub fn knows_host(&self, host: &str) -> bool {
        !self.of_host(host).is_empty()
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    fn of_host(&self, host: &str) -> &[Arc<ServiceRoute>] {
        let start = self.routes.partition_point(|route| &*route.host < host);
        let rest = &self.routes[start..];
        &rest[..rest.partition_point(|route| &*route.host == host)]
    }
}
