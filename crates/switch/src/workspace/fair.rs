//! Fair shares: which workspaces wait for a slot while there are too few of them.
//!
//! While a pool has free slots, everyone gets one. Once more is asked for than the pool completes, each workspace may have the same number of
//! requests per unit of its weight, and what one doesn't ask for goes to the others (max-min fairness). A request of a workspace that has had
//! more is only admitted to a short queue, so that it gets what the others leave. More urgent ranks go before: a less urgent one has the shorter
//! queue and the share of what they leave, unless it would starve.

use super::Workspace;
use super::pools::ShareChanges;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time over which the use of a workspace is forgotten: a few pulses of callers that come back, so that one with few requests is not over
/// its share by chance.
pub const USE_TIME: Duration = Duration::from_secs(4);
/// The same for what tells whether a workspace starves: within the minute over which none may.
pub(super) const STARVATION_TIME: Duration = Duration::from_secs(20);
/// A workspace that is served less than this fraction as often as all has the longest queue. None may be served a quarter as often.
const STARVATION_FRACTION: f64 = 0.4;
/// Number of asks from which a workspace may count as starved.
const MIN_ASKS: f64 = 4.0;
/// Requests beyond its share that a workspace may have, so that one with few requests isn't over its share by a single one.
const SLACK_REQUESTS: f64 = 1.0;
/// Length of the queue of a workspace over its share, and of that of the next rank, as a fraction of that of the others.
const SHORTER_QUEUE: f64 = 0.25;
/// Number of times that a queue is shortened at most.
const MAX_STEPS: u32 = 8;
/// Time for which shares stand before they are computed anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of workspaces of a pool. It bounds their memory; beyond it, a workspace counts as one that has had nothing.
const MAX_ENTRIES: usize = 4096;
/// Number of asks, decayed, under which a workspace is forgotten.
const MIN_KNOWN: f64 = 0.05;
/// Time without a rejection for its share after which a workspace is no longer held to it.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// Identifies a workspace in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkspaceKey(u64);

impl WorkspaceKey {
    /// The key of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// For whom a slot is asked. It follows an ask in its datagram, where hosts of earlier versions do not read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareClaim {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Its weight: its cap in requests per 1,000 s; 0 for that of the mean workspace.
    pub weight: u32,
    /// Rank of the request, 0 is the highest.
    pub priority: u32,
}

impl ShareClaim {
    /// The claim of a request of a workspace on a route with a rank.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::Workspace;
    /// use fulmarswitch_switch::workspace::fair::ShareClaim;
    /// let workspace = Workspace { name: "workshop".into(), priority: None, cap: None };
    /// assert_eq!(ShareClaim::new(&workspace, 2).priority, 2);
    /// let urgent = Workspace { priority: Some(1), ..workspace };
    /// assert_eq!(ShareClaim::new(&urgent, 2).priority, 1);
    /// ```
    #[must_use]
    pub fn new(workspace: &Workspace, route_priority: u32) -> Self {
        let per_second = workspace.cap.map_or(0.0, |cap| cap.per_second);
        // A float is cast to the nearest integer that there is.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let weight = (per_second * 1000.0).ceil() as u32;
        Self {
            workspace: WorkspaceKey::of(&workspace.name),
            weight,
            priority: workspace.priority.unwrap_or(route_priority),
        }
    }

    /// The claim of a request on a public route: all of these together are as one workspace.
    #[must_use]
    pub fn public(route_priority: u32) -> Self {
        Self {
            workspace: WorkspaceKey::of(""),
            weight: 0,
            priority: route_priority,
        }
    }

    /// Order of the entries.
    fn rank(&self) -> (WorkspaceKey, u32) {
        (self.workspace, self.priority)
    }
}

/// How long a request may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareLimit {
    /// Fraction of the longest wait.
    pub wait_fraction: f64,
    /// Time until its workspace is inside its share again.
    pub back_in: Duration,
}

impl ShareLimit {
    /// No limit by a share.
    pub const NONE: Self = Self {
        wait_fraction: 1.0,
        back_in: Duration::ZERO,
    };
}

/// Asks and grants, decayed.
#[derive(Clone, Copy, Debug, Default)]
struct UseCount {
    asked: f64,
    granted: f64,
}

impl UseCount {
    fn scale(&mut self, factor: f64) {
        self.asked *= factor;
        self.granted *= factor;
    }

    fn add(&mut self, is_granted: bool) {
        self.asked += 1.0;
        self.granted += f64::from(u8::from(is_granted));
    }

    fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            granted: self.granted + other.granted,
        }
    }

    /// Fraction of the asks that were granted.
    fn served(self) -> f64 {
        self.granted / self.asked.max(f64::MIN_POSITIVE)
    }
}

