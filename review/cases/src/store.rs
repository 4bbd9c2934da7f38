//! Stand-in for the platform's store, written from PROTOCOL.md. It can lose the answer of an append that it has done.

use crate::record::Record;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use fulmarswitch_platform_standins::http_util::{
    Body, query_parameter, read_body, response, serve,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

const APPEND_TIME: Duration = Duration::from_millis(4);
const MAX_PAGE_RECORDS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Decides whether the answer of an append to this topic with this body is lost.
pub type AnswerFilter = Box<dyn FnMut(&str, &[u8]) -> bool + Send>;

/// Stand-in for the store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<(String, u32), Vec<Bytes>>>>,
    appended: Arc<Notify>,
    filter: Arc<Mutex<Option<AnswerFilter>>>,
    writes: Arc<AtomicUsize>,
    record: Record,
}

impl Store {
    /// Starts a store, and returns it with its address.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn start(record: &Record) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self {
            topics: Arc::default(),
            appended: Arc::default(),
            filter: Arc::default(),
            writes: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let served = store.clone();
        tokio::spawn(serve(listener, move |request| {
            let store = served.clone();
            async move { store.call(request).await }
        }));
        Ok((store, address))
    }

    /// Loses the answers that `filter` selects from now on.
    pub fn lose_answers(&self, filter: AnswerFilter) {
        *lock(&self.filter) = Some(filter);
    }

    /// Number of appends of the daemons so far.
    #[must_use]
    pub fn writes(&self) -> usize {
        self.writes.load(Ordering::Relaxed)
    }

    /// Writes a keyed record, as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        self.add(topic, 0, vec![record.freeze()]);
    }

    async fn call(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let topic = query_parameter(&request, "topic")?;
        let part: u32 = query_parameter(&request, "part")?.parse().ok()?;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/log-append") => self.append(&topic, part, request).await,
            (&Method::GET, "/log-read") => self.read(&topic, part, &request).await,
            (&Method::GET, "/log-newest") => Some(self.newest(&topic, part, &request)),
            _ => Some(response(404, "")),
        }
    }

    async fn append(
        &self,
        topic: &str,
        part: u32,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Some(response(403, ""));
        }
        let body = read_body(request).await?;
        let mut rest = body.clone();
        let mut records = Vec::new();
        while rest.has_remaining() {
            let length = rest.try_get_u32().ok()? as usize;
            if length > rest.len() || length > 262_144 {
                return Some(response(400, ""));
            }
            records.push(rest.split_to(length));
        }
        sleep(APPEND_TIME).await;
        self.writes.fetch_add(1, Ordering::Relaxed);
        let (offset, end) = self.add(topic, part, records);
        let is_lost = lock(&self.filter)
            .as_mut()
            .is_some_and(|filter| filter(topic, &body));
        if is_lost {
            self.record.line(format!(
                "store: append to {topic} done at offset {offset}, its answer is lost"
            ));
            // Nothing further comes on a channel on which an answer is lost.
            return std::future::pending().await;
        }
        let body = json!({"offset": offset, "end_offset": end});
        Some(response(200, body.to_string()))
    }

    fn add(&self, topic: &str, part: u32, records: Vec<Bytes>) -> (usize, usize) {
        let mut topics = lock(&self.topics);
        let stored = topics.entry((topic.to_owned(), part)).or_default();
        let offset = stored.len();
        stored.extend(records);
        let end = stored.len();
        drop(topics);
        self.appended.notify_waiters();
        (offset, end)
    }

    async fn read(
        &self,
        topic: &str,
        part: u32,
        request: &Request<Incoming>,
    ) -> Option<Response<Body>> {
        let from: usize = query_parameter(request, "from")?.parse().ok()?;
        let number = |name| query_parameter(request, name)?.parse::<usize>().ok();
        let max_bytes = number("max_kb").unwrap_or(1024) * 1024;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let page = self.page(topic, part, from, max_bytes);
            if page.len() > 16 || timeout_at(deadline, appended).await.is_err() {
                return Some(response(200, page));
            }
        }
    }

    fn page(&self, topic: &str, part: u32, from: usize, max_bytes: usize) -> Bytes {
        let topics = lock(&self.topics);
        let records = topics.get(&(topic.to_owned(), part));
        let records = records.map_or(&[][..], |records| &records[..]);
        let mut body = BytesMut::new();
        body.put_u64(records.len() as u64);
        body.put_u64(0);
        for (index, record) in records.get(from..).unwrap_or_default().iter().enumerate() {
            if index > 0 && body.len() + record.len() > max_bytes {
                break;
            }
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(record);
        }
        body.freeze()
    }

    fn newest(&self, topic: &str, part: u32, request: &Request<Incoming>) -> Response<Body> {
        let after = query_parameter(request, "after").unwrap_or_default();
        let topics = lock(&self.topics);
        let records = topics.get(&(topic.to_owned(), part));
        let records = records.map_or(&[][..], |records| &records[..]);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            if let Some((&length, rest)) = record.split_first() {
                let (key, value) = rest.split_at(usize::from(length).min(rest.len()));
                newest.insert(key, (offset, value));
            }
        }
        newest.retain(|key, (_, value)| !value.is_empty() && *key > after.as_bytes());
        let mut bytes = 0;
        let mut items = Vec::new();
        for (key, (offset, value)) in &newest {
            bytes += value.len();
            if items.len() >= MAX_PAGE_RECORDS || (bytes > MAX_PAGE_BYTES && !items.is_empty()) {
                break;
            }
            items.push(json!({
                "key": String::from_utf8_lossy(key), "value": STANDARD.encode(value),
                "offset": offset,
            }));
        }
        let has_more = items.len() < newest.len();
        let body = json!({"items": items, "has_more": has_more, "end_offset": records.len()});
        response(200, body.to_string())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
