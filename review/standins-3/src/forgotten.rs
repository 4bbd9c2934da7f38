//! Finished batch jobs are read again after the store has forgotten its history.

use crate::Verdict;
use crate::client::{Answer, call};
use crate::fleet::{Addresses, Fleet, Record};
use crate::server::{Server, TOKENS_PER_EVENT, output};
use crate::store::Store;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::join_all;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const HOSTS: u8 = 3;
const SERVERS: u8 = 12;
/// Batch jobs, each read by its own client, and their items.
const JOBS: usize = 8;
const ITEMS: usize = 100;
/// Events of an item's output, of 60 bytes each, as on the sheets.
const EVENTS: u64 = 237;
const EVENT_INTERVAL: Duration = Duration::from_millis(3);
/// Wait of a read of results, and the time that a client allows beyond it.
const WAIT: Duration = Duration::from_millis(1000);
const PATIENCE: Duration = Duration::from_millis(2500);
/// Time between two reads of a client.
const PAUSE: Duration = Duration::from_millis(500);
/// Time for which clients try to read the jobs again.
const READ_TIME: Duration = Duration::from_secs(45);

pub fn config() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-jobs", "host": "host.example", "path_prefix": "/jobs/", "type": "batch",
             "timeout_ms": 15000, "target_latency_ms": 400, "completion_target_ms": 18000, "retention_s": 60,
             "priority": 2, "service": "svc", "attempts": 3, "max_count": 2_000_000, "sticky": true},
            {"name": "r-ask", "host": "host.example", "path_prefix": "/ask/", "type": "stream",
             "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0, "service": "svc", "attempts": 1,
             "sticky": true, "resumable": false, "itl_target_ms": 300},
        ],
        "services": [{"name": "svc", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
    })
}

pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    events: u64,
    body_bytes: usize,
}

impl Job {
    /// A job whose items have so many events, and bodies of this size.
    pub fn new(index: usize, items: usize, events: u64, body_bytes: usize) -> Self {
        let id = format!("7c41e09b{index:08x}");
        let items = (0..items)
            .map(|item| format!("e5b2{index:04x}{item:08x}"))
            .collect();
        Self {
            id,
            items,
            events,
            body_bytes,
        }
    }

    pub fn body(&self) -> Bytes {
        let output_tokens = self.events * TOKENS_PER_EVENT;
        let items: Vec<Value> = self.items.iter().map(|id| json!({
            "id": id, "path": "/jobs/run",
            "headers": {"Model": "m", "Token-Usage": format!("350,{output_tokens}"),
                "Prefix-Hash": format!("9c2e41:100,{id}:250")},
            "body": STANDARD.encode(vec![7; self.body_bytes]), "tokens": 350 + output_tokens,
        })).collect();
        json!({"items": items}).to_string().into()
    }
}

/// What a client has read of a job.
#[derive(Default)]
struct Reading {
    next: usize,
    total: Option<usize>,
    /// Whether a result differed from the item's output.
    is_wrong: bool,
    calls: u32,
    answered: u32,
}

impl Reading {
    fn is_complete(&self) -> bool {
        self.total.is_some_and(|total| self.next >= total)
    }

    fn apply(&mut self, (status, body): &Answer) {
        if *status != 200 {
            return;
        }
        let Ok(page) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        let results = page["results"].as_array().cloned().unwrap_or_default();
        for result in &results {
            let id = result["id"].as_str().unwrap_or_default();
            let is_same = result["state"] == "completed" && result["output"] == output(id, EVENTS);
            self.is_wrong |= !is_same;
        }
        self.next += results.len();
        self.total = page["total"].as_u64().map(|total| total as usize);
        self.answered += 1;
    }
}

