//! Fair shares of the pools of slots that a host decides on.

use super::fair::{FairShares, ShareClaim, ShareLimit, WorkspaceKey};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of pools. It bounds their memory.
const MAX_POOLS: usize = 64;

/// What has changed since the last call of [`SharePools::take_changes`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareChanges {
    /// Workspaces that are held to their share from now on.
    pub began: Vec<WorkspaceKey>,
    /// Workspaces that no longer are.
    pub ended: Vec<WorkspaceKey>,
    /// Number of requests that were rejected for the share of their workspace.
    pub rejected: u64,
}

/// Slots for which workspaces compete: those of a service, in one group of endpoints or at all that a host chooses from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharePool<G> {
    /// Service of the endpoints.
    pub service: Arc<str>,
    /// The group; `None` for what a host chooses itself.
    pub group: Option<G>,
    /// Whether the pool is that of items of jobs.
    pub is_batch: bool,
}

/// Shares of all pools that a host decides on.
#[derive(Clone, Debug)]
pub struct SharePools<G> {
    /// Sorted by pool.
    pools: Vec<(SharePool<G>, FairShares)>,
}

impl<G> Default for SharePools<G> {
    fn default() -> Self {
        Self { pools: Vec::new() }
    }
}

impl<G: Clone + Ord> SharePools<G> {
    /// How long a request may wait in a pool that completes one in each `interval` while all slots are in use. A request without a claim
    /// has no limit.
    pub fn limit(
        &mut self,
        pool: &SharePool<G>,
        claim: Option<ShareClaim>,
        interval: Duration,
        now: Instant,
    ) -> ShareLimit {
        let Some(claim) = claim else {
            return ShareLimit::NONE;
        };
        let per_second = 1.0 / interval.as_secs_f64().max(1e-6);
        let shares = self.shares(pool);
        shares.map_or(ShareLimit::NONE, |shares| {
            shares.limit(claim, per_second, now)
        })
    }

    /// Records that a request or an item got a slot.
    pub fn record_grant(&mut self, pool: &SharePool<G>, claim: Option<ShareClaim>, now: Instant) {
        if let Some(claim) = claim
            && let Some(shares) = self.shares(pool)
        {
            shares.record(claim, true, now);
        }
    }

    /// Records that a request was rejected; `is_held` if it was since its workspace has had its share.
    pub fn record_rejection(
        &mut self,
        pool: &SharePool<G>,
        claim: Option<ShareClaim>,
        is_held: bool,
        now: Instant,
    ) {
        if let Some(claim) = claim
            && let Some(shares) = self.shares(pool)
        {
            shares.record(claim, false, now);
            if is_held {
                shares.hold(claim, now);
            }
        }
    }

    /// What a workspace has had lately in a pool; see [`FairShares::had`].
    #[must_use]
    pub fn had(&self, pool: &SharePool<G>, claim: Option<ShareClaim>, now: Instant) -> u32 {
        let found = self.pools.binary_search_by(|(known, _)| known.cmp(pool));
        match (claim, found) {
            (Some(claim), Ok(index)) => self.pools[index].1.had(claim, now),
            _ => 0,
        }
    }

    /// The shares of a pool; `None` if there are too many pools.
    fn shares(&mut self, pool: &SharePool<G>) -> Option<&mut FairShares> {
        let found = self.pools.binary_search_by(|(known, _)| known.cmp(pool));
        let index = match found {
            Ok(index) => index,
            Err(_) if self.pools.len() >= MAX_POOLS => return None,
            Err(index) => {
                self.pools
                    .insert(index, (pool.clone(), FairShares::default()));
                index
            }
        };
        Some(&mut self.pools[index].1)
    }

    /// Takes what has changed.
    pub fn take_changes(&mut self, now: Instant) -> ShareChanges {
        let mut changes = ShareChanges::default();
        for (_, shares) in &mut self.pools {
            shares.take_changes(&mut changes, now);
        }
        self.pools.retain(|(_, shares)| shares.is_used(now));
        changes
    }

    /// Number of workspaces that are held to their share, in all pools.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.pools
            .iter()
            .map(|(_, shares)| shares.held_count())
            .sum()
    }
}