/// What a workspace has had in one rank.
#[derive(Clone, Copy, Debug)]
struct ShareEntry {
    claim: ShareClaim,
    lately: UseCount,
    minute: UseCount,
    counted_at: Instant,
    /// When a request was last rejected for its share.
    held_at: Option<Instant>,
    /// Whether that was told.
    is_told: bool,
}

impl ShareEntry {
    fn new(claim: ShareClaim, now: Instant) -> Self {
        Self {
            claim,
            lately: UseCount::default(),
            minute: UseCount::default(),
            counted_at: now,
            held_at: None,
            is_told: false,
        }
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.counted_at);
        self.lately.scale(decay_factor(passed, USE_TIME));
        self.minute.scale(decay_factor(passed, STARVATION_TIME));
        self.counted_at = now;
    }
}

fn decay_factor(passed: Duration, time: Duration) -> f64 {
    (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}

/// The share of a rank: requests per unit of weight.
#[derive(Clone, Copy, Debug)]
struct RankLevel {
    priority: u32,
    level: f64,
}

/// Use and shares of the workspaces in a pool of slots.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Sorted by workspace and rank.
    entries: Vec<ShareEntry>,
    /// Sorted by rank. Empty while the pool completes what is asked for.
    ranks: Vec<RankLevel>,
    /// Share of all ranks together.
    level: f64,
    mean_weight: f64,
    /// Use of all workspaces.
    minute: UseCount,
    refreshed_at: Option<Instant>,
    /// Number of requests that were rejected for the share of their workspace and not told.
    rejected: u64,
}

impl FairShares {
    /// How long a request may wait in a pool that completes `per_second` requests a second.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::fair::{FairShares, ShareClaim, ShareLimit, WorkspaceKey};
    /// use tokio::time::Instant;
    /// let claim = |name| ShareClaim { workspace: WorkspaceKey::of(name), weight: 0, priority: 0 };
    /// let mut shares = FairShares::default();
    /// let now = Instant::now();
    /// for _ in 0..50 {
    ///     shares.record(claim("hot"), true, now);
    /// }
    /// assert_eq!(shares.limit(claim("hot"), 100.0, now), ShareLimit::NONE);
    /// let later = now + std::time::Duration::from_millis(100);
    /// shares.record(claim("other"), true, later);
    /// assert!(shares.limit(claim("hot"), 10.0, later).wait_fraction < 1.0);
    /// assert_eq!(shares.limit(claim("other"), 10.0, later), ShareLimit::NONE);
    /// ```
    pub fn limit(&mut self, claim: ShareClaim, per_second: f64, now: Instant) -> ShareLimit {
        self.refresh(per_second, now);
        let weight = self.weight(claim);
        let mut entry = match self.search(claim) {
            Ok(index) => self.entries[index],
            Err(_) => ShareEntry::new(claim, now),
        };
        entry.decay(now);
        let more_urgent = self
            .ranks
            .partition_point(|rank| rank.priority < claim.priority);
        if self.ranks.is_empty() || self.is_starved(&entry, weight) {
            return ShareLimit::NONE;
        }
        let rank = self.ranks.get(more_urgent);
        let rank = rank.filter(|rank| rank.priority == claim.priority);
        let share = rank.map_or(0.0, |rank| rank.level * weight) + SLACK_REQUESTS;
        let is_over = entry.lately.granted > share;
        let back_in = if is_over {
            USE_TIME.mul_f64((entry.lately.granted / share).ln())
        } else {
            Duration::ZERO
        };
        let steps = u32::try_from(more_urgent).unwrap_or(MAX_STEPS);
        let steps = steps.min(MAX_STEPS) * 2 + u32::from(is_over);
        ShareLimit {
            wait_fraction: SHORTER_QUEUE.powf(steps.min(MAX_STEPS).into()),
            back_in,
        }
    }

