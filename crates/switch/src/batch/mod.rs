//! Scheduler for batch items: runs them in the capacity that online requests leave, and preempts them for online
//! requests.

pub mod explain;
mod idle;
mod items;
pub mod limited;
mod outcomes;
pub(crate) mod routeless;
mod run;
mod shares;
pub mod version_rooms;

pub(crate) use outcomes::hand_over;

use crate::answer_progress::AnswerProgress;
use crate::backend::EndpointCall;
use crate::coordinator::message::SlotNeed;
use crate::coordinator::scope::ItemScope;
use crate::coordinator::{SlotRequest, slot_candidates};
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::in_flight::InFlightGuard;
use crate::item_status::ItemStatus;
use crate::load::RequestClass;
use crate::node::{RunningItem, SwitchNode, SwitchState, millis};
use crate::origins::VersionKey;
use crate::panics::spawn_vital;
use crate::progress::{ProgressSegment, SegmentChain};
use crate::prompt::PromptParts;
use crate::quarantine::Admission;
use crate::report::EndpointKey;
use crate::route::{RouteTable, ServiceRoute};
use crate::schedule::{ItemName, RunnableItem, sort_items, start_quota};
use crate::trial::ASK_INTERVAL;
use crate::version_holds;
use http::Method;
use items::{OpenItems, events_so_far, give_up, runnable_items};
use outcomes::{ItemUpdate, record_updates, run_checkpoints};
use rand::Rng;
use run::ItemRun;
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

/// Runs scheduling passes for as long as the host runs.
pub(crate) async fn run_scheduler(node: Arc<SwitchNode>) {
    let (updates, queue) = mpsc::unbounded_channel();
    spawn_vital("results of items", record_updates(node.clone(), queue));
    spawn_vital("checkpoints of items", run_checkpoints(node.clone()));
    loop {
        // A pass is due whether it was requested or the interval has passed.
        let _ = timeout(SCHEDULE_INTERVAL, node.schedule_requested.notified()).await;
        for launch in schedule_items(&node, &updates) {
            tokio::spawn(launch.run.run_contained(launch.cancelled, updates.clone()));
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
    let now = Instant::now();
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
    idle::release_items(node, state, now);
    let launches = match items::start_obstacle(state) {
        Some(status) => {
            items::record_blocked(state, status);
            Vec::new()
        }
        None => start_items(node, state, updates),
    };
    explain::log_open_items(node, state, now);
    launches
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
    state.item_waits.retain(is_open);
}

/// Preempts items at endpoints that have more requests than slots, those with the least output first. In a large fleet, coordinators say
/// which.
fn preempt_items(node: &SwitchNode, state: &mut SwitchState) {
    let now = Instant::now();
    let own = &node.settings.descriptor.name;
    for (id, excess) in due_preemptions(state, own, now) {
        state.load.record_preemption(&id, now);
        preempt_at(node, state, &id, excess);
    }
}

/// Endpoints at which items must give way, and how many of this host.
fn due_preemptions(state: &mut SwitchState, own: &str, now: Instant) -> Vec<(Arc<str>, usize)> {
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
    let SwitchState {
        endpoints, load, ..
    } = state;
    let mut due = Vec::new();
    for endpoint in ids.iter().filter_map(|id| endpoints.get(id)) {
        if load.record_excess(endpoint, now) {
            let count = load.batch_preemptions(own, endpoint, now) as usize;
            due.push((endpoint.id.clone(), count));
        }
    }
    due
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
            "item" => running.name.item, "id" => items::request_id(&state.ledger, &running.name),
            "endpoint" => &**id, "excess" => excess);
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
        items::record_blocked(state, ItemStatus::NoConfiguration);
        return launches;
    };
    let now = Instant::now();
    let obstacle = items::log_obstacle(node, state, now);
    let mut open = match obstacle {
        Some(_) => OpenItems::default(),
        None => runnable_items(node, state, &routes, now, updates),
    };
    sort_items(&mut open.runnable);
    state.version_holds.begin_pass(now);
    let mut pass = StartPass {
        node,
        routes: &routes,
        now,
        hosts: u32::try_from(state.members.live(now).count() + 1).unwrap_or(u32::MAX),
        rooms: VersionRooms::default(),
        quotas: Vec::new(),
    };
    for item in open.runnable {
        match pass.start(state, &item) {
            Ok(launch) => launches.push(launch),
            Err(Hindrance::Unsendable) => {
                let cause = "its path, its ID or its headers cannot be sent";
                give_up(node, state, item.name, cause, updates);
            }
            Err(Hindrance::Waits(status)) => open.waiting.push((item.name, status)),
        }
    }
    if let Some(status) = obstacle {
        items::record_blocked(state, status);
    } else {
        let counts = items::add_busy(state, open.counts);
        state.item_waits.record_pass(open.waiting, counts, now);
    }
    state.coordination.asks.resolve_granted();
    state.resolve_own_grants(&node.settings.descriptor.name);
    launches
}

