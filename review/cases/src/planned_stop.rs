//! One of three daemons gets SIGTERM under steady traffic of streams, a third of which last four seconds.
//!
//! Clients keep the answer of a look-up for `ttl_s`, half of them three times as long.

use crate::daemon::{Daemon, call};
use crate::record::Record;
use crate::server::{RunPlan, Runs, ServerOptions, start_server};
use crate::store::Store;
use crate::{HOST, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Number of events of a long stream, and of another one.
const EVENTS: [u64; 2] = [106, 8];
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const CLIENTS: usize = 480;
/// Time budget of a request, as `Deadline-Ms`, and timeout of the route.
const BUDGET: Duration = Duration::from_secs(5);
/// Maximum pause of a client between two requests, in milliseconds.
const MAX_PAUSE_MS: usize = 1000;
/// Time within which the clients begin.
const BEGIN: Duration = Duration::from_secs(6);
/// Time from the first request to the signal.
const LEAD: Duration = Duration::from_secs(16);
/// Bound of the settings: time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Requests sent until then may be cut in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

fn config() -> String {
    json!({
        "version": 3,
        "routes": [{
            "name": "ask", "host": HOST, "path_prefix": "/ask/", "type": "stream",
            "timeout_ms": 5000, "target_latency_ms": 300, "itl_target_ms": 300, "attempts": 1,
            "priority": 0, "service": "svc", "resumable": false, "sticky": true,
        }],
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// Number of events of the stream that this request asks for.
fn event_count(id: &str) -> u64 {
    let number = usize::from_str_radix(id, 16).unwrap_or_default();
    EVENTS[usize::from(!draw(number, 0).is_multiple_of(3))]
}

fn plan(id: &str, _number: usize) -> RunPlan {
    RunPlan {
        work: Duration::from_millis(20),
        status: 200,
        events: event_count(id),
        interval: EVENT_INTERVAL,
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused(u16),
    /// The channel ended without a complete answer.
    Cut(String),
    /// The time budget was over.
    Late,
}

#[derive(Clone, Debug)]
struct Sent {
    id: String,
    address: SocketAddr,
    at: Instant,
    outcome: Outcome,
}

type AllSent = Arc<Mutex<Vec<Sent>>>;

pub async fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, store_address) = Store::start(record).await?;
    let runs = Runs::default();
    for id in ["i-1", "i-2", "i-3"] {
        let options = ServerOptions {
            id,
            service: "svc",
            slots: 200,
        };
        start_server(options, &store, &runs, Arc::new(plan), record).await?;
    }
    store.put("keyed.op", "config", &config());
    let mut daemons = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        daemons.push(Daemon::start(name, store_address, folder)?);
    }
    for daemon in &daemons {
        daemon.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(3)).await;
    let registries: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.registry).collect();
    let sent = AllSent::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = Client {
            number,
            registries: registries.clone(),
            sent: sent.clone(),
            record: record.clone(),
        };
        clients.push(tokio::spawn(client.run()));
    }
    sleep(LEAD).await;
    let stopped = &daemons[0];
    let address = stopped.frontend;
    let signalled = Instant::now();
    if trouble {
        stopped.signal(Signal::TERM);
        record.line(format!(
            "platform: SIGTERM to {} at {address}",
            stopped.name
        ));
    }
    let mut has_ended = false;
    while signalled.elapsed() < GRACE + Duration::from_secs(6) {
        sleep(Duration::from_millis(50)).await;
        if trouble && !has_ended && stopped.has_ended() {
            has_ended = true;
            let after = signalled.elapsed().as_secs_f64();
            record.line(format!(
                "platform: {} has ended after {after:.2} s",
                stopped.name
            ));
        }
        if trouble && !has_ended && signalled.elapsed() >= GRACE {
            stopped.signal(Signal::KILL);
        }
    }
    for client in clients {
        client.abort();
    }
    Ok(judge(&lock(&sent), address, signalled, &runs, record))
}

