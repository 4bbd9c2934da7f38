//! Killed and paused hosts, log outages, out-of-order answers and planned stops.

use crate::support::{
    HOSTS, TestFleet, client_of, done, engine_call, key_owned_by, plain_call, runs_of, start_fleet,
};
use fulmarswitch_caller::client::CallerError;
use fulmarswitch_caller::wire::{AnswerEvent, OutcomeReply, RanReply};
use fulmarswitch_demo::batch::{count_batch, make_job, submit, wait_until_complete};
use fulmarswitch_demo::report::DemoReport;
use fulmarswitch_operator::StatusReply;
use fulmarswitch_standins::engine::whole_answer;
use fulmarswitch_standins::log::LogFaults;
use fulmarswitch_standins::plain::{PlainFaults, plain_answer};
use futures::stream;
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Generous limit for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of a host pause, longer than the time after which a silent host counts as down.
const HOST_PAUSE: Duration = Duration::from_secs(3);
/// Duration of the log outage.
const LOG_OUTAGE: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn answer_survives_the_kill_of_its_owner() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let call = engine_call(&key_owned_by("a", "kill"), 150);
    let expected = whole_answer(&call.input, call.max_tokens);
    let caller = client_of(&mut fleet, "b");
    let (parts, mut events) = mpsc::unbounded_channel();
    let first = tokio::spawn({
        let call = call.clone();
        async move {
            let show = |event: &AnswerEvent| {
                let _ = parts.send(event.clone());
            };
            caller.request_with(&call, show).await
        }
    });
    for _ in 0..10 {
        events.recv().await.expect("the answer streams");
    }
    let killed = fleet.host("a").process.signal(Signal::KILL);
    killed.expect("the owner runs");
    let resent = client_of(&mut fleet, "c").request(&call).await;
    let first = first.await.expect("the request task does not panic");
    assert_eq!(first.expect("answered").outcome, done(expected.as_str()));
    assert_eq!(resent.expect("answered").outcome, done(expected.as_str()));
    for host in ["b", "c"] {
        let read = client_of(&mut fleet, host)
            .result(&call.workspace, &call.key)
            .await;
        assert_eq!(read.expect("readable"), done(expected.as_str()), "{host}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_call_runs_once_when_its_owner_is_killed() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let slow = PlainFaults {
        call_ms: 1_500,
        ..PlainFaults::default()
    };
    let address = fleet.endpoint("plain-1").address.clone();
    let set = fleet.control(&address, &slow).await;
    set.expect("the service accepts the control call");
    let call = plain_call(&key_owned_by("a", "once"));
    let caller = client_of(&mut fleet, "b");
    let first = tokio::spawn({
        let call = call.clone();
        async move { caller.request(&call).await }
    });
    while runs_of(&fleet, &call.input).await == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let killed = fleet.host("a").process.signal(Signal::KILL);
    killed.expect("the owner runs");
    let resent = client_of(&mut fleet, "c").request(&call).await;
    let first = first.await.expect("the request task does not panic");
    assert_eq!(runs_of(&fleet, &call.input).await, 1);
    let outcomes = [
        outcome_of(first),
        outcome_of(resent),
        outcome_of(client_of(&mut fleet, "c").request(&call).await),
    ];
    let correct = done(plain_answer(&call.input));
    for outcome in &outcomes {
        let allowed = *outcome == correct || *outcome == OutcomeReply::MayHaveRun;
        assert!(allowed, "{outcomes:?}");
    }
    assert_eq!(runs_of(&fleet, &call.input).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_rejoins_and_serves() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let before = engine_call(&key_owned_by("a", "before"), 150);
    let once = plain_call(&key_owned_by("a", "paused"));
    let caller = client_of(&mut fleet, "b");
    let running = tokio::spawn({
        let before = before.clone();
        async move { caller.request(&before).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopped = fleet.host("a").process.signal(Signal::STOP);
    stopped.expect("the owner runs");
    let during = client_of(&mut fleet, "b").request(&once).await;
    tokio::time::sleep(HOST_PAUSE).await;
    let continued = fleet.host("a").process.signal(Signal::CONT);
    continued.expect("the owner is stopped");

    let expected = whole_answer(&before.input, before.max_tokens);
    let answer = running.await.expect("the request task does not panic");
    assert_eq!(answer.expect("answered").outcome, done(expected));
    let outcome = outcome_of(during);
    let correct = done(plain_answer(&once.input));
    assert!(
        outcome == correct || outcome == OutcomeReply::MayHaveRun,
        "{outcome:?} is neither the expected answer nor MayHaveRun"
    );
    wait_until_live(&mut fleet).await;
    let after = engine_call(&key_owned_by("a", "after"), 8);
    let answer = client_of(&mut fleet, "a").request(&after).await;
    let expected = whole_answer(&after.input, after.max_tokens);
    assert_eq!(answer.expect("answered").outcome, done(expected));
    assert!(runs_of(&fleet, &once.input).await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_neither_loses_nor_repeats_requests() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let platform = fleet.platform.address.clone();
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    let set = fleet.control(&platform, &down).await;
    set.expect("the platform accepts the control call");
    let engine = engine_call(&key_owned_by("a", "engine"), 16);
    let once = plain_call(&key_owned_by("b", "plain"));
    let caller = client_of(&mut fleet, "c");
    let during = tokio::spawn({
        let (engine, once) = (engine.clone(), once.clone());
        async move { tokio::join!(caller.request(&engine), caller.request(&once)) }
    });
    tokio::time::sleep(LOG_OUTAGE).await;
    let job = make_job("outage", TIMEOUT);
    // All hosts are tried, so that one of them is the owner of the job.
    for host in HOSTS {
        let caller = client_of(&mut fleet, host);
        let items = stream::iter(["one", "two"].map(Arc::from));
        let refused = tokio::time::timeout(TIMEOUT, caller.submit(&job, items)).await;
        let Err(CallerError::Refused { reply }) = refused.expect("refused within the limit") else {
            panic!("a job was accepted during the log outage");
        };
        assert_eq!(reply.ran, RanReply::NotRun, "{reply:?}");
        assert!(reply.retry_after_ms > 0, "{reply:?}");
    }
    let set = fleet.control(&platform, &LogFaults::default()).await;
    set.expect("the platform accepts the control call");
    let (engine_end, once_end) = during.await.expect("the request task does not panic");
    if let Ok(answer) = engine_end {
        let expected = whole_answer(&engine.input, engine.max_tokens);
        assert_eq!(answer.outcome, done(expected));
    }
    if let Err(CallerError::Refused { reply }) = &once_end
        && reply.ran == RanReply::NotRun
    {
        assert_eq!(runs_of(&fleet, &once.input).await, 0, "refused as not run");
    }

    let expected = whole_answer(&engine.input, engine.max_tokens);
    let again = client_of(&mut fleet, "a").request(&engine).await;
    assert_eq!(again.expect("answered").outcome, done(expected.as_str()));
    let again = client_of(&mut fleet, "a").request(&once).await;
    let correct = done(plain_answer(&once.input));
    let outcome = outcome_of(again);
    assert!(
        outcome == correct || outcome == OutcomeReply::MayHaveRun,
        "{outcome:?}"
    );
    assert!(runs_of(&fleet, &once.input).await <= 1);
    for host in HOSTS {
        let read = client_of(&mut fleet, host)
            .result(&engine.workspace, &engine.key)
            .await;
        assert_eq!(read.expect("readable"), done(expected.as_str()), "{host}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn out_of_order_answers_reach_their_callers() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let address = fleet.endpoint("plain-1").address.clone();
    let mut running = Vec::new();
    // Each call is faster than the one before, so that the answers arrive in reverse order.
    for (number, call_ms) in [2_000, 1_400, 800, 200].into_iter().enumerate() {
        let faults = PlainFaults {
            call_ms,
            ..PlainFaults::default()
        };
        let set = fleet.control(&address, &faults).await;
        set.expect("the service accepts the control call");
        let call = plain_call(&format!("order-{number}"));
        let caller = client_of(&mut fleet, HOSTS[number % 3]);
        running.push(tokio::spawn({
            let call = call.clone();
            async move { caller.request(&call).await }
        }));
        while runs_of(&fleet, &call.input).await == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    for (number, answer) in running.into_iter().enumerate() {
        let call = plain_call(&format!("order-{number}"));
        let answer = answer.await.expect("the request task does not panic");
        let expected = plain_answer(&call.input);
        assert_eq!(answer.expect("answered").outcome, done(expected));
        assert_eq!(runs_of(&fleet, &call.input).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_interrupts_no_answer() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let job = make_job("night", Duration::from_mins(1));
    let client = fleet.client();
    let accepted = submit(&client, &job, 300, TIMEOUT).await;
    accepted.expect("the job is accepted");
    let mut running = Vec::new();
    for (number, owner) in HOSTS.into_iter().cycle().take(24).enumerate() {
        let call = engine_call(&key_owned_by(owner, &format!("stop-{number}")), 100);
        // Every second caller is connected to the host that is stopped.
        let entry = if number % 2 == 0 { "a" } else { "b" };
        let caller = client_of(&mut fleet, entry);
        running.push(tokio::spawn(async move {
            let mut parts = 0;
            let answer = caller.request_with(&call, |event| {
                parts += u32::from(matches!(event, AnswerEvent::Text { .. }));
            });
            let answer = answer.await;
            (call, answer, parts)
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut stopping = fleet.remove_host("a");
    let signalled = stopping.process.signal(Signal::TERM);
    signalled.expect("the host runs");
    for request in running {
        let (call, answer, parts) = request.await.expect("the request task does not panic");
        let answer = answer.expect("answered");
        let expected = whole_answer(&call.input, call.max_tokens);
        assert_eq!(answer.outcome, done(expected), "{}", call.key);
        // One part per token: the answer was streamed exactly once, without a restart.
        assert_eq!(parts, call.max_tokens, "{} was restarted", call.key);
    }
    let status = stopping.process.wait(TIMEOUT).await;
    assert!(status.expect("the host stops").success());
    let client_b = client_of(&mut fleet, "b");
    let finished = wait_until_complete(&client_b, &job, TIMEOUT).await;
    finished.expect("the job is finished");
    let mut report = DemoReport::default();
    let counted = count_batch(&client_b, &job, 300, &mut report).await;
    counted.expect("the results are readable");
    assert!(report.passed(), "{report}");
}

/// Waits until every host reports all hosts as live.
async fn wait_until_live(fleet: &mut fulmarswitch_demo::fleet::LocalFleet) {
    let all_live = |status: &StatusReply| {
        let live = |host: &&fulmarswitch_operator::HostReply| &*host.phase == "live";
        status.hosts.iter().filter(live).count() == HOSTS.len()
    };
    for host in HOSTS {
        let client = client_of(fleet, host);
        let all_live_in_time = tokio::time::timeout(TIMEOUT, async {
            loop {
                let status = client.get_once::<StatusReply>("/v1/status").await;
                if status.is_ok_and(|status| all_live(&status)) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        all_live_in_time.await.expect("all hosts are live again");
    }
}

/// Returns the outcome of a request; a refusal that says it may have run becomes `MayHaveRun`.
fn outcome_of(
    answer: Result<fulmarswitch_caller::client::TimedAnswer, CallerError>,
) -> OutcomeReply {
    match answer {
        Ok(answer) => answer.outcome,
        Err(CallerError::Refused { reply }) if reply.ran == RanReply::MayHaveRun => {
            OutcomeReply::MayHaveRun
        }
        Err(error) => OutcomeReply::Failed {
            reason: error.to_string().into(),
        },
    }
}
