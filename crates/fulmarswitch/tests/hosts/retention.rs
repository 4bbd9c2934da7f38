//! State that outlives its records in the log, with whole hosts over a log with a short retention.

use crate::support::{
    TestFleet, call, job_header, owner_of, publish, publish_service, read_results, request, submit,
    submit_job, wait_for,
};
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_peer::message::{JobName, KeyName};
use fulmarswitch_peer::{PeerMessage, PeerReply, StreamFrame};
use fulmarswitch_records::{ItemOutcome, ShardIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use std::time::Duration;

/// Retention of the log in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Items per batch of a job submission.
const BATCH_ITEMS: u32 = 40;
/// Items of the job.
const JOB_ITEMS: u32 = 120;

fn fleet(result_ttl_ms: u64) -> TestFleet {
    let faults = LogFaults {
        retention_ms: RETENTION_MS,
        ..LogFaults::default()
    };
    let tuning = TuningSettings {
        result_ttl_ms,
        ..TuningSettings::default()
    };
    TestFleet::new(faults, tuning, 1)
}

#[tokio::test(start_paused = true)]
async fn state_outlives_the_retention_of_its_records() {
    let mut fleet = fleet(3_600_000);
    let (_, first) = fleet.add_host("a", "d0").await;
    let (lost, _) = fleet.add_host("b", "d1").await;
    publish_service(&first, 1).await;
    publish(
        &first,
        "service/later",
        0,
        r#"{"protocol":"engine","model":"m"}"#,
    )
    .await;
    wait_for(Duration::from_secs(20), "shards are owned", || {
        first.shards().owner(ShardIndex(3)).is_some()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answered = submit(&owner_of(&fleet, &first, "w/k"), request("k", true)).await;
    let expected = ItemOutcome::Done {
        text: whole_answer("input of k", 4).into(),
    };
    assert!(
        matches!(&answered, StreamFrame::Done { outcome, recorded: true } if *outcome == expected)
    );
    let header = job_header("later", 2, true);
    submit_job(&fleet, &first, header, JOB_ITEMS, BATCH_ITEMS).await;

    // Several retention periods pass, so all original records expire, and the set of hosts changes.
    tokio::time::sleep(Duration::from_millis(3 * RETENTION_MS)).await;
    fleet.isolate_host(&lost);
    let (_, late) = fleet.add_host("c", "d1").await;
    tokio::time::sleep(Duration::from_millis(2 * RETENTION_MS)).await;

    assert_eq!(
        fleet.events_of_kind("invariant-broken"),
        Vec::<String>::new()
    );
    let key = KeyName { key: "w/k".into() };
    let read = call(&fleet, &late, "w/k", PeerMessage::ReadKey(key)).await;
    assert_eq!(read, PeerReply::Outcome(Some(expected)));
    assert!(late.fleet().view().config.service("s").is_some());

    // The items of the job run only now, and their results are copied forward as well.
    let body = r#"{"service":"later","address":"engine-0","failure_domain":"d0"}"#;
    publish(&late, "endpoint/e1", 0, body).await;
    tokio::time::sleep(Duration::from_millis(2 * RETENTION_MS)).await;
    let results = read_results(&fleet, &late, "w/j", JOB_ITEMS).await;
    assert_eq!(results.len(), JOB_ITEMS as usize);
    for (item, outcome) in results {
        let text = whole_answer(&format!("item {item}"), 2).into();
        assert_eq!(outcome, ItemOutcome::Done { text });
    }
    assert_eq!(
        fleet.events_of_kind("invariant-broken"),
        Vec::<String>::new()
    );
}

#[tokio::test(start_paused = true)]
async fn results_are_forgotten_after_their_ttl() {
    let mut fleet = fleet(20_000);
    let (_, node) = fleet.add_host("a", "d0").await;
    publish_service(&node, 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    submit(&owner_of(&fleet, &node, "w/k"), request("k", true)).await;
    let header = job_header("s", 2, true);
    submit_job(&fleet, &node, header, JOB_ITEMS, BATCH_ITEMS).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let key = KeyName { key: "w/k".into() };
    let known = call(&fleet, &node, "w/k", PeerMessage::ReadKey(key.clone())).await;
    assert!(matches!(known, PeerReply::Outcome(Some(_))));
    tokio::time::sleep(Duration::from_secs(30)).await;
    let gone = call(&fleet, &node, "w/k", PeerMessage::ReadKey(key)).await;
    assert_eq!(gone, PeerReply::NotFound);
    let job = JobName { job: "w/j".into() };
    let gone = call(&fleet, &node, "w/j", PeerMessage::ReadJob(job)).await;
    assert_eq!(gone, PeerReply::NotFound);
}
