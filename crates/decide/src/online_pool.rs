//! Which endpoints of a service online requests go to, and which are left to batch.
//!
//! An engine that reads batch prompts delays the online streams beside them, whatever their number. So online
//! requests keep to a part of the endpoints, the front, which grows and shrinks with their load; the others
//! run batch deeply. The order is the same at every entry host and goes round the failure domains, so entries
//! agree on the front but for its last few endpoints.

use crate::balance::EndpointIndex;
use crate::load::LoadShare;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Endpoints below which a service leaves none to batch alone.
pub const MIN_ENDPOINTS_TO_SPLIT: usize = 4;
/// Load of front endpoints below which the front shrinks, in thousandths of their limit.
const LOAD_LOW: u64 = 110;
/// Load of front endpoints above which the front grows.
const LOAD_HIGH: u64 = 250;
/// Load of front endpoints above which the front grows at once, up to all endpoints.
const LOAD_URGENT: u64 = 550;
/// Notes over which the load is averaged, as a power of two.
const LOAD_SHIFT: u32 = 4;
/// Time between steps when the front shrinks.
const SHRINK_PERIOD: Duration = Duration::from_secs(1);
/// Time between steps when the front grows.
const GROW_PERIOD: Duration = Duration::from_millis(500);
/// Time between steps when the front grows at once.
const URGENT_PERIOD: Duration = Duration::from_millis(50);
/// The part of the endpoints that is left to batch but for urgent growth: one in this many.
const BATCH_PART: usize = 8;

/// The front of one service as one entry host sees it.
///
/// ```
/// use fulmarswitch_decide::balance::EndpointIndex;
/// use fulmarswitch_decide::online_pool::OnlinePool;
/// let small = OnlinePool::new(&[("a", "x"), ("b", "y")]);
/// assert!(small.contains(EndpointIndex(0)) && small.contains(EndpointIndex(1)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OnlinePool {
    /// Place of each endpoint in the order.
    ranks: Vec<u32>,
    size: usize,
    /// Mean load that front endpoints reported, in thousandths of their limit.
    load: u64,
    stepped: Duration,
}

impl OnlinePool {
    /// Creates the front of a service from the names and failure domains of its endpoints, in the order of
    /// their table.
    #[must_use]
    pub fn new(endpoints: &[(&str, &str)]) -> Self {
        let size = most_of(endpoints.len());
        Self {
            ranks: rank_endpoints(endpoints),
            size,
            load: u64::midpoint(LOAD_LOW, LOAD_HIGH),
            stepped: Duration::ZERO,
        }
    }

    /// Returns the front after a change of endpoints; it keeps its size and load.
    #[must_use]
    pub fn remapped(&self, endpoints: &[(&str, &str)]) -> Self {
        if self.ranks.is_empty() {
            return Self::new(endpoints);
        }
        Self {
            ranks: rank_endpoints(endpoints),
            size: self.size.clamp(1, endpoints.len().max(1)),
            ..*self
        }
    }

    /// Tells whether online requests go to the endpoint.
    #[must_use]
    pub fn contains(&self, endpoint: EndpointIndex) -> bool {
        let shared = self.ranks.len() < MIN_ENDPOINTS_TO_SPLIT;
        shared || self.rank_of(endpoint).is_some_and(|rank| rank < self.size)
    }

    /// Returns the place of an endpoint in the order in which the front takes them.
    #[must_use]
    pub fn rank_of(&self, endpoint: EndpointIndex) -> Option<usize> {
        self.ranks
            .get(endpoint.as_usize())
            .map(|rank| *rank as usize)
    }

    /// Returns the number of endpoints that online requests go to.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Learns from the load that an endpoint's gate reports.
    pub fn record_load(&mut self, now: Duration, endpoint: EndpointIndex, share: LoadShare) {
        if !self.contains(endpoint) {
            return;
        }
        let sample = share.part_of(1_000);
        let parts = 1 << LOAD_SHIFT;
        self.load = (self.load * (parts - 1) + sample) / parts;
        let since = now.saturating_sub(self.stepped);
        let count = self.ranks.len();
        let size = if self.load > LOAD_URGENT && since >= URGENT_PERIOD {
            (self.size + 1).min(count)
        } else if self.load > LOAD_HIGH && since >= GROW_PERIOD {
            (self.size + 1).min(most_of(count)).max(self.size)
        } else if self.load < LOAD_LOW && since >= SHRINK_PERIOD {
            (self.size - 1).max(1)
        } else {
            return;
        };
        if size != self.size {
            // The same requests on another number of endpoints.
            self.load = self.load * self.size as u64 / size as u64;
            self.size = size;
            self.stepped = now;
        }
    }
}

/// Returns the most endpoints that the front has without being urgent.
fn most_of(count: usize) -> usize {
    if count < MIN_ENDPOINTS_TO_SPLIT {
        return count.max(1);
    }
    count - (count / BATCH_PART).max(1)
}

/// Orders endpoints by hash within each failure domain and goes round the domains.
fn rank_endpoints(endpoints: &[(&str, &str)]) -> Vec<u32> {
    let hash = |at: &usize| xxh3_64(endpoints[*at].0.as_bytes());
    let mut order: Vec<usize> = (0..endpoints.len()).collect();
    order.sort_by_key(|at| (endpoints[*at].1, hash(at)));
    let mut rounds = Vec::with_capacity(order.len());
    let mut round = 0;
    for (place, at) in order.iter().enumerate() {
        let same = place > 0 && endpoints[order[place - 1]].1 == endpoints[*at].1;
        round = if same { round + 1 } else { 0 };
        rounds.push((round, hash(at), *at));
    }
    rounds.sort_unstable();
    let mut ranks = vec![0; endpoints.len()];
    for (rank, (_, _, at)) in (0..).zip(rounds) {
        ranks[at] = rank;
    }
    ranks
}
