//! Several hosts: takeover, handing on, and hosts that have not heard each other yet.
//!
//! Beats are real datagrams on loopback, so these tests run on the machine's clock.

use crate::support::{CallScript, TestFleet, full_text, results, submission};
use fulmarswitch_switch::jobs::SubmitReply;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

/// Longest time for what takes about two seconds.
const PATIENCE: Duration = Duration::from_secs(20);

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(
            started.elapsed() < PATIENCE,
            "{what} not within {PATIENCE:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_host_that_stops_hands_its_items_on_with_their_text() {
    let fleet = TestFleet::new(2);
    let (first, second) = (fleet.start("a").await, fleet.start("b").await);
    fleet.link.set_default(CallScript::Stream { events: 100 });
    assert_eq!(
        first.submit_job(submission("j", 1)).await,
        SubmitReply::Done
    );
    until("a run", async || fleet.link.running() == 1).await;
    sleep(Duration::from_millis(500)).await;
    first.stop(Instant::now()).await;
    until("the result", async || {
        !results(&second, "j").await.results.is_empty()
    })
    .await;
    assert_eq!(
        results(&second, "j").await.results[0].text,
        Some(full_text(100))
    );
    let resumed = fleet.link.calls().last().unwrap().resume_after;
    assert!(resumed.is_some_and(|event| event > 5), "{resumed:?}");
}

/// A host that is cut off from the log sends callers to the others at once; without those they come back later.
#[tokio::test]
async fn a_host_without_the_log_sends_callers_to_the_others() {
    let (fleet, cut) = (TestFleet::new(1), TestFleet::new(1));
    let first = cut.start("a").await;
    cut.log.set_down(true);
    let refused = async |job: &str| match first.submit_job(submission(job, 1)).await {
        SubmitReply::Refused { retry_after } => retry_after,
        other => panic!("{other:?}"),
    };
    assert!(refused("j").await > Duration::from_secs(1));
    let second = fleet.start("b").await;
    second.add_peer(&first.settings.descriptor);
    until("a beat", async || {
        refused("k").await < Duration::from_millis(200)
    })
    .await;
}

/// A host that stops refuses a job and stays alive for the requests that it still has.
#[tokio::test]
async fn a_host_that_stops_refuses_jobs() {
    let fleet = TestFleet::new(1);
    let first = fleet.start("a").await;
    let stopping = first.clone();
    let stop = tokio::spawn(async move { stopping.stop(Instant::now()).await });
    sleep(Duration::from_millis(20)).await;
    // On a thread of its own, since a host that holds its state for ever would hold up this one.
    let asked = first.clone();
    let (reply, replied) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let refused = runtime.block_on(asked.submit_job(submission("j", 1)));
        reply.send(refused).unwrap();
    });
    let replied = tokio::task::spawn_blocking(move || replied.recv_timeout(PATIENCE));
    let refused = replied.await.unwrap().expect("an answer");
    assert!(
        matches!(refused, SubmitReply::Refused { .. }),
        "{refused:?}"
    );
    stop.await.unwrap();
}

/// All hosts are lost at once: the items go on behind their last checkpoint.
#[tokio::test]
async fn items_of_lost_hosts_go_on_behind_their_checkpoint() {
    let fleet = TestFleet::new(2);
    fleet.link.set_default(CallScript::Stream { events: 250 });
    // A host with a runtime of its own ends with it.
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
    until("a run", async || fleet.link.running() == 1).await;
    sleep(Duration::from_millis(2500)).await;
    host.shutdown_background();
    let second = fleet.start("b").await;
    until("the result", async || {
        !results(&second, "j").await.results.is_empty()
    })
    .await;
    assert_eq!(
        results(&second, "j").await.results[0].text,
        Some(full_text(250))
    );
    let resumed = fleet.link.calls().last().unwrap().resume_after;
    assert!(resumed.is_some_and(|event| event > 20), "{resumed:?}");
}

/// Hosts that start together have heard nobody; each must not take the others' jobs for its own.
#[tokio::test]
async fn a_host_that_has_just_started_leaves_others_jobs_alone() {
    let fleet = TestFleet::new(2);
    let first = fleet.start("a").await;
    fleet.link.set_default(CallScript::Stream { events: 1000 });
    first.submit_job(submission("j", 1)).await;
    until("a run", async || fleet.link.running() == 1).await;
    for name in ["b", "c", "d"] {
        fleet.start(name).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.link.calls().len(), 1);
}

#[tokio::test]
async fn addresses_name_the_hosts_that_take_callers() {
    let fleet = TestFleet::new(1);
    let (first, second) = (fleet.start("a").await, fleet.start("b").await);
    until("both", async || first.caller_addresses(64).len() == 2).await;
    second.stop(Instant::now()).await;
    until("one", async || first.caller_addresses(64).len() == 1).await;
}
