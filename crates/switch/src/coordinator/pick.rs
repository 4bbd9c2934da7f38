//! Which endpoint of a group a request or an item gets, from the exact load of the group.

use crate::endpoint::ListedEndpoint;
use crate::load::LoadView;
use crate::report::EndpointKey;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Slots of a group per slot that items leave free for online requests. About twice the spread of the number of requests that arrive in the
/// time in which an item can be preempted.
const SLOTS_PER_RESERVED: u32 = 20;

/// Where an online request of a group may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupPick {
    /// An endpoint with a free slot.
    Free(Arc<ListedEndpoint>),
    /// An endpoint where an item must give way.
    Preempt(Arc<ListedEndpoint>),
    /// An endpoint in whose queue the request waits.
    Queue(Arc<ListedEndpoint>),
    /// The expected wait is too long everywhere.
    Full {
        /// Expected wait at the best endpoint.
        wait: Duration,
    },
    /// The group has no such endpoint.
    Missing,
}

/// Load of one endpoint, as its coordinator knows it.
#[derive(Clone, Copy, Debug)]
struct SlotState {
    free: u32,
    online: u32,
    preemptible: u32,
    wait: Duration,
    /// Time for an event relative to the other endpoints.
    pace: f64,
}

/// Room of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomCount {
    /// All slots.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Slots of items that may be preempted.
    pub preemptible: u32,
}

impl RoomCount {
    /// Free slots that items may take.
    #[must_use]
    pub fn free_for_items(self) -> u32 {
        let reserved = self.slots.div_ceil(SLOTS_PER_RESERVED);
        // The only slot of a service is one for its items, too.
        let reserved = reserved.min(self.slots.saturating_sub(1));
        self.free.saturating_sub(reserved)
    }
}

/// The load of a group and what has been decided on it.
#[derive(Clone, Copy)]
pub struct GroupView<'a> {
    /// Load of all endpoints.
    pub load: &'a LoadView,
    /// Items that were told to give way at an endpoint and have not yet.
    pub preempting: &'a dyn Fn(&str) -> u32,
}

