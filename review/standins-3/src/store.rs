//! The platform's store: topics of records, of which the keyed ones keep the newest record of each key.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// `append_ms` of the settings, which is the time of any other answer too.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// `read_mb_s` of the settings, in bytes a second, which all reads share.
const READ_RATE: f64 = 80e6;
/// Time for which readers hear nothing before the history is dropped.
const HUSH_TIME: Duration = Duration::from_secs(1);
/// Maximum number of records of a page of newest records.
const PAGE_RECORDS: usize = 500;
/// Maximum size of a page of newest records.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    records: Vec<Bytes>,
    /// Records before this offset have expired.
    first: usize,
    /// Newest record of each key: offset and value.
    newest: BTreeMap<Vec<u8>, (usize, Bytes)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// When all reads that were asked for are done.
    read_until: Option<Instant>,
    /// When each partition has done its appends.
    append_until: BTreeMap<String, Instant>,
    reads: u64,
    read_bytes: u64,
    /// Whether readers of records hear nothing for now.
    is_hushed: bool,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

fn answer(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    response
}

fn parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut found = pairs.filter_map(|pair| pair.split_once('='));
    let value = found.find(|(key, _)| *key == name)?.1;
    let mut text = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            let digits = std::str::from_utf8(&digits).ok()?.to_owned();
            text.push(u8::from_str_radix(&digits, 16).ok()?);
        } else {
            text.push(byte);
        }
    }
    String::from_utf8(text).ok()
}

impl Store {
    pub async fn serve(self, address: SocketAddr) {
        let listener = TcpListener::bind(address)
            .await
            .expect("the store's address");
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let store = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.call(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                let _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Writes a record as the operator or a server would; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).expect("a short key"));
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        self.add(topic, vec![record.freeze()]);
    }

    /// Drops the history of all topics. The newest record of each key stays.
    pub fn forget(&self) {
        for topic in self.lock().topics.values_mut() {
            topic.first = topic.records.len();
        }
    }

    /// Drops the history after a second in which readers of records hear nothing.
    pub async fn compact(&self) {
        self.lock().is_hushed = true;
        sleep(HUSH_TIME).await;
        self.forget();
        self.lock().is_hushed = false;
        self.appended.notify_waiters();
    }

    /// Number of reads, and of the bytes of records that they returned.
    pub fn reads(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.read_bytes)
    }

    fn add(&self, name: &str, records: Vec<Bytes>) -> (usize, usize) {
        let mut state = self.lock();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        for record in records {
            if name.starts_with("keyed.")
                && let Some((&length, rest)) = record.split_first()
                && rest.len() >= usize::from(length)
            {
                let key = rest[..usize::from(length)].to_vec();
                let value = record.slice(1 + usize::from(length)..);
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (topic.records.len(), value));
                }
            }
            topic.records.push(record);
        }
        let end = topic.records.len();
        drop(state);
        self.appended.notify_waiters();
        (offset, end)
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(topic) = parameter(&request, "topic") else {
            return answer(400, "");
        };
        let path = request.uri().path().to_owned();
        match (request.method(), &*path) {
            (&Method::POST, "/log-append") => self.append(&topic, request).await,
            (&Method::GET, "/log-read") => self.read(&topic, &request).await,
            (&Method::GET, "/log-newest") => self.newest(&topic, &request).await,
            _ => answer(404, ""),
        }
    }

    async fn append(&self, topic: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return answer(403, "");
        }
        let Ok(body) = request.into_body().collect().await else {
            return answer(400, "");
        };
        let mut body = body.to_bytes();
        if body.len() > 2_097_152 {
            return answer(413, "");
        }
        let mut records = Vec::new();
        while body.has_remaining() {
            let Ok(length) = body.try_get_u32() else {
                return answer(400, "");
            };
            let length = length as usize;
            if length > body.len() || length > 262_144 {
                return answer(400, "");
            }
            records.push(body.split_to(length));
        }
        // A partition processes its appends one at a time.
        let done = {
            let mut state = self.lock();
            let until = state
                .append_until
                .entry(topic.to_owned())
                .or_insert_with(Instant::now);
            *until = (*until).max(Instant::now()) + ANSWER_TIME;
            *until
        };
        sleep_until(done).await;
        let (offset, end) = self.add(topic, records);
        answer(
            200,
            json!({"offset": offset, "end_offset": end}).to_string(),
        )
    }

    /// Waits for the share of a read in the rate of all reads.
    async fn take(&self, bytes: usize) {
        let done = {
            let mut state = self.lock();
            state.reads += 1;
            state.read_bytes += bytes as u64;
            let now = Instant::now();
            let from = state.read_until.unwrap_or(now).max(now);
            let done = from + Duration::from_secs_f64(bytes as f64 / READ_RATE);
            state.read_until = Some(done);
            done
        };
        sleep_until(done).await;
    }

    async fn read(&self, name: &str, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let number = |name| parameter(request, name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let limit = number("max_kb").unwrap_or(1024) * 1024;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let until = Instant::now() + wait;
        sleep(ANSWER_TIME).await;
        loop {
            let appended = self.appended.notified();
            if self.lock().is_hushed {
                let _ = timeout_at(Instant::now() + Duration::from_millis(20), appended).await;
                continue;
            }
            let mut body = BytesMut::new();
            let (mut end, mut count) = (0, 0);
            {
                let state = self.lock();
                if let Some(topic) = state.topics.get(name) {
                    end = topic.records.len();
                    if from < topic.first {
                        return answer(410, json!({"first": topic.first}).to_string());
                    }
                    body.put_u64(end as u64);
                    body.put_u64(topic.first as u64);
                    for record in topic.records.get(from..).unwrap_or_default() {
                        if count > 0 && body.len() + record.len() > limit {
                            break;
                        }
                        body.put_u32(record.len() as u32);
                        body.put_slice(record);
                        count += 1;
                    }
                }
            }
            if body.is_empty() {
                body.put_u64(end as u64);
                body.put_u64(0);
            }
            if count > 0 || Instant::now() >= until {
                self.take(body.len() - 16).await;
                return answer(200, body.freeze());
            }
            let _ = timeout_at(until, appended).await;
        }
    }

    async fn newest(&self, name: &str, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let after = parameter(request, "after").unwrap_or_default().into_bytes();
        let (mut items, mut bytes, mut has_more, mut end) = (Vec::new(), 0, false, 0);
        if let Some(topic) = self.lock().topics.get(name) {
            end = topic.records.len();
            for (key, (offset, value)) in &topic.newest {
                if *key <= after {
                    continue;
                }
                let size = key.len() + value.len();
                if items.len() == PAGE_RECORDS || (!items.is_empty() && bytes + size > PAGE_BYTES) {
                    has_more = true;
                    break;
                }
                bytes += size;
                let key = String::from_utf8_lossy(key).into_owned();
                items.push(json!({"key": key, "value": STANDARD.encode(value), "offset": offset}));
            }
        }
        sleep(ANSWER_TIME).await;
        self.take(bytes).await;
        let body = json!({"items": items, "has_more": has_more, "end_offset": end});
        answer(200, body.to_string())
    }
}
