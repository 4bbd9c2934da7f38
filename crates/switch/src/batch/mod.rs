//! Scheduler for batch items: runs them in the capacity that online requests leave, and preempts them for online
//! requests.

mod limited;
mod outcomes;
pub(crate) mod routeless;
mod run;
mod shares;
mod version_rooms;

pub(crate) use outcomes::hand_over;

use crate::backend::EndpointCall;
use crate::coordinator::message::SlotNeed;
use crate::coordinator::scope::ItemScope;
use crate::coordinator::{SlotRequest, slot_candidates};
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::in_flight::InFlightGuard;
use crate::jobs::MAX_CLOCK_SKEW;
use crate::ledger::{ItemState, LedgerItem, LedgerJob};
use crate::load::RequestClass;
use crate::node::{RunningItem, SwitchNode, SwitchState, millis, unix_time_ms};
use crate::origins::VersionKey;
use crate::progress::{ProgressSegment, SegmentChain};
use crate::prompt::PromptParts;
use crate::quarantine::Admission;
use crate::report::EndpointKey;
use crate::route::{RouteTable, ServiceRoute};
use crate::schedule::{ItemKey, ItemName, RunnableItem, sort_items, start_quota};
use crate::trial::ASK_INTERVAL;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use limited::RouteSharers;
use outcomes::{ItemUpdate, UpdateKind, record_updates, run_checkpoints, send_update};
use rand::Rng;
use run::ItemRun;
use shares::{had_lately, item_claim};
use slog::{debug, info};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use version_rooms::VersionRooms;

/// Maximum time between two scheduling passes.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which an item whose prompt crashes endpoints is held back before it is looked at again.
const MAX_HOLD_TIME: Duration = Duration::from_secs(5);
/// Time for which an item waits for the software version of its output at least, also while no item has been measured: items give way to
/// online requests for shorter times.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);

/// Runs scheduling passes for as long as the host runs.
pub(crate) async fn run_scheduler(node: Arc<SwitchNode>) {
    let (updates, queue) = mpsc::unbounded_channel();
    tokio::spawn(record_updates(node.clone(), queue));
    tokio::spawn(run_checkpoints(node.clone()));
    loop {
        // A pass is due whether it was requested or the interval has passed.
        let _ = timeout(SCHEDULE_INTERVAL, node.schedule_requested.notified()).await;
        for launch in schedule_items(&node, &updates) {
            tokio::spawn(launch.run.run(launch.cancelled, updates.clone()));
        }
    }
}

/// A run that is to be spawned. That must not happen while the state is locked: a runtime that shuts down drops the run at
/// once, which locks the state to take the item out of the load.
struct ItemLaunch {
    run: ItemRun,
    /// Ends the run when it is sent.
    cancelled: oneshot::Receiver<()>,
}

/// Makes one scheduling pass. Returns the runs that begin.
fn schedule_items(
    node: &Arc<SwitchNode>,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) -> Vec<ItemLaunch> {
    let mut state = node.lock();
    let state = &mut *state;
    cancel_closed_items(state);
    if state.load.update_overdue(node.heard_at()) {
        // Other hosts may run batch items at the endpoint.
        if state.coordination.is_active() {
            node.neighbour_heartbeat_requested.notify_one();
        } else {
            node.heartbeat_requested.notify_one();
        }
    }
    node.coordinate(state);
    preempt_items(node, state);
    if state.stopping || !state.reach.starts_items() {
        return Vec::new();
    }
    start_items(node, state, updates)
}

/// Cancels the runs of items that are no longer open.
fn cancel_closed_items(state: &mut SwitchState) {
    let ledger = &state.ledger;
    let is_open = |name: &ItemName| ledger.is_item_open(&name.job, name.item);
    for running in &mut state.running {
        if !is_open(&running.name)
            && let Some(cancel) = running.cancel.take()
        {
            // The send fails if the run has just ended.
            let _ = cancel.send(());
        }
    }
    state.unrecorded.retain(is_open);
    state.progress.retain(|(name, _)| is_open(name));
    state.version_holds.retain(is_open);
}

/// Preempts items at endpoints that have more requests than slots, those with the least output first. In a large fleet, coordinators say
/// which.
fn preempt_items(node: &SwitchNode, state: &mut SwitchState) {
    let now = Instant::now();
    for (id, excess) in due_preemptions(state, now) {
        state.load.record_preemption(&id, now);
        preempt_at(node, state, &id, excess);
    }
}

