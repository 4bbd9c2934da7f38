//! The last server of a software version ends and starts again at once under its ID, at the version of the others.
//!
//! Clients whose streams broke off take them up again. What two versions write doesn't fit together.

use crate::daemon::Daemon;
use crate::record::Record;
use crate::store::Store;
use crate::{HOST, Verdict};
use bytes::Bytes;
use fulmarswitch_platform_standins::http_util::{Body, header_text, read_body, response, serve};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep, timeout};

const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of streams. A third of them begin at the server that starts again.
const STREAMS: usize = 60;
/// Time from the end of the server to its next start.
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Time budget of a client, as `Deadline-Ms`.
const BUDGET: Duration = Duration::from_secs(5);
/// Time between the starts of two daemons. All machines start within 0.3 s of each other.
const START_INTERVAL: Duration = Duration::from_millis(140);
/// Number of retries of a client.
const RETRIES: usize = 3;
/// Interval at which a server writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

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

/// One start of a server. Its channels close when it ends.
struct Server {
    runtime: Runtime,
}

impl Server {
    /// Starts a server, which lists itself before it accepts the first request.
    fn start(
        id: &'static str,
        version: &'static str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let runtime = Runtime::new()?;
        let (store, born) = (store.clone(), crate::unix_ms());
        let listing = move |sequence: u64| {
            json!({
                "service": "svc", "address": address.to_string(), "zone": "z", "version": version,
                "slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": sequence,
                "born": born,
            })
            .to_string()
        };
        store.put("keyed.servers", id, &listing(1));
        record.line(format!("server {id}: starts at {version} and is listed so"));
        let served_record = record.clone();
        runtime.spawn(async move {
            let Ok(listener) = TcpListener::bind(address).await else {
                served_record.line(format!("server {id}: its address is in use"));
                return;
            };
            serve(listener, move |request| {
                answer(request, id, version, served_record.clone())
            })
            .await;
        });
        runtime.spawn(async move {
            for sequence in 2.. {
                sleep(HEARTBEAT).await;
                store.put("keyed.servers", id, &listing(sequence));
            }
        });
        Ok(Self { runtime })
    }

    fn end(self) {
        self.runtime.shutdown_background();
    }
}

async fn answer(
    request: Request<Incoming>,
    id: &'static str,
    version: &'static str,
    record: Record,
) -> Option<Response<Body>> {
    let expected = header_text(&request, "expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return Some(response(421, ""));
    }
    let request_id = header_text(&request, "request-id")?.to_owned();
    let after = header_text(&request, "last-event-id").and_then(|after| after.parse().ok());
    read_body(request).await?;
    record.line(format!(
        "server {id} ({version}): runs {request_id}, after event {after:?}"
    ));
    let first: u64 = after.unwrap_or(0) + 1;
    let frames = stream::iter(first..=EVENTS).then(move |event| async move {
        sleep(EVENT_INTERVAL).await;
        let text = format!("id: {event}\ndata: {version}\n\n");
        Ok::<_, io::Error>(Frame::data(Bytes::from(text)))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = answer.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().ok()?);
    headers.insert("request-id", request_id.parse().ok()?);
    headers.insert("signature", format!("sig.{request_id}").parse().ok()?);
    Some(answer)
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
    let mut servers = Vec::new();
    for (id, version) in [("i-1", "v2"), ("i-2", "v2"), ("i-3", "v1")] {
        let address = fulmarswitch_ports::claim_address()?;
        let server = Server::start(id, version, address, &store, record)?;
        servers.push((address, server));
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
        sleep(Duration::from_millis(20)).await;
    }
    if trouble && let Some((address, server)) = servers.pop() {
        record.line("server i-3: ends");
        server.end();
        sleep(DOWN_TIME).await;
        let server = Server::start("i-3", "v2", address, &store, record)?;
        servers.push((address, server));
    }
    let mut texts = Vec::new();
    for client in clients {
        texts.push(client.await.map_err(io::Error::other)?);
    }
    for (_, server) in servers {
        server.end();
    }
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