    /// Records what was decided on a request.
    pub fn record(&mut self, claim: ShareClaim, is_granted: bool, now: Instant) {
        let index = match self.search(claim) {
            Ok(index) => index,
            Err(_) if self.entries.len() >= MAX_ENTRIES => return,
            Err(index) => {
                self.entries.insert(index, ShareEntry::new(claim, now));
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.claim = claim;
        entry.decay(now);
        entry.lately.add(is_granted);
        entry.minute.add(is_granted);
    }

    /// Records that a request was rejected since its workspace has had its share.
    pub fn hold(&mut self, claim: ShareClaim, now: Instant) {
        self.rejected += 1;
        if let Ok(index) = self.search(claim) {
            self.entries[index].held_at = Some(now);
        }
    }

    /// Adds what has changed since the last call.
    pub(super) fn take_changes(&mut self, changes: &mut ShareChanges, now: Instant) {
        changes.rejected += std::mem::take(&mut self.rejected);
        for entry in &mut self.entries {
            let Some(held_at) = entry.held_at else {
                continue;
            };
            if !std::mem::replace(&mut entry.is_told, true) {
                changes.began.push(entry.claim.workspace);
            } else if now.saturating_duration_since(held_at) >= HOLD_TIME {
                (entry.held_at, entry.is_told) = (None, false);
                changes.ended.push(entry.claim.workspace);
            }
        }
    }

    /// Whether anything was asked for within the time that counts.
    pub(super) fn is_used(&self, now: Instant) -> bool {
        let is_recent = |entry: &ShareEntry| {
            now.saturating_duration_since(entry.counted_at) < STARVATION_TIME * 3
        };
        self.entries.iter().any(is_recent)
    }

    /// Number of workspaces that are held to their share.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.entries
            .iter()
            .filter(|entry| entry.held_at.is_some())
            .count()
    }

    /// What a workspace has had lately, in thousandths of a request per request a second of its weight: of two, the one with less comes first.
    #[must_use]
    pub fn had(&self, claim: ShareClaim, now: Instant) -> u32 {
        let Ok(index) = self.search(claim) else {
            return 0;
        };
        let mut entry = self.entries[index];
        entry.decay(now);
        let weight = f64::from(claim.weight.max(1)) / 1000.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let had = (entry.lately.granted / weight * 1000.0) as u32;
        had
    }

    /// Whether a workspace inside its share of all ranks was served far less often than all.
    fn is_starved(&self, entry: &ShareEntry, weight: f64) -> bool {
        let is_inside = entry.lately.granted <= self.level * weight + SLACK_REQUESTS;
        let is_behind = entry.minute.served() < self.minute.served() * STARVATION_FRACTION;
        is_inside && is_behind && entry.minute.asked >= MIN_ASKS
    }

    fn weight(&self, claim: ShareClaim) -> f64 {
        if claim.weight > 0 {
            f64::from(claim.weight)
        } else {
            self.mean_weight
        }
    }

    /// Computes the shares, unless they were a moment ago.
    fn refresh(&mut self, per_second: f64, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_fresh) {
            return;
        }
        self.refreshed_at = Some(now);
        for entry in &mut self.entries {
            entry.decay(now);
        }
        self.entries
            .retain(|entry| entry.minute.asked >= MIN_KNOWN || entry.held_at.is_some());
        let weights = self.entries.iter().map(|entry| entry.claim.weight);
        let (sum, count) = weights
            .filter(|weight| *weight > 0)
            .fold((0.0, 0.0), |(sum, count), weight| {
                (sum + f64::from(weight), count + 1.0)
            });
        self.mean_weight = if count > 0.0 { sum / count } else { 1.0 };
        let zero = UseCount::default();
        let (lately, minute) = self.entries.iter().fold((zero, zero), |(a, b), entry| {
            (a.plus(entry.lately), b.plus(entry.minute))
        });
        self.minute = minute;
        // Slots that are slower than measured show in the grants.
        let capacity = (per_second * USE_TIME.as_secs_f64()).min(lately.granted);
        self.ranks.clear();
        if lately.asked <= capacity + SLACK_REQUESTS {
            return;
        }
        self.level = fill_level(&self.demands(None), capacity);
        let mut priorities: Vec<u32> = self.entries.iter().map(|e| e.claim.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let mut left = capacity;
        for priority in priorities {
            let demands = self.demands(Some(priority));
            let level = fill_level(&demands, left);
            let taken = demands
                .iter()
                .map(|(ratio, weight)| ratio.min(level) * weight);
            left = (left - taken.sum::<f64>()).max(0.0);
            self.ranks.push(RankLevel { priority, level });
        }
    }

    /// Asks per unit of weight of the workspaces of a rank, or of all, and their weights.
    fn demands(&self, priority: Option<u32>) -> Vec<(f64, f64)> {
        let of_rank = self
            .entries
            .iter()
            .filter(|entry| priority.is_none_or(|priority| entry.claim.priority == priority));
        of_rank
            .map(|entry| {
                let weight = self.weight(entry.claim);
                (entry.lately.asked / weight, weight)
            })
            .collect()
    }

    fn search(&self, claim: ShareClaim) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&claim.rank(), |entry| entry.claim.rank())
    }
}

/// The level up to which demands per unit of weight are served if `capacity` is divided by weight, and what is not asked for goes to the others.
///
/// ```
/// use fulmarswitch_switch::workspace::fair::fill_level;
/// assert_eq!(fill_level(&[(1.0, 1.0), (9.0, 1.0), (9.0, 2.0)], 10.0), 3.0);
/// assert_eq!(fill_level(&[(1.0, 1.0)], 10.0), f64::INFINITY);
/// ```
#[must_use]
pub fn fill_level(demands: &[(f64, f64)], capacity: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    let mut left = capacity;
    for (ratio, weight) in demands {
        if ratio * weights >= left {
            return left / weights;
        }
        left -= ratio * weight;
        weights -= weight;
    }
    f64::INFINITY
}
