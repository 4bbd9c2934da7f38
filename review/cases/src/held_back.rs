//! Servers crash one after the other, each while it runs the item of a batch job, and are sound from then on.
//!
//! The item is still owed.

use crate::daemon::{Daemon, results, submit};
use crate::lifetime::{Server, ServerKind};
use crate::record::Record;
use crate::store::Store;
use crate::{HOST, Verdict};
use serde_json::json;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const JOB: &str = "91d07c3a5be2f468";
const ITEM: &str = "a4c6e8f013579bd2";
const DAEMONS: [&str; 6] = ["edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6"];
const SERVERS: [&str; 12] = [
    "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10", "i-11", "i-12",
];
const EVENTS: u64 = 150;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Number of crashes.
const CRASHES: usize = 5;
/// Time from the start of a run to the crash of its server.
const RUN_TIME: Duration = Duration::from_millis(900);
/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// Time for the item to be done after the last crash: `finish_s`, and 20 s in which a failed item doesn't count.
const WAIT: Duration = Duration::from_secs(60);

fn config() -> String {
    json!({
        "version": 3,
        "routes": [{
            "name": "jobs", "host": HOST, "path_prefix": "/jobs/", "type": "batch",
            "timeout_ms": 15000, "target_latency_ms": 400, "completion_target_ms": 18000,
            "retention_s": 600, "attempts": 3, "priority": 2, "max_count": 2_000_000,
            "service": "svc", "resumable": true, "sticky": true,
        }],
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// The daemon with the highest rank for a hash.
fn ranked_first(hash: u64) -> &'static str {
    let rank = |name: &&&str| xxh3_64_with_seed(name.as_bytes(), hash);
    DAEMONS.iter().max_by_key(rank).unwrap_or(&DAEMONS[0])
}

/// ID of a part of the prompt which another daemon is to try than the one that runs the item. Of six daemons, five are
/// others.
fn shared_part() -> String {
    let runner = ranked_first(xxh3_64_with_seed(JOB.as_bytes(), 0));
    let parts = 0x9c2e_4100_u64..;
    let mut others = parts.filter(|part| ranked_first(xxh3_64(&part.to_le_bytes())) != runner);
    format!("{:x}", others.next().unwrap_or_default())
}

pub async fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, store_address) = Store::start(record).await?;
    let (started, mut runs) = unbounded_channel();
    let mut servers = Vec::new();
    for id in SERVERS {
        let kind = ServerKind {
            id,
            version: "v1",
            address: fulmarswitch_ports::claim_address()?,
            events: EVENTS,
            interval: EVENT_INTERVAL,
            started: started.clone(),
        };
        let server = Server::start(&kind, &store, record)?;
        servers.push((kind, Arc::new(Mutex::new(Some(server)))));
    }
    store.put("keyed.op", "config", &config());
    let mut daemons = Vec::new();
    for name in DAEMONS {
        daemons.push(Daemon::start(name, store_address, folder)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(3)).await;
    let items = json!([{
        "id": ITEM, "path": format!("/jobs/{ITEM}"), "tokens": 400, "body": "q83vEjRWeJA=",
        "headers": {
            "Model": "m", "Token-Usage": "250,150",
            "Prefix-Hash": format!("{}:100,5d07b8:150", shared_part()),
        },
    }]);
    if !submit(&daemons, "/jobs/", JOB, &items, record).await {
        return Ok(Verdict::NotRun);
    }
    if trouble && !crash_servers(&servers, &mut runs, &store, record).await {
        return Ok(Verdict::NotRun);
    }
    Ok(watch(&daemons, &mut runs, record).await)
}

type Servers = Vec<(ServerKind, Arc<Mutex<Option<Server>>>)>;

/// Ends the server that runs the item, some time after the start of the run, and starts it again later. Returns whether that
/// came about [`CRASHES`] times.
async fn crash_servers(
    servers: &Servers,
    runs: &mut UnboundedReceiver<&'static str>,
    store: &Store,
    record: &Record,
) -> bool {
    for _ in 0..CRASHES {
        let Ok(Some(id)) = timeout(Duration::from_secs(8), runs.recv()).await else {
            return false;
        };
        sleep(RUN_TIME).await;
        let Some((kind, server)) = servers.iter().find(|(kind, _)| kind.id == id) else {
            return false;
        };
        lock(server).take();
        record.line(format!("server {id}: has crashed"));
        let (kind, server) = (kind.clone(), server.clone());
        let (store, record) = (store.clone(), record.clone());
        tokio::spawn(async move {
            sleep(DOWN_TIME).await;
            // A server that does not start again is missed by nobody.
            *lock(&server) = Server::start(&kind, &store, &record).ok();
        });
    }
    sleep(DOWN_TIME).await;
    true
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn watch(
    daemons: &[Daemon],
    runs: &mut UnboundedReceiver<&'static str>,
    record: &Record,
) -> Verdict {
    let calm_since = Instant::now();
    let mut last_run: Option<Instant> = None;
    while calm_since.elapsed() < WAIT {
        sleep(Duration::from_millis(500)).await;
        while runs.try_recv().is_ok() {
            last_run = Some(Instant::now());
        }
        for daemon in daemons {
            let listed = results(daemon, JOB).await.unwrap_or_default();
            if let Some(result) = listed.first() {
                record.line(format!(
                    "client: {} lists the item as {} {:.1} s after the last crash",
                    daemon.name,
                    result["state"],
                    calm_since.elapsed().as_secs_f64()
                ));
                return if result["state"] == "completed" {
                    Verdict::Held
                } else {
                    Verdict::NotRun
                };
            }
        }
    }
    record.line(format!(
        "client: the item is not listed {:.1} s after the last crash; last run since then: {:?}",
        calm_since.elapsed().as_secs_f64(),
        last_run.map(|last_run| last_run.elapsed())
    ));
    if last_run.is_none() {
        Verdict::Broken
    } else {
        Verdict::NotRun
    }
}