/// Why an item does not start.
enum Hindrance {
    /// No request can be made of it.
    Unsendable,
    /// It waits.
    Waits(ItemStatus),
}

/// What the starts of one scheduling pass share.
struct StartPass<'a> {
    node: &'a Arc<SwitchNode>,
    routes: &'a RouteTable,
    now: Instant,
    /// Number of live hosts.
    hosts: u32,
    rooms: VersionRooms,
    quotas: Vec<ServiceQuota>,
}

/// How many more items of a service may start in a pass.
struct ServiceQuota {
    service: Arc<str>,
    left: u32,
    /// Whether any could start at the beginning of the pass.
    had_any: bool,
}

impl StartPass<'_> {
    /// Starts an item if a slot is free.
    fn start(
        &mut self,
        state: &mut SwitchState,
        item: &RunnableItem,
    ) -> Result<ItemLaunch, Hindrance> {
        let (node, now) = (self.node, self.now);
        let built = node.contain("make the request of an item", || {
            build_call(state, self.routes, &item.name)
        });
        let Some((call, route)) = built.flatten() else {
            return Err(Hindrance::Unsendable);
        };
        let Some(target) = pick_target(node, state, &item.name, &route, &mut self.rooms, now)
        else {
            return Err(Hindrance::Waits(ItemStatus::NoSlot));
        };
        let quarantined = Hindrance::Waits(ItemStatus::Quarantined);
        if state.coordination.is_active() {
            let granted = coordinated_endpoint(node, state, item, &target, now);
            let endpoint = granted.ok_or(Hindrance::Waits(ItemStatus::NotGranted))?;
            return begin_item(node, state, item, &endpoint, call).ok_or(quarantined);
        }
        let full = if target.is_version_full {
            ItemStatus::VersionFull
        } else {
            ItemStatus::NoSlot
        };
        let index = self.quota(state, target.service);
        let quota = &mut self.quotas[index];
        if quota.left == 0 {
            let status = if quota.had_any {
                ItemStatus::QuotaUsed
            } else {
                full
            };
            return Err(Hindrance::Waits(status));
        }
        let filter = EndpointFilter {
            service: target.service,
            version: target.version,
        };
        let is_admitted = |id: &str| state.limits.admits_item(id, now);
        let picked =
            state
                .load
                .pick_batch(&state.endpoints, filter, is_admitted, now, &mut state.rng);
        let endpoint = picked.ok_or(Hindrance::Waits(full))?;
        let launch = begin_item(node, state, item, &endpoint, call).ok_or(quarantined)?;
        quota.left -= 1;
        Ok(launch)
    }

    /// Index of the quota of a service.
    fn quota(&mut self, state: &SwitchState, service: &Arc<str>) -> usize {
        let known = self
            .quotas
            .binary_search_by(|quota| quota.service.cmp(service));
        known.unwrap_or_else(|index| {
            let free = state.load.free_slots(&state.endpoints, service, self.now);
            let left = start_quota(free, self.hosts);
            let quota = ServiceQuota {
                service: service.clone(),
                left,
                had_any: left > 0,
            };
            self.quotas.insert(index, quota);
            index
        })
    }
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
    let admission = node.admit(state, &call.id, &parts, now);
    if let Admission::Rejected { trial_in, .. } = admission {
        info!(node.deps.logger, "item held back"; "job" => &*name.job,
            "item" => name.item, "id" => &*call.id, "parts" => %parts,
            "cause" => "parts of its prompt crash endpoints");
        let until = now + trial_in.clamp(ASK_INTERVAL, MAX_HOLD_TIME);
        state.histories.hold_back(&name, until);
        return None;
    }
    let output_version = output_version(state, &name);
    let starts_again = output_version.is_some_and(|version| version != endpoint.version_key());
    let segments = if starts_again {
        state.version_holds.remove(&name);
        info!(node.deps.logger, "output discarded"; "job" => &*name.job, "item" => name.item,
            "id" => &*call.id,
            "cause" => "no endpoint of the version that wrote it has a free slot");
        state.remove_progress(&name);
        Vec::new()
    } else {
        checkpoints(state, &name).map_or_else(Vec::new, |chain| chain.segments().to_vec())
    };
    let call = ItemCall {
        call,
        parts,
        is_trial: admission == Admission::Trial,
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
    /// Whether that version has no free slot, though others of the route have one.
    is_version_full: bool,
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
    if let Some((service, version)) = bound_version(state, name, route, now) {
        let is_version_full = rooms.is_held_back(state, route, version, now);
        if !(is_version_full && may_begin_anew(node, state, name)) {
            return Some(ItemTarget {
                service,
                version: Some(version),
                is_version_full,
            });
        }
    }
    Some(ItemTarget {
        service: route.pick_service(state.rng.random::<f64>())?,
        version: None,
        is_version_full: false,
    })
}

