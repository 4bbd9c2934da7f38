//! Items that their software version alone holds back: their output binds them to a version whose slots are all taken, while endpoints of
//! another version are idle.
//!
//! An item goes on at the version of its output, which saves the work so far. After a release, or when endpoints of a version are lost, few
//! endpoints may be left of it. An item therefore waits for them no longer than it takes to make its output again.

use crate::schedule::ItemName;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time that one pass adds: this host has not looked for slots while it stood still.
const MAX_STEP: Duration = Duration::from_millis(200);
/// Time for which an item waits for the software version of its output at least, also while no item has been measured: items give way to
/// online requests for shorter times.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);

/// For how long each item was held back by its version alone.
#[derive(Clone, Debug, Default)]
pub struct VersionHolds {
    /// Sorted by name.
    entries: Vec<(ItemName, Duration)>,
    passed_at: Option<Instant>,
    /// Time since the pass before.
    step: Duration,
}

impl VersionHolds {
    /// Begins a scheduling pass.
    pub fn begin_pass(&mut self, now: Instant) {
        let last = self.passed_at.replace(now).unwrap_or(now);
        self.step = now.saturating_duration_since(last).min(MAX_STEP);
    }

    /// Records that an item is held back in this pass. Returns for how long it has been in all.
    ///
    /// ```
    /// use fulmarswitch_switch::schedule::ItemName;
    /// use fulmarswitch_switch::version_holds::VersionHolds;
    /// use std::time::Duration;
    /// let mut holds = VersionHolds::default();
    /// let name = ItemName { job: "j".into(), item: 0 };
    /// let start = tokio::time::Instant::now();
    /// for pass in 0..3 {
    ///     holds.begin_pass(start + Duration::from_millis(50) * pass);
    ///     assert_eq!(holds.record(&name), Duration::from_millis(50) * pass);
    /// }
    /// ```
    pub fn record(&mut self, name: &ItemName) -> Duration {
        let index = match self.search(name) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (name.clone(), Duration::ZERO));
                index
            }
        };
        let held = &mut self.entries[index].1;
        *held += self.step;
        *held
    }

    /// For how long an item has been held back.
    #[must_use]
    pub fn held(&self, name: &ItemName) -> Option<Duration> {
        Some(self.entries[self.search(name).ok()?].1)
    }

    /// Forgets an item, which got on: it has begun anew, or a run has added events to its output.
    pub fn remove(&mut self, name: &ItemName) {
        if let Ok(index) = self.search(name) {
            self.entries.remove(index);
        }
    }

    /// Keeps the items that `is_open` selects.
    pub fn retain(&mut self, is_open: impl Fn(&ItemName) -> bool) {
        self.entries.retain(|(name, _)| is_open(name));
    }

    fn search(&self, name: &ItemName) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.cmp(name))
    }
}

/// How long a version alone may hold an item back whose output takes `redo_time` to make again.
///
/// ```
/// use std::time::Duration;
/// let max_hold_time = fulmarswitch_switch::version_holds::max_hold_time;
/// assert_eq!(max_hold_time(Duration::from_secs(4)), Duration::from_secs(4));
/// assert_eq!(max_hold_time(Duration::ZERO), Duration::from_secs(1));
/// ```
#[must_use]
pub fn max_hold_time(redo_time: Duration) -> Duration {
    redo_time.max(MIN_HOLD_TIME)
}
