//! Endpoints that name a limit of requests a second, at several hosts.
//!
//! Heartbeats are real datagrams on loopback, so these tests run in real time.

use crate::support::{CallScript, TestFleet, read_response, request, submission};
use fulmarswitch_switch::limits::LimitTable;
use fulmarswitch_switch::node::SwitchNode;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time after an endpoint first named its limit, from which the limit holds.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests a second that the endpoint names.
const LIMIT: &str = "3";
/// Requests in [`WINDOW`] that are allowed: one and a half times the limit, and 5.
const MAX_REQUESTS: usize = 23;
/// Interval between two requests at each host.
const INTERVAL: Duration = Duration::from_millis(80);

struct LimitedFleet {
    fleet: TestFleet,
    hosts: Vec<Arc<SwitchNode>>,
    tasks: JoinSet<()>,
}

impl LimitedFleet {
    /// Starts hosts and endpoints, of which `e0` names a limit from now on, and sends requests to all hosts.
    async fn start(path: &'static str) -> Self {
        let fleet = TestFleet::new(4);
        fleet.client.set_default(CallScript::Stream { events: 8 });
        let mut hosts = Vec::new();
        for index in 0..4 {
            hosts.push(fleet.spawn(&format!("h{index}")).await);
        }
        sleep(Duration::from_secs(1)).await;
        fleet.client.set_limit("e0", Some(LIMIT));
        let mut tasks = JoinSet::new();
        for host in &hosts {
            tasks.spawn(send_requests(host.clone(), path));
        }
        Self {
            fleet,
            hosts,
            tasks,
        }
    }

    /// Times of the calls that `e0` got since `from`.
    fn calls_since(&self, from: Instant) -> Vec<Instant> {
        let calls = self.fleet.client.calls();
        let limited = calls.iter().filter(|call| &*call.endpoint == "e0");
        limited
            .map(|call| call.at)
            .filter(|at| *at >= from)
            .collect()
    }

    /// Most calls that `e0` got in [`WINDOW`] since `from`.
    fn most_calls_since(&self, from: Instant) -> usize {
        let times = self.calls_since(from);
        let in_window = |start: &Instant| {
            let in_window = times
                .iter()
                .filter(|at| (*start..*start + WINDOW).contains(at));
            in_window.count()
        };
        times.iter().map(in_window).max().unwrap_or(0)
    }
}

async fn send_requests(host: Arc<SwitchNode>, path: &'static str) {
    let mut sent = JoinSet::new();
    loop {
        let host = host.clone();
        sent.spawn(async move {
            // Whether it is answered or rejected is not counted here.
            let _ = read_response(&host, request(&host, path, "r")).await;
        });
        sleep(INTERVAL).await;
    }
}

/// Guards against more requests to an endpoint than the limit that it named, summed over all hosts (LIMIT), against one that
/// gets hardly any, and against a limit that holds on after the endpoint names none.
#[rstest]
#[case::streams("/stream/x")]
#[case::retried_requests("/safe/x")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_gets_no_more_requests_than_it_takes(#[case] path: &'static str) {
    let mut limited = LimitedFleet::start(path).await;
    sleep(STABLE_WINDOW).await;
    let from = Instant::now();
    sleep(WINDOW * 2).await;
    let most = limited.most_calls_since(from);
    assert!(most <= MAX_REQUESTS, "{most} requests");
    let used = limited.calls_since(from).len();
    assert!(used >= 16, "{used} requests, 24 allowed by the limit");
    limited.fleet.client.set_limit("e0", None);
    sleep(Duration::from_secs(2)).await;
    let from = Instant::now();
    sleep(WINDOW).await;
    let free = limited.calls_since(from).len();
    assert!(free > MAX_REQUESTS, "{free} requests without a limit");
    limited.tasks.shutdown().await;
}

/// Guards against batch items that exceed the limit of an endpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_count_towards_the_limit() {
    let mut limited = LimitedFleet::start("/stream/x").await;
    limited.tasks.shutdown().await;
    for (index, host) in limited.hosts.iter().enumerate() {
        for job in 0..4 {
            host.submit_job(submission(&format!("job-{index}-{job}"), 90))
                .await;
        }
    }
    sleep(STABLE_WINDOW).await;
    let from = Instant::now();
    sleep(WINDOW * 2).await;
    let most = limited.most_calls_since(from);
    assert!(most <= MAX_REQUESTS, "{most} items");
}

