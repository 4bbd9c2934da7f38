//! Software versions without a free slot for items, while other endpoints of the route have one.

use crate::coordinator::scope::ItemScope;
use crate::endpoint::{EndpointFilter, EndpointTable};
use crate::limits::LimitTable;
use crate::load::LoadView;
use crate::node::SwitchState;
use crate::origins::VersionKey;
use crate::route::ServiceRoute;
use std::sync::Arc;
use tokio::time::Instant;

/// Which versions hold items back, as far as it was computed in a scheduling pass.
#[derive(Default)]
pub(super) struct VersionRooms(Vec<(Arc<str>, VersionKey, bool)>);

impl VersionRooms {
    /// Whether the endpoints of a version have no slot for an item of the route, though others of its endpoints do. In a large fleet this
    /// goes by the answers of coordinators and the last heartbeats: coordinators know the slots exactly, and keep others in reserve.
    pub(super) fn is_held_back(
        &mut self,
        state: &SwitchState,
        route: &ServiceRoute,
        version: VersionKey,
        now: Instant,
    ) -> bool {
        let mut known = self.0.iter();
        let known = known.find(|(prefix, key, _)| *prefix == route.path_prefix && *key == version);
        if let Some((_, _, is_held_back)) = known {
            return *is_held_back;
        }
        let SwitchState {
            load,
            endpoints,
            limits,
            coordination,
            ..
        } = state;
        let was_denied = |service: &Arc<str>| {
            let scope = ItemScope {
                service: service.clone(),
                version: Some(version),
            };
            coordination.asks.was_denied(&scope, now)
        };
        let is_held_back = if coordination.is_active() && route.services().any(was_denied) {
            has_other_slot(load, endpoints, limits, route, version, now)
        } else {
            is_held_back(load, endpoints, limits, route, version, now)
        };
        self.0
            .push((route.path_prefix.clone(), version, is_held_back));
        is_held_back
    }
}

/// Whether the endpoints of a version have no slot for an item of the route, though others of its endpoints do.
#[must_use]
pub fn is_held_back(
    load: &LoadView,
    endpoints: &EndpointTable,
    limits: &LimitTable,
    route: &ServiceRoute,
    version: VersionKey,
    now: Instant,
) -> bool {
    let has_slot = |service: &Arc<str>| {
        let filter = EndpointFilter {
            service,
            version: Some(version),
        };
        let is_admitted = |id: &str| limits.admits_item(id, now);
        load.has_batch_slot(endpoints, filter, is_admitted, now)
    };
    !route.services().any(has_slot) && has_other_slot(load, endpoints, limits, route, version, now)
}

/// Whether an endpoint of the route that is not of this version has a slot for an item.
fn has_other_slot(
    load: &LoadView,
    endpoints: &EndpointTable,
    limits: &LimitTable,
    route: &ServiceRoute,
    version: VersionKey,
    now: Instant,
) -> bool {
    let is_other = |id: &str| {
        let endpoint = endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.version_key() != version)
    };
    let is_usable = |id: &str| is_other(id) && limits.admits_item(id, now);
    let mut services = route.services();
    services.any(|service| load.has_batch_slot(endpoints, &**service, is_usable, now))
}
