//! Which hosts run the items of a service whose endpoints all name limits.
//!
//! A few hosts share the limit of an endpoint, and the others send it nothing. An item that is assigned to a host without a share would wait for
//! as long as the limits last.

use crate::endpoint::EndpointTable;
use crate::limits::LimitTable;
use crate::members::MemberTable;
use crate::node::SwitchState;
use crate::report::EndpointKey;
use crate::route::ServiceRoute;
use std::sync::Arc;
use tokio::time::Instant;

/// Hosts that share the limits of a route's endpoints, sorted; `None` if all hosts run its items.
type LimitSharers = Option<Vec<Arc<str>>>;

/// The hosts that run items of each route, as far as they were computed in a scheduling pass.
#[derive(Default)]
pub(super) struct RouteSharers(Vec<(Arc<ServiceRoute>, LimitSharers)>);

impl RouteSharers {
    /// Hosts that share the limits of the endpoints of a route, sorted; `None` if all hosts run its items.
    pub(super) fn get(
        &mut self,
        state: &SwitchState,
        route: &Arc<ServiceRoute>,
        own: &str,
        now: Instant,
    ) -> Option<&[Arc<str>]> {
        let mut known = self.0.iter();
        let index = known.position(|(known, _)| Arc::ptr_eq(known, route));
        let index = index.unwrap_or_else(|| {
            let (limits, members) = (&state.limits, &state.members);
            let sharers = limit_sharers(limits, members, &state.endpoints, route, own, now);
            self.0.push((route.clone(), sharers));
            self.0.len() - 1
        });
        self.0[index].1.as_deref()
    }
}

/// Hosts that share the limits of the endpoints of a route, sorted; `None` if any of its endpoints names none, so that all hosts may send
/// items.
#[must_use]
pub fn limit_sharers(
    limits: &LimitTable,
    members: &MemberTable,
    endpoints: &EndpointTable,
    route: &ServiceRoute,
    own: &str,
    now: Instant,
) -> Option<Vec<Arc<str>>> {
    if limits.is_empty() {
        return None;
    }
    let hosts = members.live(now).filter(|entry| entry.ready).count() + 1;
    let mut sharers: Vec<Arc<str>> = Vec::new();
    for service in route.services() {
        for endpoint in endpoints.serving(&**service, now) {
            let count = limits.sharer_count(&endpoint.id, hosts)?;
            let hash = EndpointKey::of(&endpoint.id).hash();
            let ranked = members.ranked_hosts(hash, own, count, now);
            sharers.extend(ranked.into_iter().map(Arc::from));
        }
    }
    sharers.sort_unstable();
    sharers.dedup();
    (!sharers.is_empty()).then_some(sharers)
}
