//! Small fleets for the tests, a few at a time.

use fulmarswitch_caller::client::CallerClient;
use fulmarswitch_caller::wire::{OutcomeReply, RequestCall};
use fulmarswitch_decide::placement::{holder, shard_of};
use fulmarswitch_demo::fleet::LocalFleet;
use fulmarswitch_demo::online::{ENGINE_SERVICE, PLAIN_SERVICE, WORKSPACE};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Fleets that run at once; the tests share the machine.
static FLEET_SLOTS: Semaphore = Semaphore::const_new(2);
/// Shards of a fleet, as in the daemon's defaults.
const SHARDS: u16 = 64;
/// Hosts of a fleet, one in each failure domain.
pub const HOSTS: [&str; 3] = ["a", "b", "c"];

/// A fleet that waits for its turn.
pub struct TestFleet {
    pub fleet: LocalFleet,
    _slot: SemaphorePermit<'static>,
}

/// Starts three hosts with two engines and a plain service, all configured.
pub async fn start_fleet() -> TestFleet {
    let slot = FLEET_SLOTS
        .acquire()
        .await
        .expect("the semaphore stays open");
    let mut fleet = LocalFleet::start().expect("the platform starts");
    for engine in ["engine-1", "engine-2"] {
        fleet.add_engine(engine, "m1").expect("the engine starts");
    }
    fleet
        .add_plain_service("plain-1")
        .expect("the service starts");
    for host in HOSTS {
        let added = fleet.add_host(host, &format!("domain-{host}"), "").await;
        added.expect("the host starts");
    }
    configure(&fleet).await;
    TestFleet { fleet, _slot: slot }
}

/// Starts one host alone, without any configuration; `settings` is added to its own.
pub async fn start_single(settings: &str) -> TestFleet {
    let slot = FLEET_SLOTS
        .acquire()
        .await
        .expect("the semaphore stays open");
    let mut fleet = LocalFleet::start().expect("the platform starts");
    let added = fleet.add_host("a", "domain-a", settings).await;
    added.expect("the host starts");
    TestFleet { fleet, _slot: slot }
}

async fn configure(fleet: &LocalFleet) {
    let workspace = format!("workspace/{WORKSPACE}");
    let published = fleet.publish(&workspace, 1, json!({})).await;
    published.expect("the workspace is new");
    let published = fleet.publish("model/m1", 1, json!({"version": "1"})).await;
    published.expect("the model is new");
    let engines = ["engine-1", "engine-2"];
    let published = fleet.publish_service(ENGINE_SERVICE, "engine", "m1", &engines);
    published.await.expect("the service is new");
    let published = fleet.publish_service(PLAIN_SERVICE, "plain", "", &["plain-1"]);
    published.await.expect("the service is new");
    fleet
        .wait_converged()
        .await
        .expect("all hosts read the configuration");
}

/// Returns a client that talks to one host only.
pub fn client_of(fleet: &mut LocalFleet, host: &str) -> CallerClient {
    CallerClient::pinned(Arc::clone(&fleet.host(host).address))
}

/// Returns a key that the given host owns while all hosts are live.
pub fn key_owned_by(host: &str, prefix: &str) -> Arc<str> {
    let is_owned = |key: &String| {
        let shard = shard_of(&format!("{WORKSPACE}/{key}"), SHARDS);
        let owner = holder(HOSTS, &format!("shard/{shard}"));
        owner.is_some_and(|owner| HOSTS[owner] == host)
    };
    let mut keys = (0..10_000).map(|number| format!("{prefix}-{number}"));
    let key = keys.find(is_owned);
    key.expect("every host owns some shard").into()
}

/// Makes a request to the engines.
pub fn engine_call(key: &str, max_tokens: u32) -> RequestCall {
    RequestCall {
        key: key.into(),
        workspace: WORKSPACE.into(),
        service: ENGINE_SERVICE.into(),
        input: format!("fault of {key}").into(),
        max_tokens,
        deadline_ms: 20_000,
        idempotent: true,
    }
}

/// Makes a call to the plain service that runs at most once.
pub fn plain_call(key: &str) -> RequestCall {
    RequestCall {
        key: key.into(),
        workspace: WORKSPACE.into(),
        service: PLAIN_SERVICE.into(),
        input: format!("hours of {key}").into(),
        max_tokens: 1,
        deadline_ms: 20_000,
        idempotent: false,
    }
}

/// Returns how often an input ran on the plain service.
pub async fn runs_of(fleet: &LocalFleet, input: &str) -> u32 {
    let address = &fleet.endpoint("plain-1").address;
    let runs = fleet
        .plain_runs(address)
        .await
        .expect("the service answers");
    let entry = runs.iter().find(|(executed, _)| **executed == *input);
    entry.map_or(0, |(_, count)| *count)
}

/// Returns the outcome of an answered request.
pub fn done(text: impl Into<Arc<str>>) -> OutcomeReply {
    OutcomeReply::Done { text: text.into() }
}
