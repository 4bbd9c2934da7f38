//! Limits that endpoints name in their responses: how many requests a second they take from all hosts together.
//!
//! An equal share of a small limit would be a fraction of a request a second for each host. A few hosts, chosen by rendezvous
//! hashing, therefore share the limit, and the others send the endpoint nothing. A limit holds as long as responses name it.

use crate::report::EndpointKey;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum share of a limit, in requests a second, that a host gets if others share the limit too.
const MIN_SHARE: f64 = 2.0;
/// Number of requests that a host may send at once after a pause.
const BURST: f64 = 2.0;
/// Time after the last response that named a limit, at any host, for which it holds.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of limits that are remembered.
const MAX_LIMITS: usize = 1024;
/// Assumed time until the next request may be sent, for a host without a share of the limit.
const UNSHARED_WAIT: Duration = Duration::from_secs(1);

/// Number of requests in a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    per_1000_s: NonZeroU32,
}

impl RateLimit {
    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s.get()) / 1000.0
    }
}

/// Error of a limit that is no number of requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLimit;

/// Parses a decimal number of requests a second.
///
/// ```
/// use fulmarswitch_switch::limits::RateLimit;
/// assert_eq!("2.5".parse::<RateLimit>().unwrap().per_second(), 2.5);
/// assert!("-1".parse::<RateLimit>().is_err());
/// assert!("many".parse::<RateLimit>().is_err());
/// ```
impl FromStr for RateLimit {
    type Err = InvalidLimit;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidLimit)?;
        let millis =
            std::time::Duration::try_from_secs_f64(per_second).map_err(|_| InvalidLimit)?;
        let per_1000_s = u32::try_from(millis.as_millis()).map_err(|_| InvalidLimit)?;
        // An endpoint that takes no request at all would never be asked whether that is over.
        let per_1000_s = NonZeroU32::new(per_1000_s).unwrap_or(NonZeroU32::MIN);
        Ok(Self { per_1000_s })
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}

/// The limit of an endpoint, as a host reports it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    key: EndpointKey,
    /// Requests per 1000 s; `None` if the endpoint names a limit no longer.
    per_1000_s: Option<NonZeroU32>,
    /// Age of the response that said so.
    age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    key: EndpointKey,
    /// `None` if the endpoint names a limit no longer.
    limit: Option<RateLimit>,
    /// When a host got the response that said so.
    said_at: Instant,
    /// Whether this host got it.
    is_own: bool,
    /// Requests a second that this host may send.
    share: f64,
    /// Requests that this host may send now.
    tokens: f64,
    refilled_at: Instant,
}

impl LimitEntry {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + self.share * elapsed.as_secs_f64()).min(BURST);
        self.refilled_at = now;
    }
}

/// Limits of all endpoints that name one, sorted by endpoint, and the share of this host in each.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: Vec<LimitEntry>,
}

impl LimitTable {
    /// Records what a response to this host says. Returns whether the limit has changed.
    pub fn record(&mut self, id: &str, limit: Option<RateLimit>, now: Instant) -> bool {
        if limit.is_none() && self.entries.is_empty() {
            return false;
        }
        self.set(EndpointKey::of(id), limit, now, true)
    }

    /// Applies the report of another host, unless a later response is known.
    pub fn apply(&mut self, report: LimitReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        if let Some(said_at) = now.checked_sub(age).filter(|_| age < RETENTION) {
            let limit = report.per_1000_s.map(|per_1000_s| RateLimit { per_1000_s });
            self.set(report.key, limit, said_at, false);
        }
    }

