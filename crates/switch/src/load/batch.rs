//! Batch items: where they may run, and how many must give way.

use super::{ExcessSpan, FreeSlots, LoadView};
use crate::endpoint::{EndpointFilter, EndpointTable, ListedEndpoint};
use crate::report::{EndpointKey, RequestCounts};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of a preferred endpoint that batch items leave free for online requests.
const PREFERRED_RESERVED_SLOTS: u32 = 1;
/// Slots of any other endpoint that batch items leave free, since other hosts may fill it between two heartbeats.
const NON_PREFERRED_RESERVED_SLOTS: u32 = 3;
/// Time after a preemption for which no batch item starts at the endpoint: a fraction of the length of a burst.
const PREEMPTION_COOLDOWN: Duration = Duration::from_millis(600);

/// Age of the last report of a host beyond which others do not wait for it to preempt its items: it may stand still.
const SILENCE: Duration = Duration::from_millis(250);
/// Time after which an excess is not left to hosts that are before this one in the order: they may not know of it.
const MAX_EXCESS_TIME: Duration = Duration::from_millis(300);
/// Longest time between two passes that see the same excess.
const MAX_EXCESS_GAP: Duration = Duration::from_millis(200);
/// Why an endpoint gets no batch item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotObstacle {
    /// The limit that it names is used up, or this host has no share in it.
    LimitUsed,
    /// It failed here, or another host reports error responses from it.
    Avoided,
    /// It refused a request as full a short time ago.
    Full,
    /// An item gave way there a short time ago.
    Preempted,
    /// Online requests wait there for a slot.
    Overdue,
    /// Requests, and the slots that are left free for online requests, take all its slots.
    Taken,
}

impl SlotObstacle {
    /// Name in logs and explanations.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LimitUsed => "limit used",
            Self::Avoided => "avoided",
            Self::Full => "refused as full",
            Self::Preempted => "recently preempted",
            Self::Overdue => "online requests overdue",
            Self::Taken => "slots taken",
        }
    }
}

/// Who takes the slots of an endpoint, from the view of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// Requests of this host.
    pub own: RequestCounts,
    /// Requests of the other hosts, as they report.
    pub peers: RequestCounts,
    /// Requests that this host granted as a coordinator, and that no report has yet.
    pub granted: RequestCounts,
    /// Overdue online requests of this host.
    pub own_overdue: u16,
    /// Overdue online requests of the other hosts.
    pub peers_overdue: u16,
    /// Slots that are left free for online requests.
    pub reserved: u32,
    /// Hosts that report error responses from the endpoint.
    pub failing_at: Vec<Arc<str>>,
}

impl LoadView {
    /// Selects the endpoint for a batch item; only endpoints that keep their reserved slots free and that `is_admitted` selects
    /// qualify.
    pub fn pick_batch<'a>(
        &self,
        table: &'a EndpointTable,
        filter: impl Into<EndpointFilter<'a>>,
        is_admitted: impl Fn(&str) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Arc<ListedEndpoint>> {
        self.usable_for_items(table, filter, is_admitted, now)
            .map(|endpoint| {
                let total = f64::from(self.total(&endpoint.id).total());
                let affinity = self.affinity_cost(&endpoint.id);
                (total + affinity + rng.random::<f64>(), endpoint)
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, endpoint)| endpoint.clone())
    }

