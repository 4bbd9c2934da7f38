//! What the owner of a shard writes again, or forgets, before the log drops the records it came from.
//!
//! Places are compared by offset: the caller says which offsets are old by the log's own clock. Copies are
//! made as the state stands; a copy that is overtaken by another record before it stands on the log is
//! planned again, because the state then keeps the older place (see [`crate::shard::copies`]).
//!
//! - [`copy`]: makes a copy from the records that hold an entity.

pub mod copy;

use crate::shard::jobs::JobEntry;
use crate::shard::verify::InvariantViolation;
use crate::shard::{KeyEntry, ShardState};
use fulmarswitch_records::Offset;
use std::sync::Arc;

/// What counts as old, by the log's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionWindow {
    /// Records at smaller offsets are so old that what only they hold is written again.
    pub before: Offset,
    /// Time on the log's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which a result stays readable after its outcome, in milliseconds.
    pub ttl_ms: u64,
    /// Age at which a submission that has not ended is dropped, in milliseconds.
    pub submission_ttl_ms: u64,
}

/// Most steps that are planned at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepLimits {
    /// Copies.
    pub copies: usize,
    /// Names to forget.
    pub forgets: usize,
}

/// One thing to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetentionStep {
    /// Write a key again.
    CopyKey {
        /// Workspace and key.
        key: Arc<str>,
    },
    /// Write a range of a job's items again.
    CopyItems {
        /// Workspace and job.
        job: Arc<str>,
        /// Index of the first item.
        first: u32,
        /// Number of items; zero for a job without items.
        count: u32,
    },
    /// Forget a key or job.
    Forget {
        /// Workspace and key, or workspace and job.
        name: Arc<str>,
        /// Whether the name is a job's.
        job: bool,
    },
}

/// Plans what to write next.
///
/// ```
/// use fulmarswitch_decide::retention::{RetentionWindow, StepLimits, plan_steps};
/// use fulmarswitch_decide::shard::ShardState;
/// use fulmarswitch_records::{Offset, ShardIndex};
/// let window = RetentionWindow { before: Offset(9), now_ms: 9, ttl_ms: 1, submission_ttl_ms: 1 };
/// let limits = StepLimits { copies: 4, forgets: 4 };
/// assert!(plan_steps(&ShardState::new(ShardIndex(0)), &window, limits).is_empty());
/// ```
#[must_use]
pub fn plan_steps(
    state: &ShardState,
    window: &RetentionWindow,
    limits: StepLimits,
) -> Vec<RetentionStep> {
    let mut planned = PlannedSteps {
        steps: Vec::new(),
        remaining: limits,
    };
    for (name, entry) in state.keys() {
        if planned.is_full() {
            break;
        }
        plan_key(name, entry, window, &mut planned);
    }
    for (name, job) in state.jobs() {
        if planned.is_full() {
            break;
        }
        plan_job(name, job, window, &mut planned);
    }
    planned.steps
}

/// Names what a reader that starts at the oldest entry of the log would not come to know, or would take
/// for something else.
///
/// ```
/// use fulmarswitch_decide::retention::verify_retained;
/// use fulmarswitch_decide::shard::ShardState;
/// use fulmarswitch_records::{Offset, ShardIndex};
/// assert!(verify_retained(&ShardState::new(ShardIndex(0)), Offset(7)).is_empty());
/// ```
#[must_use]
pub fn verify_retained(state: &ShardState, oldest: Offset) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    if oldest == Offset(0) {
        return violations;
    }
    let start = state.replay_start(oldest);
    let mut check = |entity: &Arc<str>, oldest_needed: Offset| {
        if start.is_none_or(|start| oldest_needed < start) {
            violations.push(InvariantViolation {
                entity: Arc::clone(entity),
                rule: "what is known stands behind a claim that the log still keeps",
            });
        }
    };
    for (name, entry) in state.keys() {
        check(name, entry.oldest_needed().offset);
    }
    for (name, job) in state.jobs() {
        check(name, job.oldest_needed().offset);
    }
    violations
}

struct PlannedSteps {
    steps: Vec<RetentionStep>,
    remaining: StepLimits,
}

impl PlannedSteps {
    fn is_full(&self) -> bool {
        self.remaining.copies == 0 && self.remaining.forgets == 0
    }

    fn copy(&mut self, step: RetentionStep) {
        if self.remaining.copies > 0 {
            self.remaining.copies -= 1;
            self.steps.push(step);
        }
    }

    fn forget(&mut self, name: &Arc<str>, job: bool) {
        if self.remaining.forgets > 0 {
            self.remaining.forgets -= 1;
            let name = Arc::clone(name);
            self.steps.push(RetentionStep::Forget { name, job });
        }
    }
}

fn plan_key(
    name: &Arc<str>,
    entry: &KeyEntry,
    window: &RetentionWindow,
    planned: &mut PlannedSteps,
) {
    let old = entry.oldest_needed().offset < window.before;
    if must_keep_key(entry, window) {
        if old {
            planned.copy(RetentionStep::CopyKey {
                key: Arc::clone(name),
            });
        }
        return;
    }
    // A refusal as not run says the same as an unknown key: the next request starts anew.
    let refused = entry.outcome.is_some_and(|result| result.not_run);
    if !refused || old || expired(entry, window) {
        planned.forget(name, false);
    }
}

fn plan_job(name: &Arc<str>, job: &JobEntry, window: &RetentionWindow, planned: &mut PlannedSteps) {
    if !must_keep_job(job, window) {
        let sealed = job.accepted().is_some();
        if sealed || window.now_ms > job.started_ms() + window.submission_ttl_ms {
            planned.forget(name, true);
        }
        return;
    }
    if job.chunks().is_empty() && job.oldest_needed().offset < window.before {
        let job = Arc::clone(name);
        let (first, count) = (0, 0);
        planned.copy(RetentionStep::CopyItems { job, first, count });
    }
    for chunk in job.chunks() {
        if planned.remaining.copies == 0 {
            return;
        }
        if job.oldest_needed_of(chunk).offset < window.before {
            let job = Arc::clone(name);
            let (first, count) = (chunk.first, chunk.count);
            planned.copy(RetentionStep::CopyItems { job, first, count });
        }
    }
}

fn must_keep_key(entry: &KeyEntry, window: &RetentionWindow) -> bool {
    let refused = entry.outcome.is_some_and(|result| result.not_run);
    !refused && !expired(entry, window)
}

fn must_keep_job(job: &JobEntry, window: &RetentionWindow) -> bool {
    let expired = job.is_finished() && window.now_ms > job.completed_ms() + window.ttl_ms;
    job.accepted().is_some() && !expired
}

fn expired(entry: &KeyEntry, window: &RetentionWindow) -> bool {
    let outcome = entry.outcome;
    outcome.is_some_and(|result| window.now_ms > result.completed_ms + window.ttl_ms)
}