impl GroupView<'_> {
    fn slots(
        &self,
        endpoint: &ListedEndpoint,
        usual_event: Option<f64>,
        now: Instant,
    ) -> SlotState {
        let key = EndpointKey::of(&endpoint.id);
        let counts = self.load.total(&endpoint.id);
        let leaving = (self.preempting)(&endpoint.id);
        let batch = u32::from(counts.batch).saturating_sub(leaving);
        let online = u32::from(counts.online);
        // A request that waits longer than one with a free slot shows load that no host has reported.
        let is_overdue = self.load.is_overdue(&endpoint.id);
        SlotState {
            free: if is_overdue {
                0
            } else {
                endpoint.slots.saturating_sub(online + batch)
            },
            online,
            preemptible: batch.min(endpoint.slots),
            wait: self.load.expected_wait(endpoint, usual_event, now),
            pace: self.load.speeds().pace(key, usual_event, now),
        }
    }

    /// Selects the endpoint of an online request that may wait up to `max_wait`. A free slot goes before one of an item, and that before
    /// a queue.
    pub fn pick_online(
        &self,
        candidates: &[&Arc<ListedEndpoint>],
        max_wait: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> GroupPick {
        let is_avoided = |endpoint: &ListedEndpoint| self.load.is_avoided(&endpoint.id, now);
        let any_healthy = candidates.iter().any(|endpoint| !is_avoided(endpoint));
        let usual_event = self.load.usual_event(candidates, now);
        let states = candidates
            .iter()
            .filter(|endpoint| !any_healthy || !is_avoided(endpoint))
            .map(|endpoint| {
                let state = self.slots(endpoint, usual_event, now);
                // The highest of these draws falls on each endpoint in proportion to its speed.
                let draw = rng.random::<f64>().powf(state.pace);
                (state, draw, *endpoint)
            });
        let states: Vec<_> = states.collect();
        let free = states.iter().filter(|(state, ..)| state.free > 0);
        if let Some((_, _, endpoint)) = free.max_by(|a, b| {
            (a.0.free, a.1)
                .partial_cmp(&(b.0.free, b.1))
                .unwrap_or(std::cmp::Ordering::Equal)
        }) {
            return GroupPick::Free((*endpoint).clone());
        }
        let fewest = |a: &&(SlotState, f64, &Arc<ListedEndpoint>),
                      b: &&(SlotState, f64, &Arc<ListedEndpoint>)| {
            (a.0.online, b.1)
                .partial_cmp(&(b.0.online, a.1))
                .unwrap_or(std::cmp::Ordering::Equal)
        };
        let held = states
            .iter()
            .filter(|(state, _, endpoint)| state.preemptible > 0 && state.online < endpoint.slots);
        if let Some((_, _, endpoint)) = held.min_by(fewest) {
            return GroupPick::Preempt((*endpoint).clone());
        }
        let best = states.iter().min_by_key(|(state, ..)| state.wait);
        match best {
            Some((state, _, endpoint)) if state.wait <= max_wait => {
                GroupPick::Queue((*endpoint).clone())
            }
            Some((state, ..)) => GroupPick::Full { wait: state.wait },
            None => GroupPick::Missing,
        }
    }

    /// Selects the endpoint of an item out of those of its service that `is_admitted` selects: the one with the most free slots. `None` if
    /// the service has none for items beyond those for the `ahead` items that are more urgent.
    pub fn pick_item(
        &self,
        endpoints: &[&Arc<ListedEndpoint>],
        is_admitted: impl Fn(&ListedEndpoint) -> bool,
        ahead: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Arc<ListedEndpoint>> {
        if self.room(endpoints, now).free_for_items() <= ahead {
            return None;
        }
        let usable = self.usable_for_items(endpoints, is_admitted, now);
        let states = usable.map(|endpoint| {
            let free = self.slots(endpoint, None, now).free;
            (free, rng.random::<u32>(), endpoint)
        });
        let best = states.max_by_key(|(free, draw, _)| (*free, *draw));
        best.map(|(_, _, endpoint)| endpoint.clone())
    }

    /// Endpoints with a free slot at which an item may start, out of those that `is_admitted` selects.
    pub fn usable_for_items<'a>(
        &self,
        endpoints: &[&'a Arc<ListedEndpoint>],
        is_admitted: impl Fn(&ListedEndpoint) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<ListedEndpoint>> {
        endpoints
            .iter()
            .copied()
            .filter(move |endpoint| is_admitted(endpoint))
            .filter(move |endpoint| !self.load.is_avoided(&endpoint.id, now))
            .filter(move |endpoint| !self.load.is_full(&endpoint.id, now))
            .filter(move |endpoint| self.slots(endpoint, None, now).free > 0)
    }

    /// Counts the room of a group.
    #[must_use]
    pub fn room(&self, endpoints: &[&Arc<ListedEndpoint>], now: Instant) -> RoomCount {
        let mut room = RoomCount::default();
        for endpoint in endpoints {
            if self.load.is_avoided(&endpoint.id, now) {
                continue;
            }
            let state = self.slots(endpoint, None, now);
            room.slots = room.slots.saturating_add(endpoint.slots);
            room.free = room.free.saturating_add(state.free);
            room.preemptible = room.preemptible.saturating_add(state.preemptible);
        }
        room
    }

    /// Number of items that must give way at an endpoint: it has more requests than slots, or some wait longer than they would with
    /// a free slot.
    #[must_use]
    pub fn excess(&self, endpoint: &ListedEndpoint, now: Instant) -> u32 {
        let counts = self.load.total(&endpoint.id);
        let leaving = (self.preempting)(&endpoint.id);
        let batch = u32::from(counts.batch).saturating_sub(leaving);
        let waiting = self.load.unsettled_overdue(&endpoint.id, now);
        let excess = (u32::from(counts.online) + batch).saturating_sub(endpoint.slots);
        excess.max(waiting).min(batch)
    }
}
