//! Membership of hosts, replayed from the stream.

use fulmarswitch_decide::hosts::{HostPhase, HostTable};
use fulmarswitch_records::record::{HostJoin, HostSuspicion};
use fulmarswitch_records::{
    Epoch, HostIdentity, LogRecord, Offset, RecordBody, RecordId, RecordPlace, ShardIndex,
};
use rstest::rstest;

fn host(name: &str) -> HostIdentity {
    HostIdentity {
        name: name.into(),
        incarnation: 1,
    }
}

fn join(name: &str) -> RecordBody {
    RecordBody::HostJoin(HostJoin {
        host: host(name),
        failure_domain: "d".into(),
        caller_address: "127.0.0.1:1".into(),
        message_address: "127.0.0.1:2".into(),
        stream_address: "127.0.0.1:3".into(),
        shards: 4,
        groups: 1,
    })
}

fn silence_report(name: &str, reporter: &str) -> RecordBody {
    RecordBody::HostSuspected(HostSuspicion {
        host: host(name),
        reporter: reporter.into(),
    })
}

#[rstest]
#[case::one_reporter_is_not_enough(&[(100, silence_report("c", "a"))], HostPhase::Live)]
#[case::two_reporters_at_once(&[(100, silence_report("c", "a")), (300, silence_report("c", "b"))], HostPhase::Down)]
#[case::one_reporter_twice(&[(100, silence_report("c", "a")), (300, silence_report("c", "a"))], HostPhase::Live)]
#[case::reports_an_hour_apart(&[(100, silence_report("c", "a")), (3_600_100, silence_report("c", "b"))], HostPhase::Live)]
#[case::a_report_that_is_renewed(
    &[(100, silence_report("c", "a")), (3_600_000, silence_report("c", "a")), (3_600_100, silence_report("c", "b"))],
    HostPhase::Down
)]
#[case::the_clock_of_the_log_steps_back(&[(900_000, silence_report("c", "a")), (100, silence_report("c", "b"))], HostPhase::Down)]
fn hosts_go_down_on_a_quorum_of_reports(
    #[case] reports: &[(u64, RecordBody)],
    #[case] expected: HostPhase,
) {
    let mut table = HostTable::new();
    let joins = ["a", "b", "c"].map(|name| (0, join(name)));
    for (sequence, (at_ms, body)) in (0..).zip(joins.iter().chain(reports)) {
        let record = LogRecord {
            id: RecordId {
                writer: host("a"),
                sequence,
            },
            shard: ShardIndex(0),
            epoch: Epoch(0),
            stamp: 0,
            body: body.clone(),
        };
        let place = RecordPlace {
            offset: Offset(sequence),
            position: 0,
        };
        table.apply(place, *at_ms, &record);
    }
    assert_eq!(table.get("c").map(|entry| entry.phase), Some(expected));
}
