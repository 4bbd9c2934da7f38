//! Messages between hosts and the coordinators of groups.

use super::group::GroupId;
use crate::origins::VersionKey;
use crate::report::{EndpointKey, LoadReport};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of endpoints that an ask leaves out.
pub const MAX_EXCLUDED: usize = 32;
/// Maximum number of services in a message about the room of a group.
pub const MAX_ROOM_SERVICES: usize = 64;
/// Maximum number of measured response times in a load message.
pub const MAX_SAMPLES: usize = 16;

/// A message to or from a coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// A host asks for an endpoint.
    Ask(SlotAsk),
    /// A coordinator's answer.
    Answer(SlotAnswer),
    /// The load of a host, which replaces its earlier one.
    Load(LoadMessage),
    /// The receiver is to preempt items at an endpoint.
    Preempt {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Number of items.
        count: u16,
    },
    /// How much room a group has.
    Room(GroupRoom),
}

/// What a host needs an endpoint for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotNeed {
    /// An online request.
    Online {
        /// Latency target of its route in milliseconds; 0 for none.
        target_ms: u32,
        /// Time until its deadline in milliseconds.
        remaining_ms: u32,
    },
    /// An item of a batch job.
    Item {
        /// Whether it can still complete in time.
        in_time: bool,
        /// Due time in milliseconds since the Unix epoch.
        due_ms: u64,
    },
}

/// A host asks for an endpoint of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// Name of the host.
    pub host: Arc<str>,
    /// Number of the ask at the host.
    pub number: u32,
    /// The group that is asked.
    pub group: GroupId,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Software version of the endpoint; `None` for any.
    pub version: Option<VersionKey>,
    /// Endpoints that are left out, at most [`MAX_EXCLUDED`].
    pub excluded: Vec<EndpointKey>,
    /// What the endpoint is for.
    pub need: SlotNeed,
    /// Whether the host was sent here by another coordinator, or that one's choice does not answer. It is not sent elsewhere again.
    pub is_final: bool,
}

/// Answer of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAnswer {
    /// Number of the ask.
    pub number: u32,
    /// What was decided.
    pub outcome: SlotOutcome,
}

/// Decision of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// The endpoint has room.
    Granted {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether it has a free slot, so that the request does not wait.
        has_free_slot: bool,
    },
    /// No endpoint has room.
    Full {
        /// Expected wait at the best endpoint in milliseconds.
        wait_ms: u32,
        /// Time after which to ask again in milliseconds.
        retry_after_ms: u32,
    },
    /// Another group has more room, and its coordinator is to be asked.
    Elsewhere(GroupId),
    /// The group has no such endpoint.
    Missing,
}

/// What follows an answer in its datagram. Hosts of earlier versions neither send nor read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSpeed {
    /// Time without a first byte after which a request at the granted endpoint waits for a slot, in milliseconds.
    pub overdue_after_ms: u16,
}

/// Load of a host at all endpoints, for the coordinators of those where it has changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Name of the host.
    pub host: Arc<str>,
    /// Asks up to this number are part of the load, or were given up.
    pub resolved: u32,
    /// Its load.
    pub load: LoadReport,
    /// Times to the first byte and of the run, in milliseconds, of requests that were completed since the last message.
    pub samples: Vec<(u16, u16)>,
}

/// Room of a group, as its coordinator tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRoom {
    /// The group.
    pub group: GroupId,
    /// Free slots.
    pub free: u16,
    /// Slots that are free for items.
    pub free_for_items: u16,
    /// Slots that items hold and online requests may take.
    pub preemptible: u16,
}

/// Hash of the name of a service, which identifies it in messages between coordinators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey(u32);

impl ServiceKey {
    /// Returns the key of the service with this name.
    ///
    /// ```
    /// use fulmarswitch_switch::coordinator::message::ServiceKey;
    /// assert_ne!(ServiceKey::of("reports"), ServiceKey::of("audits"));
    /// ```
    #[must_use]
    pub fn of(service: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(service.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Room of the endpoints of one service in a group. A list of these follows a [`GroupRoom`] in its datagram, which hosts of earlier versions
/// neither send nor read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// The service.
    pub service: ServiceKey,
    /// Free slots.
    pub free: u16,
    /// Slots that are free for items.
    pub free_for_items: u16,
    /// Slots that items hold and online requests may take.
    pub preemptible: u16,
}

/// Converts a duration to whole milliseconds of a message, saturating.
#[must_use]
pub fn message_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
