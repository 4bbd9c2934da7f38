//! Where an item goes that a host asks for, from the load of the group, the items that wait and the rooms of the other groups.

use super::group::GroupId;
use super::message::ServiceKey;
use super::pick::GroupView;
use super::rooms::{RoomKind, RoomTable};
use super::waiting::{ItemPlace, ItemUrgency, WaitingItems};
use crate::endpoint::ListedEndpoint;
use rand::Rng;
use std::sync::Arc;
use tokio::time::Instant;

/// An ask for an item, as its coordinator sees it.
#[derive(Clone, Copy, Debug)]
pub struct ItemAsk<'a> {
    /// Where the item may run.
    pub place: &'a ItemPlace,
    /// How urgent it is.
    pub urgency: ItemUrgency,
    /// Endpoints of its service in the group.
    pub endpoints: &'a [Arc<ListedEndpoint>],
    /// Whether no item starts at them, as one has just been preempted.
    pub is_paused: bool,
    /// Whether its host may be sent to another group.
    pub may_pass: bool,
}

/// Decision on an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemDecision {
    /// It gets a slot of this endpoint.
    Use(Arc<ListedEndpoint>),
    /// This group has room for it.
    Elsewhere(GroupId),
    /// No group that is known has room for it.
    Full,
    /// The group has no endpoint for it.
    Missing,
}

/// What a coordinator decides with.
#[derive(Debug)]
pub struct ItemQueues<'a> {
    /// Items that found no room.
    pub waiting: &'a mut WaitingItems,
    /// Rooms of the other groups.
    pub rooms: &'a mut RoomTable,
}

impl ItemQueues<'_> {
    /// Decides on an item. `is_usable` selects the other groups that have endpoints for it.
    pub fn decide(
        &mut self,
        view: &GroupView<'_>,
        ask: &ItemAsk<'_>,
        is_usable: impl Fn(&GroupId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ItemDecision {
        let place = ask.place;
        let endpoints: Vec<&Arc<ListedEndpoint>> = ask.endpoints.iter().collect();
        let picked = if ask.is_paused {
            None
        } else {
            let ahead = self.ahead_of(view, ask, &endpoints, now);
            view.pick_item(
                &endpoints,
                |endpoint| place.admits(endpoint),
                ahead,
                now,
                rng,
            )
        };
        if let Some(endpoint) = picked {
            self.waiting.remove(place);
            return ItemDecision::Use(endpoint);
        }
        let service = ServiceKey::of(&place.scope.service);
        if ask.may_pass
            && let Some(group) = self.rooms.take_roomiest(
                &place.group,
                service,
                RoomKind::FreeForItems,
                is_usable,
                now,
            )
        {
            return ItemDecision::Elsewhere(group);
        }
        if !endpoints.iter().any(|endpoint| place.admits(endpoint)) {
            return ItemDecision::Missing;
        }
        self.waiting.add(place.clone(), ask.urgency, now);
        ItemDecision::Full
    }

    /// Number of waiting items that are more urgent and could take a slot that this item may use.
    fn ahead_of(
        &self,
        view: &GroupView<'_>,
        ask: &ItemAsk<'_>,
        endpoints: &[&Arc<ListedEndpoint>],
        now: Instant,
    ) -> u32 {
        let admits = |endpoint: &ListedEndpoint| ask.place.admits(endpoint);
        let free: Vec<_> = view.usable_for_items(endpoints, admits, now).collect();
        let competes = |other: &ItemPlace| free.iter().any(|endpoint| other.admits(endpoint));
        self.waiting.ahead_of(ask.place, ask.urgency, competes, now)
    }
}
