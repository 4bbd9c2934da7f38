//! One test for each guarantee; docs/PROOFS.md lists the faults that each test has detected.

use fulmarswitch_caller::wire::{OutcomeReply, RanReply};
use fulmarswitch_records::OnlineRequest;
use fulmarswitch_trials::callers::{
    TrialCaller, make_job, make_request, read_job, read_key, submit_request,
};
use fulmarswitch_trials::fleet::{CHAT_SERVICE, TrialFleet, TrialHost, engine_address};
use fulmarswitch_trials::guarantees::check_end;
use fulmarswitch_trials::history::AttemptResult;
use fulmarswitch_trials::operators::{endpoint_record, publish, set_leaving};
use fulmarswitch_trials::run::start_fleet;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which the other hosts take over from a lost host.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

fn caller(fleet: &Arc<TrialFleet>) -> TrialCaller {
    TrialCaller::new(Arc::clone(fleet), SmallRng::seed_from_u64(1), 0)
}

/// Returns the indexes of the owner of a name and of another host.
fn owner_and_other(fleet: &Arc<TrialFleet>, name: &str) -> (usize, usize) {
    let host = fleet.host(0).expect("all hosts run");
    let shard = host.node.fleet().view().shard_of(name);
    let owner = host.node.shards().owner(shard).expect("the shard is owned");
    let owner = (0..fleet.size())
        .find(|at| **fleet.name(*at) == *owner.name)
        .expect("the owner is a host of the fleet");
    (owner, (owner + 1) % fleet.size())
}

fn submit(
    host: &Arc<TrialHost>,
    request: &OnlineRequest,
) -> tokio::task::JoinHandle<AttemptResult> {
    let (host, request) = (Arc::clone(host), request.clone());
    tokio::spawn(async move { submit_request(&host, &request).await })
}

fn recorded_outcome(attempt: &AttemptResult) -> Option<&OutcomeReply> {
    match attempt {
        AttemptResult::Done {
            outcome,
            recorded: true,
            ..
        } => Some(outcome),
        _ => None,
    }
}

#[rstest]
#[case::engine(true)]
#[case::plain(false)]
#[tokio::test(start_paused = true)]
async fn an_acknowledged_outcome_survives_its_owner(#[case] idempotent: bool) {
    let fleet = start_fleet(1, 3).await;
    for number in 0..8 {
        let request = make_request(&format!("key-{number}"), 5, idempotent);
        let (owner, other) = owner_and_other(&fleet, &request.full_key());
        let host = fleet.host(other).expect("the host runs");
        let attempt = submit_request(&host, &request).await;
        fleet.kill(owner);
        let outcome = recorded_outcome(&attempt).expect("the outcome is recorded");
        sleep(TAKEOVER_TIME).await;
        assert_eq!(read_key(&host, &request.key).await.as_ref(), Some(outcome));
        fleet.start(owner);
        fleet.wait_joined().await;
        sleep(TAKEOVER_TIME).await;
    }
    fleet.network.close();
}

#[tokio::test(start_paused = true)]
async fn an_acknowledged_job_survives_its_owner() {
    let fleet = start_fleet(2, 3).await;
    let mut caller = caller(&fleet);
    for number in 0..12 {
        let job = make_job(&format!("job-{number}"), 40, 20, true);
        let (owner, _) = owner_and_other(&fleet, &format!("w/{}", job.name));
        caller.record_job(&job);
        assert!(caller.submit_job(&job).await);
        fleet.kill(owner);
        sleep(TAKEOVER_TIME).await;
        fleet.start(owner);
        fleet.wait_joined().await;
        sleep(TAKEOVER_TIME).await;
    }
    check_end(&fleet).await;
    assert_eq!(fleet.history.observations().violations, vec![]);
    fleet.network.close();
}

/// The old owner receives the answer after the new owner has recorded that the call may have run.
#[tokio::test(start_paused = true)]
async fn the_first_outcome_stands_for_all_readers() {
    let fleet = start_fleet(3, 3).await;
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.call_ms = 1_000);
    }
    let mut request = make_request("key", 1, false);
    request.deadline_ms = 30_000;
    let (owner, other) = owner_and_other(&fleet, &request.full_key());
    let first = submit(&fleet.host(owner).expect("the owner runs"), &request);
    sleep(Duration::from_millis(300)).await;
    fleet.set_paused(owner, true);
    // A paused host is detected later than one whose connections break.
    sleep(TAKEOVER_TIME * 2).await;
    let host = fleet.host(other).expect("the host runs");
    let between = read_key(&host, &request.key).await;
    assert_eq!(between, Some(OutcomeReply::MayHaveRun));
    fleet.set_paused(owner, false);
    sleep(TAKEOVER_TIME).await;
    let late = first.await.expect("the caller ends");
    for at in 0..fleet.size() {
        let host = fleet.host(at).expect("all hosts run");
        assert_eq!(read_key(&host, &request.key).await, between, "at {at}");
    }
    assert_eq!(recorded_outcome(&late), between.as_ref(), "{late:?}");
    assert_eq!(fleet.plain_run_count(&request.input), 1);
    fleet.network.close();
}

