//! Stand-in for the platform's store: a log with keyed topics. It loses nothing, and its responses are linearizable.

use crate::wire::{Request, base64, read_request, write_response};
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an append.
const APPEND_TIME: Duration = Duration::from_millis(4);
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    records: Vec<Arc<Vec<u8>>>,
    /// Newest record of each key that has a value, by its offset.
    newest: BTreeMap<Vec<u8>, usize>,
    bytes: usize,
}

#[derive(Default)]
struct State {
    topics: HashMap<(String, u32), Topic>,
}

/// Clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    appended: Arc<Condvar>,
}

impl Store {
    /// Serves calls at `address`.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(bound)
    }

    /// Appends a record, as the operator or a server does. Without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    /// Bytes of the newest records of a topic.
    pub fn newest_bytes(&self, topic: &str) -> usize {
        let state = self.lock();
        let topic = state.topics.get(&(topic.to_owned(), 0));
        topic.map_or(0, |topic| {
            topic
                .newest
                .values()
                .map(|offset| topic.records[*offset].len())
                .sum()
        })
    }

    /// Bytes of all records.
    pub fn total_bytes(&self) -> usize {
        self.lock().topics.values().map(|topic| topic.bytes).sum()
    }

    fn append(&self, topic: &str, part: u32, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut state = self.lock();
        let entry = state.topics.entry((topic.to_owned(), part)).or_default();
        let first = entry.records.len();
        for record in records {
            let offset = entry.records.len();
            if topic.starts_with("keyed.")
                && let Some((&length, rest)) = record.split_first()
                && rest.len() >= usize::from(length)
            {
                let (key, value) = rest.split_at(usize::from(length));
                if value.is_empty() {
                    entry.newest.remove(key);
                } else {
                    entry.newest.insert(key.to_vec(), offset);
                }
            }
            entry.bytes += record.len();
            entry.records.push(Arc::new(record));
        }
        let end = entry.records.len();
        drop(state);
        self.appended.notify_all();
        (first, end)
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_response(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default();
        let part = request.parameter("part").and_then(|part| part.parse().ok());
        let part: u32 = part.unwrap_or(0);
        match (request.method.as_str(), request.path()) {
            ("POST", "/log-append") => self.answer_append(&topic, part, request),
            ("GET", "/log-read") => self.answer_read(&topic, part, request),
            ("GET", "/log-newest") => (200, self.newest_page(&topic, part, request)),
            _ => (404, Vec::new()),
        }
    }

    fn answer_append(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        if request.body.len() > REQUEST_BYTES {
            return (400, Vec::new());
        }
        let (mut records, mut rest) = (Vec::new(), request.body.as_slice());
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > after.len() || length > RECORD_BYTES {
                return (400, Vec::new());
            }
            records.push(after[..length].to_vec());
            rest = &after[length..];
        }
        thread::sleep(APPEND_TIME);
        let (first, end) = self.append(topic, part, records);
        (
            200,
            format!("{{\"offset\":{first},\"end_offset\":{end}}}").into_bytes(),
        )
    }

    fn answer_read(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<usize>().ok())
        };
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000) as u64);
        let most = number("max_kb").unwrap_or(1024) * 1024;
        let until = Instant::now() + wait;
        let key = (topic.to_owned(), part);
        let mut state = self.lock();
        loop {
            let end = state
                .topics
                .get(&key)
                .map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            let waited = self.appended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let records: &[Arc<Vec<u8>>] = state.topics.get(&key).map_or(&[], |topic| &topic.records);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (index, record) in records.iter().skip(from).enumerate() {
            if index > 0 && body.len() + record.len() > most {
                break;
            }
            let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(record);
        }
        (200, body)
    }

    fn newest_page(&self, topic: &str, part: u32, request: &Request) -> Vec<u8> {
        let after = request.parameter("after").unwrap_or_default().into_bytes();
        let state = self.lock();
        let empty = Topic::default();
        let topic = state
            .topics
            .get(&(topic.to_owned(), part))
            .unwrap_or(&empty);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, offset) in topic.newest.iter().filter(|(key, _)| **key > after) {
            let record = &topic.records[*offset];
            if items.len() >= PAGE_RECORDS || (bytes > 0 && bytes + record.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += record.len();
            let value = base64(&record[1 + key.len()..]);
            let key = String::from_utf8_lossy(key);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = topic.records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}").into_bytes()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
