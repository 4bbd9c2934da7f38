//! Room of the groups of other coordinators, as they tell it.

use super::group::GroupId;
use super::message::{GroupRoom, ServiceKey, ServiceRoom};
use std::time::Duration;
use tokio::time::Instant;

/// Age of the room of a group beyond which it is not known.
const MAX_ROOM_AGE: Duration = Duration::from_secs(1);
/// Maximum number of groups. It bounds their memory.
const MAX_GROUPS: usize = 256;

/// What room is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomKind {
    /// Free slots.
    Free,
    /// Slots that are free for items.
    FreeForItems,
    /// Slots that items hold and online requests may take.
    Preemptible,
}

impl RoomKind {
    fn of(self, room: &mut ServiceRoom) -> &mut u16 {
        match self {
            Self::Free => &mut room.free,
            Self::FreeForItems => &mut room.free_for_items,
            Self::Preemptible => &mut room.preemptible,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownRoom {
    group: GroupId,
    /// Room of each service. That of a coordinator of an earlier version, which tells only the sum, is under no key.
    services: Vec<(Option<ServiceKey>, ServiceRoom)>,
    received_at: Instant,
}

impl KnownRoom {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < MAX_ROOM_AGE
    }

    fn room_of(&mut self, service: ServiceKey) -> Option<&mut ServiceRoom> {
        let mut services = self.services.iter_mut();
        let room = services.find(|(key, _)| key.is_none_or(|key| key == service));
        room.map(|(_, room)| room)
    }
}

/// Rooms of the groups of other coordinators.
#[derive(Clone, Debug, Default)]
pub struct RoomTable(Vec<KnownRoom>);

impl RoomTable {
    /// Records the room of a group, with that of each of its services. A coordinator of an earlier version tells only the former.
    pub fn set(&mut self, room: GroupRoom, services: Option<Vec<ServiceRoom>>, now: Instant) {
        self.0
            .retain(|known| known.group != room.group && known.is_current(now));
        if self.0.len() >= MAX_GROUPS {
            return;
        }
        let total = ServiceRoom {
            service: ServiceKey::default(),
            free: room.free,
            free_for_items: room.free_for_items,
            preemptible: room.preemptible,
        };
        let services = services.map_or_else(
            || vec![(None, total)],
            |services| {
                let rooms = services.into_iter();
                rooms.map(|room| (Some(room.service), room)).collect()
            },
        );
        self.0.push(KnownRoom {
            group: room.group,
            services,
            received_at: now,
        });
    }

    /// The group other than `own` with the most room for a service, out of those that `is_usable` selects. Counts one slot of it as used.
    pub fn take_roomiest(
        &mut self,
        own: &GroupId,
        service: ServiceKey,
        kind: RoomKind,
        is_usable: impl Fn(&GroupId) -> bool,
        now: Instant,
    ) -> Option<GroupId> {
        let known = self.0.iter_mut();
        let usable = known.filter(|known| {
            known.group != *own && known.is_current(now) && is_usable(&known.group)
        });
        let rooms = usable.filter_map(|known| {
            let group = known.group.clone();
            Some((kind.of(known.room_of(service)?), group))
        });
        let (room, group) = rooms.max_by_key(|(room, _)| **room)?;
        *room = room.checked_sub(1)?;
        Some(group)
    }
}
