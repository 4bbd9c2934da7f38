//! The logical clock (Lamport clock) that orders events across processes.
//!
//! Every message and record carries its sender's logical time, and the receiver advances its own clock to
//! at least that time. An effect therefore has a later time than its cause, even if the clocks of the hosts
//! differ. The time is used only to sort the event time line; no safety property depends on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Logical time of one process. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct LogicalClock {
    time: Arc<AtomicU64>,
}

impl LogicalClock {
    /// Creates a clock at zero.
    ///
    /// ```
    /// use fulmarswitch_records::LogicalClock;
    /// let clock = LogicalClock::new();
    /// clock.observe(10);
    /// assert_eq!(clock.tick(), 11);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by one and returns the new time.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.time.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Advances the clock to `time` if that is later.
    pub fn observe(&self, time: u64) {
        self.time.fetch_max(time, Ordering::Relaxed);
    }
}
