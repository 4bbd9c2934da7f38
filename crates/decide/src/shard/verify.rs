//! Checks the invariants of a shard's state and names each violation with the entity concerned.

use super::jobs::{ItemState, JobCounts, JobEntry};
use super::{KeyEntry, ShardState};
use std::fmt;
use std::sync::Arc;

/// Violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Name of the shard, key, job or item.
    pub entity: Arc<str>,
    /// Invariant that does not hold.
    pub rule: &'static str,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entity, self.rule)
    }
}

/// Checks the entire state of a shard and returns the violations.
///
/// ```
/// use fulmarswitch_decide::shard::{ShardState, verify::verify_shard};
/// use fulmarswitch_records::ShardIndex;
/// assert!(verify_shard(&ShardState::new(ShardIndex(0))).is_empty());
/// ```
#[must_use]
pub fn verify_shard(state: &ShardState) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let owned = state.owner().is_some();
    if state.knows_epoch() && (state.epoch().0 > 0) != owned {
        let entity = format!("shard {}", state.shard()).into();
        violations.push(InvariantViolation {
            entity,
            rule: "a shard has an owner if and only if its epoch is above zero",
        });
    }
    for (name, entry) in state.keys() {
        violations.extend(check_key(name, entry));
        if entry.outcome.is_some() == state.is_open(name) {
            let rule = "the set of open keys holds exactly the keys without an outcome";
            violations.push(InvariantViolation {
                entity: name.clone(),
                rule,
            });
        }
    }
    for (name, job) in state.jobs() {
        check_job(name, job, &mut violations);
    }
    violations
}

/// Checks one key and returns the violations.
#[must_use]
pub fn check_key(name: &Arc<str>, entry: &KeyEntry) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    let mut check = |holds: bool, rule| {
        if !holds {
            violations.push(InvariantViolation {
                entity: name.clone(),
                rule,
            });
        }
    };
    let Some(result) = &entry.outcome else {
        return violations;
    };
    check(
        result.place >= entry.request_place,
        "an outcome comes after the request that it answers",
    );
    violations
}

fn check_job(name: &Arc<str>, job: &JobEntry, violations: &mut Vec<InvariantViolation>) {
    let mut check = |holds: bool, entity: Arc<str>, rule| {
        if !holds {
            violations.push(InvariantViolation { entity, rule });
        }
    };
    let ordered = job
        .chunks()
        .windows(2)
        .all(|pair| pair[0].first + pair[0].count <= pair[1].first);
    check(
        ordered,
        name.clone(),
        "chunks are in order and do not overlap",
    );
    check(
        count(job.states()) == job.counts(),
        name.clone(),
        "the counts match the states of the items",
    );
    check(
        !job.is_cancelled() || job.is_finished(),
        name.clone(),
        "a cancelled job has no open item",
    );
    for (item, state) in job.states().iter().enumerate() {
        let index = u32::try_from(item).unwrap_or(u32::MAX);
        let has_answer = matches!(state, ItemState::Done | ItemState::Failed);
        let has_result = job.result_of(index).is_some();
        let entity = || format!("{name} item {item}").into();
        check(
            (*state == ItemState::Announced) == job.announced_at(index).is_some(),
            entity(),
            "exactly the announced items have the place of their announcement",
        );
        check(
            !has_answer || has_result,
            entity(),
            "a completed or failed item has a result in the log",
        );
        check(
            state.is_final() || !has_result,
            entity(),
            "an open item has no result",
        );
        check(
            state.is_final() || job.chunk_of(index).is_some(),
            entity(),
            "an open item has its input in the log",
        );
    }
}

fn count(states: &[ItemState]) -> JobCounts {
    let mut counts = JobCounts::default();
    for state in states {
        match state {
            ItemState::Open | ItemState::Announced => counts.open += 1,
            ItemState::Done => counts.done += 1,
            ItemState::Failed => counts.failed += 1,
            ItemState::MayHaveRun => counts.may_have_run += 1,
            ItemState::Cancelled => counts.cancelled += 1,
        }
    }
    counts
}
