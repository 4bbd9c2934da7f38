//! Orders to engines that check fencing tokens and to engines that ignore them.

use crate::support::{STORE_RATE, TestFleet, publish, wait_for};
use fulmarswitch::host::HostNode;
use fulmarswitch::settings::TuningSettings;
use fulmarswitch_endpoint::{EndpointOrder, OrderAction};
use fulmarswitch_standins::log::LogFaults;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds that the weight store needs to serve the model.
const LOAD_SECONDS: u64 = 4;
/// Engines of the service.
const ENGINES: usize = 3;

fn is_loaded(fleet: &TestFleet, engine: usize) -> bool {
    let report = fleet.engine(engine).report().expect("the engine reports");
    report.models.iter().any(|model| **model == *"new+a")
}

/// Starts three hosts and a service whose model no engine has loaded yet.
async fn start(checks_fencing: bool, load_seconds: u64) -> (TestFleet, Vec<Arc<HostNode>>) {
    let mut fleet = TestFleet::new(LogFaults::default(), TuningSettings::default(), ENGINES);
    for engine in 0..ENGINES {
        let faults = |faults: &mut fulmarswitch_standins::engine::EngineFaults| {
            faults.checks_fencing = checks_fencing;
        };
        fleet.engine(engine).set_faults(faults);
    }
    let mut nodes = Vec::new();
    for (name, domain) in [("a", "d0"), ("b", "d1"), ("c", "d2")] {
        nodes.push(fleet.add_host(name, domain).await.1);
    }
    let bytes = STORE_RATE * load_seconds;
    let model = format!(r#"{{"version":"1","bytes":{bytes}}}"#);
    publish(&nodes[0], "model/new", 0, &model).await;
    for engine in 0..ENGINES {
        let body = format!(
            r#"{{"service":"s","address":"engine-{engine}","failure_domain":"d0","checks_fencing":{checks_fencing}}}"#
        );
        publish(&nodes[0], &format!("endpoint/e{engine}"), 0, &body).await;
    }
    let service = r#"{"protocol":"engine","model":"new","adapter":"a"}"#;
    publish(&nodes[0], "service/s", 0, service).await;
    (fleet, nodes)
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test(start_paused = true)]
async fn engines_load_one_after_the_other(#[case] checks_fencing: bool) {
    let (fleet, _nodes) = start(checks_fencing, LOAD_SECONDS).await;
    let started = Instant::now();
    let mut loaded_at = [None; ENGINES];
    wait_for(Duration::from_mins(2), "all engines load", || {
        for (engine, at) in loaded_at.iter_mut().enumerate() {
            if at.is_none() && is_loaded(&fleet, engine) {
                *at = Some(started.elapsed());
            }
        }
        loaded_at.iter().all(Option::is_some)
    })
    .await;
    let mut times: Vec<Duration> = loaded_at.into_iter().flatten().collect();
    times.sort_unstable();
    for pair in times.windows(2) {
        // Hosts reconcile once a second, so the distance between two loads may be shorter than the load time.
        let min_delay = Duration::from_secs(LOAD_SECONDS - 2);
        assert!(pair[1] >= pair[0] + min_delay, "{times:?}");
    }
}

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test(start_paused = true)]
async fn late_orders_of_an_old_holder_are_refused_or_corrected(#[case] checks_fencing: bool) {
    let (fleet, nodes) = start(checks_fencing, LOAD_SECONDS).await;
    wait_for(Duration::from_mins(2), "engine 0 loads", || {
        is_loaded(&fleet, 0)
    })
    .await;
    let view = nodes[0].fleet().view();
    let holder = view
        .hosts
        .gate_claim_holder("e0")
        .expect("a host has claimed the gate");
    let late_order = EndpointOrder {
        fencing: holder.fencing.0 - 1,
        action: OrderAction::Unload {
            model: "new+a".into(),
        },
    };
    let answer = fleet.engine(0).order(&late_order);
    assert_eq!(answer.is_err(), checks_fencing);
    assert_eq!(is_loaded(&fleet, 0), checks_fencing);
    wait_for(Duration::from_secs(20), "the model is loaded again", || {
        is_loaded(&fleet, 0)
    })
    .await;
}

#[rstest]
#[case::checked(true, Duration::ZERO, Duration::from_secs(7))]
#[case::ignored(false, Duration::from_secs(7), Duration::from_secs(20))]
#[tokio::test(start_paused = true)]
async fn a_new_holder_waits_if_fencing_tokens_are_not_checked(
    #[case] checks_fencing: bool,
    #[case] min_delay: Duration,
    #[case] max_delay: Duration,
) {
    let (fleet, nodes) = start(checks_fencing, 0).await;
    wait_for(Duration::from_mins(2), "engine 0 loads", || {
        is_loaded(&fleet, 0)
    })
    .await;
    let view = nodes[0].fleet().view();
    let old_holder = view
        .hosts
        .gate_claim_holder("e0")
        .expect("a host has claimed the gate");
    let old_holder = old_holder.host.clone();
    fleet.isolate_host(&old_holder);
    let remaining = nodes.iter().find(|node| {
        let name = &old_holder.name;
        node.fleet().view().gate_holder("e0").is_some() && *node.name() != **name
    });
    let remaining = remaining.expect("another host");
    wait_for(Duration::from_secs(30), "the gate moves", || {
        let gate = remaining.fleet().view().gate_holder("e0");
        gate.is_some_and(|gate| gate.host != old_holder)
    })
    .await;
    let unload = EndpointOrder {
        fencing: 1 << 20,
        action: OrderAction::Unload {
            model: "new+a".into(),
        },
    };
    // Simulates a restarted engine, which has received no fencing token yet and accepts the order.
    fleet
        .engine(0)
        .set_faults(|faults| faults.checks_fencing = false);
    fleet
        .engine(0)
        .order(&unload)
        .expect("the engine accepts the order");
    let started = Instant::now();
    wait_for(max_delay, "the new holder orders", || is_loaded(&fleet, 0)).await;
    assert!(started.elapsed() >= min_delay, "{:?}", started.elapsed());
    let holder = remaining.fleet().view();
    let holder = holder
        .hosts
        .gate_claim_holder("e0")
        .expect("a host has claimed the gate");
    assert_ne!(holder.host, old_holder);
}
