//! Streams that callers take up after all hosts were lost around a release: what is kept in the log of versions and origins.

use crate::support::CallScript::Stream;
use crate::support::{CallerOutcome, TestFleet, listed, read_response, request, wait_until};
use fulmarswitch_switch::endpoint::{EndpointTable, ListedEndpoint};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use fulmarswitch_switch::origins::VersionKey;
use fulmarswitch_switch::versions::history::{HistoryChange, VersionHistory, VersionRecord};
use futures::StreamExt;
use rstest::rstest;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

/// Number of streams in a test. A wrong version is picked for about half of them by chance.
const STREAMS: usize = 8;

fn fleet_of(endpoints: &[&str]) -> TestFleet {
    let fleet = TestFleet::new(0);
    list(&fleet, endpoints, true);
    fleet.client.set_default(Stream { events: 5 });
    fleet
}

/// Lists endpoints, whose IDs begin with their version, or removes them.
fn list(fleet: &TestFleet, endpoints: &[&str], is_listed: bool) {
    for id in endpoints {
        let listing = format!("ready {}", &id[..2]);
        let listing = if is_listed { &*listing } else { "" };
        fleet.log.put("endpoints", id, listing);
    }
}

/// Runs hosts until `run` ends, and loses them all at once.
async fn run_and_lose<F: Future<Output = ()> + Send + 'static>(
    fleet: &TestFleet,
    names: &'static [&'static str],
    run: impl FnOnce(TestFleet, Vec<Arc<SwitchNode>>) -> F + Send + 'static,
) {
    // Dropping the runtime of these hosts stops them.
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let fleet = fleet.clone();
    let task = runtime.spawn(async move {
        let hosts = futures::future::join_all(names.iter().map(|name| fleet.start(name))).await;
        run(fleet, hosts).await;
    });
    task.await.unwrap();
    runtime.shutdown_background();
}

/// Begins streams `r0`, `r1` and so on, at one host after the other, and disconnects after their second event.
async fn begin_streams(hosts: &[Arc<SwitchNode>]) {
    for index in 0..STREAMS {
        let node = &hosts[index % hosts.len()];
        let request = request(node, "/resume/x", &format!("r{index}"));
        let OnlineReply::Response(mut response) = node.serve_online(request).await else {
            panic!("r{index} was not served");
        };
        for _ in 0..2 {
            response.body.next().await.unwrap().unwrap();
        }
    }
}

/// Takes up stream `r<index>` after its second event.
async fn take_up(node: &Arc<SwitchNode>, index: usize) -> CallerOutcome {
    let request = OnlineRequest {
        resumes: Some(format!("r{index}").into()),
        resume_after: Some(2),
        ..request(node, "/resume/x", &format!("s{index}"))
    };
    read_response(node, request).await
}

fn called_versions(fleet: &TestFleet) -> Vec<String> {
    let calls = fleet.client.calls();
    calls
        .iter()
        .map(|call| call.endpoint[..2].to_owned())
        .collect()
}

/// When the endpoints of the version that began the streams leave.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Before,
    WhileHostsAreLost,
    After,
}

