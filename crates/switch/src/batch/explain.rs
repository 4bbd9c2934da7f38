//! Explains why an open item does not run at this host, on request and in a periodic line of the log.
//!
//! An explanation changes nothing and asks nobody. Whether a free slot would be used is what the last scheduling pass found.

use super::items::{ItemClaims, ItemPlace, item_name, log_obstacle, start_obstacle};
use super::limited::RouteSharers;
use super::{bound_version, max_hold_time};
use crate::endpoint::ListedEndpoint;
use crate::item_status::ItemStatus;
use crate::ledger::{ItemState, LedgerJob};
use crate::load::{SlotObstacle, SlotUse};
use crate::node::{SwitchNode, SwitchState, millis, unix_time_ms};
use crate::report::RequestCounts;
use crate::route::ServiceRoute;
use crate::schedule::ItemName;
use slog::info;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of endpoints in an explanation.
const MAX_ENDPOINTS: usize = 256;
/// Minimum time between two lines about the open items. Those that have waited for less, or whose job is younger, cause no line.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of items in a line of those that have waited here for longest, and of those of the oldest jobs.
const LOGGED_ITEMS: usize = 3;
/// Maximum number of endpoints in a line.
const LOGGED_ENDPOINTS: usize = 8;

/// Identifies an item in its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemSelector {
    /// ID of the request that runs it.
    Id(Arc<str>),
    /// Its index.
    Index(u32),
}

/// Item to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemQuery {
    /// Job ID.
    pub job: Arc<str>,
    /// The item in the job.
    pub item: ItemSelector,
}

/// What this host believes of an endpoint on which an item may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemEndpoint {
    /// The endpoint, as it is listed.
    pub endpoint: Arc<ListedEndpoint>,
    /// Who takes its slots.
    pub slots: SlotUse,
    /// Why it gets no item; `None` if it may.
    pub obstacle: Option<SlotObstacle>,
}

impl fmt::Display for ItemEndpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (id, slots) = (&self.endpoint.id, &self.slots);
        let pair = |counts: RequestCounts| format!("{}+{}", counts.online, counts.batch);
        let obstacle = self.obstacle.map_or("free", SlotObstacle::as_str);
        write!(formatter, "{id} {obstacle}, {} slots", self.endpoint.slots)?;
        write!(formatter, ", own {}", pair(slots.own))?;
        write!(formatter, ", peers {}", pair(slots.peers))?;
        write!(formatter, ", granted {}", pair(slots.granted))?;
        let overdue = (slots.own_overdue, slots.peers_overdue);
        write!(formatter, ", overdue {}+{}", overdue.0, overdue.1)?;
        write!(formatter, ", reserved {}", slots.reserved)?;
        if slots.failing_at.is_empty() {
            return Ok(());
        }
        write!(formatter, ", failing at {}", slots.failing_at.join(" "))
    }
}

/// Whether an item runs at this host, or why it does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemExplanation {
    /// ID of the request that runs it.
    pub id: Arc<str>,
    /// Name of the item.
    pub name: ItemName,
    /// `None` if the item has an outcome or its job was cancelled.
    pub status: Option<ItemStatus>,
    /// The endpoint where it runs.
    pub runs_at: Option<Arc<str>>,
    /// The hosts that claim it, or the one that it is assigned to.
    pub hosts: Vec<Arc<str>>,
    /// For how long it has waited at this host, which is to run it.
    pub waited: Option<Duration>,
    /// For how long a quarantine or the backoff after a run holds it back.
    pub held_back_for: Option<Duration>,
    /// Software version that wrote its output, if an endpoint has it.
    pub version: Option<Arc<str>>,
    /// For how long that version alone has held it back.
    pub version_held: Option<Duration>,
    /// For how long that version alone may hold it back.
    pub max_version_hold: Duration,
    /// The endpoints of its route's services, by ID; at most 256.
    pub endpoints: Vec<ItemEndpoint>,
}

