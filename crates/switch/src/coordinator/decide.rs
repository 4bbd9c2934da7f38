//! Decisions of a coordinator.

use super::grants::SlotGrant;
use super::group::GroupId;
use super::items::{ItemAsk, ItemDecision, ItemQueues};
use super::message::{
    GroupRoom, MAX_ROOM_SERVICES, ServiceKey, ServiceRoom, SlotAsk, SlotNeed, SlotOutcome,
    message_millis,
};
use super::pick::{GroupPick, GroupView, RoomCount};
use super::rooms::RoomKind;
use super::scope::ItemScope;
use super::waiting::{ItemPlace, ItemUrgency};
use super::{PREEMPTION_TIME, PendingPreemption, ServicePreemption};
use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::load::RequestClass;
use crate::node::SwitchState;
use crate::overload::{MAX_RETRY_FRACTION, Rejection};
use crate::report::EndpointKey;
use crate::wait::max_wait;
use crate::workspace::fair::ShareClaim;
use crate::workspace::pools::SharePool;
use rand::Rng;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a preemption for which no item of the service starts in the group.
const ITEM_PAUSE: Duration = Duration::from_millis(300);
/// Time after which an item that found no room may ask again.
pub(super) const ITEM_RETRY: Duration = Duration::from_millis(60);

/// An order to a host to preempt items at an endpoint.
pub(super) struct PreemptionOrder {
    pub(super) host: Arc<str>,
    pub(super) endpoint: EndpointKey,
}

impl SwitchState {
    /// Endpoints of a group that accept new work.
    fn group_endpoints(&self, group: &GroupId, now: Instant) -> Vec<Arc<ListedEndpoint>> {
        let mut serving = self.endpoints.all_serving(now);
        serving.retain(|endpoint| group.contains(endpoint));
        serving
    }

