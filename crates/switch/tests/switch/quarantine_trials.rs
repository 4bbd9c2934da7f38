//! Trials at the end of a quarantine's term, in fleets whose arbiter has no request for them.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::support::{
    CallScript, CallerOutcome, DeadlyCalls, DeadlyCause, TestFleet, read_response,
    request_with_parts, results, submission,
};
use fulmarswitch_switch::jobs::SubmitReply;
use fulmarswitch_switch::node::SwitchNode;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const HOSTS: [&str; 3] = ["a", "b", "c"];
/// Host that gets all requests.
const RECEIVER: &str = "a";
/// Host that decides on the trial.
const ARBITER: &str = "c";
/// Time for which a part is rejected after the crashes.
const TERM: Duration = Duration::from_secs(20);
/// Time after the term in which the part must be tried and found to be sound.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Number of items that wait for the trial, and time after it in which they must be done: two runs.
const ITEMS: u32 = 12;
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// The host with the highest rank for a hash.
fn ranked_first(hash: u64) -> &'static str {
    let ranked = HOSTS.into_iter();
    let best = ranked.max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), hash));
    best.unwrap()
}

/// A part whose quarantine has the arbiter [`ARBITER`].
fn part() -> String {
    let mut parts = (1_u64..).filter(|part| ranked_first(xxh3_64(&part.to_le_bytes())) == ARBITER);
    format!("{:x}", parts.next().unwrap())
}

/// ID of a job whose first item runs at [`RECEIVER`].
fn job_id() -> String {
    let mut ids = (0..).map(|number| format!("j{number}"));
    ids.find(|id| ranked_first(xxh3_64_with_seed(id.as_bytes(), 0)) == RECEIVER)
        .unwrap()
}

async fn send(host: &Arc<SwitchNode>, number: usize) -> CallerOutcome {
    let id = format!("r{number}");
    let mut request = request_with_parts(host, "/stream/x", &id, &[part()]);
    request.call.body = id.into();
    read_response(host, request).await
}

/// Starts the hosts. `hears` tells whether the others reach the arbiter, which they hear in any case.
async fn start_hosts(fleet: &TestFleet, hears: bool) -> (Vec<Arc<SwitchNode>>, Option<UdpSocket>) {
    let mut hosts = Vec::new();
    let mut unread = None;
    for name in HOSTS {
        if name == ARBITER && !hears {
            let (host, socket) = fleet.spawn_isolated(name).await;
            unread = Some(socket);
            hosts.push(host);
        } else {
            hosts.push(fleet.spawn(name).await);
        }
    }
    sleep(Duration::from_secs(1)).await;
    (hosts, unread)
}

/// Lets three endpoints crash under the part. Returns when it is rejected; all endpoints serve again.
async fn crash_endpoints(fleet: &TestFleet, host: &Arc<SwitchNode>) -> Instant {
    fleet.client.set_deadly(Some(DeadlyCalls {
        cause: DeadlyCause::Any,
        crash_after: Duration::from_millis(60),
    }));
    for number in 0..3 {
        send(host, number).await;
        sleep(Duration::from_millis(250)).await;
    }
    sleep(Duration::from_millis(400)).await;
    assert_eq!(send(host, 3).await, CallerOutcome::Rejected);
    fleet.client.set_deadly(None);
    let ended = fleet.client.ended().borrow().clone();
    for id in ended {
        fleet.client.revive_endpoint(&id);
    }
    Instant::now()
}

/// Guards against parts and items that are rejected for good after the cause of the crashes is gone, since the only host that
/// may try them has no such request, or does not answer.
#[rstest]
#[case::item(true, true)]
#[case::requests_of_one_host(true, false)]
#[case::requests_while_the_arbiter_is_silent(false, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_part_is_tried_at_the_end_of_its_term(#[case] hears: bool, #[case] is_item: bool) {
    let fleet = TestFleet::new(6);
    fleet.client.set_default(CallScript::Stream { events: 3 });
    let (hosts, _unread) = start_hosts(&fleet, hears).await;
    let receiver = &hosts[0];
    let rejected_at = crash_endpoints(&fleet, receiver).await;
    let job = job_id();
    if is_item {
        let mut submission = submission(&job, 1);
        submission.items[0]
            .headers
            .push(("parts".into(), part().into()));
        assert_eq!(receiver.submit_job(submission).await, SubmitReply::Done);
    }
    sleep_until(rejected_at + TERM).await;
    let until = Instant::now() + TRIAL_TIME;
    let mut number = 4;
    let mut is_tried = false;
    while !is_tried && Instant::now() < until {
        sleep(Duration::from_millis(200)).await;
        number += 1;
        is_tried = if is_item {
            !results(receiver, &job).await.results.is_empty()
        } else {
            matches!(send(receiver, number).await, CallerOutcome::Complete(_))
        };
    }
    assert!(is_tried, "not tried within {TRIAL_TIME:?} after the term");
}

/// Guards against items that wait beside free slots for seconds after the trial at another host has shown that their part is sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_of_all_hosts_run_once_their_part_is_sound() {
    let fleet = TestFleet::new(6);
    let (hosts, _unread) = start_hosts(&fleet, true).await;
    let receiver = &hosts[0];
    let rejected_at = crash_endpoints(&fleet, receiver).await;
    fleet.client.set_default(CallScript::Stream { events: 40 });
    let job = job_id();
    let mut submission = submission(&job, ITEMS);
    for item in &mut submission.items {
        item.headers.push(("parts".into(), part().into()));
    }
    assert_eq!(receiver.submit_job(submission).await, SubmitReply::Done);
    let done = async |count: u32, within: Duration| {
        let until = Instant::now() + within;
        while results(receiver, &job).await.results.len() < count as usize {
            assert!(Instant::now() < until, "{count} not done within {within:?}");
            sleep(Duration::from_millis(50)).await;
        }
    };
    sleep_until(rejected_at + TERM).await;
    done(1, TRIAL_TIME).await;
    done(ITEMS, RELEASE_TIME).await;
}