impl fmt::Display for ItemExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.status.map_or("ended", ItemStatus::as_str);
        write!(formatter, "{} {status}", self.id)?;
        if !self.hosts.is_empty() {
            write!(formatter, ", hosts {}", self.hosts.join(" "))?;
        }
        if let Some(version) = &self.version {
            write!(formatter, ", version {version}")?;
        }
        let times = [
            ("waited", self.waited),
            ("held back for", self.held_back_for),
            ("held by its version", self.version_held),
        ];
        for (label, time) in times {
            if let Some(time) = time {
                write!(formatter, ", {label} {} ms", millis(time))?;
            }
        }
        Ok(())
    }
}

impl SwitchNode {
    /// Explains why an item does not run at this host. `None` if this host does not know the item.
    #[must_use]
    pub fn explain_item(&self, query: &ItemQuery) -> Option<ItemExplanation> {
        let now = Instant::now();
        let state = &*self.lock();
        let job = state.ledger.get(&query.job)?;
        let index = match &query.item {
            ItemSelector::Index(index) => usize::try_from(*index).ok()?,
            ItemSelector::Id(id) => {
                let mut items = job.items.iter();
                items.position(|item| item.accepted.id == *id)?
            }
        };
        job.items.get(index)?;
        let claims = ItemClaims::new(self, state, now);
        let mut explanation = explain(self, state, &claims, job, index, now);
        if let Some(route) = find_route(state, job) {
            explanation.endpoints = item_endpoints(state, route, MAX_ENDPOINTS, now);
        }
        Some(explanation)
    }
}

/// Explains an item, without its endpoints.
fn explain(
    node: &SwitchNode,
    state: &SwitchState,
    claims: &ItemClaims<'_>,
    job: &LedgerJob,
    index: usize,
    now: Instant,
) -> ItemExplanation {
    let own = &*node.settings.descriptor.name;
    let name = item_name(job, index);
    let route = find_route(state, job);
    let mut sharers = RouteSharers::default();
    let sharers = route.and_then(|route| sharers.get(state, route, own, now));
    let place = claims.place(state, &name, sharers);
    let mut running = state.running.iter();
    let running = running.find(|running| running.name == name);
    let waiting = state.item_waits.get(&name);
    let is_open = state.ledger.is_item_open(&name.job, name.item);
    let hosts = match place {
        _ if !is_open => Vec::new(),
        ItemPlace::Claimed => state.members.claimants(name.key(), now).cloned().collect(),
        ItemPlace::Assigned(host) => vec![host.into()],
        _ => Vec::new(),
    };
    let blocked = || {
        let unread = state
            .routes
            .is_none()
            .then_some(ItemStatus::NoConfiguration);
        start_obstacle(state)
            .or(unread)
            .or_else(|| log_obstacle(node, state, now))
    };
    let status = || match (place, blocked()) {
        (ItemPlace::Busy, _) if running.is_some() => ItemStatus::Running,
        (ItemPlace::Busy, _) => ItemStatus::Unrecorded,
        (_, Some(status)) => status,
        (ItemPlace::Claimed, _) => ItemStatus::Claimed,
        (ItemPlace::Assigned(_), _) => ItemStatus::Assigned,
        (ItemPlace::Released, _) => ItemStatus::Released,
        (ItemPlace::Own { .. }, _) => waiting.map_or(ItemStatus::Due, |item| item.status),
    };
    let hold = state.histories.hold(&name, now);
    let bound = route.and_then(|route| bound_version(state, &name, route, now));
    let version = bound.and_then(|(service, key)| {
        let mut serving = state.endpoints.serving(&**service, now);
        let endpoint = serving.find(|endpoint| endpoint.version_key() == key);
        endpoint.map(|endpoint| endpoint.version.clone())
    });
    ItemExplanation {
        id: job.items[index].accepted.id.clone(),
        status: is_open.then(status),
        runs_at: running.map(|running| running.endpoint.clone()),
        hosts,
        waited: waiting.map(|item| now.saturating_duration_since(item.since)),
        held_back_for: hold.map(|hold| hold.until.saturating_duration_since(now)),
        version,
        version_held: state.version_holds.held(&name),
        max_version_hold: max_hold_time(state, &name),
        endpoints: Vec::new(),
        name,
    }
}

