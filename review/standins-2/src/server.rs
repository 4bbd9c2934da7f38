//! Stand-in for a model server, which streams events whose text follows from the ID of the request.

use crate::daemon::Record;
use crate::store::Store;
use crate::wire::{Request, read_request, write_response};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which a server checks in at the store.
const CHECK_IN: Duration = Duration::from_millis(1200);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub target: String,
    pub resumed_after: Option<u64>,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub is_complete: bool,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused.
    pub queue: usize,
    /// Events of a response, and the time between two.
    pub events: u64,
    pub event_time: Duration,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    active: usize,
    waiting: usize,
    streams: HashMap<u64, TcpStream>,
    /// Requests a second that the server says it takes.
    limit: Option<u32>,
}

/// Clones share their state.
#[derive(Clone)]
pub struct Server {
    pub plan: ServerPlan,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    is_down: Arc<AtomicBool>,
    next_stream: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    born: u64,
}

/// Text of an event of the response to a request.
pub fn event_text(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// Whole output of an item with `events` events.
pub fn whole_text(id: &str, events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|event| event_text(id, event)).collect();
    lines.join("\n")
}

impl Server {
    /// Starts a server and registers it in the store.
    pub fn start(plan: ServerPlan, address: SocketAddr, store: &Store) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let server = Self {
            plan,
            address: listener.local_addr()?,
            state: Arc::default(),
            is_down: Arc::default(),
            next_stream: Arc::default(),
            sequence: Arc::default(),
            born: u64::try_from(since.as_millis()).unwrap_or_default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = accepting.clone();
                        thread::spawn(move || server.serve_connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        server.check_in(store);
        let (checking, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(CHECK_IN);
                if checking.is_down.load(Ordering::SeqCst) {
                    break;
                }
                checking.check_in(&store);
            }
            // The entry is removed after three intervals of silence.
            thread::sleep(CHECK_IN * 2);
            store.put("keyed.servers", &checking.plan.id, "");
        });
        Ok(server)
    }

    fn check_in(&self, store: &Store) {
        let ServerPlan {
            id,
            service,
            zone,
            slots,
            ..
        } = &self.plan;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"phase\":\"dual\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.born
        );
        store.put("keyed.servers", id, &entry);
    }

    /// Ends the server for good: its port refuses connections, and what it runs breaks off.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // The listener is closed within one turn of its thread.
        thread::sleep(Duration::from_millis(10));
        for stream in self.lock().streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Names a limit in all answers from now on.
    pub fn set_limit(&self, per_second: u32) {
        self.lock().limit = Some(per_second);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Number of runs in progress.
    pub fn active(&self) -> usize {
        self.lock().active
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let number = self.next_stream.fetch_add(1, Ordering::SeqCst);
        self.lock().streams.insert(number, kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.is_down() || self.answer(&request, &mut writer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.lock().streams.remove(&number);
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.path() == "/healthz" {
            return write_response(writer, 200, &[("Instance", &self.plan.id)], b"");
        }
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.plan.id)
        {
            let headers = [("Instance", self.plan.id.as_str()), ("Request-Id", &id)];
            return write_response(writer, 421, &headers, b"");
        }
        if id.is_empty() {
            return write_response(writer, 400, &[("Not-Executed", "1")], b"");
        }
        let resumed_after = request
            .header("last-event-id")
            .and_then(|event| event.parse().ok());
        let index = {
            let Some(mut state) = self.take_slot(writer) else {
                let headers = [("Not-Executed", "1"), ("Request-Id", id.as_str())];
                return write_response(writer, 503, &headers, b"");
            };
            state.runs.push(Run {
                id: id.clone(),
                server: self.plan.id.clone(),
                target: request.target.clone(),
                resumed_after,
                began: Instant::now(),
                ended: None,
                is_complete: false,
            });
            state.runs.len() - 1
        };
        let events = self.plan.events.min(wanted_events(request));
        let written = self.stream_events(&id, resumed_after, events, writer);
        let mut state = self.lock();
        state.active -= 1;
        state.runs[index].ended = Some(Instant::now());
        state.runs[index].is_complete = written.is_ok();
        written
    }

    /// Waits for a slot in the order of arrival, roughly, and takes it. `None` if too many wait, or the request is gone.
    fn take_slot(&self, stream: &TcpStream) -> Option<MutexGuard<'_, State>> {
        let mut state = self.lock();
        if state.active < self.plan.slots {
            state.active += 1;
            return Some(state);
        }
        if state.waiting >= self.plan.queue {
            return None;
        }
        state.waiting += 1;
        let mut byte = [0];
        loop {
            drop(state);
            thread::sleep(Duration::from_millis(3));
            let _ = stream.set_nonblocking(true);
            let is_gone = stream.peek(&mut byte).is_ok_and(|read| read == 0);
            let _ = stream.set_nonblocking(false);
            state = self.lock();
            if is_gone || state.active < self.plan.slots {
                break;
            }
        }
        state.waiting -= 1;
        if state.active < self.plan.slots {
            state.active += 1;
            return Some(state);
        }
        None
    }

    fn stream_events(
        &self,
        id: &str,
        resumed_after: Option<u64>,
        events: u64,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let limit = self.lock().limit;
        let limit = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSignature: s-{id}\r\nWeights-Versions: 1\r\nKeep-Alive: timeout=10\r\n{limit}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(self.plan.event_time);
        writer.write_all(head.as_bytes())?;
        for event in resumed_after.unwrap_or(0) + 1..=events {
            let text = format!("id: {event}\ndata: {}\n\n", event_text(id, event));
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(self.plan.event_time);
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of events that a request asks for: its output tokens.
fn wanted_events(request: &Request) -> u64 {
    let usage = request
        .header("token-usage")
        .and_then(|usage| usage.split_once(','));
    usage
        .and_then(|(_, output)| output.trim().parse().ok())
        .unwrap_or(u64::MAX)
}

/// Writes all runs of the servers into the record.
pub fn record_runs(record: &mut Record, servers: &[Server]) {
    for run in servers.iter().flat_map(Server::runs) {
        let lasted = run
            .ended
            .map(|ended| ended.duration_since(run.began).as_millis());
        let end = if run.is_complete {
            "complete"
        } else {
            "broken off or at work"
        };
        record.write_at(
            run.began,
            &format!(
                "run of {} at {}: {}, after event {:?}, {lasted:?} ms, {end}",
                run.id, run.server, run.target, run.resumed_after
            ),
        );
    }
}
