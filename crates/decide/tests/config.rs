//! Copies of configuration records, written before the original changes expire.

use fulmarswitch_decide::config::ConfigTable;
use fulmarswitch_records::{
    ConfigChange, Epoch, HostIdentity, LogRecord, Offset, RecordBody, RecordId, RecordPlace,
    ShardIndex,
};

fn change(base_version: u64, weight: u32) -> RecordBody {
    RecordBody::Config(ConfigChange {
        name: "workspace/w".into(),
        base_version,
        schema: 1,
        body: format!(r#"{{"batch_weight":{weight}}}"#).into(),
    })
}

fn replay(start: u64, bodies: &[RecordBody]) -> ConfigTable {
    let mut table = ConfigTable::new();
    for (offset, body) in (0..).zip(bodies).filter(|(offset, _)| *offset >= start) {
        let writer = HostIdentity {
            name: "a".into(),
            incarnation: 1,
        };
        let id = RecordId {
            writer,
            sequence: offset,
        };
        let record = LogRecord {
            id,
            shard: ShardIndex(0),
            epoch: Epoch(0),
            stamp: 0,
            body: body.clone(),
        };
        let place = RecordPlace {
            offset: Offset(offset),
            position: 0,
        };
        table.apply(place, &record);
    }
    table
}

/// A reader that missed the earlier changes of a record rejects a recent change as a conflict, so
/// the record must be copied before its first change expires.
#[test]
fn a_record_is_old_while_its_first_change_is_old() {
    let mut bodies = vec![change(0, 1), change(1, 2), change(2, 3)];
    let whole = replay(0, &bodies);
    assert!(replay(1, &bodies).get("workspace/w").is_none());
    assert_eq!(&*whole.names_lost_before(Offset(1))[0], "workspace/w");
    assert!(whole.plan_copies(Offset(0), 8).is_empty());

    let copies = whole.plan_copies(Offset(1), 8);
    bodies.extend(copies.into_iter().map(RecordBody::ConfigCopy));
    let whole = replay(0, &bodies);
    assert!(whole.names_lost_before(Offset(3)).is_empty());
    assert!(whole.plan_copies(Offset(3), 8).is_empty());
    for start in 1..4 {
        let late = replay(start, &bodies);
        assert_eq!(late.version_of("workspace/w"), 3);
        let body = |table: &ConfigTable| table.get("workspace/w").map(|entry| entry.body.clone());
        assert_eq!(body(&late), body(&whole));
    }
}

/// A copy that was made before a change does not undo the change, and the record is copied again.
#[test]
fn a_stale_copy_changes_nothing() {
    let mut bodies = vec![change(0, 1)];
    let copies = replay(0, &bodies).plan_copies(Offset(1), 8);
    bodies.push(change(1, 2));
    bodies.extend(copies.into_iter().map(RecordBody::ConfigCopy));
    let whole = replay(0, &bodies);
    assert_eq!(whole.version_of("workspace/w"), 2);
    assert_eq!(whole.plan_copies(Offset(1), 8).len(), 1);
}