    fn set(
        &mut self,
        key: EndpointKey,
        limit: Option<RateLimit>,
        said_at: Instant,
        is_own: bool,
    ) -> bool {
        match self.search(key) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if entry.said_at >= said_at {
                    return false;
                }
                let has_changed = entry.limit != limit;
                (entry.limit, entry.said_at, entry.is_own) = (limit, said_at, is_own);
                has_changed
            }
            Err(index) if limit.is_some() && self.entries.len() < MAX_LIMITS => {
                let entry = LimitEntry {
                    key,
                    limit,
                    said_at,
                    is_own,
                    share: 0.0,
                    tokens: 0.0,
                    refilled_at: said_at,
                };
                self.entries.insert(index, entry);
                true
            }
            Err(_) => false,
        }
    }

    /// What this host reports to the others: what responses to it said.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let own = self.entries.iter().filter(|entry| entry.is_own);
        own.map(|entry| {
            let age = now.saturating_duration_since(entry.said_at);
            LimitReport {
                key: entry.key,
                per_1000_s: entry.limit.map(|limit| limit.per_1000_s),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        })
        .collect()
    }

    /// Sets the share of this host in each limit. `is_sharer` tells whether this host is among the given number of hosts that
    /// share the limit of an endpoint, out of `hosts` in all. Forgets the limits that no response has named lately.
    pub fn update_shares(
        &mut self,
        hosts: usize,
        now: Instant,
        is_sharer: impl Fn(EndpointKey, usize) -> bool,
    ) {
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.said_at) < RETENTION);
        for entry in &mut self.entries {
            entry.refill(now);
            let Some(limit) = entry.limit else {
                continue;
            };
            let (count, share) = divide(limit, hosts);
            entry.share = if is_sharer(entry.key, count) {
                share
            } else {
                0.0
            };
        }
    }

    /// Number of hosts, out of `hosts`, that share the limit of an endpoint; `None` if it names none.
    #[must_use]
    pub fn sharer_count(&self, id: &str, hosts: usize) -> Option<usize> {
        let limit = self.limited(id)?.limit?;
        Some(divide(limit, hosts).0)
    }

    /// Whether this host may send an online request to the endpoint.
    #[must_use]
    pub fn admits(&self, id: &str, now: Instant) -> bool {
        self.has_tokens(id, 1.0, now)
    }

    /// Whether this host may send a batch item to the endpoint. Items leave the rest of the limit to online requests.
    #[must_use]
    pub fn admits_item(&self, id: &str, now: Instant) -> bool {
        self.has_tokens(id, BURST, now)
    }

    fn has_tokens(&self, id: &str, tokens: f64, now: Instant) -> bool {
        self.limited(id).is_none_or(|mut entry| {
            entry.refill(now);
            entry.tokens >= tokens
        })
    }

    /// Time until this host may send an online request to the endpoint; zero if it may.
    #[must_use]
    pub fn wait(&self, id: &str, now: Instant) -> Duration {
        let Some(mut entry) = self.limited(id) else {
            return Duration::ZERO;
        };
        entry.refill(now);
        let missing = (1.0 - entry.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / entry.share).unwrap_or(UNSHARED_WAIT)
    }

    /// Records that this host sends a request to the endpoint.
    pub fn take(&mut self, id: &str, now: Instant) {
        if let Ok(index) = self.search(EndpointKey::of(id)) {
            let entry = &mut self.entries[index];
            entry.refill(now);
            entry.tokens = (entry.tokens - 1.0).max(-BURST);
        }
    }

    /// Whether the endpoint names a limit, and if so, whether this host has a share in it.
    #[must_use]
    pub fn share(&self, id: &str) -> Option<bool> {
        self.limited(id).map(|entry| entry.share > 0.0)
    }

    /// Whether no endpoint names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of endpoints that name a limit, or did so a short time ago.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn limited(&self, id: &str) -> Option<LimitEntry> {
        if self.entries.is_empty() {
            return None;
        }
        let index = self.search(EndpointKey::of(id)).ok()?;
        let entry = self.entries[index];
        entry.limit.is_some().then_some(entry)
    }

    fn search(&self, key: EndpointKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}

/// Number of hosts that share a limit, and the share of each.
fn divide(limit: RateLimit, hosts: usize) -> (usize, f64) {
    let mut count = 1;
    let mut share = limit.per_second();
    while count * 2 <= hosts && share / 2.0 >= MIN_SHARE {
        count *= 2;
        share /= 2.0;
    }
    (count, share)
}
