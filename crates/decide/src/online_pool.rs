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
const SHRINK_LOAD_PERMILLE: u64 = 110;
/// Load of front endpoints above which the front grows.
const GROW_LOAD_PERMILLE: u64 = 250;
/// Load of front endpoints above which the front grows at once, up to all endpoints.
const URGENT_LOAD_PERMILLE: u64 = 550;
/// Notes over which the load is averaged, as a power of two.
const LOAD_SHIFT: u32 = 4;
/// Time between steps when the front shrinks.
const SHRINK_PERIOD: Duration = Duration::from_secs(1);
/// Time between steps when the front grows.
const GROW_PERIOD: Duration = Duration::from_millis(500);
/// Time between steps when the front grows at once.
const URGENT_PERIOD: Duration = Duration::from_millis(50);
/// The part of the endpoints that is left to batch but for urgent growth: one in this many.
const BATCH_SHARE_DIVISOR: usize = 8;

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
    load_permille: u64,
    resized_at: Duration,
}

impl OnlinePool {
    /// Creates the front of a service from the names and failure domains of its endpoints, in the order of
    /// their table.
    #[must_use]
    pub fn new(endpoints: &[(&str, &str)]) -> Self {
        let size = max_regular_size(endpoints.len());
        Self {
            ranks: rank_endpoints(endpoints),
            size,
            load_permille: u64::midpoint(SHRINK_LOAD_PERMILLE, GROW_LOAD_PERMILLE),
            resized_at: Duration::ZERO,
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
        let sample = share.scaled_to(1_000);
        let window = 1 << LOAD_SHIFT;
        self.load_permille = (self.load_permille * (window - 1) + sample) / window;
        let elapsed = now.saturating_sub(self.resized_at);
        let count = self.ranks.len();
        let size = if self.load_permille > URGENT_LOAD_PERMILLE && elapsed >= URGENT_PERIOD {
            (self.size + 1).min(count)
        } else if self.load_permille > GROW_LOAD_PERMILLE && elapsed >= GROW_PERIOD {
            (self.size + 1).min(max_regular_size(count)).max(self.size)
        } else if self.load_permille < SHRINK_LOAD_PERMILLE && elapsed >= SHRINK_PERIOD {
            (self.size - 1).max(1)
        } else {
            return;
        };
        if size != self.size {
            // The same requests on another number of endpoints.
            self.load_permille = self.load_permille * self.size as u64 / size as u64;
            self.size = size;
            self.resized_at = now;
        }
    }
}

/// Returns the most endpoints that the front has without being urgent.
fn max_regular_size(count: usize) -> usize {
    if count < MIN_ENDPOINTS_TO_SPLIT {
        return count.max(1);
    }
    count - (count / BATCH_SHARE_DIVISOR).max(1)
}

/// Orders endpoints by hash within each failure domain and goes round the domains.
fn rank_endpoints(endpoints: &[(&str, &str)]) -> Vec<u32> {
    let hash = |index: &usize| xxh3_64(endpoints[*index].0.as_bytes());
    let mut order: Vec<usize> = (0..endpoints.len()).collect();
    order.sort_by_key(|index| (endpoints[*index].1, hash(index)));
    let mut rounds = Vec::with_capacity(order.len());
    let mut round = 0;
    for (position, index) in order.iter().enumerate() {
        let same_domain = position > 0 && endpoints[order[position - 1]].1 == endpoints[*index].1;
        round = if same_domain { round + 1 } else { 0 };
        rounds.push((round, hash(index), *index));
    }
    rounds.sort_unstable();
    let mut ranks = vec![0; endpoints.len()];
    for (rank, (_, _, index)) in (0..).zip(rounds) {
        ranks[index] = rank;
    }
    ranks
}
