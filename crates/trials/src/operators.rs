//! Operators: the initial configuration, concurrent changes, and endpoints marked as leaving and returning.

use crate::fleet::{
    CHAT_SERVICE, DOMAINS, ENGINES, LEDGER_SERVICE, MODEL, PLAIN_SERVICES, TrialFleet, TrialHost,
    WORKSPACE, engine_address, plain_address,
};
use crate::history::{AcceptedChange, LeavingPeriod};
use fulmarswitch_operator::{PublishCall, RecordReply};
use hyper::{Method, StatusCode};
use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an operator waits for a response.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between attempts to publish.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Schema version of the records that operators publish.
const SCHEMA: u16 = 1;

/// Publishes a change through a host, records it if it was accepted, and returns whether it was.
pub async fn publish(
    fleet: &TrialFleet,
    host: &TrialHost,
    name: &str,
    base_version: u64,
    body: Value,
) -> bool {
    let call = PublishCall {
        base_version,
        schema: SCHEMA,
        body: body.clone(),
    };
    let path = format!("/v1/config/{name}");
    let sending = host.http.send(Method::PUT, &path, &call);
    let Ok(Ok(reply)) = tokio::time::timeout(PUBLISH_TIMEOUT, sending).await else {
        return false;
    };
    let accepted = reply.status == StatusCode::OK;
    if accepted && let Some(record) = reply.read::<RecordReply>() {
        let acknowledged_at = fleet.history.now();
        fleet.history.observations().changes.push(AcceptedChange {
            name: name.into(),
            version: record.version,
            body,
            acknowledged_at,
        });
    }
    accepted
}

/// Publishes the workspace, the services and the endpoints.
pub async fn publish_initial_config(fleet: &TrialFleet) {
    let Some(host) = fleet.joined().into_iter().next() else {
        return;
    };
    let chat = json!({"protocol": "engine", "model": MODEL, "max_attempts": 8});
    let plain = json!({"protocol": "plain"});
    let mut records = vec![
        (format!("workspace/{WORKSPACE}"), json!({})),
        (format!("service/{CHAT_SERVICE}"), chat),
        (format!("service/{LEDGER_SERVICE}"), plain),
    ];
    records.extend((0..ENGINES + PLAIN_SERVICES).map(|at| {
        let (name, body) = endpoint_record(at, false);
        (name, body)
    }));
    for (name, body) in records {
        publish(fleet, &host, &name, 0, body).await;
    }
}

/// Returns the name and body of the record of endpoint `at`; engines come first, then plain services.
#[must_use]
pub fn endpoint_record(at: usize, leaving: bool) -> (String, Value) {
    let (service, address) = if at < ENGINES {
        (CHAT_SERVICE, engine_address(at))
    } else {
        (LEDGER_SERVICE, plain_address(at - ENGINES))
    };
    let body = json!({
        "service": service,
        "address": address,
        "failure_domain": DOMAINS[at % DOMAINS.len()],
        "leaving": leaving,
        "max_concurrent": 16,
    });
    (format!("endpoint/{service}-{at}"), body)
}

/// Changes one record repeatedly until `end`, in competition with other operators.
pub async fn run_racing_operator(
    fleet: Arc<TrialFleet>,
    mut rng: SmallRng,
    number: usize,
    end: Instant,
) {
    let mut count = 0;
    while Instant::now() < end {
        let pause = rng.random_range(100..1_500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let at = rng.random_range(0..fleet.size());
        let Some(host) = fleet.host(at) else { continue };
        let name = "workspace/raced";
        let base = host.node.fleet().view().config.version_of(name);
        count += 1;
        let body = json!({"max_online": 1 + number * 1_000 + count, "batch_weight": 1});
        publish(&fleet, &host, name, base, body).await;
    }
}

/// Marks endpoints as leaving and as returned until `end`; one endpoint of each service always stays.
pub async fn run_leaving_operator(fleet: Arc<TrialFleet>, mut rng: SmallRng, end: Instant) {
    while Instant::now() < end {
        let pause = rng.random_range(500..4_000);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let number = rng.random_range(1..ENGINES + PLAIN_SERVICES - 1);
        set_leaving(&fleet, &mut rng, number, true, end).await;
        let leaving_ms = rng.random_range(2_000..9_000);
        tokio::time::sleep(Duration::from_millis(leaving_ms)).await;
        set_leaving(&fleet, &mut rng, number, false, end + PUBLISH_TIMEOUT).await;
    }
}

/// Publishes whether an endpoint is leaving, and retries until a host accepts it or `end` has passed.
pub async fn set_leaving(
    fleet: &TrialFleet,
    rng: &mut SmallRng,
    number: usize,
    leaving: bool,
    end: Instant,
) {
    let (name, body) = endpoint_record(number, leaving);
    let address: Arc<str> = body["address"].as_str().unwrap_or_default().into();
    if !leaving {
        // From here on the change may be in force even if its acknowledgement is lost.
        let now = fleet.history.now();
        for period in &mut fleet.history.observations().leaving {
            if period.address == address && period.until.is_none() {
                period.until = Some(now);
            }
        }
    }
    while Instant::now() < end {
        let at = rng.random_range(0..fleet.size());
        if let Some(host) = fleet.host(at) {
            let base = host.node.fleet().view().config.version_of(&name);
            if publish(fleet, &host, &name, base, body.clone()).await {
                if leaving {
                    let from = fleet.history.now();
                    fleet.history.observations().leaving.push(LeavingPeriod {
                        address,
                        from,
                        until: None,
                    });
                }
                return;
            }
        }
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}
