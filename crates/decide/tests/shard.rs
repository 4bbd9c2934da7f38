//! Replay of the records of one shard.

use fulmarswitch_decide::shard::{ApplyResult, RejectReason, ShardState, verify::verify_shard};
use fulmarswitch_records::record::{CallAnnounced, KeyOutcome, ShardClaim};
use fulmarswitch_records::{
    Epoch, HostIdentity, ItemOutcome, LogRecord, Offset, OnlineRequest, RecordBody, RecordId,
    RecordPlace, ShardIndex,
};
use rstest::rstest;

fn host(name: &str) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation: 1,
    }
}

fn claim(name: &str) -> RecordBody {
    RecordBody::Claim(ShardClaim {
        owner: host(name),
        next_offset: Offset(0),
    })
}

fn accept(key: &str) -> RecordBody {
    RecordBody::Accept(OnlineRequest {
        key: key.into(),
        workspace: "w".into(),
        service: "s".into(),
        input: "i".into(),
        max_tokens: 1,
        deadline_ms: 1,
        idempotent: false,
    })
}

fn announce(key: &str) -> RecordBody {
    RecordBody::CallAnnounced(CallAnnounced {
        key: format!("w/{key}").into(),
    })
}

fn outcome(key: &str) -> RecordBody {
    let outcome = ItemOutcome::Done { text: "t".into() };
    RecordBody::Outcome(KeyOutcome {
        key: format!("w/{key}").into(),
        outcome,
    })
}

const APPLIED: ApplyResult = ApplyResult::Applied;
const DUPLICATE: ApplyResult = ApplyResult::Duplicate;
const STALE: ApplyResult = ApplyResult::Rejected(RejectReason::StaleEpoch);
const ALREADY_ANNOUNCED: ApplyResult = ApplyResult::Rejected(RejectReason::AlreadyAnnounced);
const NOT_OPEN: ApplyResult = ApplyResult::Rejected(RejectReason::NotOpen);

#[rstest]
#[case::first_outcome_is_kept(&[(1, claim("a"), APPLIED), (1, accept("k"), APPLIED), (1, outcome("k"), APPLIED), (1, outcome("k"), DUPLICATE)])]
#[case::older_epoch_is_rejected(&[(1, claim("a"), APPLIED), (2, claim("b"), APPLIED), (1, accept("k"), STALE)])]
#[case::second_claim_of_an_epoch_is_rejected(&[(1, claim("a"), APPLIED), (1, claim("b"), STALE)])]
#[case::second_announcement_is_rejected(&[(1, claim("a"), APPLIED), (1, accept("k"), APPLIED), (1, announce("k"), APPLIED), (1, announce("k"), ALREADY_ANNOUNCED)])]
#[case::outcome_needs_acceptance(&[(1, claim("a"), APPLIED), (1, outcome("k"), NOT_OPEN)])]
fn records_are_validated_in_stream_order(#[case] records: &[(u64, RecordBody, ApplyResult)]) {
    let mut state = ShardState::new(ShardIndex(0));
    for (offset, (epoch, body, expected)) in (0..).zip(records) {
        let id = RecordId {
            writer: host("a"),
            sequence: offset,
        };
        let record = LogRecord {
            id,
            shard: ShardIndex(0),
            epoch: Epoch(*epoch),
            stamp: 0,
            body: body.clone(),
        };
        let place = RecordPlace {
            offset: Offset(offset),
            position: 0,
        };
        assert_eq!(
            state.apply(place, offset, &record),
            *expected,
            "record {offset}"
        );
    }
    assert_eq!(verify_shard(&state), vec![]);
}

/// Replays the records from offset `start` on, each with its epoch.
fn replay_from(start: u64, records: &[(u64, RecordBody)]) -> ShardState {
    let mut state = ShardState::starting_at(ShardIndex(0), Offset(start));
    for (offset, (epoch, body)) in (0..).zip(records) {
        if offset < start {
            continue;
        }
        let id = RecordId {
            writer: host("a"),
            sequence: offset,
        };
        let record = LogRecord {
            id,
            shard: ShardIndex(0),
            epoch: Epoch(*epoch),
            stamp: 0,
            body: body.clone(),
        };
        let place = RecordPlace {
            offset: Offset(offset),
            position: 0,
        };
        state.apply(place, offset, &record);
    }
    state
}

/// A reader starts after a claim, at a delayed duplicate of an older claim. It must not accept the
/// duplicate, or records of the old epoch would be valid for this reader alone.
#[test]
fn a_late_reader_ignores_a_delayed_duplicate_of_an_old_claim() {
    let claim = |name: &str, read: u64| {
        RecordBody::Claim(ShardClaim {
            owner: host(name),
            next_offset: Offset(read),
        })
    };
    let records = [
        (1, claim("a", 0)),
        (2, claim("b", 1)),
        (1, claim("a", 0)),
        (1, accept("late")),
        (2, accept("lost")),
        (3, claim("b", 5)),
        (3, accept("kept")),
    ];
    let whole = replay_from(0, &records);
    assert!(whole.key("w/late").is_none());
    let late = replay_from(2, &records);
    assert!(late.key("w/late").is_none());
    assert!(late.key("w/kept").is_some());
    assert_eq!((late.epoch(), late.owner()), (whole.epoch(), whole.owner()));
    assert_eq!(verify_shard(&late), vec![]);
}
