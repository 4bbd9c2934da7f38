//! One answer of the store to a daemon is lost: that of the append which records a failed run of an item.
//!
//! The item fails with 500 at its first two runs and is sound at the third. Its route has three attempts, so it may not
//! be given up.

use crate::daemon::{Daemon, results, submit};
use crate::record::Record;
use crate::server::{RunPlan, Runs, ServerOptions, full_text, start_server};
use crate::store::Store;
use crate::{HOST, Verdict};
use hyper::Method;
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const JOB: &str = "7c41e09b52d6a3f8";
const ITEM: &str = "e5b2907c14da6f38";
const ATTEMPTS: u64 = 3;
const EVENTS: u64 = 20;
/// Time for the item to be done.
const WAIT: Duration = Duration::from_secs(40);
/// Window in which the answer is lost, as `platform_lost` has it.
const WINDOW: Duration = Duration::from_millis(4500);

fn config() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "jobs", "host": HOST, "path_prefix": "/jobs/", "type": "batch",
            "timeout_ms": 15000, "target_latency_ms": 400, "completion_target_ms": 18000,
            "retention_s": 600, "attempts": ATTEMPTS, "priority": 2, "max_count": 2_000_000,
            "service": "svc", "resumable": true, "sticky": true,
        }],
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

fn item(id: &str) -> Value {
    json!({
        "id": id, "path": format!("/jobs/{id}"), "tokens": 270, "body": "q83vEjRWeJA=",
        "headers": {"Model": "m", "Token-Usage": "250,20"},
    })
}

/// The item fails at once, then after three seconds of work, and is sound from then on. All other items are sound.
fn plan(id: &str, number: usize) -> RunPlan {
    let (work, status) = match (id == ITEM, number) {
        (true, 1) => (Duration::from_millis(50), 500),
        (true, 2) => (Duration::from_secs(3), 500),
        _ => (Duration::from_millis(20), 200),
    };
    RunPlan {
        work,
        status,
        events: EVENTS,
        interval: Duration::from_millis(10),
    }
}

pub async fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, store_address) = Store::start(record).await?;
    let runs = Runs::default();
    for id in ["i-1", "i-2", "i-3"] {
        let options = ServerOptions {
            id,
            service: "svc",
            slots: 8,
        };
        start_server(options, &store, &runs, Arc::new(plan), record).await?;
    }
    store.put("keyed.op", "config", &config().to_string());
    let mut daemons = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        daemons.push(Daemon::start(name, store_address, folder)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(3)).await;
    if trouble {
        lose_one_answer(&store, &runs);
    }
    let daemons = Arc::new(daemons);
    let other_jobs = tokio::spawn(submit_others(daemons.clone(), record.clone()));
    let verdict = watch(&daemons, &runs, &store, record).await;
    other_jobs.abort();
    verdict
}

/// Loses the answer of the first append of a job record that names the job and comes after its item has failed.
fn lose_one_answer(store: &Store, runs: &Runs) {
    let runs = runs.clone();
    let mut failed_at: Option<Instant> = None;
    let mut is_done = false;
    store.lose_answers(Box::new(move |topic, body| {
        if failed_at.is_none() && !runs.statuses(ITEM).is_empty() {
            failed_at = Some(Instant::now());
        }
        let in_window = failed_at.is_some_and(|failed_at| failed_at.elapsed() < WINDOW);
        let names_job = body
            .windows(JOB.len())
            .any(|window| window == JOB.as_bytes());
        let is_lost = !is_done && in_window && topic == "keyed.jobs" && names_job;
        is_done |= is_lost;
        is_lost
    }));
}

/// Submits further jobs all the while, as the other clients do.
async fn submit_others(daemons: Arc<Vec<Daemon>>, record: Record) {
    for number in 0_usize.. {
        let (job, id) = (format!("0b{number:014x}"), format!("0c{number:014x}"));
        let first = &daemons[number % daemons.len()..=number % daemons.len()];
        submit(first, "/jobs/", &job, &json!([item(&id)]), &record).await;
        sleep(Duration::from_millis(250)).await;
    }
}

async fn watch(
    daemons: &[Daemon],
    runs: &Runs,
    store: &Store,
    record: &Record,
) -> io::Result<Verdict> {
    if !submit(daemons, "/jobs/", JOB, &json!([item(ITEM)]), record).await {
        return Ok(Verdict::NotRun);
    }
    let started = Instant::now();
    while started.elapsed() < WAIT {
        sleep(Duration::from_millis(500)).await;
        for daemon in daemons {
            let Some(result) = results(daemon, JOB).await.and_then(|mut all| all.pop()) else {
                continue;
            };
            let failures = runs.statuses(ITEM);
            let failures = failures.iter().filter(|status| **status == 500).count();
            record.line(format!(
                "client: {} lists the item as {}, after {failures} answers of 500 and {} writes to the store",
                daemon.name,
                result["state"],
                store.writes()
            ));
            let is_whole = result["output"] == full_text(ITEM, EVENTS).as_str();
            return Ok(match result["state"].as_str() {
                Some("dead") if (failures as u64) < ATTEMPTS => Verdict::Broken,
                Some("completed") if is_whole => Verdict::Held,
                _ => Verdict::NotRun,
            });
        }
    }
    // The body must still be there, but the case is about the result.
    let target = format!("/items/{JOB}?id={ITEM}");
    let answer = crate::daemon::call(daemons[0].frontend, Method::GET, &target, &[], "").await;
    record.line(format!("client: no result in time; body: {answer:?}"));
    Ok(Verdict::NotRun)
}
