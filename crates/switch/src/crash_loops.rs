//! Addresses at which endpoints crash again and again.
//!
//! An endpoint that goes down and up by turns has free slots each time that it is listed anew, so that it draws the work that waits and
//! breaks it off. Each start may have another ID; the address stays.

use crate::endpoint::ListedEndpoint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between two crashes of one loop.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest time between two crashes at an address. Hosts see one crash at slightly different times.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the second crash of a loop for which the address gets no new work; it doubles with each further crash.
const MIN_HOLD: Duration = Duration::from_secs(2);
/// Upper bound of that time.
const MAX_HOLD: Duration = Duration::from_secs(4);
/// Maximum number of addresses that are remembered.
const MAX_PLACES: usize = 1024;

/// Where an endpoint serves. An address may be used again by another service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointPlace {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
}

impl From<&ListedEndpoint> for EndpointPlace {
    fn from(endpoint: &ListedEndpoint) -> Self {
        Self {
            address: endpoint.address,
            service: endpoint.service.clone(),
        }
    }
}

/// Crashes at one place that followed each other closely.
#[derive(Clone, Debug)]
struct CrashLoop {
    place: EndpointPlace,
    crashes: u32,
    last_at: Instant,
}

impl CrashLoop {
    /// Until when the place gets no new work.
    fn held_until(&self) -> Option<Instant> {
        let repeats = self.crashes.checked_sub(2)?;
        let hold = MIN_HOLD.saturating_mul(2_u32.saturating_pow(repeats));
        Some(self.last_at + hold.min(MAX_HOLD))
    }
}

/// Places at which endpoints crashed lately, sorted.
#[derive(Clone, Debug, Default)]
pub struct CrashLoops {
    loops: Vec<CrashLoop>,
}

impl CrashLoops {
    /// Records a crash. Reports of several hosts on one crash count once.
    pub fn record(&mut self, place: EndpointPlace, crashed_at: Instant) {
        let entry = CrashLoop {
            place,
            crashes: 1,
            last_at: crashed_at,
        };
        match self.search(&entry.place) {
            Err(index) => self.loops.insert(index, entry),
            Ok(index) => {
                let known = &mut self.loops[index];
                let since_last = crashed_at.saturating_duration_since(known.last_at);
                if since_last > MAX_INTERVAL {
                    *known = entry;
                } else if since_last >= MIN_INTERVAL {
                    known.crashes = known.crashes.saturating_add(1);
                    known.last_at = crashed_at;
                }
            }
        }
        if self.loops.len() > MAX_PLACES {
            let oldest = self.loops.iter().map(|entry| entry.last_at).min();
            self.loops.retain(|entry| Some(entry.last_at) != oldest);
        }
    }

    /// Until when a place gets no new work since endpoints crash there again and again; `None` if it may get some.
    ///
    /// ```
    /// use fulmarswitch_switch::crash_loops::{CrashLoops, EndpointPlace};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let place = EndpointPlace { address: "127.0.0.1:80".parse().unwrap(), service: "s".into() };
    /// let (mut loops, first) = (CrashLoops::default(), Instant::now());
    /// loops.record(place.clone(), first);
    /// assert_eq!(loops.held_until(&place, first), None);
    /// let second = first + Duration::from_secs(1);
    /// loops.record(place.clone(), second);
    /// assert_eq!(loops.held_until(&place, second), Some(second + Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn held_until(&self, place: &EndpointPlace, now: Instant) -> Option<Instant> {
        let index = self.search(place).ok()?;
        let until = self.loops[index].held_until()?;
        (until > now).then_some(until)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        let is_recent =
            |entry: &CrashLoop| now.saturating_duration_since(entry.last_at) <= MAX_INTERVAL;
        self.loops.retain(is_recent);
    }

    fn search(&self, place: &EndpointPlace) -> Result<usize, usize> {
        self.loops.binary_search_by(|entry| entry.place.cmp(place))
    }
}
