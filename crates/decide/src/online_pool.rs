//! Selects the endpoints of a service that serve online requests; the others are left to batch
//! work.
//!
//! Prefilling batch prompts delays the online streams of the same engine, however few they are.
//! Online requests are therefore confined to a pool of endpoints that grows and shrinks with their
//! load, and the remaining endpoints run batch requests at high concurrency. The order in which
//! endpoints join the pool is the same at every entry host and alternates between failure domains,
//! so the pools of different entry hosts differ in their last few endpoints at most.

use crate::balance::EndpointIndex;
use crate::load::LoadShare;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Number of endpoints from which a service reserves some for batch work.
pub const MIN_ENDPOINTS_TO_SPLIT: usize = 4;
/// Mean load of the pool below which it shrinks, in thousandths of the endpoints' limit.
const SHRINK_LOAD_PERMILLE: u64 = 110;
/// Mean load above which the pool grows, in thousandths of the limit.
const GROW_LOAD_PERMILLE: u64 = 250;
/// Mean load above which the pool grows without delay, up to all endpoints, in thousandths of the
/// limit.
const URGENT_LOAD_PERMILLE: u64 = 550;
/// Number of reports over which the load is averaged, as the exponent of a power of two.
const LOAD_SHIFT: u32 = 4;
/// Shortest time between a change of size and the next shrinking step.
const SHRINK_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between a change of size and the next growing step.
const GROW_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between a change of size and the next growing step under urgent load.
const URGENT_PERIOD: Duration = Duration::from_millis(50);
/// One endpoint in this many, and at least one, is reserved for batch work unless the load is
/// urgent.
const BATCH_SHARE_DIVISOR: usize = 8;

/// Pool of the endpoints that serve a service's online requests, as seen by one entry host.
///
/// ```
/// use fulmarswitch_decide::balance::EndpointIndex;
/// use fulmarswitch_decide::online_pool::OnlinePool;
/// let pool = OnlinePool::new(&[("a", "x"), ("b", "y")]);
/// assert!(pool.contains(EndpointIndex(0)) && pool.contains(EndpointIndex(1)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OnlinePool {
    /// Rank of each endpoint, by its index; endpoints of lower rank join the pool first.
    ranks: Vec<u32>,
    size: usize,
    /// Moving average of the load that the endpoints of the pool report, in thousandths of their
    /// limit.
    load_permille: u64,
    resized_at: Duration,
}

impl OnlinePool {
    /// Creates the pool of a service from the names and failure domains of its endpoints, in the
    /// order of their table.
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

    /// Returns the pool after a change of endpoints; it keeps its size and load.
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

    /// Returns whether online requests go to the endpoint.
    #[must_use]
    pub fn contains(&self, endpoint: EndpointIndex) -> bool {
        let shared = self.ranks.len() < MIN_ENDPOINTS_TO_SPLIT;
        shared || self.rank_of(endpoint).is_some_and(|rank| rank < self.size)
    }

    /// Returns the rank of an endpoint; `None` for an unknown index.
    #[must_use]
    pub fn rank_of(&self, endpoint: EndpointIndex) -> Option<usize> {
        self.ranks
            .get(endpoint.as_usize())
            .map(|rank| *rank as usize)
    }

    /// Returns the number of endpoints in the pool.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Updates the mean load with a report of an endpoint's gate and resizes the pool if needed.
    /// Reports of endpoints outside the pool are ignored.
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
            // The same requests spread over the new number of endpoints.
            self.load_permille = self.load_permille * self.size as u64 / size as u64;
            self.size = size;
            self.resized_at = now;
        }
    }
}

/// Returns the largest size of the pool without urgent load.
fn max_regular_size(count: usize) -> usize {
    if count < MIN_ENDPOINTS_TO_SPLIT {
        return count.max(1);
    }
    count - (count / BATCH_SHARE_DIVISOR).max(1)
}

/// Ranks the endpoints by hash within each failure domain, alternating between the domains.
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
