//! What a host that is gone has reported no longer counts at the others.

use crate::support::{
    CallScript, CallerOutcome, TestFleet, listed, read_response, request, results, submission,
    wait_until,
};
use fulmarswitch_switch::endpoint::EndpointTable;
use fulmarswitch_switch::load::{FreeSlots, LoadView};
use fulmarswitch_switch::node::SwitchNode;
use fulmarswitch_switch::report::{EndpointKey, EndpointReport, RequestCounts};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

const MS: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(1);
const INTERVAL: Duration = Duration::from_millis(100);

/// A host in a runtime of its own, which may stand still or be lost without the others.
struct SeparateHost {
    runtime: Runtime,
    node: Arc<SwitchNode>,
}

impl SeparateHost {
    async fn start(fleet: &TestFleet, name: &'static str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let fleet = fleet.clone();
        let node = runtime.spawn(async move { fleet.start(name).await });
        let node = node.await.unwrap();
        Self { runtime, node }
    }
}

/// Guards against items that never start at a host that stood still while another one was lost.
#[tokio::test]
async fn host_that_stood_still_forgets_the_load_of_a_lost_host() {
    let fleet = TestFleet::new(2);
    let first = fleet.start("a").await;
    let paused = SeparateHost::start(&fleet, "b").await;
    let lost = SeparateHost::start(&fleet, "c").await;
    fleet
        .client
        .set_default(CallScript::Stream { events: 1000 });
    for index in 0..8 {
        let node = lost.node.clone();
        lost.runtime.spawn(async move {
            let request = request(&node, "/safe/x", &format!("r{index}"));
            let outcome: CallerOutcome = read_response(&node, request).await;
            outcome
        });
    }
    wait_until("runs in all slots", async || fleet.client.running() == 8).await;
    // The load of the lost host reaches the others with its next heartbeats.
    sleep(INTERVAL * 3).await;
    lost.runtime.shutdown_background();
    sleep(INTERVAL * 3).await;
    let pause = TIMEOUT * 2;
    paused
        .runtime
        .spawn(async move { std::thread::sleep(pause) });
    sleep(pause + TIMEOUT).await;
    fleet.client.set_default(CallScript::Stream { events: 2 });
    first.submit_job(submission("j", 20)).await;
    wait_until("the results of all items", async || {
        results(&first, "j").await.results.len() == 20
    })
    .await;
    paused.runtime.shutdown_background();
}

fn busy_view(now: Instant) -> LoadView {
    let mut view = LoadView::default();
    let counts = RequestCounts {
        online: 4,
        batch: 0,
    };
    let load = EndpointReport {
        counts,
        ..EndpointReport::default()
    };
    view.update_report(&"lost".into(), vec![(EndpointKey::of("e"), load)], now);
    view.update_failing(&"lost".into(), vec![EndpointKey::of("f")]);
    view
}

fn free_slots(view: &LoadView, now: Instant) -> u32 {
    let mut table = EndpointTable::default();
    table.set(listed("e", 4, false));
    let FreeSlots { preferred, other } = view.free_slots(&table, "service", now);
    preferred + other
}

/// Guards against reports that stay for good if no check falls into one interval after the timeout.
#[tokio::test(start_paused = true)]
async fn reports_expire_whenever_the_check_comes() {
    let start = Instant::now();
    for late in [1, 99, 101, 1_000, 10_000] {
        let mut view = busy_view(start);
        assert!(view.expire_reports(TIMEOUT, INTERVAL, start).is_empty());
        assert_eq!(free_slots(&view, start), 0);
        let mut now = start + TIMEOUT + MS * late;
        if view.expire_reports(TIMEOUT, INTERVAL, now).is_empty() {
            now += INTERVAL;
            let lost = view.expire_reports(TIMEOUT, INTERVAL, now);
            assert_eq!(lost, ["lost".into()], "{late} ms after the timeout");
        }
        assert!(free_slots(&view, now) > 0, "{late} ms after the timeout");
        assert!(!view.is_avoided("f", now), "{late} ms after the timeout");
    }
}

/// Reports that wait in the socket of a host that stood still are read before their senders count as lost.
#[tokio::test(start_paused = true)]
async fn host_that_stood_still_hears_the_others_first() {
    let start = Instant::now();
    let mut view = busy_view(start);
    view.expire_reports(TIMEOUT, INTERVAL, start);
    let woken = start + TIMEOUT * 4;
    assert!(view.expire_reports(TIMEOUT, INTERVAL, woken).is_empty());
    view.update_report(&"lost".into(), Vec::new(), woken + MS);
    let next = woken + INTERVAL;
    assert!(view.expire_reports(TIMEOUT, INTERVAL, next).is_empty());
}
