//! Which open items this host is to run.

use super::limited::RouteSharers;
use super::outcomes::{ItemUpdate, UpdateKind, send_update};
use super::shares::{had_lately, item_claim};
use crate::item_status::{ItemStatus, StatusCounts};
use crate::jobs::MAX_CLOCK_SKEW;
use crate::ledger::{ItemState, JobLedger, LedgerItem, LedgerJob};
use crate::node::{SwitchNode, SwitchState, millis, unix_time_ms};
use crate::route::RouteTable;
use crate::schedule::{ItemKey, ItemName, RunnableItem};
use slog::info;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Why this host starts no item, whatever it knows of them.
pub(super) fn start_obstacle(state: &SwitchState) -> Option<ItemStatus> {
    if state.stopping {
        Some(ItemStatus::Stopping)
    } else if state.reach.is_cut_off() {
        Some(ItemStatus::CutOff)
    } else if state.reach.is_handing_over() {
        Some(ItemStatus::HandingOver)
    } else {
        None
    }
}

/// Why this host cannot tell which items it is to run.
pub(super) fn log_obstacle(
    node: &SwitchNode,
    state: &SwitchState,
    now: Instant,
) -> Option<ItemStatus> {
    let uptime = now.duration_since(node.started);
    if !state.members.knows_live_hosts(uptime) {
        Some(ItemStatus::HostsUnknown)
    } else if !node.has_log(now) && state.members.others_have_log(now) {
        Some(ItemStatus::LogUnread)
    } else {
        None
    }
}

/// Records a pass in which no item could start for one reason.
pub(super) fn record_blocked(state: &mut SwitchState, status: ItemStatus) {
    let jobs = state.ledger.open_jobs();
    let open: usize = jobs.map(|job| job.items.len() - job.results.len()).sum();
    let mut counts = StatusCounts::default();
    counts.add(status, open.saturating_sub(state.busy_items().count()));
    let counts = add_busy(state, counts);
    state.item_waits.record_blocked(status, counts);
}

/// Adds the items that run here, or that the log has to record something of first.
pub(super) fn add_busy(state: &SwitchState, mut counts: StatusCounts) -> StatusCounts {
    counts.add(ItemStatus::Running, state.running.len());
    counts.add(ItemStatus::Unrecorded, state.unrecorded.len());
    counts
}

/// Whose an open item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ItemPlace<'a> {
    /// It runs here, or the log has to record something of it first.
    Busy,
    /// Another host claims it.
    Claimed,
    /// This host has output of it, but no share in the limits of its endpoints.
    Released,
    /// It is assigned to this other host.
    Assigned(&'a str),
    /// This host is to run it.
    Own {
        /// Whether this host has run it before.
        started: bool,
    },
}

/// What decides whose the open items are.
pub(super) struct ItemClaims<'a> {
    own: &'a str,
    own_has_log: bool,
    /// Items that this host claims, sorted.
    own_claims: Vec<ItemKey>,
    /// Items that this host is busy with, sorted.
    busy: Vec<ItemKey>,
    /// Items that other hosts claim, sorted.
    claimed: Vec<ItemKey>,
    now: Instant,
}

impl<'a> ItemClaims<'a> {
    pub(super) fn new(node: &'a SwitchNode, state: &SwitchState, now: Instant) -> Self {
        let own = &*node.settings.descriptor.name;
        let mut own_claims = state.own_claims(usize::MAX, now);
        own_claims.sort_unstable();
        let mut busy: Vec<ItemKey> = state.busy_items().map(ItemName::key).collect();
        busy.sort_unstable();
        let claimed = state.members.claimed_by_others(own, &own_claims, now);
        Self {
            own,
            own_has_log: node.has_log(now),
            own_claims,
            busy,
            claimed,
            now,
        }
    }

    /// Whose an item is. `sharers` are the hosts that share the limits of its endpoints, sorted; `None` if all hosts run such items.
    pub(super) fn place<'s>(
        &'s self,
        state: &'s SwitchState,
        name: &ItemName,
        sharers: Option<&[Arc<str>]>,
    ) -> ItemPlace<'s> {
        let key = name.key();
        if self.busy.binary_search(&key).is_ok() {
            return ItemPlace::Busy;
        }
        if self.claimed.binary_search(&key).is_ok() {
            return ItemPlace::Claimed;
        }
        let may_run = |host: &str| {
            sharers.is_none_or(|sharers| {
                let found = sharers.binary_search_by(|name| (**name).cmp(host));
                found.is_ok()
            })
        };
        // Items that this host claims and is not busy with are those that it has output of.
        let started = self.own_claims.binary_search(&key).is_ok();
        if started {
            return if may_run(self.own) {
                ItemPlace::Own { started }
            } else {
                ItemPlace::Released
            };
        }
        let members = &state.members;
        let runner = members.runner_of(name, self.own, self.own_has_log, may_run, self.now);
        if runner == self.own {
            ItemPlace::Own { started }
        } else {
            ItemPlace::Assigned(runner)
        }
    }
}

