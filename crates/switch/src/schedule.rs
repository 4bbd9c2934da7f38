//! Which batch items run next, and how many may start.

use crate::load::FreeSlots;
use crate::workspace::fair::ShareClaim;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Delay before a failed item runs again; doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay before an item runs again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Weight of a new measurement in the moving averages of items.
const MEASUREMENT_WEIGHT: f64 = 0.1;
/// Share of an item's events that a run adds from which it is the first measurement of the time per event.
const MIN_FIRST_SHARE: f64 = 0.5;

/// Identifies an item by its job and index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemName {
    /// Job ID.
    pub job: Arc<str>,
    /// Index of the item in the job.
    pub item: u32,
}

/// Hash of an item name that identifies the item in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemKey(u32);

impl ItemName {
    /// Returns the key that identifies the item in heartbeats.
    #[must_use]
    pub fn key(&self) -> ItemKey {
        let [a, b, c, d, ..] = self.hash().to_le_bytes();
        ItemKey(u32::from_le_bytes([a, b, c, d]))
    }

    /// Hash that distributes items over hosts.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.job.as_bytes(), self.item.into())
    }
}

/// An item that may be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnableItem {
    /// Name of the item.
    pub name: ItemName,
    /// Due time in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Whether it can complete by its due time if it starts now.
    pub in_time: bool,
    /// Whether this host has run it before and holds its output so far.
    pub started: bool,
    /// For whom it runs; `None` without workspaces.
    pub claim: Option<ShareClaim>,
    /// What its workspace has had lately of the items that start here; 0 without workspaces.
    pub had: u32,
}

/// Failures of an item at this host and the resulting backoff.
#[derive(Clone, Debug)]
struct ItemHistory {
    name: ItemName,
    failures: u32,
    interruptions: u32,
    /// Number of runs that ended before the endpoint had begun to respond.
    late_responses: u32,
    not_before: Option<Instant>,
    /// Until when its prompt is rejected, as far as this host knows.
    held_until: Option<Instant>,
}

/// Until when an item does not run at this host, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemHold {
    /// When the item may run again.
    pub until: Instant,
    /// Whether endpoints crash under parts of its prompt; otherwise a run has failed or broken off.
    pub is_quarantined: bool,
}

impl ItemHistory {
    fn back_off(&mut self, count: u32, now: Instant) {
        self.not_before = Some(now + retry_delay(count));
    }

    /// What holds the item back for longest.
    fn hold(&self) -> Option<ItemHold> {
        let hold = |until: Option<Instant>, is_quarantined| {
            until.map(|until| ItemHold {
                until,
                is_quarantined,
            })
        };
        let holds = [hold(self.not_before, false), hold(self.held_until, true)];
        holds.into_iter().flatten().max_by_key(|hold| hold.until)
    }
}

/// Failure histories of items at this host, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct ItemHistories {
    entries: Vec<ItemHistory>,
}

impl ItemHistories {
    /// Records that the endpoint reported a failed run of the item. Returns the number of such failures at this host.
    pub fn record_failure(&mut self, name: &ItemName, now: Instant) -> u32 {
        let entry = self.entry(name);
        entry.failures += 1;
        entry.back_off(entry.failures, now);
        entry.failures
    }

    /// Records that a run was interrupted, which does not count as a failure of the item.
    pub fn record_interruption(&mut self, name: &ItemName, now: Instant) {
        let entry = self.entry(name);
        entry.interruptions += 1;
        entry.back_off(entry.interruptions, now);
    }

    /// Does not run the item before `until`, as its prompt is rejected, unless [`Self::release_held`] is called.
    pub fn hold_back(&mut self, name: &ItemName, until: Instant) {
        self.entry(name).held_until = Some(until);
    }

    /// Lets all items run that are held back, as prompts may no longer be rejected.
    ///
    /// ```
    /// use fulmarswitch_switch::schedule::{ItemHistories, ItemName};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let name = ItemName { job: "j".into(), item: 0 };
    /// let now = Instant::now();
    /// let mut histories = ItemHistories::default();
    /// histories.hold_back(&name, now + Duration::from_secs(5));
    /// assert!(!histories.may_run(&name, now));
    /// histories.release_held();
    /// assert!(histories.may_run(&name, now));
    /// ```
    pub fn release_held(&mut self) {
        for entry in &mut self.entries {
            entry.held_until = None;
        }
    }

    /// Records that a run ended since its endpoint had not begun to respond in time.
    pub fn record_late_response(&mut self, name: &ItemName) {
        self.entry(name).late_responses += 1;
    }

    /// Number of recorded late responses.
    #[must_use]
    pub fn late_responses(&self, name: &ItemName) -> u32 {
        let found = self.entries.binary_search_by(|entry| entry.name.cmp(name));
        found.map_or(0, |index| self.entries[index].late_responses)
    }

