//! Small local fleets for the tests, with a limit on how many run at once.

use fulmarswitch_caller::client::CallerClient;
use fulmarswitch_caller::wire::{OutcomeReply, RequestCall};
use fulmarswitch_decide::placement::{holder, shard_of};
use fulmarswitch_demo::fleet::LocalFleet;
use fulmarswitch_demo::online::{ENGINE_SERVICE, PLAIN_SERVICE, WORKSPACE};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits the fleets that run at once: each has several processes, and the tests run in parallel.
static FLEET_SLOTS: Semaphore = Semaphore::const_new(2);
/// Number of shards, equal to the default of the daemon.
const SHARDS: u16 = 64;
/// Hosts of the fleet of [`start_fleet`], each in a failure domain of its own.
pub const HOSTS: [&str; 3] = ["a", "b", "c"];

/// A fleet together with the semaphore permit under which it runs.
pub struct TestFleet {
    pub fleet: LocalFleet,
    _slot: SemaphorePermit<'static>,
}

/// Starts three hosts, two engines and a plain service, and publishes their configuration.
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

/// Starts a single host without published configuration; `settings` is TOML that is appended to its settings.
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

/// Returns a client that calls only the given host.
pub fn client_of(fleet: &mut LocalFleet, host: &str) -> CallerClient {
    CallerClient::pinned(Arc::clone(&fleet.host(host).address))
}

/// Returns a key whose shard is owned by the given host while all hosts are live.
pub fn key_owned_by(host: &str, prefix: &str) -> Arc<str> {
    let is_owned = |key: &String| {
        let shard = shard_of(&format!("{WORKSPACE}/{key}"), SHARDS);
        let owner = holder(HOSTS, &format!("shard/{shard}"));
        owner.is_some_and(|owner| HOSTS[owner] == host)
    };
    let mut keys = (0..10_000).map(|number| format!("{prefix}-{number}"));
    let key = keys.find(is_owned);
    key.expect("every host owns at least one shard").into()
}

/// Creates an idempotent request to the engines.
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

/// Creates an at-most-once call to the plain service.
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

/// Returns how often the plain service ran an input.
pub async fn runs_of(fleet: &LocalFleet, input: &str) -> u32 {
    let address = &fleet.endpoint("plain-1").address;
    let runs = fleet
        .plain_runs(address)
        .await
        .expect("the service answers");
    let entry = runs.iter().find(|(executed, _)| **executed == *input);
    entry.map_or(0, |(_, count)| *count)
}

/// Returns the outcome of a request that was answered with `text`.
pub fn done(text: impl Into<Arc<str>>) -> OutcomeReply {
    OutcomeReply::Done { text: text.into() }
}
