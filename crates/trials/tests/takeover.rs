//! The other hosts must take over all duties of a host that stops responding.

use fulmarswitch_caller::wire::OutcomeReply;
use fulmarswitch_trials::callers::{make_request, read_key, submit_request, submit_request_with};
use fulmarswitch_trials::control::HostMode;
use fulmarswitch_trials::history::AttemptResult;
use fulmarswitch_trials::run::start_fleet;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which the other hosts take over everything.
const TAKEOVER_TIME: Duration = Duration::from_secs(6);

/// A paused host keeps its connections open but answers nothing. One of the cases pauses the host that
/// appends the join records.
#[rstest]
#[case::host_0(0)]
#[case::host_1(1)]
#[case::host_2(2)]
#[case::host_3(3)]
#[tokio::test(start_paused = true)]
async fn a_paused_host_blocks_nothing(#[case] paused: usize) {
    let fleet = start_fleet(1, 4).await;
    fleet.set_paused(paused, true);
    tokio::time::sleep(TAKEOVER_TIME).await;
    let running = |host: &&std::sync::Arc<_>| is_running(host);
    let hosts = fleet.joined();
    for host in hosts.iter().filter(running) {
        let live = host.node.fleet().view().hosts.live().count();
        assert_eq!(live, 3, "at {}", host.identity);
        for replica in host.node.shards().replicas() {
            let state = replica.state();
            for shard in state.shards() {
                let owner = shard.owner().expect("every shard is owned");
                assert_ne!(owner.name, *fleet.name(paused), "at {}", host.identity);
            }
        }
    }
    fleet.network.close();
}

fn is_running(host: &fulmarswitch_trials::fleet::TrialHost) -> bool {
    host.control.mode() == HostMode::Running
}

/// Guaranteed time to the first token.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(520);

/// Requests arrive right after the owner of their keys is lost, before any host has detected the loss.
#[rstest]
#[case::killed(HostMode::Killed)]
#[case::paused(HostMode::Paused)]
#[tokio::test(start_paused = true)]
async fn online_requests_do_not_wait_for_the_takeover(#[case] mode: HostMode) {
    let fleet = start_fleet(1, 4).await;
    let lost = fleet.host(0).expect("the host runs");
    let frontend = fleet.host(1).expect("the host runs");
    let owned = lost.node.shards().owned();
    let view = frontend.node.fleet().view();
    let keys = (0..400).map(|number| make_request(&format!("key-{number}"), 3, true));
    let keys = keys
        .filter(|request| owned.contains(&view.shard_of(&request.full_key())))
        .take(20);
    match mode {
        HostMode::Killed => fleet.kill(0),
        _ => fleet.set_paused(0, true),
    }
    for request in keys {
        let started = Instant::now();
        let submitted = submit_request_with(&frontend, &request, || started.elapsed()).await;
        let (first, attempt) = submitted;
        let first = first.expect("the answer has text");
        assert!(
            first <= FIRST_TOKEN_LIMIT,
            "{}: first token after {first:?}",
            request.key
        );
        let AttemptResult::Done {
            outcome, recorded, ..
        } = attempt
        else {
            panic!("{}: {attempt:?}", request.key);
        };
        assert!(recorded, "{}: {outcome:?}", request.key);
        assert_eq!(
            read_key(&frontend, &request.key).await,
            Some(outcome),
            "{}",
            request.key
        );
    }
    fleet.network.close();
}

/// A request that ended as not run is sent again right after the owner of its key is lost.
#[tokio::test(start_paused = true)]
async fn a_key_that_did_not_run_starts_anew_without_its_owner() {
    let fleet = start_fleet(1, 4).await;
    let lost = fleet.host(0).expect("the host runs");
    let frontend = fleet.host(1).expect("the host runs");
    let owned = lost.node.shards().owned();
    let view = frontend.node.fleet().view();
    let request = (0..400)
        .map(|number| make_request(&format!("key-{number}"), 3, true))
        .find(|request| owned.contains(&view.shard_of(&request.full_key())))
        .expect("the host owns a key");
    let set_refusing = |refuse| {
        for engine in &fleet.engines {
            engine.set_faults(|faults| faults.refuse = refuse);
        }
    };
    set_refusing(true);
    let refused = submit_request(&frontend, &request).await;
    let seen = read_key(&frontend, &request.key).await;
    assert!(
        matches!(seen, Some(OutcomeReply::NotRun { .. })),
        "{refused:?}, {seen:?}"
    );
    set_refusing(false);
    fleet.kill(0);
    let AttemptResult::Done { outcome, .. } = submit_request(&frontend, &request).await else {
        panic!("the request is answered");
    };
    assert!(matches!(outcome, OutcomeReply::Done { .. }), "{outcome:?}");
    assert_eq!(read_key(&frontend, &request.key).await, Some(outcome));
    fleet.network.close();
}
