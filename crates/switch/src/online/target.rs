//! Where an attempt at a request goes: to an endpoint, or to a host that passes it on to one.

use super::{OnlineExchange, OnlineReply, RoutedTarget};
use crate::backend::{CallError, EndpointCall, EndpointResponse, PassOptions};
use crate::endpoint::ListedEndpoint;
use crate::members::{HostDescriptor, MemberEntry};
use crate::node::{SwitchNode, SwitchState, millis};
use crate::online::{OnlineRequest, PassedOn};
use crate::route::RouteKind;
use rand::Rng;
use slog::info;
use std::sync::Arc;
use tokio::time::Instant;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(super) enum AttemptTarget {
    Endpoint(Arc<ListedEndpoint>),
    /// A host that passes the request on, since this one is cut off from the endpoints.
    Host(Arc<HostDescriptor>),
}

impl AttemptTarget {
    /// ID of the endpoint, or name of the host.
    pub(super) fn id(&self) -> &Arc<str> {
        match self {
            Self::Endpoint(endpoint) => &endpoint.id,
            Self::Host(host) => &host.name,
        }
    }

    /// The endpoint; `None` if a host passes the request on to one that this host does not know.
    pub(super) fn endpoint(&self) -> Option<&Arc<ListedEndpoint>> {
        match self {
            Self::Endpoint(endpoint) => Some(endpoint),
            Self::Host(_) => None,
        }
    }
}

impl OnlineExchange {
    /// Selects the host that passes the request on; `None` if there is none.
    pub(super) fn route_to_host(&mut self, state: &mut SwitchState) -> Option<RoutedTarget> {
        if self.request.passed_on.is_some() {
            return None;
        }
        let now = Instant::now();
        let untried = pick_host(state, &self.node, &self.tried, now);
        // A host at which an attempt has failed may send the next one to another endpoint.
        let host = untried.or_else(|| pick_host(state, &self.node, &[], now))?;
        let host = Arc::new(host);
        let remaining = self.request.deadline.saturating_duration_since(now);
        info!(self.node.deps.logger, "request passed on"; "request" => &*self.request.call.id,
            "peer" => &*host.name, "key" => %self.key, "parts" => %self.parts,
            "send" => self.sends + 1, "resumes" => self.request.resumes.as_deref(),
            "resume_after" => self.request.resume_after, "left_ms" => millis(remaining),
            "cause" => "this host is cut off from the endpoints");
        self.node.metrics.count_passed_request();
        self.sends += 1;
        self.endpoint = Some(host.name.clone());
        Some((AttemptTarget::Host(host), None))
    }

    /// Options of an attempt at another host.
    pub(super) fn pass_options(&self, resume_after: Option<u64>) -> PassOptions {
        let began_by = self.began_by().map(Arc::from);
        PassOptions {
            remaining: self
                .request
                .deadline
                .saturating_duration_since(Instant::now()),
            resume_after,
            resumes: resume_after.and(began_by),
            version: self.version,
        }
    }
}

/// Draws a host that passes requests on. One that got data from an endpoint a short time ago comes first, and one of the same failure
/// domain before others.
fn pick_host(
    state: &mut SwitchState,
    node: &SwitchNode,
    tried: &[Arc<str>],
    now: Instant,
) -> Option<HostDescriptor> {
    let SwitchState {
        members,
        reach,
        rng,
        ..
    } = state;
    let own_domain = &node.settings.descriptor.domain;
    let is_usable = |entry: &&MemberEntry| {
        let name = &entry.descriptor.name;
        entry.ready
            && entry.reach.is_some()
            && !tried.contains(name)
            && !reach.is_host_avoided(name, now)
    };
    let usable = members.live(now).filter(is_usable);
    let best = usable.min_by_key(|entry| {
        let is_near = entry.descriptor.domain == *own_domain;
        (!entry.has_recent_data(), !is_near, rng.random::<u32>())
    });
    best.map(|entry| entry.descriptor.clone())
}

impl SwitchNode {
    /// Serves a request that another host, which is cut off from the endpoints, has passed on: sends it to an endpoint once. It is not
    /// passed on again.
    pub async fn serve_passed_on(
        self: &Arc<Self>,
        call: EndpointCall,
        options: PassOptions,
    ) -> OnlineReply {
        let routes = self.routes();
        let path = call.target.split('?').next().unwrap_or_default();
        let route = routes.and_then(|routes| routes.find(&call.host, path).cloned());
        let Some(route) = route.filter(|route| route.kind != RouteKind::Batch) else {
            return OnlineReply::OutOfReach;
        };
        let deadline = Instant::now() + options.remaining.min(route.timeout);
        let request = OnlineRequest {
            call,
            route,
            workspace: None,
            resume_after: options.resume_after,
            resumes: options.resumes,
            passed_on: Some(PassedOn {
                version: options.version,
            }),
            deadline,
        };
        self.serve_online(request).await
    }
}

impl OnlineReply {
    /// The reply as the host gets it that has passed the request on.
    ///
    /// # Errors
    /// Returns the reason for which there is no response of an endpoint.
    pub fn into_passed(self) -> Result<EndpointResponse, CallError> {
        let interrupted = |cause: &str| CallError::Interrupted {
            cause: cause.into(),
        };
        match self {
            Self::Response(response) => Ok(*response),
            Self::Rejected { retry_after } | Self::OverCap { retry_after } => {
                Err(CallError::Rejected { retry_after })
            }
            Self::OutOfReach => Err(CallError::NotSent {
                cause: "the host does not reach the endpoints either".into(),
            }),
            Self::Failed => Err(interrupted("the attempt at the other host failed")),
            Self::TimedOut => Err(interrupted("no response at the other host in time")),
        }
    }
}