macro_rules! departures {
    ($($case:ident: $departure:expr,)*) => {
        #[rstest]
        $(#[case::$case($departure)])*
        /// Guards against a text joined from two versions (ORDER): a host that has just started sees the new version alone, and nothing
        /// tells it that another one began the stream.
        #[tokio::test]
        async fn stream_is_not_joined_after_a_loss_of_all_hosts(#[case] departure: Departure) {
            check_departure(departure).await;
        }
    };
}

departures! {
    before: Departure::Before,
    while_hosts_are_lost: Departure::WhileHostsAreLost,
    after: Departure::After,
}

async fn check_departure(departure: Departure) {
    let fleet = fleet_of(&["v1-a", "v1-b"]);
    run_and_lose(&fleet, &["a", "b"], move |fleet, hosts| async move {
        begin_streams(&hosts).await;
        list(&fleet, &["v2-a", "v2-b"], true);
        if matches!(departure, Departure::Before) {
            list(&fleet, &["v1-a", "v1-b"], false);
            // The hosts read the listings.
            sleep(Duration::from_millis(1200)).await;
        }
    })
    .await;
    if matches!(departure, Departure::WhileHostsAreLost) {
        list(&fleet, &["v1-a", "v1-b"], false);
    }
    let node = fleet.start("c").await;
    if matches!(departure, Departure::After) {
        list(&fleet, &["v1-a", "v1-b"], false);
        sleep(Duration::from_millis(1200)).await;
    }
    for index in 0..STREAMS {
        let outcome = take_up(&node, index).await;
        assert!(
            matches!(outcome, CallerOutcome::Rejected),
            "stream {index}: {outcome:?}"
        );
    }
    assert!(
        called_versions(&fleet)
            .iter()
            .all(|version| version == "v1")
    );
}

/// Guards against rejecting streams whose version is certain: one alone has served since the system started.
#[tokio::test]
async fn stream_is_taken_up_after_a_loss_of_all_hosts() {
    let fleet = fleet_of(&["v1-a", "v1-b"]);
    run_and_lose(&fleet, &["a", "b"], async |_, hosts| {
        begin_streams(&hosts).await;
    })
    .await;
    let node = fleet.start("c").await;
    for index in 0..STREAMS {
        let outcome = take_up(&node, index).await;
        assert!(
            matches!(outcome, CallerOutcome::Complete(_)),
            "stream {index}: {outcome:?}"
        );
    }
}

/// Guards against a listing that is read before the history of versions: the host must not take the version for the only one.
#[tokio::test]
async fn stream_is_rejected_while_the_history_is_not_read() {
    let fleet = fleet_of(&["v1-a", "v1-b"]);
    run_and_lose(&fleet, &["a"], async |_, hosts| {
        // The version is in the history by then, so that origins are not written.
        sleep(Duration::from_secs(1)).await;
        begin_streams(&hosts).await;
    })
    .await;
    fleet.log.cut_topic(Some("hosts"));
    let node = fleet.start("c").await;
    assert_eq!(take_up(&node, 0).await, CallerOutcome::Rejected);
    fleet.log.cut_topic(None);
    wait_until("the history", async || {
        matches!(take_up(&node, 1).await, CallerOutcome::Complete(_))
    })
    .await;
}

/// Half of the endpoints have the new version when all hosts are lost. Guards against joined texts, and against rejecting all streams as
/// no host knows their origins.
#[tokio::test]
async fn origins_outlive_all_hosts_in_a_release() {
    let fleet = fleet_of(&["v1-a", "v1-b", "v2-a", "v2-b"]);
    run_and_lose(&fleet, &["a", "b"], async |_, hosts| {
        begin_streams(&hosts).await;
        // Origins are written in batches.
        sleep(Duration::from_millis(100)).await;
    })
    .await;
    let began = called_versions(&fleet);
    let node = fleet.start("c").await;
    for index in 0..STREAMS {
        let outcome = take_up(&node, index).await;
        assert!(
            matches!(outcome, CallerOutcome::Complete(_)),
            "stream {index}: {outcome:?}"
        );
    }
    assert_eq!(called_versions(&fleet)[STREAMS..], began);
}

/// Guards against an endpoint that comes back under its ID at another version: the version before served as well.
#[test]
fn version_before_a_restart_is_remembered() {
    let mut table = EndpointTable::default();
    for version in ["1", "2"] {
        table.set(ListedEndpoint {
            version: version.into(),
            ..listed("e", 1, false)
        });
    }
    assert_eq!(table.sole_version(&["service"], Instant::now()), None);
}

/// Guards against a stream that goes on at another version: the one that began it was listed and removed between two snapshots, which
/// only the history in the log tells.
#[test]
fn listings_are_not_followed_across_a_snapshot() {
    let mut table = EndpointTable::default();
    let started = Instant::now();
    let later = started + Duration::from_secs(40);
    for now in [started, later] {
        table.record_read(1, now);
        table.replace(vec![listed("e", 1, false)], 1, now);
    }
    assert_eq!(table.watched_for(later), Duration::ZERO);
}

const NOW_MS: u64 = 1_000_000_000;

fn version(name: &str) -> VersionKey {
    VersionKey::of("service", name)
}

fn record(name: &str, since_ms: u64, until_ms: Option<u64>) -> VersionRecord {
    VersionRecord {
        service: "service".into(),
        version: version(name),
        since_ms,
        until_ms,
    }
}

macro_rules! histories {
    ($($case:ident: $records:expr => $sole:expr,)*) => {
        #[rstest]
        $(#[case::$case(&$records, $sole)])*
        fn sole_version_of_a_history(#[case] records: &[VersionRecord], #[case] expected: Option<&str>) {
            let mut history = VersionHistory::default();
            for record in records {
                history.apply(record.clone());
            }
            assert_eq!(history.sole_version(&["service"], NOW_MS), None);
            history.mark_read();
            let sole = history.sole_version(&["service"], NOW_MS);
            assert_eq!(sole, expected.map(version));
        }
    };
}

histories! {
    empty: [] => None,
    since_the_first_start: [record("1", 0, None)] => Some("1"),
    too_short: [record("1", NOW_MS - 39_000, None)] => None,
    long_enough: [record("1", NOW_MS - 41_000, None)] => Some("1"),
    two: [record("1", 0, None), record("2", NOW_MS - 50_000, None)] => None,
    left_lately: [record("1", 0, Some(NOW_MS - 39_000)), record("2", NOW_MS - 50_000, None)] => None,
    left_before: [record("1", 0, Some(NOW_MS - 41_000)), record("2", NOW_MS - 50_000, None)] => Some("2"),
}

/// Each change is written once, and old versions do not stay in the log.
#[test]
fn history_follows_the_listings() {
    let listing = |names: &[&str]| {
        let mut versions: Vec<_> = names
            .iter()
            .map(|name| ("service".into(), version(name)))
            .collect();
        versions.sort_unstable();
        versions
    };
    let mut history = VersionHistory::default();
    let first = history.due_changes(&listing(&["1"]), true, NOW_MS);
    assert_eq!(first, [HistoryChange::Set(record("1", 0, None))]);
    history.apply(record("1", 0, None));
    assert!(
        history
            .due_changes(&listing(&["1"]), true, NOW_MS)
            .is_empty()
    );
    let second = history.due_changes(&listing(&["2"]), true, NOW_MS);
    let expected = [
        HistoryChange::Set(record("2", NOW_MS, None)),
        HistoryChange::Set(record("1", 0, Some(NOW_MS))),
    ];
    assert_eq!(second, expected);
    history.apply(record("1", 0, Some(NOW_MS)));
    history.apply(record("2", NOW_MS, None));
    let later = history.due_changes(&listing(&["2"]), true, NOW_MS + 601_000);
    assert!(
        matches!(&later[..], [HistoryChange::Remove { .. }]),
        "{later:?}"
    );
}
