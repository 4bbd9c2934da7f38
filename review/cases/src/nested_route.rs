//! The operator adds a route below the prefix of a batch route while a batch job is open.
//!
//! The batch route stays in force, so the items are still to be run at its service and listed.

use crate::daemon::{Daemon, results, submit};
use crate::record::Record;
use crate::server::{RunPlan, Runs, ServerOptions, start_server};
use crate::store::Store;
use crate::{HOST, Verdict};
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const JOB: &str = "3fa9127be4d05c66";
const ITEMS: usize = 12;
/// Bound of the settings: time that batch jobs have after the traffic has ended.
const FINISH: Duration = Duration::from_secs(18);
/// Time at the end in which no server may have had an item.
const QUIET: Duration = Duration::from_secs(5);

fn route(prefix: &str, kind: &str) -> Value {
    json!({
        "name": prefix, "host": HOST, "path_prefix": prefix, "type": kind,
        "timeout_ms": 15000, "target_latency_ms": 400, "completion_target_ms": 18000,
        "retention_s": 600, "attempts": 3, "priority": 2, "max_count": 2_000_000,
        "service": "svc",
    })
}

fn config(version: u64, has_new_route: bool) -> String {
    let mut routes = vec![route("/reports/", "batch")];
    if has_new_route {
        routes.push(route("/reports/item/", "safe"));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

fn item_id(number: usize) -> String {
    format!("5d{number:014x}")
}

fn plan(_id: &str, _number: usize) -> RunPlan {
    RunPlan {
        work: Duration::from_millis(50),
        status: 200,
        events: 20,
        interval: Duration::from_millis(80),
    }
}

pub async fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, store_address) = Store::start(record).await?;
    let runs = Runs::default();
    for id in ["i-1", "i-2"] {
        let options = ServerOptions {
            id,
            service: "svc",
            slots: 4,
        };
        start_server(options, &store, &runs, Arc::new(plan), record).await?;
    }
    store.put("keyed.op", "config", &config(3, false));
    let mut daemons = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        daemons.push(Daemon::start(name, store_address, folder)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(3)).await;
    let items: Vec<Value> = (0..ITEMS)
        .map(|number| {
            let id = item_id(number);
            json!({
                "id": id, "path": format!("/reports/item/{id}"), "tokens": 270,
                "body": "q83vEjRWeJA=", "headers": {"Model": "m", "Token-Usage": "250,20"},
            })
        })
        .collect();
    if !submit(&daemons, "/reports/", JOB, &json!(items), record).await {
        return Ok(Verdict::NotRun);
    }
    sleep(Duration::from_millis(500)).await;
    if trouble {
        store.put("keyed.op", "config", &config(8, true));
        record
            .line("operator: version 8 adds the safe route /reports/item/; /reports/ is as before");
    }
    watch(&daemons, &runs, record).await
}

async fn watch(daemons: &[Daemon], runs: &Runs, record: &Record) -> io::Result<Verdict> {
    let started = Instant::now();
    let mut last_run = Instant::now();
    let mut run_count = 0;
    let mut listed = 0;
    while started.elapsed() < FINISH + QUIET {
        sleep(Duration::from_millis(500)).await;
        for daemon in daemons {
            let Some(all) = results(daemon, JOB).await else {
                continue;
            };
            if all.len() > listed {
                listed = all.len();
                record.line(format!("client: {} lists {listed} items", daemon.name));
            }
        }
        // A run takes under two seconds.
        if runs.count() > run_count {
            (run_count, last_run) = (runs.count(), Instant::now());
        }
        if listed == ITEMS {
            return Ok(Verdict::Held);
        }
    }
    let idle = last_run.elapsed();
    record.line(format!(
        "client: {} of {ITEMS} items are listed as completed or dead {:.1} s after the submission; the last run began {:.1} s ago",
        listed,
        started.elapsed().as_secs_f64(),
        idle.as_secs_f64()
    ));
    let is_broken = idle > QUIET + Duration::from_secs(2);
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::NotRun
    })
}
