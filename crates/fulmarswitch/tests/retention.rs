//! State that outlives the records it came from, with real hosts over a log that keeps little.

mod support;

use fulmarswitch::host::HostNode;
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_peer::message::{ItemBatch, JobName, KeyName, ResultRange};
use fulmarswitch_peer::{PeerHandler, PeerMessage, PeerReply, StreamFrame};
use fulmarswitch_records::record::JobSeal;
use fulmarswitch_records::{HostIdentity, ItemOutcome, JobHeader, ShardIndex};
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use std::sync::Arc;
use std::time::Duration;
use support::{TestFleet, owner_of, publish, publish_service, request, submit, wait_for};

/// Milliseconds for which the log keeps records.
const RETENTION_MS: u64 = 60_000;
/// Items of the job, in batches of this size.
const BATCH_ITEMS: u32 = 40;
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

async fn call(fleet: &TestFleet, node: &HostNode, name: &str, message: PeerMessage) -> PeerReply {
    let from = HostIdentity {
        name: "test".into(),
        incarnation: 1,
    };
    owner_of(fleet, node, name).handle(from, message).await
}

fn inputs(first: u32) -> Vec<Arc<str>> {
    (first..first + BATCH_ITEMS)
        .map(|item| format!("item {item}").into())
        .collect()
}

async fn submit_job(fleet: &TestFleet, node: &HostNode, service: &str) {
    let header = JobHeader {
        job: "j".into(),
        workspace: "w".into(),
        service: service.into(),
        due_ms: 1,
        max_tokens: 2,
        idempotent: true,
    };
    let begun = call(fleet, node, "w/j", PeerMessage::BeginJob(header.clone())).await;
    assert_eq!(begun, PeerReply::Received { items: 0 });
    let mut digests = Vec::new();
    for first in (0..JOB_ITEMS).step_by(BATCH_ITEMS as usize) {
        let inputs = inputs(first);
        digests.push(chunk_digest(&inputs));
        let batch = ItemBatch {
            job: "w/j".into(),
            first,
            inputs,
        };
        let put = call(fleet, node, "w/j", PeerMessage::PutItems(batch)).await;
        assert_eq!(
            put,
            PeerReply::Received {
                items: first + BATCH_ITEMS
            }
        );
    }
    let seal = JobSeal {
        header,
        total: JOB_ITEMS,
        digest: job_digest(digests.into_iter()),
    };
    let sealed = call(fleet, node, "w/j", PeerMessage::SealJob(seal)).await;
    assert!(matches!(sealed, PeerReply::Job(report) if report.open == JOB_ITEMS));
}

async fn read_results(fleet: &TestFleet, node: &HostNode) -> Vec<(u32, ItemOutcome)> {
    let range = ResultRange {
        job: "w/j".into(),
        first: 0,
        count: JOB_ITEMS,
    };
    match call(fleet, node, "w/j", PeerMessage::ReadResults(range)).await {
        PeerReply::Results(results) => results,
        reply => panic!("no results: {reply:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn state_outlives_the_records_it_came_from() {
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
    submit_job(&fleet, &first, "later").await;

    // Every record of the beginning expires several times over, and the hosts change.
    tokio::time::sleep(Duration::from_millis(3 * RETENTION_MS)).await;
    fleet.freeze_host(&lost);
    let (_, late) = fleet.add_host("c", "d1").await;
    tokio::time::sleep(Duration::from_millis(2 * RETENTION_MS)).await;

    assert_eq!(fleet.noted("invariant-broken"), Vec::<String>::new());
    let key = KeyName { key: "w/k".into() };
    let read = call(&fleet, &late, "w/k", PeerMessage::ReadKey(key)).await;
    assert_eq!(read, PeerReply::Outcome(Some(expected)));
    assert!(late.fleet().view().config.service("s").is_some());

    // The job's items run now, and their results are carried in turn.
    let body = r#"{"service":"later","address":"engine-0","failure_domain":"d0"}"#;
    publish(&late, "endpoint/e1", 0, body).await;
    tokio::time::sleep(Duration::from_millis(2 * RETENTION_MS)).await;
    let results = read_results(&fleet, &late).await;
    assert_eq!(results.len(), JOB_ITEMS as usize);
    for (item, outcome) in results {
        let text = whole_answer(&format!("item {item}"), 2).into();
        assert_eq!(outcome, ItemOutcome::Done { text });
    }
    assert_eq!(fleet.noted("invariant-broken"), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn results_are_forgotten_after_their_time() {
    let mut fleet = fleet(20_000);
    let (_, node) = fleet.add_host("a", "d0").await;
    publish_service(&node, 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    submit(&owner_of(&fleet, &node, "w/k"), request("k", true)).await;
    submit_job(&fleet, &node, "s").await;
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
