//! Stand-in for a model server, written from PROTOCOL.md. A plan tells for each run how it goes.

use crate::record::Record;
use crate::store::Store;
use bytes::Bytes;
use fulmarswitch_platform_standins::http_util::{Body, header_text, read_body, response, serve};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Interval at which a server writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How one run goes.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// Work before the head of the answer.
    pub work: Duration,
    /// Status of the answer; the events follow a 200 only.
    pub status: u16,
    /// Number of the last event.
    pub events: u64,
    /// Time between two events.
    pub interval: Duration,
}

/// A run as the server saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request ID.
    pub id: String,
    /// Status that the server has answered; 0 before that.
    pub status: u16,
}

/// Plan for the run with this request ID, whose number at all servers is given, counted from 1.
pub type Planner = Arc<dyn Fn(&str, usize) -> RunPlan + Send + Sync>;

/// Runs at all servers. Clones share their state.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Number of runs so far.
    #[must_use]
    pub fn count(&self) -> usize {
        lock(&self.0).len()
    }

    /// Statuses that were answered to the runs of a request.
    #[must_use]
    pub fn statuses(&self, id: &str) -> Vec<u16> {
        let runs = lock(&self.0);
        let own = runs.iter().filter(|run| run.id == id && run.status != 0);
        own.map(|run| run.status).collect()
    }
}

/// A server to start.
pub struct ServerOptions<'a> {
    /// ID of the server.
    pub id: &'a str,
    /// Service of the server.
    pub service: &'a str,
    /// Number of runs at once.
    pub slots: usize,
}

/// Data of an event.
#[must_use]
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}:{event}")
}

/// Data of all events, as the output of an item.
#[must_use]
pub fn full_text(id: &str, events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|event| event_data(id, event)).collect();
    lines.join("\n")
}

struct Server {
    id: String,
    slots: usize,
    active: Mutex<usize>,
    runs: Runs,
    planner: Planner,
    record: Record,
}

/// Starts a server that lists itself in the store.
///
/// # Errors
/// Returns the error of the operating system.
pub async fn start_server(
    options: ServerOptions<'_>,
    store: &Store,
    runs: &Runs,
    planner: Planner,
    record: &Record,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = Arc::new(Server {
        id: options.id.to_owned(),
        slots: options.slots,
        active: Mutex::new(0),
        runs: runs.clone(),
        planner,
        record: record.clone(),
    });
    tokio::spawn(serve(listener, move |request| {
        let server = server.clone();
        async move { server.call(request).await }
    }));
    let (id, service) = (options.id.to_owned(), options.service.to_owned());
    let (slots, store) = (options.slots, store.clone());
    let born = crate::unix_ms();
    tokio::spawn(async move {
        for sequence in 1_u64.. {
            let listing = json!({
                "service": service, "address": address.to_string(), "zone": "z", "version": "v1",
                "slots": slots, "state": "ready", "cold_left_ms": 0, "sequence": sequence,
                "born": born,
            });
            store.put("keyed.servers", &id, &listing.to_string());
            sleep(HEARTBEAT).await;
        }
    });
    Ok(address)
}

/// Frees the slot when the run ends, also if its channel closes.
struct Slot {
    server: Arc<Server>,
    id: String,
}

impl Drop for Slot {
    fn drop(&mut self) {
        *lock(&self.server.active) -= 1;
        let (server, id) = (&self.server.id, &self.id);
        self.server
            .record
            .line(format!("server {server}: run of {id} is over"));
    }
}

impl Server {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let expected = header_text(&request, "expect-instance");
        if expected.is_some_and(|expected| *expected != *self.id) {
            return Some(response(421, ""));
        }
        let id = header_text(&request, "request-id")?.to_owned();
        let after = header_text(&request, "last-event-id").and_then(|after| after.parse().ok());
        let target = request.uri().to_string();
        read_body(request).await?;
        let Some((slot, index, plan)) = self.begin(&id, &target, after) else {
            let mut refusal = response(503, "");
            refusal
                .headers_mut()
                .insert("not-executed", "1".parse().ok()?);
            refusal.headers_mut().insert("request-id", id.parse().ok()?);
            return Some(refusal);
        };
        sleep(plan.work).await;
        lock(&self.runs.0)[index].status = plan.status;
        self.record.line(format!(
            "server {}: answers {id} with {}",
            self.id, plan.status
        ));
        let mut answer = if plan.status == 200 {
            events(slot, &id, after.unwrap_or(0) + 1, plan)
        } else {
            response(plan.status, "")
        };
        let headers = answer.headers_mut();
        headers.insert("request-id", id.parse().ok()?);
        headers.insert("signature", format!("sig.{id}").parse().ok()?);
        Some(answer)
    }

    fn begin(
        self: &Arc<Self>,
        id: &str,
        target: &str,
        after: Option<u64>,
    ) -> Option<(Slot, usize, RunPlan)> {
        {
            let mut active = lock(&self.active);
            if *active >= self.slots {
                return None;
            }
            *active += 1;
        }
        let mut runs = lock(&self.runs.0);
        let number = runs.iter().filter(|run| run.id == id).count() + 1;
        runs.push(Run {
            id: id.to_owned(),
            status: 0,
        });
        let index = runs.len() - 1;
        drop(runs);
        self.record.line(format!(
            "server {}: runs {id} ({target}), run {number}, after event {after:?}",
            self.id
        ));
        let slot = Slot {
            server: self.clone(),
            id: id.to_owned(),
        };
        Some((slot, index, (self.planner)(id, number)))
    }
}

fn events(slot: Slot, id: &str, first: u64, plan: RunPlan) -> Response<Body> {
    let id = id.to_owned();
    let frames = stream::iter(first..=plan.events).then(move |event| {
        let _running = &slot;
        let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
        async move {
            sleep(plan.interval).await;
            Ok::<_, io::Error>(Frame::data(Bytes::from(text)))
        }
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    let event_stream = hyper::header::HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert("content-type", event_stream);
    answer
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
