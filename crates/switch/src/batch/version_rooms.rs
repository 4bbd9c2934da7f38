//! Software versions without a free slot for items, while other endpoints of the route have one.

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
    /// goes by the last heartbeats, as only coordinators know the slots exactly.
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
            ..
        } = state;
        let is_held_back = is_held_back(load, endpoints, limits, route, version, now);
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
    let has_slot = |version: Option<VersionKey>| {
        let mut services = route.services();
        services.any(|service| {
            let filter = EndpointFilter { service, version };
            let is_admitted = |id: &str| limits.admits_item(id, now);
            load.has_batch_slot(endpoints, filter, is_admitted, now)
        })
    };
    !has_slot(Some(version)) && has_slot(None)
}