/// The owner is lost before its announcement is on the log, and the caller sends the request again.
#[tokio::test(start_paused = true)]
async fn no_call_is_sent_before_its_announcement_is_on_the_log() {
    let fleet = start_fleet(4, 3).await;
    let request = make_request("key", 1, false);
    let (owner, other) = owner_and_other(&fleet, &request.full_key());
    fleet.log.set_faults(|faults| faults.down = true);
    let first = submit(&fleet.host(owner).expect("the owner runs"), &request);
    sleep(Duration::from_millis(200)).await;
    fleet.kill(owner);
    // By now the log has rejected the appends that the owner had in flight.
    sleep(Duration::from_secs(1)).await;
    fleet.log.set_faults(|faults| faults.down = false);
    assert_eq!(first.await.expect("the caller ends"), AttemptResult::Lost);
    sleep(TAKEOVER_TIME).await;
    let host = fleet.host(other).expect("the host runs");
    let second = submit_request(&host, &request).await;
    assert!(recorded_outcome(&second).is_some(), "{second:?}");
    assert_eq!(fleet.plain_run_count(&request.input), 1);
    fleet.network.close();
}

/// The owner is lost while the call runs, and the caller sends the request again.
#[tokio::test(start_paused = true)]
async fn an_announced_call_is_never_sent_again() {
    let fleet = start_fleet(5, 3).await;
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.call_ms = 2_000);
    }
    let request = make_request("key", 1, false);
    let (owner, other) = owner_and_other(&fleet, &request.full_key());
    let first = submit(&fleet.host(owner).expect("the owner runs"), &request);
    sleep(Duration::from_millis(300)).await;
    fleet.kill(owner);
    assert_eq!(first.await.expect("the caller ends"), AttemptResult::Lost);
    let host = fleet.host(other).expect("the host runs");
    let second = submit_request(&host, &request).await;
    assert_eq!(recorded_outcome(&second), Some(&OutcomeReply::MayHaveRun));
    assert_eq!(fleet.plain_run_count(&request.input), 1);
    fleet.network.close();
}

/// A call whose answer is lost has run, so it must neither be reported as not run nor be sent again.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_not_reported_as_not_run() {
    let fleet = start_fleet(6, 3).await;
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.lose_answers = 10);
    }
    let host = fleet.host(0).expect("all hosts run");
    let request = make_request("key", 1, false);
    let attempt = submit_request(&host, &request).await;
    assert_eq!(recorded_outcome(&attempt), Some(&OutcomeReply::MayHaveRun));
    assert_eq!(fleet.plain_run_count(&request.input), 1);
    fleet.network.close();
}

#[tokio::test(start_paused = true)]
async fn what_is_refused_in_an_outage_did_not_run() {
    let fleet = start_fleet(7, 3).await;
    fleet.log.set_faults(|faults| faults.down = true);
    sleep(Duration::from_secs(2)).await;
    let host = fleet.host(0).expect("all hosts run");
    let request = make_request("key", 1, false);
    let started = Instant::now();
    let attempt = submit_request(&host, &request).await;
    let not_run = AttemptResult::Refused {
        ran: RanReply::NotRun,
    };
    assert_eq!(attempt, not_run);
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "the refusal took 1 s or more"
    );
    fleet.log.set_faults(|faults| faults.down = false);
    sleep(TAKEOVER_TIME).await;
    assert_eq!(fleet.plain_run_count(&request.input), 0);
    fleet.network.close();
}

#[tokio::test(start_paused = true)]
async fn what_every_endpoint_refused_did_not_run_and_may_be_sent_again() {
    let fleet = start_fleet(8, 3).await;
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.refuse = true);
    }
    let host = fleet.host(0).expect("all hosts run");
    let request = make_request("key", 1, false);
    let attempt = submit_request(&host, &request).await;
    let outcome = recorded_outcome(&attempt);
    let not_run = matches!(outcome, Some(OutcomeReply::NotRun { .. }));
    assert!(not_run, "{attempt:?}");
    assert_eq!(fleet.plain_run_count(&request.input), 0);
    for plain in &fleet.plain_services {
        plain.set_faults(|faults| faults.refuse = false);
    }
    let again = submit_request(&host, &request).await;
    let done = matches!(recorded_outcome(&again), Some(OutcomeReply::Done { .. }));
    assert!(done, "{again:?}");
    assert_eq!(fleet.plain_run_count(&request.input), 1);
    fleet.network.close();
}

