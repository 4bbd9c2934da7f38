//! Model servers: each answers a request with a stream of events.

use crate::store::Store;
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// Requests that a server processes concurrently.
pub const SLOTS: usize = 8;
/// Tokens of an event. An item has as many events as its output tokens take.
pub const TOKENS_PER_EVENT: u64 = 6;
/// Further requests that a server queues.
const QUEUE: usize = 24;

/// Time between two entries of a server in the store. The last one is removed after three of them.
const CHECK_IN: Duration = Duration::from_millis(1200);

/// A server that serves. Its entry in the store outlives its crash by three check-ins.
pub struct RunningServer {
    id: String,
    store: Store,
    serving: JoinHandle<()>,
}

impl RunningServer {
    /// Ends the server at once, with all its channels.
    pub async fn crash(self) {
        self.serving.abort();
        let _ = self.serving.await;
        let (id, store) = (self.id, self.store);
        tokio::spawn(async move {
            sleep(CHECK_IN * 3).await;
            store.put("keyed.servers", &id, "");
        });
    }
}

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub request: String,
    pub began: Instant,
    /// When the server had sent its last event, or its channel was closed; `None` while it is at work.
    pub ended: Option<Instant>,
    /// Whether the server has sent its last event.
    pub is_complete: bool,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Time between two events.
    pub interval: Duration,
    active: Arc<AtomicUsize>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A request at a server, which ends when this is dropped.
struct Place {
    active: Arc<AtomicUsize>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Index of its run, once it runs.
    run: Option<usize>,
}

impl Place {
    fn complete(&self) {
        if let Some(run) = self.run {
            self.runs.lock().expect("no holder panics")[run].is_complete = true;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        if let Some(run) = self.run {
            self.runs.lock().expect("no holder panics")[run].ended = Some(Instant::now());
        }
    }
}

/// Data of an event of a request.
pub fn event_data(request: &str, number: u64) -> String {
    let text = format!("{request}/{number}/");
    text.chars().cycle().take(60).collect()
}

/// Whole output of an item.
pub fn output(request: &str, events: u64) -> String {
    let data: Vec<String> = (1..=events)
        .map(|number| event_data(request, number))
        .collect();
    data.join("\n")
}

impl Server {
    pub fn new(id: &str, address: SocketAddr, zone: &str, interval: Duration) -> Self {
        Self {
            id: id.into(),
            address,
            zone: zone.into(),
            interval,
            active: Arc::default(),
            runs: Arc::default(),
        }
    }

    /// The server at the same address after a crash, under a new ID. It goes on with the record of runs.
    pub fn successor(&self, id: &str) -> Self {
        Self {
            id: id.into(),
            active: Arc::default(),
            ..self.clone()
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Serves requests and checks in at the store until it crashes.
    pub async fn start(self, store: Store) -> RunningServer {
        let listener = TcpListener::bind(self.address)
            .await
            .expect("a server's address");
        let id = self.id.clone();
        let serving = tokio::spawn(self.serve(listener, store.clone()));
        RunningServer { id, store, serving }
    }

    async fn serve(self, listener: TcpListener, store: Store) {
        let mut tasks = JoinSet::new();
        let beating = self.clone();
        tasks.spawn(async move {
            for sequence in 1_u64.. {
                let entry = json!({
                    "service": "svc", "address": beating.address.to_string(), "zone": beating.zone,
                    "version": "v1", "slots": SLOTS, "state": "ready", "cold_left_ms": 0,
                    "sequence": sequence,
                });
                store.put("keyed.servers", &beating.id, &entry.to_string());
                sleep(CHECK_IN).await;
            }
        });
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            tasks.spawn(async move {
                let service = service_fn(move |request| {
                    let server = server.clone();
                    async move { Ok::<_, Infallible>(server.answer(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let empty = |status: u16, name: &'static str, value: &str| {
            let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
            *response.status_mut() = StatusCode::from_u16(status).expect("a status");
            let value = value.parse().expect("a value");
            response.headers_mut().insert(name, value);
            response
        };
        if header("expect-instance").is_some_and(|id| id != self.id) {
            return empty(421, "instance", &self.id);
        }
        let Some(id) = header("request-id") else {
            return empty(400, "not-executed", "1");
        };
        if self.active.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
            self.active.fetch_sub(1, Ordering::Relaxed);
            return empty(503, "not-executed", "1");
        }
        let mut place = Place {
            active: self.active.clone(),
            runs: self.runs.clone(),
            run: None,
        };
        let after: Option<u64> = header("last-event-id").and_then(|after| after.parse().ok());
        let usage = header("token-usage").unwrap_or_default();
        let output_tokens = usage
            .split(',')
            .nth(1)
            .and_then(|tokens| tokens.parse().ok())
            .unwrap_or(0_u64);
        let last = output_tokens.div_ceil(TOKENS_PER_EVENT);
        let _ = request.into_body().collect().await;
        {
            let mut runs = self.runs.lock().expect("no holder panics");
            place.run = Some(runs.len());
            runs.push(Run {
                server: self.id.clone(),
                request: id.clone(),
                began: Instant::now(),
                ended: None,
                is_complete: false,
            });
        }
        let (interval, name) = (self.interval, id.clone());
        let numbers = after.unwrap_or(0) + 1..=last;
        let events = stream::iter(numbers).then(move |number| {
            if number == last {
                place.complete();
            }
            let data = event_data(&name, number);
            async move {
                sleep(interval).await;
                let text = format!("id: {number}\ndata: {data}\n\n");
                Ok::<_, Infallible>(Frame::data(Bytes::from(text)))
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        for (name, value) in [
            ("content-type", "text/event-stream"),
            ("request-id", &*id),
            ("signature", "3e1b.07"),
            ("keep-alive", "timeout=10"),
        ] {
            let value = value.parse().expect("a value");
            response.headers_mut().insert(name, value);
        }
        response
    }
}
