//! What an owner offers of a job, beside what gates hold.

use fulmarswitch_decide::handout::ItemHandout;
use fulmarswitch_decide::shard::ShardState;
use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_records::record::{ItemOutcomes, JobChunk, JobSeal, ShardClaim};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, JobHeader, LogRecord, Offset, RecordBody, RecordId,
    RecordPlace, ShardIndex,
};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "w/night";
const LEASE: Duration = Duration::from_secs(120);

fn host(name: &str) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation: 1,
    }
}

/// Returns a shard with one job of `count` items, of which those of `done` have their outcome.
fn shard_with_job(count: usize, done: &[u32]) -> ShardState {
    let inputs: Vec<Arc<str>> = (0..count).map(|item| format!("i{item}").into()).collect();
    let digest = job_digest(std::iter::once(chunk_digest(&inputs)));
    let header = JobHeader {
        job: "night".into(),
        workspace: "w".into(),
        service: "s".into(),
        due_ms: 1,
        max_tokens: 1,
        idempotent: true,
    };
    let outcome = ItemOutcome::Done { text: "t".into() };
    let bodies = [
        RecordBody::Claim(ShardClaim {
            owner: host("a"),
            read: Offset(0),
        }),
        RecordBody::JobChunk(JobChunk {
            job: JOB.into(),
            first: 0,
            inputs,
        }),
        RecordBody::JobSeal(JobSeal {
            header,
            total: u32::try_from(count).expect("a small job"),
            digest,
        }),
        RecordBody::ItemOutcomes(ItemOutcomes {
            job: JOB.into(),
            outcomes: done.iter().map(|item| (*item, outcome.clone())).collect(),
        }),
    ];
    let mut state = ShardState::new(ShardIndex(0));
    for (offset, body) in (0..).zip(bodies) {
        let place = RecordPlace {
            offset: Offset(offset),
            position: 0,
        };
        let record = LogRecord {
            id: RecordId {
                writer: host("a"),
                sequence: offset,
            },
            shard: ShardIndex(0),
            epoch: Epoch(1),
            stamp: 0,
            body,
        };
        state.apply(place, offset, &record);
    }
    state
}

/// Pattern: a planned stop under load. The old owner's note reaches the new one after the gates' reports.
#[test]
fn items_with_an_outcome_hide_no_others() {
    let state = shard_with_job(4, &[0, 1]);
    let job = state.job(JOB).expect("the job is accepted");
    let mut handout = ItemHandout::new();
    for item in [0, 1] {
        handout.note_out(item, &host("b"), LEASE);
    }
    assert_eq!(handout.waiting(job), 2);
    assert_eq!(
        handout.take(job, &host("c"), LEASE, 8),
        [2, 3],
        "what waits is handed out",
    );
    assert_eq!(handout.waiting(job), 0);
}