fn find_route<'a>(state: &'a SwitchState, job: &LedgerJob) -> Option<&'a Arc<ServiceRoute>> {
    let routes = state.routes.as_ref()?;
    routes.find_for_job(&job.host, &job.path_prefix)
}

fn item_endpoints(
    state: &SwitchState,
    route: &ServiceRoute,
    max: usize,
    now: Instant,
) -> Vec<ItemEndpoint> {
    let is_admitted = |id: &str| state.limits.admits_item(id, now);
    let services = route.services();
    let serving = services.flat_map(|service| state.endpoints.serving(&**service, now));
    let endpoints = serving.map(|endpoint| ItemEndpoint {
        slots: state.load.slot_use(endpoint),
        obstacle: state.load.item_obstacle(endpoint, is_admitted, now),
        endpoint: endpoint.clone(),
    });
    endpoints.take(max).collect()
}

/// The items that have waited here for longest.
fn longest_waiting(state: &SwitchState, now: Instant) -> Vec<ItemName> {
    let waiting = state.item_waits.waiting().iter();
    let mut waiting: Vec<_> = waiting
        .filter(|item| now >= item.since + LOG_INTERVAL)
        .collect();
    waiting.sort_by_key(|item| item.since);
    let longest = waiting.into_iter().take(LOGGED_ITEMS);
    longest.map(|item| item.name.clone()).collect()
}

/// Items of the oldest jobs that do not run here. All hosts have the same ones, unless they run.
fn oldest_open(state: &SwitchState) -> Vec<ItemName> {
    let due_ms = unix_time_ms().saturating_sub(millis(LOG_INTERVAL));
    let jobs = state.ledger.open_jobs();
    let mut jobs: Vec<&LedgerJob> = jobs.filter(|job| job.accepted_ms <= due_ms).collect();
    jobs.sort_by_key(|job| job.accepted_ms);
    let open = jobs.into_iter().flat_map(|job| {
        let items = job.items.iter().enumerate();
        let open = items.filter(|(_, item)| item.state == ItemState::Open);
        open.map(|(index, _)| item_name(job, index))
    });
    let is_running = |name: &ItemName| state.running.iter().any(|running| running.name == *name);
    open.filter(|name| !is_running(name))
        .take(LOGGED_ITEMS)
        .collect()
}

/// Logs the open items from time to time while some have waited here for long, or some of an older job do not run here: their number by status,
/// and a few of both.
pub(super) fn log_open_items(node: &SwitchNode, state: &mut SwitchState, now: Instant) {
    let logged_at = state.items_logged_at;
    if logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
        return;
    }
    let mut names = longest_waiting(state, now);
    for name in oldest_open(state) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    if names.is_empty() {
        return;
    }
    let claims = ItemClaims::new(node, state, now);
    let explained = names.iter().filter_map(|name| {
        let job = state.ledger.get(&name.job)?;
        let explanation = explain(node, state, &claims, job, name.item as usize, now);
        Some(explanation.to_string())
    });
    let explained: Vec<String> = explained.collect();
    let first = names.first().and_then(|name| state.ledger.get(&name.job));
    let route = first.and_then(|job| find_route(state, job));
    let endpoints = route.map_or_else(Vec::new, |route| {
        item_endpoints(state, route, LOGGED_ENDPOINTS, now)
    });
    let endpoints: Vec<String> = endpoints.iter().map(ToString::to_string).collect();
    // The logger writes the last field first.
    info!(node.deps.logger, "open items"; "endpoints" => endpoints.join("; "),
        "longest_wait_ms" => millis(state.item_waits.longest(now)),
        "statuses" => %state.item_waits.counts(), "items" => explained.join("; "));
    state.items_logged_at = Some(now);
}