/// Endpoints at which items of this host must give way, and how many.
fn due_preemptions(state: &mut SwitchState, now: Instant) -> Vec<(Arc<str>, usize)> {
    let mut ids: Vec<Arc<str>> = state
        .running
        .iter()
        .map(|running| running.endpoint.clone())
        .collect();
    ids.sort_unstable();
    ids.dedup();
    if state.coordination.is_active() {
        let orders = state.coordination.take_orders();
        let excess = |id: &Arc<str>| -> usize {
            let key = EndpointKey::of(id);
            let at_endpoint = orders.iter().filter(|(endpoint, _)| *endpoint == key);
            let cancelled = state.running.iter();
            let cancelled = cancelled
                .filter(|running| running.endpoint == *id && running.cancel.is_none())
                .count();
            let ordered: usize = at_endpoint.map(|(_, count)| usize::from(*count)).sum();
            if ordered == 0 { 0 } else { ordered + cancelled }
        };
        let due = ids.into_iter().map(|id| (excess(&id), id));
        return due
            .filter(|(excess, _)| *excess > 0)
            .map(|(excess, id)| (id, excess))
            .collect();
    }
    let endpoints = ids.iter().filter_map(|id| state.endpoints.get(id));
    let due = endpoints.map(|endpoint| {
        let excess = state.load.batch_preemptions(endpoint, now) as usize;
        (endpoint.id.clone(), excess)
    });
    due.filter(|(_, excess)| *excess > 0).collect()
}

/// Preempts items at an endpoint until `excess` are, with those whose runs are being cancelled.
fn preempt_at(node: &SwitchNode, state: &mut SwitchState, id: &Arc<str>, excess: usize) {
    let (mut runs, cancelled): (Vec<_>, Vec<_>) = state
        .running
        .iter_mut()
        .filter(|running| running.endpoint == *id)
        .partition(|running| running.cancel.is_some());
    runs.sort_by_key(|running| running.progress.lock().len());
    let count = excess.saturating_sub(cancelled.len());
    for running in runs.into_iter().take(count) {
        info!(node.deps.logger, "item gives way"; "job" => &*running.name.job,
            "item" => running.name.item, "endpoint" => &**id, "excess" => excess);
        if let Some(cancel) = running.cancel.take() {
            let _ = cancel.send(());
        }
    }
}

/// Starts items where slots are free.
fn start_items(
    node: &Arc<SwitchNode>,
    state: &mut SwitchState,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) -> Vec<ItemLaunch> {
    let mut launches = Vec::new();
    let Some(routes) = state.routes.clone() else {
        return launches;
    };
    let now = Instant::now();
    let mut runnable = runnable_items(node, state, &routes, now, updates);
    sort_items(&mut runnable);
    let hosts = u32::try_from(state.members.live(now).count() + 1).unwrap_or(u32::MAX);
    state.version_holds.begin_pass(now);
    let mut rooms = VersionRooms::default();
    let mut quotas: Vec<(Arc<str>, u32)> = Vec::new();
    for item in runnable {
        let Some((call, route)) = build_call(state, &routes, &item.name) else {
            let cause = "its path or its ID cannot be sent";
            give_up(node, state, item.name, cause, updates);
            continue;
        };
        let Some(target) = pick_target(node, state, &item.name, &route, &mut rooms, now) else {
            continue;
        };
        let service = target.service;
        if state.coordination.is_active() {
            let Some(endpoint) = coordinated_endpoint(node, state, &item, &target, now) else {
                continue;
            };
            let begun = begin_item(node, state, &item, &endpoint, call);
            launches.extend(begun);
            continue;
        }
        let index = match quotas.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let free = state.load.free_slots(&state.endpoints, service, now);
                quotas.insert(index, (service.clone(), start_quota(free, hosts)));
                index
            }
        };
        if quotas[index].1 == 0 {
            continue;
        }
        let endpoints = &state.endpoints;
        let filter = EndpointFilter {
            service,
            version: target.version,
        };
        let is_admitted = |id: &str| state.limits.admits_item(id, now);
        let picked = state
            .load
            .pick_batch(endpoints, filter, is_admitted, now, &mut state.rng);
        let Some(endpoint) = picked else {
            continue;
        };
        let begun = begin_item(node, state, &item, &endpoint, call);
        if let Some(launch) = begun {
            launches.push(launch);
            quotas[index].1 -= 1;
        }
    }
    state.coordination.asks.resolve_granted();
    state.resolve_own_grants(&node.settings.descriptor.name);
    launches
}