/// The software version that has written an item's output so far, with its service, if any endpoint has it.
fn bound_version<'a>(
    state: &SwitchState,
    name: &ItemName,
    route: &'a ServiceRoute,
    now: Instant,
) -> Option<(&'a Arc<str>, VersionKey)> {
    let version = output_version(state, name)?;
    let endpoints = &state.endpoints;
    let service = endpoints.service_with_version(route.services(), version, now)?;
    Some((service, version))
}

/// Whether an item that its version alone holds back has waited for as long as its output takes to make again.
fn may_begin_anew(node: &SwitchNode, state: &mut SwitchState, name: &ItemName) -> bool {
    let held = state.version_holds.record(name);
    let max_hold_time = max_hold_time(state, name);
    let may_begin = held >= max_hold_time;
    if may_begin {
        debug!(node.deps.logger, "item may begin anew"; "job" => &*name.job, "item" => name.item,
            "max_hold_ms" => millis(max_hold_time), "held_ms" => millis(held));
    }
    may_begin
}

/// Time for which an item waits for the software version of its output.
fn max_hold_time(state: &SwitchState, name: &ItemName) -> Duration {
    let job = state.ledger.get(&name.job);
    let events = job.map_or(0, |job| {
        events_so_far(state, name, &job.items[name.item as usize])
    });
    version_holds::max_hold_time(state.item_times.redo_time(events))
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
    let headers = item.header_map()?;
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
    /// Whether it is the trial of a quarantine.
    is_trial: bool,
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
        is_trial,
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
        is_trial,
        admitted_at: Instant::now(),
        sent_at: None,
        progress,
        segments,
        resumed_after: None,
        first_event_at: None,
        answer: AnswerProgress::default(),
        framing: None,
    };
    ItemLaunch { run, cancelled }
}
