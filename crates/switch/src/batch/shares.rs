//! Shares of workspaces among the items of their jobs.

use crate::coordinator::group::GroupId;
use crate::ledger::LedgerJob;
use crate::node::SwitchState;
use crate::route::{RouteTable, ServiceRoute};
use crate::workspace::fair::ShareClaim;
use crate::workspace::pools::SharePool;
use std::sync::Arc;
use tokio::time::Instant;

/// For whom an item runs, where there are workspaces.
pub(super) fn item_claim(
    routes: &RouteTable,
    route: &ServiceRoute,
    job: &LedgerJob,
) -> Option<ShareClaim> {
    let workspaces = routes.workspaces()?;
    let workspace = job.workspace.as_deref();
    let workspace = workspace.and_then(|name| workspaces.get(name));
    Some(match workspace {
        Some(workspace) => ShareClaim::new(workspace, route.priority),
        None => ShareClaim::public(route.priority),
    })
}

/// What the workspace of an item has had lately of the items that started here.
pub(super) fn had_lately(
    state: &SwitchState,
    route: &ServiceRoute,
    claim: Option<ShareClaim>,
    now: Instant,
) -> u32 {
    let service = route.services().next();
    let pool = service.map(own_pool);
    let shares = &state.coordination.shares;
    pool.map_or(0, |pool| shares.had(&pool, claim, now))
}

/// Records that an item has started here.
pub(super) fn record_start(
    state: &mut SwitchState,
    service: &Arc<str>,
    claim: Option<ShareClaim>,
    now: Instant,
) {
    let shares = &mut state.coordination.shares;
    shares.record_grant(&own_pool(service), claim, now);
}

/// The items that start at this host.
fn own_pool(service: &Arc<str>) -> SharePool<GroupId> {
    SharePool {
        service: service.clone(),
        group: None,
        is_batch: true,
    }
}