/// The endpoint that a coordinator has granted for an item. Asks for one if none has, and returns `None`.
fn coordinated_endpoint(
    node: &SwitchNode,
    state: &mut SwitchState,
    item: &RunnableItem,
    target: &ItemTarget<'_>,
    now: Instant,
) -> Option<Arc<ListedEndpoint>> {
    if state.coordination.asks.granted(&item.name).is_none() {
        ask_for_endpoint(node, state, item, target, now);
    }
    // This host may be the coordinator.
    let (number, key) = state.coordination.asks.granted(&item.name)?;
    // The load of this host has the item from now on.
    state.coordination.asks.resolve(number);
    let endpoint = state.endpoints.serving_with_key(key, now)?;
    let has_version = target
        .version
        .is_none_or(|version| endpoint.version_key() == version);
    let is_usable = has_version && state.limits.admits_item(&endpoint.id, now);
    is_usable.then(|| endpoint.clone())
}

fn ask_for_endpoint(
    node: &SwitchNode,
    state: &mut SwitchState,
    item: &RunnableItem,
    target: &ItemTarget<'_>,
    now: Instant,
) {
    let scope = ItemScope {
        service: target.service.clone(),
        version: target.version,
    };
    if !state.coordination.asks.may_ask_for(&item.name, &scope, now) {
        return;
    }
    let candidates = slot_candidates(state, scope.filter(), &[], |limits, id| {
        limits.admits_item(id, now)
    });
    let request = SlotRequest {
        service: target.service.clone(),
        version: target.version,
        candidates,
        need: SlotNeed::Item {
            in_time: item.in_time,
            due_ms: item.due_ms,
        },
        claim: item.claim,
    };
    node.ask_for_item(state, &item.name, &request);
}

/// Starts an item at an endpoint, unless its prompt is rejected.
fn begin_item(
    node: &Arc<SwitchNode>,
    state: &mut SwitchState,
    item: &RunnableItem,
    endpoint: &Arc<ListedEndpoint>,
    call: EndpointCall,
) -> Option<ItemLaunch> {
    let now = Instant::now();
    let name = item.name.clone();
    let parts = node.deps.client.prompt_parts(&call.headers);
    if let Admission::Rejected { trial_in, .. } = node.admit(state, &call.id, &parts, now) {
        info!(node.deps.logger, "item held back"; "job" => &*name.job,
            "item" => name.item, "parts" => %parts,
            "cause" => "parts of its prompt crash endpoints");
        let until = now + trial_in.clamp(ASK_INTERVAL, MAX_HOLD_TIME);
        state.histories.hold_back(&name, until);
        return None;
    }
    state.version_holds.remove(&name);
    let output_version = output_version(state, &name);
    let starts_again = output_version.is_some_and(|version| version != endpoint.version_key());
    let segments = if starts_again {
        info!(node.deps.logger, "output discarded"; "job" => &*name.job, "item" => name.item,
            "cause" => "no endpoint of the version that wrote it has a free slot");
        state.remove_progress(&name);
        Vec::new()
    } else {
        checkpoints(state, &name).map_or_else(Vec::new, |chain| chain.segments().to_vec())
    };
    let call = ItemCall {
        call,
        parts,
        segments,
    };
    shares::record_start(state, &endpoint.service, item.claim, now);
    Some(start_item(node, state, name, endpoint, call))
}

/// Where an item may run.
struct ItemTarget<'a> {
    service: &'a Arc<str>,
    /// Software version that has written the item's output so far; `None` for any.
    version: Option<VersionKey>,
}

/// Selects where an item runs: at the software version that has written its output so far, if any endpoint has it. An item that was held
/// back by that alone for as long as its output takes to make again may begin anew at any version.
fn pick_target<'a>(
    node: &SwitchNode,
    state: &mut SwitchState,
    name: &ItemName,
    route: &'a ServiceRoute,
    rooms: &mut VersionRooms,
    now: Instant,
) -> Option<ItemTarget<'a>> {
    let version = output_version(state, name);
    let found = version.and_then(|version| {
        let service = state
            .endpoints
            .service_with_version(route.services(), version, now)?;
        Some((service, version))
    });
    if let Some((service, version)) = found
        && !(rooms.is_held_back(state, route, version, now) && may_begin_anew(node, state, name))
    {
        return Some(ItemTarget {
            service,
            version: Some(version),
        });
    }
    Some(ItemTarget {
        service: route.pick_service(state.rng.random::<f64>())?,
        version: None,
    })
}

