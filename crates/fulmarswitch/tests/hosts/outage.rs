//! Answers to callers during an outage of the log, and the contents of the log afterwards.

use crate::support::{TestFleet, job_header, owner_of, publish_service, request, submit, wait_for};
use fulmarswitch::host::HostNode;
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_peer::message::{JobName, KeyName, RunState};
use fulmarswitch_peer::{PeerHandler, PeerMessage, PeerReply, StreamFrame};
use fulmarswitch_records::{HostIdentity, ItemOutcome, ShardIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use futures::StreamExt;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which hosts detect an outage of the log.
const OUTAGE_DETECTION_TIME: Duration = Duration::from_millis(700);
/// Time within which all refusals of a test must be answered.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(20);

async fn three_hosts(tuning: TuningSettings) -> (TestFleet, Vec<(HostIdentity, Arc<HostNode>)>) {
    let mut fleet = TestFleet::new(LogFaults::default(), tuning, 2);
    let mut hosts = Vec::new();
    for (name, domain) in [("a", "d0"), ("b", "d1"), ("c", "d2")] {
        hosts.push(fleet.add_host(name, domain).await);
    }
    publish_service(&hosts[0].1, 2).await;
    let node = Arc::clone(&hosts[0].1);
    wait_for(Duration::from_secs(20), "shards are owned", || {
        (0..4).all(|shard| node.shards().owner(ShardIndex(shard)).is_some())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    (fleet, hosts)
}

fn from_test() -> HostIdentity {
    HostIdentity {
        name: "test".into(),
        incarnation: 1,
    }
}

fn answer_of(key: &str) -> ItemOutcome {
    let text = whole_answer(&format!("input of {key}"), 4).into();
    ItemOutcome::Done { text }
}

fn is_refused_as_not_run(frame: &StreamFrame) -> bool {
    matches!(frame, StreamFrame::Refused(refusal)
        if refusal.ran == RunState::NotRun && refusal.retry_after_ms >= 1_000)
}

async fn read_key(fleet: &TestFleet, node: &HostNode, key: &str) -> PeerReply {
    let key: Arc<str> = format!("w/{key}").into();
    let owner = owner_of(fleet, node, &key);
    let message = PeerMessage::ReadKey(KeyName { key });
    owner.handle(from_test(), message).await
}

#[tokio::test(start_paused = true)]
async fn operations_that_need_the_log_are_refused_at_once() {
    let (fleet, hosts) = three_hosts(TuningSettings::default()).await;
    fleet.log.set_faults(|faults| faults.down = true);
    tokio::time::sleep(OUTAGE_DETECTION_TIME).await;
    let began = Instant::now();
    let owner = owner_of(&fleet, &hosts[0].1, "w/j");
    let job = JobName { job: "w/j".into() };
    for idempotent in [true, false] {
        let message = PeerMessage::BeginJob(job_header("s", 2, idempotent));
        let reply = owner.handle(from_test(), message).await;
        assert!(
            matches!(reply, PeerReply::Refused { retry_after_ms, .. } if retry_after_ms > 1_000),
            "{reply:?}"
        );
    }
    let read = owner.handle(from_test(), PeerMessage::ReadJob(job)).await;
    assert_eq!(read, PeerReply::NotFound);
    let owner = owner_of(&fleet, &hosts[0].1, "w/once");
    let frame = submit(&owner, request("once", false)).await;
    assert!(is_refused_as_not_run(&frame), "{frame:?}");
    assert!(!hosts[0].1.fleet().config.is_log_available());
    assert!(began.elapsed() <= MAX_REFUSAL_TIME, "{:?}", began.elapsed());
}

/// Covers a log that is down entirely and a log that refuses appends while it answers reads.
#[rstest]
#[case::down(|faults: &mut LogFaults| faults.down = true, Duration::from_mins(1))]
#[case::takes_no_appends(|faults: &mut LogFaults| faults.appends_per_second = 0, Duration::from_mins(1))]
#[case::down_for_long(|faults: &mut LogFaults| faults.down = true, Duration::from_mins(10))]
#[tokio::test(start_paused = true)]
async fn idempotent_requests_are_served_in_an_outage_and_recorded_later(
    #[case] fail: fn(&mut LogFaults),
    #[case] outage: Duration,
) {
    let (fleet, hosts) = three_hosts(TuningSettings::default()).await;
    fleet.log.set_faults(fail);
    let began = Instant::now();
    for number in 0..4 {
        let key = format!("k{number}");
        let owner = owner_of(&fleet, &hosts[0].1, &format!("w/{key}"));
        for _ in 0..2 {
            // A repeated request gets the same answer.
            let expected = answer_of(&key);
            let frame = submit(&owner, request(&key, true)).await;
            assert!(
                matches!(&frame, StreamFrame::Done { outcome, recorded: false } if *outcome == expected),
                "{frame:?}"
            );
        }
        let read = read_key(&fleet, &hosts[1].1, &key).await;
        assert_eq!(read, PeerReply::Outcome(Some(answer_of(&key))));
    }
    assert!(
        began.elapsed() < Duration::from_secs(9),
        "{:?}",
        began.elapsed()
    );
    tokio::time::sleep(outage).await;
    fleet.log.set_faults(|faults| {
        faults.down = false;
        faults.appends_per_second = 400;
    });
    tokio::time::sleep(Duration::from_secs(10)).await;
    for number in 0..4 {
        let key = format!("k{number}");
        let read = read_key(&fleet, &hosts[1].1, &key).await;
        assert_eq!(read, PeerReply::Outcome(Some(answer_of(&key))));
    }
    assert_eq!(fleet.events_of_kind("held-outcome"), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn an_unlogged_answer_survives_the_loss_of_its_host() {
    let (fleet, hosts) = three_hosts(TuningSettings::default()).await;
    fleet.log.set_faults(|faults| faults.down = true);
    tokio::time::sleep(OUTAGE_DETECTION_TIME).await;
    let owner = owner_of(&fleet, &hosts[0].1, "w/k");
    let frame = submit(&owner, request("k", true)).await;
    let lost = hosts.iter().find(|(_, node)| Arc::ptr_eq(node, &owner));
    let lost = lost.expect("the owner is one of the hosts").0.clone();
    assert!(matches!(
        frame,
        StreamFrame::Done {
            recorded: false,
            ..
        }
    ));
    fleet.isolate_host(&lost);

    // The other hosts find the answer on a host that keeps a copy of it.
    let rest: Vec<_> = hosts.iter().filter(|(host, _)| *host != lost).collect();
    for (_, node) in &rest {
        let found = node
            .keys()
            .backup()
            .ask_backup_hosts(&lost, &request("k", true))
            .await;
        assert_eq!(found, Some(answer_of("k")));
    }
    fleet.log.set_faults(|faults| faults.down = false);
    let node = &rest[0].1;
    wait_for(Duration::from_mins(1), "the shard moves", || {
        let shard = node.fleet().view().shard_of("w/k");
        node.shards()
            .owner(shard)
            .is_some_and(|owner| owner != lost)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let read = read_key(&fleet, node, "k").await;
    assert_eq!(read, PeerReply::Outcome(Some(answer_of("k"))));
    assert!(!fleet.events_of_kind("held-outcome").is_empty());
}

#[tokio::test(start_paused = true)]
async fn requests_are_refused_as_not_run_when_pending_bytes_are_exceeded() {
    let tuning = TuningSettings {
        pending_bytes: 2_000,
        ..TuningSettings::default()
    };
    let (fleet, hosts) = three_hosts(tuning).await;
    fleet.log.set_faults(|faults| faults.down = true);
    tokio::time::sleep(OUTAGE_DETECTION_TIME).await;
    let mut served = Vec::new();
    let mut refused = 0;
    for number in 0..100 {
        let key = format!("k{number}");
        let owner = owner_of(&fleet, &hosts[0].1, &format!("w/{key}"));
        match submit(&owner, request(&key, true)).await {
            StreamFrame::Done {
                recorded: false, ..
            } => served.push(key),
            frame => {
                assert!(is_refused_as_not_run(&frame), "{frame:?}");
                refused += 1;
            }
        }
    }
    assert!(served.len() > 10 && refused > 10, "{} served", served.len());
    fleet.log.set_faults(|faults| faults.down = false);
    tokio::time::sleep(Duration::from_secs(10)).await;
    for key in served {
        let read = read_key(&fleet, &hosts[1].1, &key).await;
        assert_eq!(read, PeerReply::Outcome(Some(answer_of(&key))));
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_in_an_outage_joins_after_it() {
    let (mut fleet, hosts) = three_hosts(TuningSettings::default()).await;
    fleet.log.set_faults(|faults| faults.down = true);
    let (late, node) = fleet.make_host("late", "d0");
    let joining = tokio::spawn({
        let node = Arc::clone(&node);
        async move { node.join().await }
    });
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!joining.is_finished());
    fleet.log.set_faults(|faults| faults.down = false);
    joining
        .await
        .expect("the task does not panic")
        .expect("the host joins");
    wait_for(Duration::from_secs(5), "host a reads the join", || {
        hosts[0].1.fleet().view().hosts.is_reachable(&late)
    })
    .await;
    assert!(node.fleet().view().config.service("s").is_some());
}

#[tokio::test(start_paused = true)]
async fn pending_bytes_also_limit_keys_whose_owner_is_lost() {
    let tuning = TuningSettings {
        pending_bytes: 2_000,
        ..TuningSettings::default()
    };
    let (fleet, hosts) = three_hosts(tuning).await;
    fleet.log.set_faults(|faults| faults.down = true);
    tokio::time::sleep(OUTAGE_DETECTION_TIME).await;
    let node = &hosts[0].1;
    let mut served = 0;
    let mut refused = 0;
    for number in 0..100 {
        let request = request(&format!("k{number}"), true);
        let mut frames = node.keys().submit_without_owner(request).await;
        let mut last = StreamFrame::NotOwner;
        while let Some(frame) = frames.next().await {
            last = frame;
        }
        match last {
            StreamFrame::Done {
                recorded: false, ..
            } => served += 1,
            frame => {
                assert!(is_refused_as_not_run(&frame), "{frame:?}");
                refused += 1;
            }
        }
    }
    assert!(served > 10 && refused > 10, "{served} served");
}
