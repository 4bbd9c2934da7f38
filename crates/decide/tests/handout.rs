//! Assignment of the items of a job to gates.

use fulmarswitch_decide::assignment::ItemAssignments;
use fulmarswitch_decide::shard::jobs::{ItemState, JobEntry, chunk_digest, job_digest};
use fulmarswitch_decide::shard::{ApplyResult, ShardState};
use fulmarswitch_records::record::{
    ItemOutcomes, ItemsAnnounced, ItemsReturned, JobChunk, JobSeal, ShardClaim,
};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, JobHeader, LogRecord, Offset, RecordBody, RecordId,
    RecordPlace, ShardIndex,
};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "w/night";
const LEASE: Duration = Duration::from_mins(2);

fn host(name: &str) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation: 1,
    }
}

/// State of a shard and the offset of its next record.
#[derive(Default)]
struct ShardLog {
    state: ShardState,
    next: u64,
}

impl ShardLog {
    /// Applies a record and returns its place and the result.
    fn push(&mut self, body: RecordBody) -> (RecordPlace, ApplyResult) {
        let offset = self.next;
        self.next += 1;
        let place = RecordPlace {
            offset: Offset(offset),
            position: 0,
        };
        let id = RecordId {
            writer: host("a"),
            sequence: offset,
        };
        let record = LogRecord {
            id,
            shard: ShardIndex(0),
            epoch: Epoch(1),
            stamp: 0,
            body,
        };
        (place, self.state.apply(place, offset, &record))
    }

    fn job(&self) -> &JobEntry {
        self.state.job(JOB).expect("the job is accepted")
    }

    fn announce(&mut self, items: &[u32]) -> RecordPlace {
        let (place, result) = self.push(RecordBody::ItemsAnnounced(ItemsAnnounced {
            job: JOB.into(),
            items: items.into(),
        }));
        assert_eq!(result, ApplyResult::Applied);
        place
    }

    fn return_items(&mut self, items: &[u32], announced: RecordPlace) -> ApplyResult {
        let body = RecordBody::ItemsReturned(ItemsReturned {
            job: JOB.into(),
            items: items.into(),
            announced,
        });
        self.push(body).1
    }
}

/// Returns a shard with one job of `count` items, of which those in `done` have their outcome.
fn shard_with_job(count: usize, done: &[u32]) -> ShardLog {
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
            next_offset: Offset(0),
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
    let mut log = ShardLog::default();
    for body in bodies {
        log.push(body);
    }
    log
}

/// During a planned stop under load, the handover message of the old owner can reach the new owner
/// after the reports of the gates. Items that already have their outcome must not reduce the number
/// of available items.
#[test]
fn completed_items_do_not_count_as_assigned() {
    let log = shard_with_job(4, &[0, 1]);
    let job = log.job();
    let mut assignments = ItemAssignments::new();
    for item in [0, 1] {
        assignments.record_assigned(item, &host("b"), LEASE);
    }
    assert_eq!(assignments.available(job), 2);
    assert_eq!(
        assignments.assign(job, &host("c"), LEASE, 8),
        [2, 3],
        "the available items are assigned",
    );
    assert_eq!(assignments.available(job), 0);
}

/// An endpoint leaves with announced items in its queue, and its gate sends the report twice. The
/// second report must not reopen items that have been assigned again.
#[test]
fn a_repeated_report_reopens_an_item_once() {
    let mut log = shard_with_job(3, &[]);
    let mut assignments = ItemAssignments::new();
    assignments.assign(log.job(), &host("b"), LEASE, 3);
    let first = log.announce(&[0, 1, 2]);
    assert_eq!(log.return_items(&[0, 2], first), ApplyResult::Applied);
    for item in [0, 2] {
        assignments.reopen(item);
    }
    let mut again = assignments.assign(log.job(), &host("c"), LEASE, 3);
    again.sort_unstable();
    assert_eq!(again, [0, 2], "items that did not run are assigned again");
    let second = log.announce(&[0, 2]);
    assert_ne!(first, second, "each announcement has its own place");
    assert_eq!(log.return_items(&[0, 2], first), ApplyResult::Duplicate);
    assert_eq!(log.job().states(), [ItemState::Announced; 3]);
    assert_eq!(log.return_items(&[2, 1], second), ApplyResult::Duplicate);
    assert_eq!(log.job().states(), [ItemState::Announced; 3]);
}

/// After a planned stop, the new owner finds items announced by the previous owner, skips them, and
/// only then receives the report that they did not run. They must be offered again.
#[test]
fn an_item_assigned_by_another_owner_is_offered_again() {
    let mut log = shard_with_job(2, &[]);
    let announced = log.announce(&[0]);
    let mut assignments = ItemAssignments::new();
    assert_eq!(assignments.assign(log.job(), &host("c"), LEASE, 2), [1]);
    assert_eq!(log.return_items(&[0], announced), ApplyResult::Applied);
    assignments.reopen(0);
    assert_eq!(assignments.assign(log.job(), &host("c"), LEASE, 2), [0]);
}