/// Open items, as a scheduling pass finds them.
#[derive(Default)]
pub(super) struct OpenItems {
    /// Items that this host should run and is not running yet.
    pub(super) runnable: Vec<RunnableItem>,
    /// Other items that this host is to run.
    pub(super) waiting: Vec<(ItemName, ItemStatus)>,
    /// Number of items that this host is not to run.
    pub(super) counts: StatusCounts,
}

/// Finds the items that this host should run. Abandons items that have expired or whose route was removed.
pub(super) fn runnable_items(
    node: &SwitchNode,
    state: &mut SwitchState,
    routes: &RouteTable,
    now: Instant,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) -> OpenItems {
    let own = &*node.settings.descriptor.name;
    let now_ms = unix_time_ms();
    let mut open = OpenItems::default();
    let mut abandoned = Vec::new();
    let mut released = Vec::new();
    let mut sharers_of_routes = RouteSharers::default();
    let claims = ItemClaims::new(node, state, now);
    let ledger = &state.ledger;
    state.routeless.retain(|id| {
        let job = ledger.get(id).filter(|job| job.is_open());
        let route = job.map(|job| routes.find_for_job(&job.host, &job.path_prefix));
        route.is_some_and(|route| route.is_none())
    });
    for job in state.ledger.open_jobs() {
        let route = routes.find_for_job(&job.host, &job.path_prefix);
        let is_expired = match route {
            Some(route) => {
                let retention_ms = millis(route.retention + MAX_CLOCK_SKEW);
                now_ms > job.accepted_ms.saturating_add(retention_ms)
            }
            None => state
                .routeless
                .is_removed(&job.id, state.config_read_at, now),
        };
        let sharers = route.and_then(|route| sharers_of_routes.get(state, route, own, now));
        for (index, item) in job.items.iter().enumerate() {
            if item.state != ItemState::Open {
                continue;
            }
            let name = item_name(job, index);
            let started = match claims.place(state, &name, sharers) {
                ItemPlace::Own { started } => started,
                ItemPlace::Busy => continue,
                ItemPlace::Claimed => {
                    open.counts.add(ItemStatus::Claimed, 1);
                    continue;
                }
                ItemPlace::Assigned(_) => {
                    open.counts.add(ItemStatus::Assigned, 1);
                    continue;
                }
                ItemPlace::Released => {
                    // Another host goes on after the last checkpoint.
                    open.counts.add(ItemStatus::Released, 1);
                    released.push(name);
                    continue;
                }
            };
            if is_expired {
                abandoned.push(name);
                continue;
            }
            let Some(route) = route else {
                open.waiting.push((name, ItemStatus::RouteMissing));
                continue;
            };
            if let Some(hold) = state.histories.hold(&name, now) {
                let status = if hold.is_quarantined {
                    ItemStatus::Quarantined
                } else {
                    ItemStatus::BackingOff
                };
                open.waiting.push((name, status));
                continue;
            }
            let due_ms = job
                .accepted_ms
                .saturating_add(millis(route.completion_target));
            let claim = item_claim(routes, route, job);
            let remaining = state
                .item_times
                .remaining(events_so_far(state, &name, item));
            open.runnable.push(RunnableItem {
                due_ms,
                in_time: now_ms.saturating_add(millis(remaining)) <= due_ms,
                started,
                claim,
                had: had_lately(state, route, claim, now),
                name,
            });
        }
    }
    for name in abandoned {
        give_up(node, state, name, "its time or its route is over", updates);
    }
    for name in released {
        info!(node.deps.logger, "item released"; "job" => &*name.job, "item" => name.item,
            "id" => request_id(&state.ledger, &name),
            "cause" => "this host has no share in the limits of its endpoints");
        state.remove_progress(&name);
    }
    open
}

/// Abandons an item that does not run.
pub(super) fn give_up(
    node: &SwitchNode,
    state: &mut SwitchState,
    name: ItemName,
    cause: &str,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) {
    info!(node.deps.logger, "item given up"; "job" => &*name.job, "item" => name.item,
        "id" => request_id(&state.ledger, &name), "cause" => cause);
    state.unrecorded.push(name.clone());
    let kind = UpdateKind::Abandoned;
    send_update(updates, ItemUpdate { name, kind });
}

/// ID of the request that runs an item, for the log.
pub(super) fn request_id<'a>(ledger: &'a JobLedger, name: &ItemName) -> Option<&'a str> {
    ledger.item_id(&name.job, name.item).map(|id| &**id)
}

/// Number of events of an item's output that this host has or that are in the log.
pub(super) fn events_so_far(state: &SwitchState, name: &ItemName, item: &LedgerItem) -> u64 {
    let local = state.progress.iter().find(|(known, _)| known == name);
    let local = local.and_then(|(_, progress)| progress.lock().last_event());
    let logged = item.checkpoints.segments().last();
    let logged = logged.map(|segment| segment.last_event);
    local.or(logged).unwrap_or(0)
}

pub(super) fn item_name(job: &LedgerJob, index: usize) -> ItemName {
    ItemName {
        job: job.id.clone(),
        item: u32::try_from(index).unwrap_or(u32::MAX),
    }
}