    fn with_view<T>(
        &mut self,
        now: Instant,
        choose: impl FnOnce(&GroupView<'_>, &mut rand::rngs::SmallRng) -> T,
    ) -> T {
        let coordination = &self.coordination;
        let preempting = |id: &str| coordination.preempting_at(EndpointKey::of(id), now);
        let view = GroupView {
            load: &self.load,
            preempting: &preempting,
        };
        choose(&view, &mut self.rng)
    }

    /// Decides on an ask. A grant is counted.
    pub(super) fn decide(
        &mut self,
        ask: &SlotAsk,
        claim: Option<ShareClaim>,
        now: Instant,
    ) -> SlotOutcome {
        self.expire_grants(now);
        if let Some(grant) = self.coordination.grants.find(&ask.host, ask.number) {
            return SlotOutcome::Granted {
                endpoint: grant.endpoint,
                has_free_slot: false,
            };
        }
        let filter = EndpointFilter {
            service: &ask.service,
            version: ask.version,
        };
        let filter = match ask.need {
            SlotNeed::Online { .. } => filter,
            // Items of any version compete for the slots of a service.
            SlotNeed::Item { .. } => EndpointFilter::from(&*ask.service),
        };
        let endpoints: Vec<Arc<ListedEndpoint>> = self
            .endpoints
            .serving(filter, now)
            .filter(|endpoint| ask.group.contains(endpoint))
            .cloned()
            .collect();
        match ask.need {
            SlotNeed::Online { .. } => self.decide_online(ask, claim, &endpoints, now),
            SlotNeed::Item { .. } => self.decide_item(ask, claim, &endpoints, now),
        }
    }

    /// Takes the grants out of the load of which nothing was heard for long.
    fn expire_grants(&mut self, now: Instant) {
        for grant in self.coordination.grants.expire(now) {
            self.load.remove_granted(grant.endpoint, grant.class);
        }
    }

    /// The other group with the most room for an ask, of those that have endpoints for it.
    fn roomiest(&mut self, ask: &SlotAsk, kind: RoomKind, now: Instant) -> Option<GroupId> {
        let service = ServiceKey::of(&ask.service);
        let filter = EndpointFilter {
            service: &ask.service,
            version: ask.version,
        };
        let groups = self
            .coordination
            .groups_of(self.endpoints.serving(filter, now));
        let is_usable = |group: &GroupId| groups.binary_search(group).is_ok();
        let rooms = &mut self.coordination.rooms;
        rooms.take_roomiest(&ask.group, service, kind, is_usable, now)
    }

    fn decide_online(
        &mut self,
        ask: &SlotAsk,
        claim: Option<ShareClaim>,
        endpoints: &[Arc<ListedEndpoint>],
        now: Instant,
    ) -> SlotOutcome {
        let SlotNeed::Online {
            target_ms,
            remaining_ms,
        } = ask.need
        else {
            return SlotOutcome::Missing;
        };
        let millis = |value: u32| Duration::from_millis(value.into());
        let remaining = millis(remaining_ms);
        let first_byte = self.load.response_times().first_byte();
        let longest = max_wait(millis(target_ms), first_byte, remaining);
        let is_excluded =
            |endpoint: &ListedEndpoint| ask.excluded.contains(&EndpointKey::of(&endpoint.id));
        let candidates: Vec<&Arc<ListedEndpoint>> = endpoints
            .iter()
            .filter(|endpoint| !is_excluded(endpoint))
            .collect();
        let slots = candidates.iter().map(|endpoint| endpoint.slots);
        let slots = slots.fold(0_u32, u32::saturating_add);
        let interval = self.load.response_times().run() / slots.max(1);
        let pool = share_pool(ask);
        let limit = self.coordination.shares.limit(&pool, claim, interval, now);
        let own_longest = longest.mul_f64(limit.wait_fraction);
        let pick = self.with_view(now, |view, rng| {
            view.pick_online(&candidates, own_longest, now, rng)
        });
        let may_pass = !ask.is_final;
        let is_free = matches!(pick, GroupPick::Free(_));
        if may_pass
            && !is_free
            && let Some(group) = self.roomiest(ask, RoomKind::Free, now)
        {
            return SlotOutcome::Elsewhere(group);
        }
        let must_wait = !is_free && !matches!(pick, GroupPick::Preempt(_));
        if may_pass
            && must_wait
            && let Some(group) = self.roomiest(ask, RoomKind::Preemptible, now)
        {
            return SlotOutcome::Elsewhere(group);
        }
        match pick {
            GroupPick::Free(endpoint)
            | GroupPick::Preempt(endpoint)
            | GroupPick::Queue(endpoint) => {
                self.coordination.shares.record_grant(&pool, claim, now);
                self.grant(ask, &endpoint, RequestClass::Online, now)
            }
            GroupPick::Full { wait } => {
                let is_held = wait <= longest;
                self.coordination
                    .shares
                    .record_rejection(&pool, claim, is_held, now);
                let rejection = Rejection {
                    wait: wait.max(limit.back_in),
                    limit: remaining.mul_f64(MAX_RETRY_FRACTION),
                    service_interval: interval,
                };
                let draw = self.rng.random::<f64>();
                let retry_after = self.overload.record_rejection(rejection, now, draw);
                SlotOutcome::Full {
                    wait_ms: message_millis(wait),
                    retry_after_ms: message_millis(retry_after),
                }
            }
            GroupPick::Missing => SlotOutcome::Missing,
        }
    }

    fn decide_item(
        &mut self,
        ask: &SlotAsk,
        claim: Option<ShareClaim>,
        endpoints: &[Arc<ListedEndpoint>],
        now: Instant,
    ) -> SlotOutcome {
        let SlotNeed::Item { in_time, due_ms } = ask.need else {
            return SlotOutcome::Missing;
        };
        let pool = share_pool(ask);
        let had = self.coordination.shares.had(&pool, claim, now);
        let place = ItemPlace {
            host: ask.host.clone(),
            group: ask.group.clone(),
            scope: ItemScope {
                service: ask.service.clone(),
                version: ask.version,
            },
            excluded: ask.excluded.clone(),
        };
        let item = ItemAsk {
            place: &place,
            urgency: ItemUrgency::new(!in_time, due_ms, had),
            endpoints,
            is_paused: self
                .coordination
                .pauses_items(&ask.group, &ask.service, now),
            may_pass: !ask.is_final,
        };
        let coordination = &mut self.coordination;
        let mut waiting = std::mem::take(&mut coordination.waiting_items);
        let mut rooms = std::mem::take(&mut coordination.rooms);
        let mut queues = ItemQueues {
            waiting: &mut waiting,
            rooms: &mut rooms,
        };
        let groups = coordination.groups_of(self.endpoints.serving(place.scope.filter(), now));
        let is_usable = |group: &GroupId| groups.binary_search(group).is_ok();
        let decision = self.with_view(now, |view, rng| {
            queues.decide(view, &item, is_usable, now, rng)
        });
        self.coordination.waiting_items = waiting;
        self.coordination.rooms = rooms;
        match decision {
            ItemDecision::Use(endpoint) => {
                self.coordination.shares.record_grant(&pool, claim, now);
                self.grant(ask, &endpoint, RequestClass::Batch, now)
            }
            ItemDecision::Elsewhere(group) => SlotOutcome::Elsewhere(group),
            ItemDecision::Full => SlotOutcome::Full {
                wait_ms: 0,
                retry_after_ms: message_millis(ITEM_RETRY),
            },
            ItemDecision::Missing => SlotOutcome::Missing,
        }
    }

    fn grant(
        &mut self,
        ask: &SlotAsk,
        endpoint: &ListedEndpoint,
        class: RequestClass,
        now: Instant,
    ) -> SlotOutcome {
        let key = EndpointKey::of(&endpoint.id);
        let has_free_slot = self.load.total(&endpoint.id).total() < endpoint.slots;
        let is_added = self.coordination.grants.add(SlotGrant {
            host: ask.host.clone(),
            number: ask.number,
            endpoint: key,
            class,
            granted_at: now,
        });
        if is_added {
            self.load.add_granted(key, class);
        }
        SlotOutcome::Granted {
            endpoint: key,
            has_free_slot,
        }
    }

    /// Applies the load of a host. Its asks up to `resolved` are part of it.
    pub(super) fn resolve_grants(&mut self, host: &str, resolved: u32) {
        for grant in self.coordination.grants.resolve(host, resolved) {
            self.load.remove_granted(grant.endpoint, grant.class);
        }
    }

    /// Decides which hosts must preempt items in a group, one order for each item.
    pub(super) fn preemption_orders(
        &mut self,
        own: &Arc<str>,
        group: &GroupId,
        now: Instant,
    ) -> Vec<PreemptionOrder> {
        self.coordination
            .preempting
            .retain(|pending| now < pending.until);
        let mut orders = Vec::new();
        for endpoint in self.group_endpoints(group, now) {
            let excess = self.with_view(now, |view, _| view.excess(&endpoint, now));
            if excess == 0 {
                continue;
            }
            let key = EndpointKey::of(&endpoint.id);
            self.load.record_preemption(&endpoint.id, now);
            self.coordination
                .record_preemption(group, &endpoint.service, now);
            let mut holders = self.load.reports().item_holders(key, None);
            holders.push((own.clone(), self.load.own(&endpoint.id).batch));
            for pending in &self.coordination.preempting {
                let mut told = holders.iter_mut();
                let told = told.find(|(host, _)| pending.endpoint == key && *host == pending.host);
                if let Some((_, items)) = told {
                    *items = items.saturating_sub(1);
                }
            }
            for _ in 0..excess {
                let Some(host) = self.choose_holder(&mut holders) else {
                    break;
                };
                let pending = PendingPreemption {
                    host: host.clone(),
                    endpoint: key,
                    until: now + PREEMPTION_TIME,
                };
                self.coordination.preempting.push(pending);
                orders.push(PreemptionOrder {
                    host,
                    endpoint: key,
                });
            }
        }
        orders
    }

    /// Draws a host by the number of items that it has, and takes one of them out of the count.
    fn choose_holder(&mut self, holders: &mut [(Arc<str>, u16)]) -> Option<Arc<str>> {
        let items: u32 = holders.iter().map(|(_, items)| u32::from(*items)).sum();
        if items == 0 {
            return None;
        }
        let mut draw = self.rng.random_range(..items);
        for (host, items) in holders {
            if draw < u32::from(*items) {
                *items -= 1;
                return Some(host.clone());
            }
            draw -= u32::from(*items);
        }
        None
    }

    /// Room of a group that this host coordinates, and that of each of its services.
    pub(super) fn room_of(
        &mut self,
        group: &GroupId,
        now: Instant,
    ) -> (GroupRoom, Vec<ServiceRoom>) {
        self.expire_grants(now);
        let mut endpoints = self.group_endpoints(group, now);
        endpoints.sort_by(|a, b| a.service.cmp(&b.service));
        let count = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let mut total = GroupRoom {
            group: group.clone(),
            free: 0,
            free_for_items: 0,
            preemptible: 0,
        };
        let mut rooms = Vec::new();
        for of_service in endpoints.chunk_by(|a, b| a.service == b.service) {
            let service = &of_service[0].service;
            let of_service: Vec<&Arc<ListedEndpoint>> = of_service.iter().collect();
            let room: RoomCount = self.with_view(now, |view, _| view.room(&of_service, now));
            let pauses = self.coordination.pauses_items(group, service, now);
            let room = ServiceRoom {
                service: ServiceKey::of(service),
                free: count(room.free),
                free_for_items: if pauses {
                    0
                } else {
                    count(room.free_for_items())
                },
                preemptible: count(room.preemptible),
            };
            total.free = total.free.saturating_add(room.free);
            total.free_for_items = total.free_for_items.saturating_add(room.free_for_items);
            total.preemptible = total.preemptible.saturating_add(room.preemptible);
            rooms.push(room);
        }
        rooms.sort_by_key(|room| Reverse(room.free));
        rooms.truncate(MAX_ROOM_SERVICES);
        (total, rooms)
    }
}

/// The slots for which the workspaces of an ask compete.
fn share_pool(ask: &SlotAsk) -> SharePool<GroupId> {
    SharePool {
        service: ask.service.clone(),
        group: Some(ask.group.clone()),
        is_batch: matches!(ask.need, SlotNeed::Item { .. }),
    }
}

impl super::CoordinationState {
    /// Whether items of a service were preempted in a group a short time ago, so that none of it starts.
    fn pauses_items(&self, group: &GroupId, service: &str, now: Instant) -> bool {
        let mut times = self.preempted_at.iter();
        times.any(|preempted| {
            preempted.group == *group
                && *preempted.service == *service
                && now < preempted.at + ITEM_PAUSE
        })
    }

    fn record_preemption(&mut self, group: &GroupId, service: &Arc<str>, now: Instant) {
        self.preempted_at.retain(|preempted| {
            let is_same = preempted.group == *group && preempted.service == *service;
            !is_same && now < preempted.at + ITEM_PAUSE
        });
        self.preempted_at.push(ServicePreemption {
            group: group.clone(),
            service: service.clone(),
            at: now,
        });
    }
}