    /// Whether any endpoint qualifies for a batch item, as in [`LoadView::pick_batch`].
    pub fn has_batch_slot<'a>(
        &self,
        table: &'a EndpointTable,
        filter: impl Into<EndpointFilter<'a>>,
        is_admitted: impl Fn(&str) -> bool,
        now: Instant,
    ) -> bool {
        self.usable_for_items(table, filter, is_admitted, now)
            .next()
            .is_some()
    }

    fn usable_for_items<'a>(
        &self,
        table: &'a EndpointTable,
        filter: impl Into<EndpointFilter<'a>>,
        is_admitted: impl Fn(&str) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<ListedEndpoint>> {
        table
            .serving(filter, now)
            .filter(move |endpoint| self.item_obstacle(endpoint, &is_admitted, now).is_none())
    }

    /// Why an endpoint gets no batch item; `None` if it may. `is_admitted` is as for [`LoadView::pick_batch`].
    pub fn item_obstacle(
        &self,
        endpoint: &ListedEndpoint,
        is_admitted: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<SlotObstacle> {
        if !is_admitted(&endpoint.id) {
            Some(SlotObstacle::LimitUsed)
        } else if self.is_avoided(&endpoint.id, now) {
            Some(SlotObstacle::Avoided)
        } else if self.is_full(&endpoint.id, now) {
            Some(SlotObstacle::Full)
        } else if self.recently_preempted(&endpoint.id, now) {
            Some(SlotObstacle::Preempted)
        } else if self.free_batch_slots(endpoint) > 0 {
            None
        } else if self.is_overdue(&endpoint.id) {
            Some(SlotObstacle::Overdue)
        } else {
            Some(SlotObstacle::Taken)
        }
    }

    /// Who takes the slots of an endpoint.
    #[must_use]
    pub fn slot_use(&self, endpoint: &ListedEndpoint) -> SlotUse {
        let key = EndpointKey::of(&endpoint.id);
        let entry = self.find(&endpoint.id).cloned().unwrap_or_default();
        SlotUse {
            own: entry.own,
            peers: entry.peers,
            granted: entry.granted,
            own_overdue: entry.own_overdue,
            peers_overdue: entry.peers_overdue,
            reserved: self.reserved_slots(endpoint),
            failing_at: self.failing.reporters(key).cloned().collect(),
        }
    }

    /// Counts the free slots of a service that batch items may use.
    #[must_use]
    pub fn free_slots(&self, table: &EndpointTable, service: &str, now: Instant) -> FreeSlots {
        let mut free = FreeSlots::default();
        let usable = table
            .serving(service, now)
            .filter(|endpoint| !self.recently_preempted(&endpoint.id, now));
        for endpoint in usable {
            let slots = self.free_batch_slots(endpoint);
            if self.is_preferred(&endpoint.id) {
                free.preferred = free.preferred.saturating_add(slots);
            } else {
                free.other = free.other.saturating_add(slots);
            }
        }
        free
    }

    /// Number of batch items of all hosts to preempt at an endpoint where this host has any; 0 where it has none.
    #[must_use]
    pub fn batch_excess(&self, endpoint: &ListedEndpoint, now: Instant) -> u32 {
        let Some(entry) = self.find(&endpoint.id) else {
            return 0;
        };
        if entry.own.batch == 0 {
            return 0;
        }
        let overdue = self.unsettled_overdue(&endpoint.id, now);
        let excess = entry.total().total().saturating_sub(endpoint.slots);
        excess.max(overdue).min(entry.total().batch.into())
    }

    /// Records in each pass whether an endpoint has more requests than slots. Returns whether it has.
    pub fn record_excess(&mut self, endpoint: &ListedEndpoint, now: Instant) -> bool {
        let has_excess = self.batch_excess(endpoint, now) > 0;
        let entry = self.entry(EndpointKey::of(&endpoint.id));
        let earlier = entry.excess.filter(|span| {
            now.saturating_duration_since(span.seen_at) <= MAX_EXCESS_GAP && has_excess
        });
        let since = earlier.map_or(now, |span| span.since);
        let span = ExcessSpan {
            since,
            seen_at: now,
        };
        entry.excess = has_excess.then_some(span);
        has_excess
    }

    /// Number of batch items of this host, which has the name `own`, to preempt at an endpoint.
    ///
    /// The hosts preempt in an order, so that those with the same view of the load preempt no more than the excess together. If each
    /// preempted a share, rounded up, all would preempt the items that they started at the same moment, and start them again at the same
    /// moment. Where the views differ, each preempts its share: after a pause of this host, which has read no reports, and if the hosts
    /// before it have left the excess for some time.
    #[must_use]
    pub fn batch_preemptions(&self, own: &str, endpoint: &ListedEndpoint, now: Instant) -> u32 {
        let excess = self.batch_excess(endpoint, now);
        if excess == 0 {
            return 0;
        }
        let own_items = u32::from(self.own(&endpoint.id).batch);
        let since = now.checked_sub(SILENCE);
        let span = self.find(&endpoint.id).and_then(|entry| entry.excess);
        let has_lasted = span.is_some_and(|span| now >= span.since + MAX_EXCESS_TIME);
        if has_lasted || !self.reports.has_any_since(since) {
            let batch = u32::from(self.total(&endpoint.id).batch).max(1);
            return (excess * own_items).div_ceil(batch).min(own_items);
        }
        let key = EndpointKey::of(&endpoint.id);
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), key.hash());
        let holders = self.reports.item_holders(key, since);
        let before = holders.iter().filter(|(host, _)| rank(host) < rank(own));
        let before: u32 = before.map(|(_, items)| u32::from(*items)).sum();
        excess.saturating_sub(before).min(own_items)
    }

    /// Slots that batch items leave free at an endpoint: at most half of them, or items would wait beside endpoints that are less than half
    /// full.
    fn reserved_slots(&self, endpoint: &ListedEndpoint) -> u32 {
        let reserved = if self.is_preferred(&endpoint.id) {
            PREFERRED_RESERVED_SLOTS
        } else {
            NON_PREFERRED_RESERVED_SLOTS
        };
        reserved.min(endpoint.slots / 2)
    }

    fn free_batch_slots(&self, endpoint: &ListedEndpoint) -> u32 {
        if self.is_overdue(&endpoint.id) {
            return 0;
        }
        let used = self.total(&endpoint.id).total() + self.reserved_slots(endpoint);
        endpoint.slots.saturating_sub(used)
    }

    fn recently_preempted(&self, id: &str, now: Instant) -> bool {
        self.find(id)
            .and_then(|entry| entry.preempted_at)
            .is_some_and(|preempted_at| now < preempted_at + PREEMPTION_COOLDOWN)
    }
}
