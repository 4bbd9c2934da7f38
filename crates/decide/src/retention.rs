//! Plans what the owner of a shard copies or forgets before the log drops the original records.
//!
//! Places are compared by offset; the caller determines which offsets are old by the clock of the
//! log. A copy is made from the state at that moment. If another record names the same entity
//! before the copy is written, the copy is stale and is planned again, because the state then still
//! refers to the older place (see [`crate::shard::copies`]).
//!
//! - [`copy`]: makes copies from the records that hold an entity.

pub mod copy;

use crate::shard::jobs::JobEntry;
use crate::shard::verify::InvariantViolation;
use crate::shard::{KeyEntry, ShardState};
use fulmarswitch_records::Offset;
use std::sync::Arc;

/// Time limits of the retention, by the clock of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionWindow {
    /// Records at smaller offsets are old: state that only they hold, or that is read under a claim among them, must be copied.
    pub before: Offset,
    /// Current time by the clock of the log, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Time for which a result stays readable after completion, in milliseconds.
    pub ttl_ms: u64,
    /// Age at which an incomplete submission is dropped, in milliseconds.
    pub submission_ttl_ms: u64,
}

/// Largest numbers of steps that are planned in one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepLimits {
    /// Number of copies.
    pub copies: usize,
    /// Number of names to forget.
    pub forgets: usize,
}

/// Record to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetentionStep {
    /// Copy a key.
    CopyKey {
        /// Qualified name of the key, `workspace/key`.
        key: Arc<str>,
    },
    /// Copy a range of the items of a job.
    CopyItems {
        /// Qualified name of the job, `workspace/job`.
        job: Arc<str>,
        /// Index of the first item.
        first: u32,
        /// Number of items; zero for a job without items.
        count: u32,
    },
    /// Forget a key or a job.
    Forget {
        /// Qualified name, `workspace/key` or `workspace/job`.
        name: Arc<str>,
        /// Whether the name is that of a job.
        is_job: bool,
    },
}

/// Plans the next records to write, at most `limits`. The copies are those whose records expire first.
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
        copies: Vec::new(),
        forgets: Vec::new(),
        limits,
    };
    for (name, entry) in state.keys() {
        plan_key(state, name, entry, window, &mut planned);
    }
    for (name, job) in state.jobs() {
        plan_job(state, name, job, window, &mut planned);
    }
    let copies = planned.copies.into_iter().map(|(_, step)| step);
    copies.chain(planned.forgets).collect()
}

/// Returns a violation for each key and job that a reader starting at `oldest`, the oldest entry of
/// the log, would not have or would have in another state.
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
                rule: "the records of an entity come after a claim that the log still retains",
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

/// When state expires: offsets of the claim under which its oldest record is read, and of that record. A record is of no use once
/// its claim has expired.
type Expiry = (Offset, Offset);

struct PlannedSteps {
    /// Copies in the order in which the records that they replace expire.
    copies: Vec<(Expiry, RetentionStep)>,
    forgets: Vec<RetentionStep>,
    limits: StepLimits,
}

impl PlannedSteps {
    /// Plans a copy unless enough are planned whose records expire before.
    fn copy(&mut self, expiry: Expiry, step: impl FnOnce() -> RetentionStep) {
        let position = self.copies.partition_point(|(other, _)| *other <= expiry);
        if position < self.limits.copies {
            self.copies.insert(position, (expiry, step()));
            self.copies.truncate(self.limits.copies);
        }
    }

    fn forget(&mut self, name: &Arc<str>, is_job: bool) {
        if self.forgets.len() < self.limits.forgets {
            let name = Arc::clone(name);
            self.forgets.push(RetentionStep::Forget { name, is_job });
        }
    }
}

fn plan_key(
    state: &ShardState,
    name: &Arc<str>,
    entry: &KeyEntry,
    window: &RetentionWindow,
    planned: &mut PlannedSteps,
) {
    let oldest = entry.oldest_needed().offset;
    if must_keep_key(entry, window) {
        let claim = state.claim_of(oldest);
        if claim < window.before {
            planned.copy((claim, oldest), || RetentionStep::CopyKey {
                key: Arc::clone(name),
            });
        }
        return;
    }
    let is_old = oldest < window.before;
    // A key whose request was given up without running is equivalent to an unknown key: a resend
    // starts over.
    let not_run = entry.outcome.is_some_and(|result| result.not_run);
    if !not_run || is_old || is_expired(entry, window) {
        planned.forget(name, false);
    }
}

fn plan_job(
    state: &ShardState,
    name: &Arc<str>,
    job: &JobEntry,
    window: &RetentionWindow,
    planned: &mut PlannedSteps,
) {
    if !must_keep_job(job, window) {
        let sealed = job.seal().is_some();
        if sealed || window.now_ms > job.started_ms() + window.submission_ttl_ms {
            planned.forget(name, true);
        }
        return;
    }
    let copy_items = |first, count| RetentionStep::CopyItems {
        job: Arc::clone(name),
        first,
        count,
    };
    let oldest = job.oldest_needed().offset;
    let claim = state.claim_of(oldest);
    if job.chunks().is_empty() && claim < window.before {
        planned.copy((claim, oldest), || copy_items(0, 0));
    }
    for chunk in job.chunks() {
        let oldest = job.oldest_needed_of(chunk).offset;
        let claim = state.claim_of(oldest);
        if claim < window.before {
            planned.copy((claim, oldest), || copy_items(chunk.first, chunk.count));
        }
    }
}

fn must_keep_key(entry: &KeyEntry, window: &RetentionWindow) -> bool {
    let not_run = entry.outcome.is_some_and(|result| result.not_run);
    !not_run && !is_expired(entry, window)
}

fn must_keep_job(job: &JobEntry, window: &RetentionWindow) -> bool {
    let expired = job.is_finished() && window.now_ms > job.completed_ms() + window.ttl_ms;
    job.seal().is_some() && !expired
}

fn is_expired(entry: &KeyEntry, window: &RetentionWindow) -> bool {
    let outcome = entry.outcome;
    outcome.is_some_and(|result| window.now_ms > result.completed_ms + window.ttl_ms)
}
