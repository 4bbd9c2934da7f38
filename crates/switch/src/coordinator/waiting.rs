//! Items that found no room, so that slots go to the most urgent ones first.
//!
//! Hosts ask again at an interval, each for its own most urgent items. Without this, the host that happens to ask next would get a slot.
//!
//! An item holds back others only from slots that it could use itself. Whatever waits, the most urgent item that could use a free slot has none ahead
//! of it, so that a free slot is not kept from all.

use super::group::GroupId;
use super::scope::ItemScope;
use crate::endpoint::ListedEndpoint;
use crate::report::EndpointKey;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an item counts as waiting after its ask: two intervals between asks.
const WAIT_TIME: Duration = Duration::from_millis(120);
/// Time within which a host makes the asks of one scheduling pass. It is shorter than the interval between asks.
const PASS_TIME: Duration = Duration::from_millis(30);
/// Maximum number of waiting items. It bounds their memory.
const MAX_WAITING: usize = 4096;

/// Urgency of an item. The lesser one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemUrgency {
    /// Whether the item cannot complete in time any more.
    pub is_late: bool,
    /// Due time in seconds since the Unix epoch.
    due: u64,
    /// What the workspace has had lately. Of items that are due within the same second, those of the workspace that has had least go first.
    had: u32,
    /// Due time in milliseconds since the Unix epoch.
    due_ms: u64,
}

impl ItemUrgency {
    /// Urgency of an item that is due at `due_ms`, of a workspace that has `had` this much lately.
    ///
    /// ```
    /// use fulmarswitch_switch::coordinator::waiting::ItemUrgency;
    /// assert!(ItemUrgency::new(false, 5_900, 0) < ItemUrgency::new(false, 5_100, 7));
    /// assert!(ItemUrgency::new(false, 4_900, 7) < ItemUrgency::new(false, 5_100, 0));
    /// ```
    #[must_use]
    pub fn new(is_late: bool, due_ms: u64, had: u32) -> Self {
        Self {
            is_late,
            due: due_ms / 1000,
            had,
            due_ms,
        }
    }
}

/// Which endpoints an item of a host may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemPlace {
    /// Name of the host.
    pub host: Arc<str>,
    /// The group that was asked.
    pub group: GroupId,
    /// Service and software version of the endpoints.
    pub scope: ItemScope,
    /// Endpoints that are left out.
    pub excluded: Vec<EndpointKey>,
}

impl ItemPlace {
    /// Whether an endpoint of the group is one that the item may use.
    #[must_use]
    pub fn admits(&self, endpoint: &ListedEndpoint) -> bool {
        self.scope.admits(endpoint) && !self.excluded.contains(&EndpointKey::of(&endpoint.id))
    }

    fn is_same_queue(&self, other: &Self) -> bool {
        self.host == other.host && self.group == other.group && self.scope == other.scope
    }
}

#[derive(Clone, Debug)]
struct WaitingItem {
    place: ItemPlace,
    urgency: ItemUrgency,
    asked_at: Instant,
}

impl WaitingItem {
    fn is_waiting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.asked_at) < WAIT_TIME
    }
}

/// The most urgent item of each host, group and scope that found no room lately.
#[derive(Clone, Debug, Default)]
pub struct WaitingItems(Vec<WaitingItem>);

impl WaitingItems {
    /// Records that an item found no room. Of the asks of one pass of its host the most urgent one counts; a later pass replaces it, as an
    /// item becomes late, starts or moves to another host meanwhile.
    pub fn add(&mut self, place: ItemPlace, urgency: ItemUrgency, now: Instant) {
        self.0.retain(|item| item.is_waiting(now));
        let has_room = self.0.len() < MAX_WAITING;
        let mut items = self.0.iter_mut();
        match items.find(|item| item.place.is_same_queue(&place)) {
            Some(item) => {
                let is_same_pass = now.saturating_duration_since(item.asked_at) < PASS_TIME;
                if is_same_pass {
                    item.urgency = item.urgency.min(urgency);
                } else {
                    (item.urgency, item.asked_at) = (urgency, now);
                }
                item.place.excluded = place.excluded;
            }
            None if has_room => self.0.push(WaitingItem {
                place,
                urgency,
                asked_at: now,
            }),
            None => {}
        }
    }

    /// Removes the item of a host that has found room.
    pub fn remove(&mut self, place: &ItemPlace) {
        self.0.retain(|item| !item.place.is_same_queue(place));
    }

    /// Number of items of other hosts that are more urgent and, as `competes` says, could use the same slots.
    pub fn ahead_of(
        &self,
        place: &ItemPlace,
        urgency: ItemUrgency,
        competes: impl Fn(&ItemPlace) -> bool,
        now: Instant,
    ) -> u32 {
        let ahead = self.0.iter().filter(|item| {
            item.place.host != place.host
                && item.place.group == place.group
                && item.place.scope.service == place.scope.service
                && item.urgency < urgency
                && item.is_waiting(now)
                && competes(&item.place)
        });
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }
}
