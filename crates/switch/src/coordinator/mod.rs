//! Coordinators: in a large fleet, one host decides which requests and items the endpoints of a group get.
//!
//! In a small fleet each host chooses endpoints by what the others report, which is a fraction of a run old. With hundreds of hosts the
//! reports are older than the load that they describe, or cost more than the requests, and hosts collide at slots that each of them takes
//! to be free. There the endpoints are divided into groups ([`group`]), and a host asks the coordinator of a group for an endpoint:
//! one datagram each way. The coordinator counts what it grants ([`grants`]), and hosts report each change of their load to the coordinators
//! concerned, so that it knows the load of its group exactly ([`pick`]). It gives slots to the most
//! urgent items first ([`waiting`]), tells hosts to preempt items, and names the group with the most room when its own has none.
//!
//! A coordinator only advises. It holds no lease: a host that is asked answers, and two hosts that are both asked, as views of the
//! membership differ, at worst fill one queue twice. The request stays with the host that has its caller. If no coordinator answers within
//! two timeouts ([`asks`]), the host chooses by the last reports, as in a small fleet.

pub mod asks;
mod decide;
mod exchange;
pub mod grants;
pub mod group;
pub mod items;
pub mod message;
pub mod pick;
pub mod rooms;
pub mod scope;
mod share_log;
mod speeds;
pub mod waiting;

pub(crate) use exchange::{AskGuard, SlotRequest};

use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::limits::LimitTable;
use crate::members::{HostDescriptor, MemberTable};
use crate::node::SwitchState;
use crate::report::EndpointKey;
use crate::speed::SpeedSample;
use crate::workspace::pools::SharePools;
use asks::AskTable;
use grants::SlotGrants;
use group::{AskRoute, EndpointGroup, GroupId, compute_groups};
use message::{GroupRoom, MAX_SAMPLES, ServiceRoom};
use rand::Rng;
use rooms::RoomTable;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use waiting::WaitingItems;

/// Number of other hosts up to which each host chooses endpoints itself. Up to there, heartbeats come each tenth of a second.
const MAX_DIRECT_HOSTS: usize = 20;
/// Maximum number of orders to preempt. It bounds their memory.
const MAX_ORDERS: usize = 256;
/// Time in which a host that was told to preempt items does it.
const PREEMPTION_TIME: Duration = Duration::from_millis(200);
/// Time for which a host that was never heard may be asked, from when it became known.
const UNHEARD_TIME: Duration = Duration::from_secs(2);

/// Items that a host was told to preempt.
#[derive(Clone, Debug)]
struct PendingPreemption {
    host: Arc<str>,
    endpoint: EndpointKey,
    until: Instant,
}

/// When an item of a service was last told to give way in a group.
#[derive(Clone, Debug)]
struct ServicePreemption {
    group: GroupId,
    service: Arc<str>,
    at: Instant,
}

/// Room of an own group that was sent to the other coordinators.
#[derive(Clone, Debug)]
struct SentRoom {
    total: GroupRoom,
    services: Vec<ServiceRoom>,
    sent_at: Instant,
}

/// A group that a host asks first, and the host that it asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorView {
    /// The group.
    pub group: GroupId,
    /// Name of the host that coordinates it.
    pub host: Arc<str>,
}

/// What a host knows as a coordinator, and of the coordinators.
#[derive(Debug, Default)]
pub(crate) struct CoordinationState {
    groups: Vec<EndpointGroup>,
    pub(crate) asks: AskTable,
    grants: SlotGrants,
    waiting_items: WaitingItems,
    preempting: Vec<PendingPreemption>,
    preempted_at: Vec<ServicePreemption>,
    rooms: RoomTable,
    /// Room of each own group that was sent last.
    sent_rooms: Vec<SentRoom>,
    /// Items that this host has to preempt.
    orders: Vec<(EndpointKey, u16)>,
    samples: Vec<(u16, u16)>,
    /// What the workspaces have had of the slots that this host decides on.
    pub(crate) shares: SharePools<GroupId>,
    /// What the answers since the last load message tell of the speeds of endpoints.
    speed_samples: Vec<SpeedSample>,
}

impl CoordinationState {
    /// Computes the groups anew. A fleet with few hosts has none. Returns whether they or their candidates have changed.
    pub(crate) fn update(
        &mut self,
        own: &HostDescriptor,
        members: &MemberTable,
        endpoints: &[Arc<ListedEndpoint>],
        now: Instant,
    ) -> bool {
        let candidates = members.all().filter(|entry| match entry.last_heartbeat {
            Some(_) => entry.ready && members.is_available(&entry.descriptor.name, now),
            None => now.saturating_duration_since(entry.added_at) < UNHEARD_TIME,
        });
        let mut hosts: Vec<_> = candidates
            .map(|entry| {
                let descriptor = &entry.descriptor;
                (descriptor.name.clone(), descriptor.domain.clone())
            })
            .collect();
        let groups = if members.all().count() > MAX_DIRECT_HOSTS {
            hosts.push((own.name.clone(), own.domain.clone()));
            compute_groups(endpoints, &hosts)
        } else {
            Vec::new()
        };
        let has_changed = groups != self.groups;
        self.groups = groups;
        has_changed
    }