/// Whether an item that its version alone holds back has waited for as long as its output takes to make again.
fn may_begin_anew(node: &SwitchNode, state: &mut SwitchState, name: &ItemName) -> bool {
    let held = state.version_holds.record(name);
    let job = state.ledger.get(&name.job);
    let events = job.map_or(0, |job| {
        events_so_far(state, name, &job.items[name.item as usize])
    });
    let redo_time = state.item_times.redo_time(events);
    let may_begin = held >= redo_time.max(MIN_HOLD_TIME);
    if may_begin {
        debug!(node.deps.logger, "item may begin anew"; "job" => &*name.job, "item" => name.item,
            "events" => events, "held_ms" => millis(held));
    }
    may_begin
}

/// Software version that has written the output of an item so far, which this host has or which is in the log.
fn output_version(state: &SwitchState, name: &ItemName) -> Option<VersionKey> {
    let local = state.progress.iter().find(|(known, _)| known == name);
    let local = local.and_then(|(_, progress)| progress.lock().version());
    local.or_else(|| checkpoints(state, name)?.version())
}

/// Checkpoints of an item in the log.
fn checkpoints<'a>(state: &'a SwitchState, name: &ItemName) -> Option<&'a SegmentChain> {
    let job = state.ledger.get(&name.job)?;
    Some(&job.items[name.item as usize].checkpoints)
}

/// Items that this host should run and is not running yet. Abandons items that have expired or whose route was removed.
fn runnable_items(
    node: &SwitchNode,
    state: &mut SwitchState,
    routes: &RouteTable,
    now: Instant,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) -> Vec<RunnableItem> {
    let own = &*node.settings.descriptor.name;
    let now_ms = unix_time_ms();
    let mut runnable = Vec::new();
    let mut abandoned = Vec::new();
    let mut released = Vec::new();
    let mut sharers_of_routes = RouteSharers::default();
    if !state
        .members
        .knows_live_hosts(now.duration_since(node.started))
    {
        return runnable;
    }
    let own_has_log = node.has_log(now);
    if !own_has_log && state.members.others_have_log(now) {
        return runnable;
    }
    let mut own_claims = state.own_claims(usize::MAX);
    own_claims.sort_unstable();
    let mut busy: Vec<ItemKey> = state.busy_items().map(ItemName::key).collect();
    busy.sort_unstable();
    let claimed_items = state.members.claimed_by_others(own, &own_claims, now);
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
        let may_run = |host: &str| {
            sharers
                .as_ref()
                .is_none_or(|sharers| sharers.binary_search_by(|name| (**name).cmp(host)).is_ok())
        };
        for (index, item) in job.items.iter().enumerate() {
            if item.state != ItemState::Open {
                continue;
            }
            let name = item_name(job, index);
            let key = name.key();
            if claimed_items.binary_search(&key).is_ok() || busy.binary_search(&key).is_ok() {
                continue;
            }
            // Items that this host claims and is not busy with are those that it has output of.
            let started = own_claims.binary_search(&key).is_ok();
            let runner = || {
                let members = &state.members;
                members.runner_of(&name, own, own_has_log, may_run, now)
            };
            if started && !may_run(own) {
                // Another host goes on after the last checkpoint.
                released.push(name);
                continue;
            }
            if !started && runner() != own {
                continue;
            }
            if is_expired {
                abandoned.push(name);
            } else if let Some(route) = route
                && state.histories.may_run(&name, now)
            {
                let due_ms = job
                    .accepted_ms
                    .saturating_add(millis(route.completion_target));
                let claim = item_claim(routes, route, job);
                let remaining = state
                    .item_times
                    .remaining(events_so_far(state, &name, item));
                runnable.push(RunnableItem {
                    due_ms,
                    in_time: now_ms.saturating_add(millis(remaining)) <= due_ms,
                    started,
                    claim,
                    had: had_lately(state, route, claim, now),
                    name,
                });
            }
        }
    }
    for name in abandoned {
        give_up(node, state, name, "its time or its route is over", updates);
    }
    for name in released {
        info!(node.deps.logger, "item released"; "job" => &*name.job, "item" => name.item,
            "cause" => "this host has no share in the limits of its endpoints");
        state.remove_progress(&name);
    }
    runnable
}

