//! The logical clock that orders events over all processes.
//!
//! Every message and record carries its sender's logical time, and its receiver moves on to a later one.
//! So an effect always has a later time than its cause, whatever the hosts' clocks say. The time line is
//! the only use; nothing in the system's safety rests on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Logical time of one process; clones share it.
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

    /// Moves on by one and returns the new time.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.time.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Moves on to `time` if that is later.
    pub fn observe(&self, time: u64) {
        self.time.fetch_max(time, Ordering::Relaxed);
    }
}
