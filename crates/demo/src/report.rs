//! The result of a demo run.

use std::fmt;

/// Counters over all requests and batch items of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemoReport {
    /// Online requests that were sent.
    pub online: u64,
    /// Online requests that were answered correctly, and at-most-once calls reported as possibly run; in both cases
    /// reading the result by key gave the same outcome.
    pub online_answered: u64,
    /// Batch items of the accepted job.
    pub batch: u64,
    /// Batch items with exactly one result, which is correct.
    pub batch_answered: u64,
    /// Requests and items with a missing or incorrect outcome.
    pub lost: u64,
    /// Items with more than one result, and at-most-once calls that ran more than once.
    pub doubled: u64,
    /// Requests answered after the latency limit, and all items of a job that was not completed by its due time.
    pub late: u64,
    /// At-most-once calls that may have run and whose answer is unknown; also counted in `online_answered`.
    pub may_have_run: u64,
}

impl DemoReport {
    /// Returns whether every request and item was answered correctly and exactly once. Late answers are allowed.
    ///
    /// ```
    /// use fulmarswitch_demo::report::DemoReport;
    /// assert!(DemoReport::default().passed());
    /// ```
    #[must_use]
    pub fn passed(&self) -> bool {
        self.online == self.online_answered
            && self.batch == self.batch_answered
            && self.lost == 0
            && self.doubled == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "demo: online={}/{} batch={}/{} lost={} doubled={} late={}",
            self.online_answered,
            self.online,
            self.batch_answered,
            self.batch,
            self.lost,
            self.doubled,
            self.late
        )
    }
}