/// Abandons an item that does not run.
fn give_up(
    node: &SwitchNode,
    state: &mut SwitchState,
    name: ItemName,
    cause: &str,
    updates: &mpsc::UnboundedSender<ItemUpdate>,
) {
    info!(node.deps.logger, "item given up"; "job" => &*name.job, "item" => name.item,
        "cause" => cause);
    state.unrecorded.push(name.clone());
    let kind = UpdateKind::Abandoned;
    send_update(updates, ItemUpdate { name, kind });
}

/// Number of events of an item's output that this host has or that are in the log.
fn events_so_far(state: &SwitchState, name: &ItemName, item: &LedgerItem) -> u64 {
    let local = state.progress.iter().find(|(known, _)| known == name);
    let local = local.and_then(|(_, progress)| progress.lock().last_event());
    let logged = item.checkpoints.segments().last();
    let logged = logged.map(|segment| segment.last_event);
    local.or(logged).unwrap_or(0)
}

fn item_name(job: &LedgerJob, index: usize) -> ItemName {
    ItemName {
        job: job.id.clone(),
        item: u32::try_from(index).unwrap_or(u32::MAX),
    }
}

/// Builds the call that runs an item, and returns it with the route of the item's job. `None` if no request can be made of the item,
/// which a host of an earlier release may have accepted.
fn build_call(
    state: &SwitchState,
    routes: &RouteTable,
    name: &ItemName,
) -> Option<(EndpointCall, Arc<ServiceRoute>)> {
    let job = state.ledger.get(&name.job)?;
    let item = &job.items[name.item as usize].accepted;
    if !item.is_sendable() {
        return None;
    }
    let route = routes.find_for_job(&job.host, &job.path_prefix)?;
    let mut headers = HeaderMap::new();
    for (header, value) in &item.headers {
        let parsed = (
            HeaderName::from_bytes(header.as_bytes()),
            HeaderValue::from_str(value),
        );
        if let (Ok(header), Ok(value)) = parsed {
            headers.append(header, value);
        }
    }
    let call = EndpointCall {
        id: item.id.clone(),
        method: Method::POST,
        host: job.host.clone(),
        target: item.path.clone(),
        headers,
        body: item.body.clone(),
        workspace: job.workspace.clone(),
    };
    Some((call, route.clone()))
}

/// What a run of an item sends.
struct ItemCall {
    call: EndpointCall,
    /// Parts of its prompt that other requests may share.
    parts: PromptParts,
    /// Output in the log, from checkpoints of earlier runs.
    segments: Vec<ProgressSegment>,
}

fn start_item(
    node: &Arc<SwitchNode>,
    state: &mut SwitchState,
    name: ItemName,
    endpoint: &Arc<ListedEndpoint>,
    call: ItemCall,
) -> ItemLaunch {
    let ItemCall {
        call,
        parts,
        segments,
    } = call;
    let progress = state.start_progress(&name);
    let (cancel, cancelled) = oneshot::channel();
    info!(node.deps.logger, "item started"; "job" => &*name.job, "item" => name.item,
        "id" => &*call.id, "parts" => %parts,
        "endpoint" => &*endpoint.id, "version" => &*endpoint.version,
        "after_event" => progress.lock().last_event(),
        "load" => state.load.total(&endpoint.id).total(),
        "listing" => state.endpoints.read_until(),
        "listing_age_ms" => state.endpoints.read_age(Instant::now()).map(millis),
        "held_back" => state.endpoints.removal_due(&endpoint.id).is_some());
    state.limits.take(&endpoint.id, Instant::now());
    state.running.push(RunningItem {
        name: name.clone(),
        endpoint: endpoint.id.clone(),
        progress: progress.clone(),
        cancel: Some(cancel),
    });
    let run = ItemRun {
        guard: Some(InFlightGuard::begin(
            node,
            state,
            endpoint,
            RequestClass::Batch,
        )),
        node: node.clone(),
        name,
        endpoint: endpoint.clone(),
        call,
        parts,
        admitted_at: Instant::now(),
        sent_at: None,
        progress,
        segments,
        resumed_after: None,
        first_event_at: None,
        has_begun: false,
        framing: None,
    };
    ItemLaunch { run, cancelled }
}
