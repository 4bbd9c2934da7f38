//! The generated steps and their records.

use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_records::record::{
    CallAnnounced, ItemAttempts, ItemOutcomes, ItemsAnnounced, ItemsReturned, JobCancel, JobChunk,
    JobSeal, KeyOutcome, ShardClaim,
};
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, JobHeader, Offset, OnlineRequest, RecordBody, RecordPlace,
};
use proptest::prelude::*;
use std::sync::Arc;

/// Number of items of one job, which has two chunks.
pub const JOB_ITEMS: u32 = 6;

/// Step of a generated log.
#[derive(Clone, Debug)]
pub enum LogStep {
    Claim,
    Accept {
        key: u8,
        input: u8,
    },
    Announce {
        key: u8,
    },
    Complete {
        key: u8,
        answer: u8,
        not_run: bool,
    },
    Submit {
        job: u8,
    },
    CompleteItems {
        job: u8,
        items: Vec<u32>,
        answer: u8,
        failed: bool,
    },
    AnnounceItems {
        job: u8,
        items: Vec<u32>,
    },
    /// Returns those of the items that are announced.
    ReturnItems {
        job: u8,
        items: Vec<u32>,
    },
    CountAttempts {
        job: u8,
        items: Vec<u32>,
    },
    Cancel {
        job: u8,
    },
    /// Plans copies of all state that is older than this number of records.
    Plan {
        age: u64,
    },
    /// Writes the planned copies.
    Write,
    /// Writes an earlier record a second time, with its original epoch.
    Repeat {
        back: usize,
    },
    /// Writes an outcome with the previous epoch.
    Stale {
        key: u8,
        answer: u8,
    },
}

/// Generates a step.
pub fn log_step() -> impl Strategy<Value = LogStep> {
    let items = || prop::collection::vec(0..JOB_ITEMS, 1..4);
    prop_oneof![
        1 => Just(LogStep::Claim),
        3 => (0..4u8, 0..2u8).prop_map(|(key, input)| LogStep::Accept { key, input }),
        1 => (0..4u8).prop_map(|key| LogStep::Announce { key }),
        3 => (0..4u8, any::<u8>(), prop::bool::weighted(0.2))
            .prop_map(|(key, answer, not_run)| LogStep::Complete { key, answer, not_run }),
        2 => (0..2u8).prop_map(|job| LogStep::Submit { job }),
        4 => (0..2u8, items(), any::<u8>(), any::<bool>())
            .prop_map(|(job, items, answer, failed)| LogStep::CompleteItems { job, items, answer, failed }),
        2 => (0..2u8, items()).prop_map(|(job, items)| LogStep::AnnounceItems { job, items }),
        2 => (0..2u8, items()).prop_map(|(job, items)| LogStep::ReturnItems { job, items }),
        2 => (0..2u8, items()).prop_map(|(job, items)| LogStep::CountAttempts { job, items }),
        1 => (0..2u8).prop_map(|job| LogStep::Cancel { job }),
        4 => (0..12u64).prop_map(|age| LogStep::Plan { age }),
        4 => Just(LogStep::Write),
        2 => (0..12usize).prop_map(|back| LogStep::Repeat { back }),
        1 => (0..4u8, any::<u8>()).prop_map(|(key, answer)| LogStep::Stale { key, answer }),
    ]
}

/// Returns the host that writes all records.
pub fn owner() -> HostIdentity {
    HostIdentity {
        name: "a".into(),
        incarnation: 1,
    }
}

/// Returns the qualified name of a key, `workspace/key`.
pub fn key_name(key: u8) -> Arc<str> {
    format!("w/k{key}").into()
}

/// Returns the qualified name of a job, `workspace/job`.
pub fn job_name(job: u8) -> Arc<str> {
    format!("w/j{job}").into()
}

/// Returns an outcome with an answer.
pub fn answer(answer: u8) -> ItemOutcome {
    ItemOutcome::Done {
        text: format!("t{answer}").into(),
    }
}

/// Returns the record that accepts a key.
pub fn accept(key: u8, input: u8) -> RecordBody {
    RecordBody::Accept(OnlineRequest {
        key: format!("k{key}").into(),
        workspace: "w".into(),
        service: "s".into(),
        input: format!("i{input}").into(),
        max_tokens: 1,
        deadline_ms: 1,
        idempotent: false,
    })
}

/// Returns a claim whose writer had read up to offset `read`.
pub fn claim(read: u64) -> RecordBody {
    RecordBody::Claim(ShardClaim {
        owner: owner(),
        next_offset: Offset(read),
    })
}

/// Returns the records of the submission of a job.
pub fn submission(job: u8) -> Vec<RecordBody> {
    let half = JOB_ITEMS / 2;
    let inputs = |first: u32| -> Vec<Arc<str>> {
        (first..first + half)
            .map(|item| format!("i{item}").into())
            .collect()
    };
    let digests = [0, half].map(|first| chunk_digest(&inputs(first)));
    let chunk = |first| {
        RecordBody::JobChunk(JobChunk {
            job: job_name(job),
            first,
            inputs: inputs(first),
        })
    };
    let header = JobHeader {
        job: format!("j{job}").into(),
        workspace: "w".into(),
        service: "s".into(),
        due_ms: 1,
        max_tokens: 1,
        idempotent: true,
    };
    let seal = JobSeal {
        header,
        total: JOB_ITEMS,
        digest: job_digest(digests.into_iter()),
    };
    vec![chunk(0), chunk(half), RecordBody::JobSeal(seal)]
}

/// Returns the records of a step that are not copies.
pub fn bodies_of(step: &LogStep) -> Vec<RecordBody> {
    match step.clone() {
        LogStep::Accept { key, input } => vec![accept(key, input)],
        LogStep::Announce { key } => vec![RecordBody::CallAnnounced(CallAnnounced {
            key: key_name(key),
        })],
        LogStep::Complete {
            key,
            answer: number,
            not_run,
        } => {
            let not_run_outcome = ItemOutcome::NotRun { retry_after_ms: 1 };
            let outcome = if not_run {
                not_run_outcome
            } else {
                answer(number)
            };
            vec![RecordBody::Outcome(KeyOutcome {
                key: key_name(key),
                outcome,
            })]
        }
        LogStep::Submit { job } => submission(job),
        LogStep::CompleteItems {
            job,
            items,
            answer: number,
            failed,
        } => {
            let reason = format!("f{number}").into();
            let outcome = if failed {
                ItemOutcome::Failed { reason }
            } else {
                answer(number)
            };
            let outcomes = items
                .into_iter()
                .map(|item| (item, outcome.clone()))
                .collect();
            vec![RecordBody::ItemOutcomes(ItemOutcomes {
                job: job_name(job),
                outcomes,
            })]
        }
        LogStep::AnnounceItems { job, items } => {
            vec![RecordBody::ItemsAnnounced(ItemsAnnounced {
                job: job_name(job),
                items,
            })]
        }
        LogStep::ReturnItems { job, items } => {
            vec![RecordBody::ItemsReturned(ItemsReturned {
                job: job_name(job),
                items,
                announced: RecordPlace::default(),
            })]
        }
        LogStep::CountAttempts { job, items } => {
            vec![RecordBody::ItemAttempts(ItemAttempts {
                job: job_name(job),
                items,
            })]
        }
        LogStep::Cancel { job } => vec![RecordBody::JobCancel(JobCancel { job: job_name(job) })],
        _ => vec![],
    }
}
