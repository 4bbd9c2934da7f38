//! Load reports: what hosts report to each other about their requests in flight.

use crate::wait::RunAges;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an endpoint ID that identifies the endpoint in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Hash that distributes endpoints over hosts.
    #[must_use]
    pub fn hash(self) -> u64 {
        self.0.into()
    }

    /// Returns the key of the endpoint with this ID.
    ///
    /// ```
    /// use fulmarswitch_switch::report::EndpointKey;
    /// assert_eq!(EndpointKey::of("i-1"), EndpointKey::of("i-1"));
    /// ```
    #[must_use]
    pub fn of(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Number of requests in flight at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
}

impl RequestCounts {
    /// Sum of both classes.
    #[must_use]
    pub fn total(self) -> u32 {
        u32::from(self.online) + u32::from(self.batch)
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            online: self.online.saturating_add(other.online),
            batch: self.batch.saturating_add(other.batch),
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            online: self.online.saturating_sub(other.online),
            batch: self.batch.saturating_sub(other.batch),
        }
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// Load of one host at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Requests in flight.
    pub counts: RequestCounts,
    /// Ages of the online requests among them that hold a slot.
    pub ages: RunAges,
    /// Number of online requests that wait for a slot, going by the time for which they have had no response.
    pub overdue: u16,
}

/// Load of one host by endpoint, as sent in its heartbeats.
pub type LoadReport = Vec<(EndpointKey, EndpointReport)>;
