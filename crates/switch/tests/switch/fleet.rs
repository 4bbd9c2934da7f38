//! Several hosts: takeover of items, handover at shutdown, and hosts that have just started.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::support::{
    CallScript, TestFleet, WAIT_TIMEOUT, full_text, results, submission, wait_until,
};
use fulmarswitch_switch::backend::{KeyedLog, LogPartition};
use fulmarswitch_switch::jobs::SubmitReply;
use fulmarswitch_switch::record::{JobRecord, RecordReader};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn stopping_host_hands_over_items_with_their_output() {
    let fleet = TestFleet::new(2);
    let (first, second) = (fleet.start("a").await, fleet.start("b").await);
    fleet.client.set_default(CallScript::Stream { events: 100 });
    assert_eq!(
        first.submit_job(submission("j", 1)).await,
        SubmitReply::Done
    );
    wait_until("a run", async || fleet.client.running() == 1).await;
    sleep(Duration::from_millis(500)).await;
    first.stop(Instant::now()).await;
    wait_until("the result", async || {
        !results(&second, "j").await.results.is_empty()
    })
    .await;
    assert_eq!(
        results(&second, "j").await.results[0].text,
        Some(full_text(100))
    );
    let resumed = fleet.client.calls().last().unwrap().resume_after;
    assert!(resumed.is_some_and(|event| event > 5), "{resumed:?}");
}

/// A host that cannot reach the log refuses jobs with a short retry-after value if another host has access, and with
/// a long one otherwise.
#[tokio::test]
async fn host_without_log_access_sends_callers_to_others() {
    let (fleet, isolated) = (TestFleet::new(1), TestFleet::new(1));
    let first = isolated.start("a").await;
    isolated.log.set_down(true);
    let refused = async |job: &str| match first.submit_job(submission(job, 1)).await {
        SubmitReply::Refused { retry_after } => retry_after,
        other => panic!("{other:?}"),
    };
    assert!(refused("j").await > Duration::from_secs(1));
    let second = fleet.start("b").await;
    second.add_peer(&first.settings.descriptor);
    wait_until("a heartbeat", async || {
        refused("k").await < Duration::from_millis(200)
    })
    .await;
}

/// A stopping host refuses jobs and stays responsive for the requests that are in flight. Guards against a deadlock
/// on the state lock when a job is refused.
#[tokio::test]
async fn stopping_host_refuses_jobs() {
    let fleet = TestFleet::new(1);
    let first = fleet.start("a").await;
    let stopping = first.clone();
    let stop = tokio::spawn(async move { stopping.stop(Instant::now()).await });
    sleep(Duration::from_millis(20)).await;
    // Runs on its own thread, since a deadlock on the state lock would also block this one.
    let submitter = first.clone();
    let (reply, replied) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let refused = runtime.block_on(submitter.submit_job(submission("j", 1)));
        reply.send(refused).unwrap();
    });
    let replied = tokio::task::spawn_blocking(move || replied.recv_timeout(WAIT_TIMEOUT));
    let refused = replied.await.unwrap().expect("a reply");
    assert!(
        matches!(refused, SubmitReply::Refused { .. }),
        "{refused:?}"
    );
    stop.await.unwrap();
}

/// Last event of the newest checkpoint in the log.
async fn last_checkpoint(fleet: &TestFleet) -> Option<u64> {
    let partition = LogPartition {
        topic: "jobs".into(),
        partition: 0,
    };
    let page = fleet.log.read_snapshot(&partition).await.unwrap();
    let mut reader = RecordReader::default();
    let records = page.records.iter().filter_map(|entry| reader.push(entry));
    let checkpoints = records.filter_map(|record| match record {
        Ok(JobRecord::Checkpoint { segment, .. }) => Some(segment.last_event),
        _ => None,
    });
    checkpoints.last()
}

/// The only host is lost; items resume on a later one after their last checkpoint.
#[tokio::test]
async fn items_of_lost_hosts_resume_after_their_checkpoint() {
    let fleet = TestFleet::new(2);
    fleet.client.set_default(CallScript::Stream { events: 250 });
    // Dropping the runtime of this host stops the host.
    let host = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let starting = fleet.clone();
    let first = host
        .spawn(async move { starting.start("a").await })
        .await
        .unwrap();
    first.submit_job(submission("j", 1)).await;
    // Events come late on a busy machine, so that the first checkpoint may end earlier.
    wait_until("a checkpoint after event 20", async || {
        last_checkpoint(&fleet).await > Some(20)
    })
    .await;
    host.shutdown_background();
    let second = fleet.start("b").await;
    wait_until("the result", async || {
        !results(&second, "j").await.results.is_empty()
    })
    .await;
    assert_eq!(
        results(&second, "j").await.results[0].text,
        Some(full_text(250))
    );
    let resumed = fleet.client.calls().last().unwrap().resume_after;
    assert!(resumed.is_some_and(|event| event > 20), "{resumed:?}");
}

/// A host that has just started has received no heartbeats; it must not run items that other hosts are running.
#[tokio::test]
async fn starting_host_does_not_run_items_of_other_hosts() {
    let fleet = TestFleet::new(2);
    let first = fleet.start("a").await;
    fleet
        .client
        .set_default(CallScript::Stream { events: 1000 });
    first.submit_job(submission("j", 1)).await;
    wait_until("a run", async || fleet.client.running() == 1).await;
    for name in ["b", "c", "d"] {
        fleet.start(name).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.client.calls().len(), 1);
}

#[tokio::test]
async fn caller_addresses_list_ready_hosts() {
    let fleet = TestFleet::new(1);
    let (first, second) = (fleet.start("a").await, fleet.start("b").await);
    wait_until("both hosts", async || first.caller_addresses(64).len() == 2).await;
    second.stop(Instant::now()).await;
    wait_until("one host", async || first.caller_addresses(64).len() == 1).await;
}

/// Guards against hosts that start at the same moment and do not hear each other for seconds.
#[tokio::test]
async fn hosts_that_start_together_hear_each_other_at_once() {
    let fleet = TestFleet::new(1);
    let mut hosts = Vec::new();
    for name in ["a", "b", "c"] {
        hosts.push(fleet.spawn(name).await);
    }
    sleep(Duration::from_secs(1)).await;
    let known = hosts.iter().map(|host| host.caller_addresses(64).len());
    assert_eq!(known.collect::<Vec<_>>(), [3, 3, 3]);
}
