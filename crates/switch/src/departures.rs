//! Departures of endpoints, which hosts report to each other in heartbeats.
//!
//! A host that cannot read the listings goes on using endpoints that have left. The other hosts know of them, so each
//! host reports the departures that it read lately.

use crate::report::EndpointKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a departure is reported: several heartbeats of a large fleet, as datagrams are lost.
const REPORT_DURATION: Duration = Duration::from_secs(10);
/// Maximum number of departures in a report, limited by the size of a heartbeat.
const MAX_REPORTED: usize = 16;

/// Departure of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDeparture {
    /// The endpoint.
    pub key: EndpointKey,
    /// Offset of the listing that says so, or of its removal.
    pub offset: u64,
}

impl EndpointDeparture {
    /// Returns the departure of the endpoint with this ID.
    #[must_use]
    pub fn new(id: &str, offset: u64) -> Self {
        let key = EndpointKey::of(id);
        Self { key, offset }
    }
}

#[derive(Clone, Copy, Debug)]
struct RecentDeparture {
    departure: EndpointDeparture,
    /// Whether the endpoint itself announced that it leaves.
    announced: bool,
    read_at: Instant,
}

/// Departures that this host has read lately, in the order of their offsets.
#[derive(Clone, Debug, Default)]
pub struct RecentDepartures {
    entries: Vec<RecentDeparture>,
}

impl RecentDepartures {
    /// Records a departure. `announced` tells whether the endpoint itself listed that it leaves.
    pub fn record(&mut self, departure: EndpointDeparture, announced: bool, now: Instant) {
        let entry = RecentDeparture {
            departure,
            announced,
            read_at: now,
        };
        self.entries.push(entry);
        let excess = self.entries.len().saturating_sub(MAX_REPORTED);
        self.entries.drain(..excess);
    }

    /// Returns the departures to report. A removed listing may have expired in an outage of the log, so removals are only
    /// reported before the offset `confirmed`.
    ///
    /// ```
    /// use fulmarswitch_switch::departures::{EndpointDeparture, RecentDepartures};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut departures = RecentDepartures::default();
    /// departures.record(EndpointDeparture::new("announced", 4), true, now);
    /// departures.record(EndpointDeparture::new("removed", 5), false, now);
    /// assert_eq!(departures.report(0, now), [EndpointDeparture::new("announced", 4)]);
    /// assert_eq!(departures.report(6, now).len(), 2);
    /// ```
    #[must_use]
    pub fn report(&self, confirmed: u64, now: Instant) -> Vec<EndpointDeparture> {
        let entries = self.entries.iter().filter(|entry| {
            let is_certain = entry.announced || entry.departure.offset < confirmed;
            is_certain && now.saturating_duration_since(entry.read_at) < REPORT_DURATION
        });
        entries.map(|entry| entry.departure).collect()
    }
}
