//! The last server of a software version ends and starts again at once under its ID, at the version of the others.
//!
//! Clients whose streams broke off take them up again. What two versions write doesn't fit together.

use crate::daemon::Daemon;
use crate::lifetime::{Server, ServerKind};
use crate::record::Record;
use crate::store::Store;
use crate::{HOST, Verdict};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout};

const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const SERVERS: [&str; 7] = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", LAST];
/// The server that starts again.
const LAST: &str = "i-7";
/// Number of streams. About a seventh of them begin at the server that starts again.
const STREAMS: usize = 210;
/// Time from the end of the server to its next start.
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Time budget of a client, as `Deadline-Ms`.
const BUDGET: Duration = Duration::from_secs(5);
/// Time between the starts of two daemons. All machines start within 0.3 s of each other.
const START_INTERVAL: Duration = Duration::from_millis(140);
/// Number of retries of a client.
const RETRIES: usize = 3;

fn config() -> String {
    json!({
        "version": 3,
        "routes": [{
            "name": "ask", "host": HOST, "path_prefix": "/ask/", "type": "stream",
            "timeout_ms": 5000, "target_latency_ms": 300, "itl_target_ms": 300, "attempts": 2,
            "priority": 0, "service": "svc", "resumable": true, "sticky": true,
        }],
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// What a client got of its stream over all its tries.
#[derive(Clone, Debug, Default)]
struct Text {
    last_event: u64,
    versions: BTreeSet<String>,
    is_complete: bool,
}

pub async fn run(record: &Record, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let (store, store_address) = Store::start(record).await?;
    // Nobody listens to the starts of runs.
    let (started, _) = unbounded_channel();
    let mut servers = Vec::new();
    for id in SERVERS {
        let version = if id == LAST { "v1" } else { "v2" };
        let address = fulmarswitch_ports::claim_address()?;
        let kind = ServerKind {
            id,
            version,
            address,
            events: EVENTS,
            interval: EVENT_INTERVAL,
            started: started.clone(),
        };
        let server = Server::start(&kind, &store, record)?;
        servers.push((kind, server));
    }
    store.put("keyed.op", "config", &config());
    let mut daemons = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        daemons.push(Daemon::start(name, store_address, folder)?);
        sleep(START_INTERVAL).await;
    }
    for daemon in &daemons {
        daemon.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(3)).await;
    let addresses: Arc<Vec<SocketAddr>> =
        Arc::new(daemons.iter().map(|daemon| daemon.frontend).collect());
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (addresses, record) = (addresses.clone(), record.clone());
        clients.push(tokio::spawn(async move {
            read_stream(number, &addresses, &record).await
        }));
        sleep(Duration::from_millis(6)).await;
    }
    if trouble && let Some((mut kind, server)) = servers.pop() {
        record.line(format!("server {LAST}: ends"));
        drop(server);
        sleep(DOWN_TIME).await;
        kind.version = "v2";
        let server = Server::start(&kind, &store, record)?;
        servers.push((kind, server));
    }
    let mut texts = Vec::new();
    for client in clients {
        texts.push(client.await.map_err(io::Error::other)?);
    }
    drop(servers);
    let began = texts.iter().filter(|text| text.last_event > 0).count();
    let complete = texts.iter().filter(|text| text.is_complete).count();
    let joined = texts.iter().filter(|text| text.versions.len() > 1).count();
    record.line(format!(
        "{STREAMS} streams: {began} began, {complete} are complete, {joined} hold events of two versions"
    ));
    Ok(if began < STREAMS / 2 {
        Verdict::NotRun
    } else if joined > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a request, and takes its stream up again after a broken channel or a refusal, each time at another daemon.
async fn read_stream(number: usize, addresses: &[SocketAddr], record: &Record) -> Text {
    let started = Instant::now();
    let mut text = Text::default();
    let mut first_id = None;
    for attempt in 0..=RETRIES {
        let left = BUDGET.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        let id = format!("{number:08x}{attempt:08x}");
        let address = addresses[(number + attempt) % addresses.len()];
        let before = text.last_event;
        let tried = try_once(&id, first_id.as_deref(), address, left, &mut text);
        let outcome = timeout(left, tried).await;
        if before == 0 && text.last_event > 0 {
            first_id = Some(id.clone());
        }
        let (shown, pause) = match &outcome {
            Ok(Ok(Some(pause))) => ("refused".to_owned(), *pause),
            Ok(Ok(None)) => ("ended".to_owned(), Duration::ZERO),
            Ok(Err(error)) => (error.to_string(), Duration::from_millis(20)),
            Err(_) => ("no end in time".to_owned(), Duration::ZERO),
        };
        record.line(format!(
            "client: {id} at {address}: {shown}, events {} to {} of {:?}",
            before + 1,
            text.last_event,
            text.versions
        ));
        if text.is_complete {
            break;
        }
        // Clients are not in step with each other.
        sleep(pause + Duration::from_millis(number as u64 * 53 % 300)).await;
    }
    text
}

/// Sends the request once. Returns the pause before the next try if it was refused.
async fn try_once(
    id: &str,
    first_id: Option<&str>,
    address: SocketAddr,
    left: Duration,
    text: &mut Text,
) -> io::Result<Option<Duration>> {
    let stream = TcpStream::connect(address).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let _driver = AbortOnDrop(tokio::spawn(async move {
        // The body tells of the error.
        let _ = connection.await;
    }));
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/ask/4b")
        .header("host", HOST)
        .header("request-id", id)
        .header("model", "m")
        .header("token-usage", "250,60")
        .header("prefix-hash", format!("5c1e07a2:100,{id}:150"))
        .header("deadline-ms", left.as_millis().to_string());
    if let Some(first_id) = first_id {
        request = request
            .header("last-event-id", text.last_event.to_string())
            .header("resumes", first_id);
    }
    let request = request
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(io::Error::other)?;
    if response.status() != 200 {
        let retry_after = response.headers().get("retry-after");
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        // Clients honour up to a third of the time that they have left.
        let pause = Duration::from_secs_f64(seconds.unwrap_or(0.05)).min(left / 3);
        return Ok(Some(pause));
    }
    let mut body = response.into_body();
    let mut rest = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        rest.push_str(&String::from_utf8_lossy(
            frame.data_ref().unwrap_or(&Bytes::new()),
        ));
        while let Some(end) = rest.find("\n\n") {
            let event: String = rest.drain(..end + 2).collect();
            for line in event.lines() {
                if let Some(event) = line.strip_prefix("id: ") {
                    text.last_event = event.parse().unwrap_or(text.last_event);
                }
                if let Some(version) = line.strip_prefix("data: ") {
                    text.versions.insert(version.to_owned());
                }
            }
        }
    }
    text.is_complete = text.last_event == EVENTS;
    Ok(None)
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