    /// Whether hosts ask coordinators.
    pub(crate) fn is_active(&self) -> bool {
        !self.groups.is_empty()
    }

    /// The group of `usable` that a host of `domain` would ask first, with its coordinator.
    pub(crate) fn view_home(
        &self,
        domain: &str,
        usable: &[GroupId],
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<CoordinatorView> {
        let group = AskRoute::Home.choose(domain, usable, rng)?;
        let host = self.coordinator_of(&group, now)?.clone();
        Some(CoordinatorView { group, host })
    }

    /// The first host that may coordinate a group and is not silent.
    fn coordinator_of(&self, id: &GroupId, now: Instant) -> Option<&Arc<str>> {
        let index = self
            .groups
            .binary_search_by(|group| group.id.cmp(id))
            .ok()?;
        let mut candidates = self.groups[index].candidates.iter();
        candidates.find(|name| !self.asks.is_silent(name, now))
    }

    /// The group of an endpoint.
    fn group_of(&self, endpoint: &ListedEndpoint) -> Option<&EndpointGroup> {
        self.groups.get(self.group_index(endpoint)?)
    }

    /// Index of the group of an endpoint. Groups are sorted, and a domain has a group for each of its buckets.
    fn group_index(&self, endpoint: &ListedEndpoint) -> Option<usize> {
        let first = self
            .groups
            .partition_point(|group| group.id.domain < endpoint.domain);
        let id = &self.groups.get(first)?.id;
        if id.domain != endpoint.domain {
            return None;
        }
        let bucket = EndpointKey::of(&endpoint.id).hash() % u64::from(id.buckets.max(1));
        Some(first + usize::try_from(bucket).ok()?)
    }

    /// The groups of these endpoints, sorted. Each ask goes through all endpoints of a service, of which there may be thousands.
    pub(crate) fn groups_of<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Arc<ListedEndpoint>>,
    ) -> Vec<GroupId> {
        let mut is_used = vec![false; self.groups.len()];
        for index in endpoints.filter_map(|endpoint| self.group_index(endpoint)) {
            is_used[index] = true;
        }
        let used = self.groups.iter().zip(is_used).filter(|(_, used)| *used);
        used.map(|(group, _)| group.id.clone()).collect()
    }

    /// Groups that this host coordinates by its own view.
    fn own_groups(&self, own: &str, now: Instant) -> Vec<GroupId> {
        let groups = self.groups.iter().map(|group| &group.id);
        let is_own = |id: &&GroupId| {
            self.coordinator_of(id, now)
                .is_some_and(|name| **name == *own)
        };
        groups.filter(is_own).cloned().collect()
    }

    /// Items at an endpoint that were told to give way and may not have yet.
    fn preempting_at(&self, endpoint: EndpointKey, now: Instant) -> u32 {
        let pending = self.preempting.iter();
        let count = pending
            .filter(|pending| pending.endpoint == endpoint && now < pending.until)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records how long a request of this host took, for the next load message.
    pub(crate) fn record_sample(&mut self, first_byte: Option<Duration>, run: Duration) {
        let millis = |span: Duration| u16::try_from(span.as_millis()).unwrap_or(u16::MAX);
        if let Some(first_byte) = first_byte
            && self.samples.len() < MAX_SAMPLES
        {
            self.samples.push((millis(first_byte), millis(run)));
        }
    }

    /// Records what an answer tells of the speed of its endpoint, for the next load message.
    pub(crate) fn record_speed(&mut self, sample: SpeedSample) {
        if self.is_active() && self.speed_samples.len() < MAX_SAMPLES {
            self.speed_samples.push(sample);
        }
    }

    /// Adds items that this host has to preempt.
    fn add_order(&mut self, endpoint: EndpointKey, count: u16) {
        if self.orders.len() < MAX_ORDERS {
            self.orders.push((endpoint, count));
        }
    }

    /// Takes the items that this host has to preempt.
    pub(crate) fn take_orders(&mut self) -> Vec<(EndpointKey, u16)> {
        std::mem::take(&mut self.orders)
    }
}

/// What an ask of this host may use.
pub(crate) struct SlotCandidates {
    /// Endpoints that are left out.
    pub(crate) excluded: Vec<Arc<ListedEndpoint>>,
    /// Groups with other endpoints, sorted.
    pub(crate) groups: Vec<GroupId>,
}

/// What an ask may use: all but the endpoints in `tried`, those that this host cannot reach, and those that `is_admitted` does not select by
/// their limit.
pub(crate) fn slot_candidates<'a>(
    state: &'a SwitchState,
    filter: EndpointFilter<'a>,
    tried: &[Arc<str>],
    is_admitted: impl Fn(&LimitTable, &str) -> bool,
) -> SlotCandidates {
    let now = Instant::now();
    let (excluded, usable): (Vec<_>, Vec<_>) =
        state.endpoints.serving(filter, now).partition(|endpoint| {
            let id = &endpoint.id;
            tried.contains(id)
                || state.load.is_avoided(id, now)
                || state.load.is_full(id, now)
                || !is_admitted(&state.limits, id)
        });
    SlotCandidates {
        excluded: excluded.into_iter().cloned().collect(),
        groups: state.coordination.groups_of(usable.into_iter()),
    }
}