/// Reads a job from its start until all results are read, or until `until`.
async fn read(
    job: &Job,
    hosts: &[SocketAddr],
    first: usize,
    until: Instant,
    record: &Record,
) -> Reading {
    let mut reading = Reading::default();
    let mut host = first;
    while !reading.is_complete() && Instant::now() < until {
        let path = format!("/lots/{}?after={}", job.id, reading.next);
        let wait = WAIT.as_millis().to_string();
        let address = hosts[host % hosts.len()];
        let began = Instant::now();
        let answer = call(
            address,
            "GET",
            &path,
            &[("wait-ms", &*wait)],
            Bytes::new(),
            PATIENCE,
        )
        .await;
        reading.calls += 1;
        let seen = match &answer {
            Ok((status, body)) => format!("{status}, {} bytes", body.len()),
            Err(cause) => cause.clone(),
        };
        record.line(&format!(
            "GET {path} at {address}: {seen} after {} ms",
            began.elapsed().as_millis()
        ));
        match &answer {
            Ok(answer) if answer.0 == 200 => reading.apply(answer),
            _ => host += 1,
        }
        sleep(PAUSE).await;
    }
    reading
}

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let addresses = Addresses::new();
    let (store, store_address) = (Store::default(), addresses.socket(2, 8169));
    tokio::spawn(store.clone().serve(store_address));
    store.put("keyed.op", "config", &config().to_string());
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| {
            let address = addresses.socket(100 + index, 8080);
            Server::new(
                &format!("i-{index}"),
                address,
                &format!("zone-{}", index % HOSTS),
                EVENT_INTERVAL,
            )
        })
        .collect();
    for server in &servers {
        server.clone().start(store.clone()).await;
    }
    let fleet = Fleet::start(addresses, HOSTS, store_address);
    if !fleet.wait_ready().await {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2)).await;
    let hosts: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.frontend())
        .collect();
    let jobs: Vec<Job> = (0..JOBS)
        .map(|index| Job::new(index, ITEMS, EVENTS, 700))
        .collect();
    for (index, job) in jobs.iter().enumerate() {
        let headers = [
            ("request-id", &*job.id),
            ("content-type", "application/json"),
        ];
        let patience = Duration::from_secs(4);
        let answer = call(
            hosts[index % hosts.len()],
            "POST",
            "/jobs/a",
            &headers,
            job.body(),
            patience,
        )
        .await;
        record.line(&format!(
            "POST job {} of {} items: {:?}",
            job.id,
            job.items.len(),
            answer.as_ref().map(|answer| answer.0)
        ));
        if !answer.is_ok_and(|answer| answer.0 == 202) {
            return Verdict::NotRun;
        }
    }
    let until = Instant::now() + Duration::from_secs(50);
    let first = join_all(
        jobs.iter()
            .enumerate()
            .map(|(index, job)| read(job, &hosts, index, until, record)),
    )
    .await;
    if !first
        .iter()
        .all(|reading| reading.is_complete() && !reading.is_wrong)
    {
        record.tell("the jobs were not done in time");
        return Verdict::NotRun;
    }
    record.tell("all jobs were done, and their results read once");
    sleep(Duration::from_secs(3)).await;
    if has_trouble {
        store.forget();
        record.tell("the store has forgotten its history");
    }
    sleep(Duration::from_secs(3)).await;
    let before = store.reads();
    let began = Instant::now();
    let until = began + READ_TIME;
    let reads = jobs.iter().enumerate().map(|(index, job)| {
        let hosts = &hosts;
        async move {
            // The clients are independent of each other.
            sleep(Duration::from_millis(300) * u32::try_from(index).unwrap_or(0)).await;
            read(job, hosts, index, until, record).await
        }
    });
    let again = join_all(reads).await;
    let after = store.reads();
    record.tell(&format!(
        "{:.1} s; {} reads of the store, {:.1} MB",
        began.elapsed().as_secs_f64(),
        after.0 - before.0,
        (after.1 - before.1) as f64 / 1e6
    ));
    let mut unread = 0;
    for (job, reading) in jobs.iter().zip(&again) {
        record.line(&format!(
            "job {}: {} of {} results read, {} of {} calls answered, wrong: {}",
            job.id,
            reading.next,
            job.items.len(),
            reading.answered,
            reading.calls,
            reading.is_wrong
        ));
        unread += u32::from(!reading.is_complete() || reading.is_wrong);
    }
    let calls: u32 = again.iter().map(|reading| reading.calls).sum();
    let answered: u32 = again.iter().map(|reading| reading.answered).sum();
    record.tell(&format!(
        "{unread} of {} jobs could not be read again; {answered} of {calls} calls were answered",
        jobs.len()
    ));
    if unread > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