fn judge(
    sent: &[Sent],
    address: SocketAddr,
    signalled: Instant,
    runs: &Runs,
    record: &Record,
) -> Verdict {
    let complete = sent.iter().filter(|sent| sent.outcome == Outcome::Complete);
    let refused = sent
        .iter()
        .filter(|sent| matches!(sent.outcome, Outcome::Refused(_)));
    let mut lost = 0;
    for sent in sent {
        let Outcome::Cut(cause) = &sent.outcome else {
            continue;
        };
        let after = sent.at.saturating_duration_since(signalled);
        let was_passed_on = !runs.statuses(&sent.id).is_empty();
        record.line(format!(
            "cut: {} sent to {} {:.2} s after the signal, passed on: {was_passed_on}, {cause}",
            sent.id,
            sent.address,
            after.as_secs_f64()
        ));
        lost += usize::from(was_passed_on && sent.address == address && after > EXCUSED);
    }
    record.line(format!(
        "{} requests: {} complete, {} refused, {lost} sent over 3 s after the signal, passed on and cut",
        sent.len(),
        complete.count(),
        refused.count()
    ));
    if sent.len() < CLIENTS {
        Verdict::NotRun
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

struct Client {
    number: usize,
    registries: Vec<SocketAddr>,
    sent: AllSent,
    record: Record,
}

impl Client {
    async fn run(self) {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut failed: Vec<SocketAddr> = Vec::new();
        let mut kept_until = Instant::now();
        sleep(BEGIN.mul_f64(self.number as f64 / CLIENTS as f64)).await;
        for request in 0_usize.. {
            if Instant::now() >= kept_until
                && let Some((found, ttl)) = self.look_up(request).await
            {
                let factor = if self.number.is_multiple_of(2) {
                    3.0
                } else {
                    1.0
                };
                kept_until = Instant::now() + Duration::from_secs_f64(ttl * factor);
                addresses = found;
                failed.clear();
            }
            let usable: Vec<&SocketAddr> = addresses
                .iter()
                .filter(|address| !failed.contains(address))
                .collect();
            if usable.is_empty() {
                sleep(Duration::from_millis(300)).await;
                continue;
            }
            let address = *usable[draw(self.number, request) % usable.len()];
            let id = format!("{:08x}{request:08x}", self.number);
            let at = Instant::now();
            let outcome = timeout(BUDGET, send(&id, address)).await;
            let outcome = outcome.unwrap_or(Outcome::Late);
            self.record
                .line(format!("client: {id} at {address}: {outcome:?}"));
            if outcome != Outcome::Complete {
                failed.push(address);
            }
            lock(&self.sent).push(Sent {
                id,
                address,
                at,
                outcome,
            });
            let pause = draw(request, self.number) % MAX_PAUSE_MS;
            sleep(Duration::from_millis(pause as u64)).await;
        }
    }

    /// Asks up to three daemons where to connect.
    async fn look_up(&self, request: usize) -> Option<(Vec<SocketAddr>, f64)> {
        for attempt in 0..3 {
            let registry = self.registries[(self.number + request + attempt) % 3];
            let target = format!("/resolve?name={HOST}&region=r&zone=z");
            let asked = call(registry, Method::GET, &target, &[], "");
            let Ok(Ok(answer)) = timeout(Duration::from_secs(1), asked).await else {
                continue;
            };
            let found: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let list = found["addresses"].as_array().cloned().unwrap_or_default();
            let list: Vec<SocketAddr> = list
                .iter()
                .filter_map(|address| address.as_str()?.parse().ok())
                .collect();
            if !list.is_empty() {
                return Some((list, found["ttl_s"].as_f64().unwrap_or(1.0)));
            }
        }
        None
    }
}

/// Sends a request on a new channel and reads its stream.
async fn send(id: &str, address: SocketAddr) -> Outcome {
    let cut = |error: &dyn std::fmt::Display| Outcome::Cut(error.to_string());
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return cut(&error),
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(opened) => opened,
        Err(error) => return cut(&error),
    };
    tokio::spawn(async move {
        // The body tells of the error.
        let _ = connection.await;
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri("/ask/4b")
        .header("host", HOST)
        .header("request-id", id)
        .header("model", "m")
        .header("token-usage", format!("250,{}", event_count(id)))
        .header("prefix-hash", format!("5c1e07a2:100,{id}:150"))
        .header("deadline-ms", BUDGET.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"prompt")));
    let request = match request {
        Ok(request) => request,
        Err(error) => return cut(&error),
    };
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) => return cut(&error),
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(_) if status != 200 => Outcome::Refused(status),
        Ok(body) => {
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            if text.contains(&format!("id: {}\n", event_count(id))) {
                Outcome::Complete
            } else {
                cut(&"the stream ended before its last event")
            }
        }
        Err(error) => cut(&error),
    }
}

/// A number that looks random, and is the same in each run.
fn draw(client: usize, request: usize) -> usize {
    let mut mixed = (client as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= (request as u64 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed >> 33) as usize
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
