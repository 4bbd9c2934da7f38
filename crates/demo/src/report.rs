//! What the callers saw.

use std::fmt;

/// Counts of a whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemoReport {
    /// Online requests that were sent.
    pub online: u64,
    /// Online requests with one right answer, or with the one outcome that a call may have.
    pub online_answered: u64,
    /// Batch items that were accepted.
    pub batch: u64,
    /// Batch items with one right answer.
    pub batch_answered: u64,
    /// Accepted items without an outcome.
    pub lost: u64,
    /// Items with two outcomes, and calls that ran twice and must not.
    pub doubled: u64,
    /// Items whose outcome came after the time promised.
    pub late: u64,
    /// Calls that run at most once and whose answer is unknown; counted as answered.
    pub may_have_run: u64,
}

impl DemoReport {
    /// Tells whether each accepted item was answered once.
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