#[rstest]
#[case::gates_receive_the_cancellation(0)]
#[case::messages_to_gates_are_lost(1_000)]
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_stops(#[case] lost: u32) {
    let fleet = start_fleet(9, 3).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.step_us = 150_000);
    }
    let mut caller = caller(&fleet);
    let job = make_job("job", 200, 80, true);
    caller.record_job(&job);
    assert!(caller.submit_job(&job).await);
    sleep(Duration::from_secs(2)).await;
    fleet.network.set_faults(|faults| faults.lost = lost);
    while !caller.cancel_job(&job.name).await {}
    fleet.network.set_faults(|faults| faults.lost = 0);
    let host = fleet.host(0).expect("all hosts run");
    let report = read_job(&host, &job.name).await.expect("the job is known");
    assert!(report.is_cancelled && report.open == 0, "{report:?}");
    sleep(Duration::from_secs(1)).await;
    let tokens = || -> u64 { fleet.engines.iter().map(|engine| engine.tokens()).sum() };
    let before = tokens();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(tokens(), before, "engines still run items of the job");
    check_end(&fleet).await;
    assert_eq!(fleet.history.observations().violations, vec![]);
    fleet.network.close();
}

/// Requests of one token arrive while every engine runs batch items that take seconds.
#[tokio::test(start_paused = true)]
async fn online_requests_do_not_wait_behind_batch_items() {
    let fleet = start_fleet(10, 3).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.step_us = 100_000);
    }
    let mut caller = caller(&fleet);
    let job = make_job("job", 400, 80, true);
    caller.record_job(&job);
    assert!(caller.submit_job(&job).await);
    sleep(Duration::from_secs(3)).await;
    let host = fleet.host(0).expect("all hosts run");
    let started = Instant::now();
    let calls = (0..12).map(|number| {
        let request = make_request(&format!("key-{number}"), 1, true);
        submit(&host, &request)
    });
    for call in calls.collect::<Vec<_>>() {
        let attempt = call.await.expect("the caller ends");
        assert!(recorded_outcome(&attempt).is_some(), "{attempt:?}");
    }
    let slowest = started.elapsed();
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    fleet.network.close();
}

#[tokio::test(start_paused = true)]
async fn a_leaving_endpoint_gets_no_new_work() {
    let fleet = start_fleet(11, 3).await;
    let mut caller = caller(&fleet);
    let job = make_job("job", 400, 40, true);
    caller.record_job(&job);
    assert!(caller.submit_job(&job).await);
    let mut rng = SmallRng::seed_from_u64(1);
    set_leaving(&fleet, &mut rng, 0, true, Instant::now() + TAKEOVER_TIME).await;
    sleep(Duration::from_secs(2)).await;
    let since = fleet.history.now();
    let host = fleet.host(0).expect("all hosts run");
    for number in 0..30 {
        let request = make_request(&format!("key-{number}"), 4, true);
        let attempt = submit_request(&host, &request).await;
        assert!(recorded_outcome(&attempt).is_some(), "{attempt:?}");
    }
    let address = engine_address(0);
    let observations = fleet.history.observations();
    let late = observations
        .starts
        .iter()
        .filter(|start| start.started_at > since);
    let (there, elsewhere): (Vec<_>, Vec<_>) = late.partition(|start| *start.address == address);
    assert!(there.is_empty(), "{there:?}");
    assert!(
        !elsewhere.is_empty(),
        "no other endpoint of {CHAT_SERVICE} got work"
    );
    drop(observations);
    fleet.network.close();
}

/// Operators publish changes of the same base version through all hosts at the same time.
#[tokio::test(start_paused = true)]
async fn one_of_two_racing_operators_wins_everywhere() {
    let fleet = start_fleet(12, 3).await;
    let (name, _) = endpoint_record(0, false);
    for round in 1..10 {
        let publishing = fleet.joined().into_iter().enumerate().map(|(at, host)| {
            let (fleet, name) = (Arc::clone(&fleet), name.clone());
            tokio::spawn(async move {
                let (_, mut body) = endpoint_record(0, false);
                body["max_concurrent"] = json!(round * 100 + at);
                publish(&fleet, &host, &name, round as u64, body).await
            })
        });
        let mut winners = 0;
        for published in publishing.collect::<Vec<_>>() {
            winners += usize::from(published.await.expect("the operator ends"));
        }
        assert_eq!(winners, 1, "round {round}");
        sleep(Duration::from_secs(2)).await;
        let won = fleet.history.observations().changes.last().cloned();
        let won = won.expect("a change was accepted");
        for host in fleet.joined() {
            let view = host.node.fleet().view();
            let entry = view.config.get(&name).expect("the record is in force");
            assert_eq!(entry.version, won.version);
            assert_eq!(*entry.change.body, *won.body.to_string());
        }
    }
    fleet.network.close();
}
