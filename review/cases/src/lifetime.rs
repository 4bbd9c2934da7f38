//! Servers that end abruptly and start again.

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
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

/// Interval at which a server writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a server is and does.
#[derive(Clone)]
pub struct ServerKind {
    /// ID, under which it also starts again.
    pub id: &'static str,
    /// Version of its software, which is also the data of its events.
    pub version: &'static str,
    /// Its address.
    pub address: SocketAddr,
    /// Number of events of each stream.
    pub events: u64,
    /// Time between two events.
    pub interval: Duration,
    /// Is told the ID of the server at the start of each run.
    pub started: UnboundedSender<&'static str>,
}

/// One start of a server. Its channels close when it is dropped.
pub struct Server {
    runtime: Option<Runtime>,
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Server {
    /// Starts a server, which lists itself before it accepts the first request.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn start(kind: &ServerKind, store: &Store, record: &Record) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let (store, born) = (store.clone(), crate::unix_ms());
        let (id, version, address) = (kind.id, kind.version, kind.address);
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
        let (kind, served_record) = (Arc::new(kind.clone()), record.clone());
        runtime.spawn(async move {
            let Ok(listener) = TcpListener::bind(address).await else {
                served_record.line(format!("server {id}: its address is in use"));
                return;
            };
            serve(listener, move |request| {
                answer(request, kind.clone(), served_record.clone())
            })
            .await;
        });
        runtime.spawn(async move {
            for sequence in 2.. {
                sleep(HEARTBEAT).await;
                store.put("keyed.servers", id, &listing(sequence));
            }
        });
        Ok(Self {
            runtime: Some(runtime),
        })
    }
}

async fn answer(
    request: Request<Incoming>,
    kind: Arc<ServerKind>,
    record: Record,
) -> Option<Response<Body>> {
    let ServerKind {
        id,
        version,
        events,
        interval,
        ..
    } = *kind;
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
    // Not every case listens.
    let _ = kind.started.send(id);
    let first: u64 = after.unwrap_or(0) + 1;
    let frames = stream::iter(first..=events).then(move |event| async move {
        sleep(interval).await;
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