    /// What holds an item back; `None` if it may run.
    ///
    /// ```
    /// use fulmarswitch_switch::schedule::{ItemHistories, ItemName};
    /// use std::time::Duration;
    /// let mut histories = ItemHistories::default();
    /// let name = ItemName { job: "j".into(), item: 0 };
    /// let now = tokio::time::Instant::now();
    /// histories.record_interruption(&name, now);
    /// assert!(!histories.hold(&name, now).unwrap().is_quarantined);
    /// assert_eq!(histories.hold(&name, now + Duration::from_secs(1)), None);
    /// ```
    #[must_use]
    pub fn hold(&self, name: &ItemName, now: Instant) -> Option<ItemHold> {
        let found = self.entries.binary_search_by(|entry| entry.name.cmp(name));
        let hold = self.entries[found.ok()?].hold();
        hold.filter(|hold| hold.until > now)
    }

    /// Whether nothing holds an item back.
    #[must_use]
    pub fn may_run(&self, name: &ItemName, now: Instant) -> bool {
        self.hold(name, now).is_none()
    }

    /// Removes the history of an item.
    pub fn remove(&mut self, name: &ItemName) {
        if let Ok(index) = self.entries.binary_search_by(|entry| entry.name.cmp(name)) {
            self.entries.remove(index);
        }
    }

    fn entry(&mut self, name: &ItemName) -> &mut ItemHistory {
        let index = match self.entries.binary_search_by(|entry| entry.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let entry = ItemHistory {
                    name: name.clone(),
                    failures: 0,
                    interruptions: 0,
                    late_responses: 0,
                    not_before: None,
                    held_until: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }
}

fn retry_delay(count: u32) -> Duration {
    (MIN_RETRY_DELAY * 2_u32.pow(count.min(6) - 1)).min(MAX_RETRY_DELAY)
}

/// Sorts items in the order in which they are started: those that can complete in time by due time, then the others. Of
/// items that are due within the same second, those of the workspace that has had least are first, and of those that are due at the same
/// time, those with partial output.
///
/// By due time alone, all items of an overload would complete shortly after they were due.
pub fn sort_items(items: &mut [RunnableItem]) {
    items.sort_by(|a, b| {
        let key = |item: &RunnableItem| {
            let due = item.due_ms / 1000;
            (!item.in_time, due, item.had, item.due_ms, !item.started)
        };
        key(a).cmp(&key(b)).then_with(|| a.name.cmp(&b.name))
    });
}

/// Moving averages of how long items run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ItemTimes {
    /// Number of events of an item.
    events: f64,
    /// Time per event in seconds.
    interval: f64,
}

impl ItemTimes {
    /// Records an item that completed with `events` events. Its last run took `run` for `run_events` of them.
    pub fn record(&mut self, events: u64, run_events: u64, run: Duration) {
        let weight = if self.events > 0.0 {
            MEASUREMENT_WEIGHT
        } else {
            1.0
        };
        self.events += (count(events) - self.events) * weight;
        // The time until the first byte of a run that adds few events is not the time that these take.
        let share = count(run_events) / count(events).max(1.0);
        let weight = if self.interval > 0.0 {
            MEASUREMENT_WEIGHT * share
        } else if share >= MIN_FIRST_SHARE {
            1.0
        } else {
            0.0
        };
        let interval = run.as_secs_f64() / count(run_events).max(1.0);
        self.interval += (interval - self.interval) * weight;
    }

    /// Expected time to make the first `events` events of an item's output again; zero if nothing has been measured.
    ///
    /// ```
    /// use fulmarswitch_switch::schedule::ItemTimes;
    /// use std::time::Duration;
    /// let mut times = ItemTimes::default();
    /// times.record(200, 100, Duration::from_secs(2));
    /// assert_eq!(times.redo_time(50), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn redo_time(&self, events: u64) -> Duration {
        Duration::from_secs_f64(count(events) * self.interval)
    }

    /// Expected run time of an item that has `events` events of its output; zero if nothing has been measured.
    ///
    /// ```
    /// use fulmarswitch_switch::schedule::ItemTimes;
    /// use std::time::Duration;
    /// let mut times = ItemTimes::default();
    /// times.record(200, 100, Duration::from_secs(2));
    /// assert_eq!(times.remaining(50), Duration::from_secs(3));
    /// assert_eq!(times.remaining(300), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn remaining(&self, events: u64) -> Duration {
        let left = (self.events - count(events)).max(0.0);
        Duration::from_secs_f64(left * self.interval)
    }
}

/// Number of events as a float; items have far fewer than a float represents exactly.
fn count(events: u64) -> f64 {
    f64::from(u32::try_from(events).unwrap_or(u32::MAX))
}

/// Number of items that one of `hosts` hosts may start at once, so that hosts which see the same free slots do not
/// all fill them. A preferred endpoint is shared with one neighbour, so half of the preferred slots count.
///
/// ```
/// use fulmarswitch_switch::load::FreeSlots;
/// use fulmarswitch_switch::schedule::start_quota;
/// assert_eq!(start_quota(FreeSlots { preferred: 4, other: 18 }, 9), 4);
/// assert_eq!(start_quota(FreeSlots { preferred: 1, other: 0 }, 9), 1);
/// assert_eq!(start_quota(FreeSlots { preferred: 0, other: 0 }, 9), 0);
/// ```
#[must_use]
pub fn start_quota(free: FreeSlots, hosts: u32) -> u32 {
    let preferred = free.preferred.div_ceil(2);
    preferred.saturating_add(free.other.div_ceil(hosts.max(1)))
}