/// Guards against items that wait at hosts without a share for as long as all endpoints name limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_run_at_the_hosts_that_share_the_limits() {
    let fleet = TestFleet::new(2);
    fleet.client.set_default(CallScript::Stream { events: 2 });
    let names = ["h0", "h1", "h2", "h3"];
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(fleet.spawn(name).await);
    }
    sleep(Duration::from_secs(1)).await;
    for endpoint in ["e0", "e1"] {
        fleet.client.set_limit(endpoint, Some(LIMIT));
    }
    // The hosts learn of the limits by these.
    hosts[0].submit_job(submission("first", 8)).await;
    sleep(STABLE_WINDOW).await;
    hosts[0].submit_job(submission("second", 24)).await;
    // Six items a second, so four seconds; the limits would be forgotten after ten.
    sleep(Duration::from_secs(8)).await;
    let calls = fleet.client.calls().into_iter();
    let mut run: Vec<Arc<str>> = calls
        .map(|call| call.id)
        .filter(|id| id.starts_with("second-"))
        .collect();
    run.sort_unstable();
    run.dedup();
    assert_eq!(run.len(), 24);
}

/// A share of this host in a limit of this many requests a second.
fn shared(limit: &str, hosts: usize) -> (LimitTable, Instant) {
    let (mut table, now) = (LimitTable::default(), Instant::now());
    assert!(table.record("e", limit.parse().ok(), now));
    table.update_shares(hosts, now, |_, _| true);
    (table, now)
}

/// Number of requests that a host sends in a time, one as soon as it may.
fn sent_in(table: &mut LimitTable, from: Instant, duration: Duration) -> u32 {
    let mut sent = 0;
    let mut now = from;
    while now < from + duration {
        if table.admits("e", now) {
            table.take("e", now);
            sent += 1;
        }
        now += Duration::from_millis(1);
    }
    sent
}

/// Guards against hosts that together exceed a limit, and against shares that are too small to be of use.
#[rstest]
#[case::small("2.5", 12, 1)]
#[case::one_host("40", 1, 1)]
#[case::large("16", 12, 8)]
#[case::very_large("1000", 12, 8)]
#[tokio::test(start_paused = true)]
async fn sharing_hosts_send_what_the_limit_allows(
    #[case] limit: &str,
    #[case] hosts: usize,
    #[case] sharers: u32,
) {
    let (mut table, now) = shared(limit, hosts);
    table.update_shares(hosts, now, |_, count| {
        assert_eq!(count, sharers as usize);
        true
    });
    let allowed = 10.0 * limit.parse::<f64>().unwrap();
    let sent = f64::from(sent_in(&mut table, now, Duration::from_secs(10)) * sharers);
    assert!(
        sent <= allowed && sent >= allowed * 0.9,
        "{sent} of {allowed}"
    );
}

/// Guards against requests to a limited endpoint from a host without a share.
#[tokio::test(start_paused = true)]
async fn host_without_a_share_sends_nothing() {
    let (mut table, now) = shared("2.5", 12);
    table.update_shares(12, now, |_, _| false);
    assert_eq!(sent_in(&mut table, now, Duration::from_secs(9)), 0);
    assert_eq!(table.wait("e", now), Duration::from_secs(1));
    assert!(table.admits("other", now));
}

/// Guards against a limit without an end, and against reports that outlast what they report.
#[tokio::test(start_paused = true)]
async fn limit_ends_with_the_responses_that_name_it() {
    let (mut table, _) = shared("0", 12);
    let (mut other, _) = shared("2.5", 12);
    sleep(Duration::from_secs(1)).await;
    let now = Instant::now();
    assert!(other.record("e", None, now));
    assert!(other.admits("e", now));
    for report in other.reports(now) {
        table.apply(report, now);
    }
    assert!(table.admits("e", now));
    assert!(
        table.reports(now).is_empty(),
        "reports of others are not repeated"
    );
    let (mut silent, _) = shared("2.5", 12);
    sleep(Duration::from_secs(10)).await;
    silent.update_shares(12, Instant::now(), |_, _| false);
    assert!(silent.is_empty());
}
