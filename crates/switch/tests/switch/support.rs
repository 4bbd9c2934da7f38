//! An in-memory log, in-memory endpoints, and hosts that use them, for tests with a paused clock.

use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch_switch::backend::{
    AppendError, BodyFraming, CallError, CallOptions, ConnectOutcome, DecodeError, EndpointCall,
    EndpointClient, EndpointNotice, EndpointResponse, HostClient, KeyedLog, KeyedRecord, LogEntry,
    LogPage, LogPartition, NewestPage, PassOptions, ReadError, ReadSize,
};
use fulmarswitch_switch::endpoint::ListedEndpoint;
use fulmarswitch_switch::jobs::{JobReply, JobSubmission, ResultPage};
use fulmarswitch_switch::limits::RateLimit;
use fulmarswitch_switch::members::HostDescriptor;
use fulmarswitch_switch::node::{
    ConfigDecoder, LogTopics, SwitchDependencies, SwitchNode, SwitchSettings,
};
use fulmarswitch_switch::online::{OnlineReply, OnlineRequest};
use fulmarswitch_switch::prompt::{PartKey, PromptParts};
use fulmarswitch_switch::record::AcceptedItem;
use fulmarswitch_switch::route::{CallerLimits, RouteKind, RouteTable, ServiceRoute, ServiceShare};

use fulmarswitch_switch::workspace::bucket::CapBounds;
use fulmarswitch_switch::workspace::{CallerScope, RequestCap, Workspace, WorkspaceTable};
use futures::{FutureExt, StreamExt, stream};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, advance, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// Fault of one append to a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFault {
    /// Nothing is appended.
    Refuse,
    /// The records are appended, but the response is lost.
    LoseResponse,
    /// The response is lost, and the records are appended after this delay.
    AppendLate(Duration),
}

/// Maximum size of one append; larger ones are refused.
const MAX_APPEND_BYTES: usize = 2 << 20;

/// Maximum number of records in a page of the latest ones, unless it is set.
const NEWEST_PAGE_RECORDS: usize = 40;

/// A topic whose reads take longer.
#[derive(Clone, Debug)]
struct SlowTopic {
    topic: Arc<str>,
    delay: Duration,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<KeyedRecord>,
    first: usize,
}

#[derive(Debug, Default)]
struct LogState {
    topics: Vec<(Arc<str>, Topic)>,
    faults: VecDeque<(Arc<str>, AppendFault)>,
    down: bool,
    fetch_delay: Duration,
}

impl LogState {
    fn topic(&mut self, name: &str) -> &mut Topic {
        if let Some(index) = self.topics.iter().position(|(topic, _)| &**topic == name) {
            return &mut self.topics[index].1;
        }
        self.topics.push((name.into(), Topic::default()));
        &mut self.topics.last_mut().expect("pushed just now").1
    }
}

/// An in-memory log with compaction. Clones share its records and its access.
#[derive(Clone, Debug, Default)]
pub struct MemoryLog {
    state: Arc<Mutex<LogState>>,
    /// Whether calls over this access fail.
    cut: Arc<AtomicBool>,
    /// Topic whose reads over this access fail.
    cut_topic: Arc<Mutex<Option<Arc<str>>>>,
    /// Topic whose reads over this access take longer, and by how much.
    slow_topic: Arc<Mutex<Option<SlowTopic>>>,
    /// Maximum number of records of a read over this access; zero for no limit.
    page_limit: Arc<AtomicUsize>,
    /// Maximum size of a snapshot that is read at once over this access; zero for no limit.
    snapshot_limit: Arc<AtomicUsize>,
    /// Whether pages of the latest records over this access begin with the last key.
    descending: Arc<AtomicBool>,
}

impl MemoryLog {
    /// Queues a fault for the next append to a topic. Queued faults apply in order.
    pub fn inject_fault(&self, topic: &str, fault: AppendFault) {
        let mut state = self.state.lock().unwrap();
        state.faults.push_back((topic.into(), fault));
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Returns a second access to the same records.
    pub fn other_access(&self) -> Self {
        Self {
            state: self.state.clone(),
            cut: Arc::default(),
            cut_topic: Arc::default(),
            slow_topic: Arc::default(),
            page_limit: Arc::default(),
            snapshot_limit: Arc::default(),
            descending: Arc::default(),
        }
    }

    /// Makes all calls over this access fail, or succeed again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Makes reads of this topic over this access fail; `None` for no topic.
    pub fn cut_topic(&self, topic: Option<&str>) {
        *self.cut_topic.lock().unwrap() = topic.map(Into::into);
    }

    /// Makes reads of this topic over this access take longer.
    pub fn slow_topic(&self, topic: &str, delay: Duration) {
        let topic = topic.into();
        *self.slow_topic.lock().unwrap() = Some(SlowTopic { topic, delay });
    }

    /// Makes reads over this access return at most this many records.
    pub fn limit_pages(&self, records: usize) {
        self.page_limit.store(records, Ordering::Relaxed);
    }

    /// Makes reads of a whole snapshot with more bytes than this over this access fail.
    pub fn limit_snapshots(&self, bytes: usize) {
        self.snapshot_limit.store(bytes, Ordering::Relaxed);
    }

    /// Makes pages of the latest records over this access begin with the last key, or with the first one again.
    pub fn set_descending(&self, descending: bool) {
        self.descending.store(descending, Ordering::Relaxed);
    }

    /// Waits for as long as reads of this partition take.
    async fn read_latency(&self, partition: &LogPartition) {
        let slow_topic = self.slow_topic.lock().unwrap().clone();
        let slow_topic = slow_topic.filter(|slow_topic| slow_topic.topic == partition.topic);
        let delay = slow_topic.map_or(Duration::ZERO, |slow_topic| slow_topic.delay);
        sleep(delay + Duration::from_millis(1)).await;
    }

    fn is_cut_topic(&self, partition: &LogPartition) -> bool {
        self.cut_topic.lock().unwrap().as_ref() == Some(&partition.topic)
    }

    /// Locks the state, unless the log cannot be reached.
    fn reach(&self) -> Option<MutexGuard<'_, LogState>> {
        let state = self.state.lock().unwrap();
        (!state.down && !self.cut.load(Ordering::Relaxed)).then_some(state)
    }

    /// Delays fetches by offset.
    pub fn set_fetch_delay(&self, delay: Duration) {
        self.state.lock().unwrap().fetch_delay = delay;
    }

    /// Removes the history of a topic except for the latest record of each key.
    pub fn expire(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topic(topic);
        topic.first = topic.records.len();
    }

    /// Appends a record on behalf of another writer.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = KeyedRecord {
            key: key.as_bytes().to_vec().into(),
            value: value.as_bytes().to_vec().into(),
        };
        self.state.lock().unwrap().topic(topic).records.push(record);
    }

    /// Number of keys that compaction retains in a topic.
    pub fn live_keys(&self, topic: &str) -> usize {
        latest_records(self.state.lock().unwrap().topic(topic)).len()
    }

    fn push(&self, topic: &str, records: &[KeyedRecord]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let topic = state.topic(topic);
        let first = topic.records.len() as u64;
        topic.records.extend_from_slice(records);
        first
    }
}

fn latest_records(topic: &Topic) -> Vec<LogEntry> {
    let records = topic.records.iter().enumerate();
    let latest: HashMap<&Bytes, usize> = records
        .clone()
        .map(|(index, record)| (&record.key, index))
        .collect();
    records
        .filter(|(index, record)| !record.value.is_empty() && latest[&record.key] == *index)
        .map(|(index, record)| LogEntry {
            offset: index as u64,
            record: record.clone(),
        })
        .collect()
}

fn unavailable() -> ReadError {
    ReadError::Unavailable {
        cause: "down".into(),
    }
}

#[async_trait]
impl KeyedLog for MemoryLog {
    async fn append(
        &self,
        partition: &LogPartition,
        records: &[KeyedRecord],
    ) -> Result<u64, AppendError> {
        sleep(Duration::from_millis(4)).await;
        let bytes: usize = records
            .iter()
            .map(|record| record.key.len() + record.value.len())
            .sum();
        if bytes > MAX_APPEND_BYTES {
            return Err(AppendError::Refused {
                cause: "too large".into(),
            });
        }
        let fault = {
            let Some(mut state) = self.reach() else {
                let cause = "down".into();
                return Err(AppendError::Refused { cause });
            };
            let found = state
                .faults
                .iter()
                .position(|(topic, _)| *topic == partition.topic);
            found.and_then(|index| state.faults.remove(index))
        };
        match fault.map(|(_, fault)| fault) {
            None => Ok(self.push(&partition.topic, records)),
            Some(AppendFault::Refuse) => Err(AppendError::Refused {
                cause: "refused".into(),
            }),
            Some(AppendFault::LoseResponse) => {
                self.push(&partition.topic, records);
                Err(AppendError::Unknown {
                    cause: "lost".into(),
                })
            }
            Some(AppendFault::AppendLate(delay)) => {
                let (log, topic, records) =
                    (self.clone(), partition.topic.clone(), records.to_vec());
                tokio::spawn(async move {
                    sleep(delay).await;
                    log.push(&topic, &records);
                });
                Err(AppendError::Unknown {
                    cause: "late".into(),
                })
            }
        }
    }

    async fn read(
        &self,
        partition: &LogPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, ReadError> {
        self.read_latency(partition).await;
        if !wait.is_zero() {
            sleep(wait / 10).await;
        }
        if self.is_cut_topic(partition) {
            return Err(unavailable());
        }
        let mut state = self.reach().ok_or_else(unavailable)?;
        let topic = state.topic(&partition.topic);
        let start = usize::try_from(from).unwrap();
        if start < topic.first {
            let first = topic.first as u64;
            return Err(ReadError::Expired { first });
        }
        let end = topic.records.len() as u64;
        let records = topic.records[start..].iter().enumerate();
        let limit = self.page_limit.load(Ordering::Relaxed);
        let limit = if limit == 0 { usize::MAX } else { limit };
        let records: Vec<LogEntry> = records
            .take(limit)
            .map(|(index, record)| LogEntry {
                offset: from + index as u64,
                record: record.clone(),
            })
            .collect();
        Ok(LogPage {
            next: from + records.len() as u64,
            end,
            records,
        })
    }

    async fn read_newest_page(
        &self,
        partition: &LogPartition,
        after: Option<&Bytes>,
    ) -> Result<NewestPage, ReadError> {
        self.read_latency(partition).await;
        if self.is_cut_topic(partition) {
            return Err(unavailable());
        }
        let mut state = self.reach().ok_or_else(unavailable)?;
        let topic = state.topic(&partition.topic);
        let mut records = latest_records(topic);
        records.sort_by(|a, b| a.record.key.cmp(&b.record.key));
        records.retain(|entry| after.is_none_or(|after| entry.record.key > *after));
        let limit = match self.page_limit.load(Ordering::Relaxed) {
            0 => NEWEST_PAGE_RECORDS,
            limit => limit,
        };
        let is_last = records.len() <= limit;
        records.truncate(limit);
        let last_key = records.last().map(|entry| entry.record.key.clone());
        if self.descending.load(Ordering::Relaxed) {
            records.reverse();
        }
        Ok(NewestPage {
            records,
            end: topic.records.len() as u64,
            next_after: last_key.filter(|_| !is_last),
        })
    }

    async fn read_snapshot(&self, partition: &LogPartition) -> Result<LogPage, ReadError> {
        self.read_latency(partition).await;
        if self.is_cut_topic(partition) {
            return Err(unavailable());
        }
        let mut state = self.reach().ok_or_else(unavailable)?;
        let topic = state.topic(&partition.topic);
        let end = topic.records.len() as u64;
        let records = latest_records(topic);
        let limit = self.snapshot_limit.load(Ordering::Relaxed);
        if limit > 0 && ReadSize::of(&records).bytes > limit {
            return Err(unavailable());
        }
        Ok(LogPage {
            next: end,
            end,
            records,
        })
    }

    async fn fetch(
        &self,
        partition: &LogPartition,
        _offset: u64,
        _count: u32,
        key: &str,
    ) -> Result<Vec<LogEntry>, ReadError> {
        let delay = self.state.lock().unwrap().fetch_delay;
        sleep(delay).await;
        let mut state = self.reach().ok_or_else(unavailable)?;
        let mut records = latest_records(state.topic(&partition.topic));
        records.retain(|entry| entry.record.key.starts_with(key.as_bytes()));
        Ok(records)
    }
}

/// Behaviour of an endpoint for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallScript {
    /// Streams this many events, one per [`EVENT_INTERVAL`].
    Stream { events: u64 },
    /// Streams events and disconnects after this one.
    BreakAfter { event: u64 },
    /// Streams events and stops sending after this one.
    StallAfter { event: u64 },
    /// Streams this many events and is silent for this time after one of them, or before the head if `after` is zero.
    Pause {
        after: u64,
        silence: Duration,
        events: u64,
    },
    /// Streams this many events and is silent for this time before each of them but the first.
    PauseOften { silence: Duration, events: u64 },
    /// Is silent for this time after one of its events, or before the head if `after` is zero, and disconnects.
    BreakAfterSilence { after: u64, silence: Duration },
    /// Cannot be reached.
    Unreachable,
    /// Refuses the call as full.
    Full,
    /// Makes the calling task panic.
    Panic,
    /// Disconnects before a response.
    Disconnect,
    /// Never responds.
    Silent,
    /// Sends one event that never ends.
    EndlessEvent,
    /// Responds with this status.
    Status(u16),
    /// Sends events without end, as fast as they are read.
    EndlessStream,
    /// Sends comments without end, one per [`EVENT_INTERVAL`], and no event.
    EndlessComments,
    /// Always has further bytes ready that belong to no event, one chunk in each [`FLOOD_INTERVAL`].
    CommentFlood { chunks: u64 },
    /// Always has the next event ready, one in each [`FLOOD_INTERVAL`].
    EventFlood { events: u64 },
    /// Streams this many events in a body that lasts until the connection closes.
    StreamUntilClose { events: u64 },
    /// Streams events and ends the body after this one as a complete one ends.
    EndAfter { event: u64, body: BodyFraming },
    /// Streams events and half of the one after this one, and ends the body as a complete one ends.
    EndWithin { after: u64, body: BodyFraming },
    /// Streams this many events and ends the body with one more blank line.
    BlankLineAtEnd { events: u64 },
    /// Responds with this status and a body that lasts until the connection closes.
    StatusUntilClose(u16),
    /// Streams this many events with this many bytes of data each, one per [`EVENT_INTERVAL`].
    LargeEvents { events: u64, bytes: usize },
    /// Streams events, writes this text after this one, and ends the body as a complete one ends.
    TextAfter {
        event: u64,
        text: &'static str,
        body: BodyFraming,
    },
    /// Responds with this status and a body of this content type and text.
    Answer {
        status: u16,
        content_type: &'static str,
        text: &'static str,
    },
}

impl CallScript {
    /// Silence after this number of events.
    fn pause_at(self, position: u64) -> Duration {
        match self {
            Self::Pause { after, silence, .. } if after == position => silence,
            Self::PauseOften { silence, .. } if position > 0 => silence,
            _ => Duration::ZERO,
        }
    }

    fn headers(self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Self::Answer { content_type, .. } = self {
            let value = HeaderValue::from_static(content_type);
            headers.insert(CONTENT_TYPE, value);
        }
        headers
    }

    fn framing(self) -> BodyFraming {
        match self {
            Self::StreamUntilClose { .. } | Self::StatusUntilClose(_) => BodyFraming::UntilClose,
            Self::EndAfter { body, .. }
            | Self::EndWithin { body, .. }
            | Self::TextAfter { body, .. } => body,
            _ => BodyFraming::Delimited,
        }
    }
}

/// A call received by an endpoint.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// ID of the request.
    pub id: Arc<str>,
    /// ID of the endpoint.
    pub endpoint: Arc<str>,
    /// ID of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Time left for the call.
    pub remaining: Duration,
    /// Whether the endpoint ran the call.
    pub ran: bool,
    /// Parts of the prompt.
    pub parts: PromptParts,
    /// Key of the request as a whole.
    pub key: PartKey,
    /// Workspace that the request runs for.
    pub workspace: Option<Arc<str>>,
    /// When the endpoint got the call.
    pub at: Instant,
}

/// What crashes each endpoint that begins to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlyCause {
    /// A part of its prompt.
    Part(PartKey),
    /// The request as a whole, by its key.
    Request(PartKey),
    /// Anything. No request is the cause.
    Any,
}

impl DeadlyCause {
    /// Whether this is in the call.
    pub fn is_in(self, call: &RecordedCall) -> bool {
        match self {
            Self::Part(part) => call.parts.contains(part),
            Self::Request(key) => call.key == key,
            Self::Any => true,
        }
    }
}

/// Calls that crash their endpoints.
#[derive(Clone, Copy, Debug)]
pub struct DeadlyCalls {
    pub cause: DeadlyCause,
    /// Time from the call to the crash.
    pub crash_after: Duration,
}

#[derive(Default)]
struct ClientState {
    scripts: VecDeque<CallScript>,
    default_script: Option<CallScript>,
    calls: Vec<RecordedCall>,
    /// Endpoints that say in their responses that they leave.
    leaving: Vec<Arc<str>>,
    /// Limits that endpoints name in their responses.
    limits: Vec<(Arc<str>, RateLimit)>,
    running: i64,
    deadly: Option<DeadlyCalls>,
    /// Whether all endpoints refuse connections once the queued behaviours are used up.
    refuses: bool,
    /// Endpoints that have ended, in the order in which they did.
    ended: watch::Sender<Vec<Arc<str>>>,
    /// Time for which an endpoint that has ended still accepts connections.
    closing_time: Duration,
    /// Until when endpoints that have ended accept connections.
    closing: Vec<(Arc<str>, Instant)>,
}

/// Links from a host to the endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    Up,
    /// Nothing passes, and new connections come about no more.
    Silent,
    /// New connections are refused, and open ones live on.
    Refusing,
    /// Open connections are reset, and new ones refused.
    Reset,
}

/// In-memory endpoints. Clones share them and their links to them.
#[derive(Clone, Default)]
pub struct MemoryClient {
    state: Arc<Mutex<ClientState>>,
    links: Arc<watch::Sender<LinkMode>>,
}

/// Time after which a connection that does not come about is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two chunks of a flood.
pub const FLOOD_INTERVAL: Duration = Duration::from_millis(500);

impl MemoryClient {
    /// Returns the same endpoints over other links.
    pub fn over_other_links(&self) -> Self {
        Self {
            state: self.state.clone(),
            links: Arc::default(),
        }
    }

    /// Sets the state of these links.
    pub fn set_links(&self, mode: LinkMode) {
        self.links.send_replace(mode);
    }

    /// Opens a connection, unless the links do not allow it.
    async fn connect(&self) -> Result<(), CallError> {
        let mode = *self.links.borrow();
        let cause = match mode {
            LinkMode::Up => return Ok(()),
            LinkMode::Silent => {
                sleep(CONNECT_TIMEOUT).await;
                "no connection in time"
            }
            LinkMode::Refusing | LinkMode::Reset => "connection refused",
        };
        Err(CallError::NotSent {
            cause: cause.into(),
        })
    }

    /// Waits until the links are reset.
    async fn wait_for_reset(&self) {
        let mut links = self.links.subscribe();
        // The sender lives as long as this client.
        let _ = links.wait_for(|mode| *mode == LinkMode::Reset).await;
    }

    /// Waits while nothing passes over the links.
    async fn pass(&self) {
        let mut links = self.links.subscribe();
        let _ = links.wait_for(|mode| *mode != LinkMode::Silent).await;
    }

    /// Queues the behaviour of the next calls.
    pub fn script(&self, scripts: &[CallScript]) {
        self.state.lock().unwrap().scripts.extend(scripts);
    }

    /// Sets the behaviour of calls beyond the queued ones.
    pub fn set_default(&self, script: CallScript) {
        self.state.lock().unwrap().default_script = Some(script);
    }

    /// Lets an endpoint say in each response that it leaves, or no longer.
    pub fn set_leaving(&self, endpoint: &str, leaves: bool) {
        let leaving = &mut self.state.lock().unwrap().leaving;
        leaving.retain(|id| **id != *endpoint);
        if leaves {
            leaving.push(endpoint.into());
        }
    }

    /// Lets an endpoint name a limit of requests a second in each response, or none.
    pub fn set_limit(&self, endpoint: &str, per_second: Option<&str>) {
        let limits = &mut self.state.lock().unwrap().limits;
        limits.retain(|(id, _)| **id != *endpoint);
        if let Some(limit) = per_second {
            limits.push((endpoint.into(), limit.parse().unwrap()));
        }
    }

    fn notice(&self, endpoint: &Arc<str>) -> EndpointNotice {
        let state = self.state.lock().unwrap();
        let limit = state.limits.iter().find(|(id, _)| id == endpoint);
        EndpointNotice {
            leaving: state.leaving.contains(endpoint),
            limit: limit.map(|(_, limit)| *limit),
        }
    }

    /// All calls received so far.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Number of calls in progress.
    pub fn running(&self) -> i64 {
        self.state.lock().unwrap().running
    }

    /// Lets calls crash the endpoints from now on, or none.
    pub fn set_deadly(&self, deadly: Option<DeadlyCalls>) {
        self.state.lock().unwrap().deadly = deadly;
    }

    /// Lets all endpoints refuse connections once the queued behaviours are used up, as if they had ended.
    pub fn refuse_connections(&self) {
        let mut state = self.state.lock().unwrap();
        state.refuses = true;
        state.default_script = Some(CallScript::Unreachable);
    }

    /// Lets endpoints that end from now on still accept connections for a while, as their listeners are closed last.
    pub fn set_closing_time(&self, time: Duration) {
        self.state.lock().unwrap().closing_time = time;
    }

    /// Whether an endpoint that has ended still accepts connections.
    fn is_closing(&self, id: &str) -> bool {
        let closing = &self.state.lock().unwrap().closing;
        let mut times = closing.iter().filter(|(closing, _)| **closing == *id);
        times.any(|(_, until)| *until > Instant::now())
    }

    /// Ends an endpoint: its calls break off, and new ones are refused.
    pub fn end_endpoint(&self, id: &Arc<str>) {
        let mut state = self.state.lock().unwrap();
        let closed_at = Instant::now() + state.closing_time;
        state.closing.push((id.clone(), closed_at));
        state.ended.send_if_modified(|ended| {
            let is_new = !ended.contains(id);
            if is_new {
                ended.push(id.clone());
            }
            is_new
        });
    }

    /// Starts an endpoint again that has ended, at the same address and under the same listing.
    pub fn revive_endpoint(&self, id: &str) {
        let state = self.state.lock().unwrap();
        state
            .ended
            .send_modify(|ended| ended.retain(|other| **other != *id));
    }

    /// Endpoints that have ended, in the order in which they did.
    pub fn ended(&self) -> watch::Receiver<Vec<Arc<str>>> {
        self.state.lock().unwrap().ended.subscribe()
    }

    /// Ends the endpoint of a call after a while if the call is deadly.
    fn crash_if_deadly(&self, call: &RecordedCall) {
        let deadly = self.state.lock().unwrap().deadly;
        let Some(deadly) = deadly.filter(|deadly| deadly.cause.is_in(call)) else {
            return;
        };
        let (client, id) = (self.clone(), call.endpoint.clone());
        tokio::spawn(async move {
            sleep(deadly.crash_after).await;
            client.end_endpoint(&id);
        });
    }
}

fn broken_off() -> CallError {
    CallError::Interrupted {
        cause: "the endpoint has ended".into(),
    }
}

/// Waits until the endpoint has ended.
async fn wait_for_end(mut ended: watch::Receiver<Vec<Arc<str>>>, id: Arc<str>) {
    if ended.wait_for(|ended| ended.contains(&id)).await.is_err() {
        std::future::pending::<()>().await;
    }
}

struct RunningCall(MemoryClient);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().running -= 1;
    }
}

/// Encoded event with this ID.
pub fn event(id: u64) -> Bytes {
    format!("id: {id}\ndata: word{id}\n\n").into()
}

/// First half of the event with this ID.
pub fn half_event(id: u64) -> Bytes {
    let event = event(id);
    event.slice(..event.len() / 2)
}

/// Events up to this ID.
pub fn events(last: u64) -> Bytes {
    let all: Vec<u8> = (1..=last).flat_map(|id| event(id).to_vec()).collect();
    all.into()
}

#[async_trait]
impl EndpointClient for MemoryClient {
    async fn call(
        &self,
        endpoint: &ListedEndpoint,
        call: &EndpointCall,
        options: CallOptions,
    ) -> Result<EndpointResponse, CallError> {
        self.connect().await?;
        let notice = self.notice(&endpoint.id);
        let ended = self.ended();
        if ended.borrow().contains(&endpoint.id) {
            let cause = "connection refused".into();
            return Err(CallError::NotSent { cause });
        }
        let call = RecordedCall {
            id: call.id.clone(),
            endpoint: endpoint.id.clone(),
            resume_after: options.resume_after,
            remaining: options.remaining,
            ran: false,
            parts: self.prompt_parts(&call.headers),
            key: PartKey::of_request(call),
            workspace: call.workspace.clone(),
            at: Instant::now(),
        };
        self.crash_if_deadly(&call);
        let responding = call.clone();
        let (reset_links, links) = (self.clone(), self.clone());
        let end = async move {
            tokio::select! {
                () = wait_for_end(ended, call.endpoint.clone()) => {}
                () = reset_links.wait_for_reset() => {}
            }
        };
        let end = end.boxed().shared();
        let response = tokio::select! {
            response = self.respond(responding) => response,
            () = end.clone() => Err(broken_off()),
        };
        if response.is_ok() {
            tokio::select! {
                () = self.pass() => {}
                () = end.clone() => return Err(broken_off()),
            }
        }
        match response {
            Ok(response) => Ok(EndpointResponse {
                leaving: notice.leaving,
                limit: notice.limit,
                body: response
                    .body
                    .then(move |chunk| {
                        let links = links.clone();
                        async move {
                            links.pass().await;
                            Some(chunk)
                        }
                    })
                    .chain(stream::once(async { None }))
                    .take_until(end)
                    // The body is complete if its last chunk came before the end of the endpoint.
                    .chain(stream::once(async { Some(Err(broken_off())) }))
                    .scan((), |(), chunk| std::future::ready(chunk))
                    .boxed(),
                ..response
            }),
            Err(CallError::NotRun {
                status,
                misdirected,
                ..
            }) => Err(CallError::NotRun {
                status,
                misdirected,
                notice: Some(notice),
            }),
            Err(error) => Err(error),
        }
    }

    async fn try_connect(&self, endpoint: &ListedEndpoint) -> ConnectOutcome {
        let mode = *self.links.borrow();
        if self.connect().await.is_err() {
            return match mode {
                LinkMode::Silent => ConnectOutcome::NoAnswer,
                _ => ConnectOutcome::Refused,
            };
        }
        let refuses = {
            let state = self.state.lock().unwrap();
            state.refuses && state.scripts.is_empty()
        };
        let has_ended = self.ended().borrow().contains(&endpoint.id);
        if refuses || has_ended && !self.is_closing(&endpoint.id) {
            ConnectOutcome::Refused
        } else {
            ConnectOutcome::Accepted
        }
    }

    fn prompt_parts(&self, headers: &HeaderMap) -> PromptParts {
        let list = headers.get("parts").and_then(|list| list.to_str().ok());
        list.into_iter()
            .flat_map(|list| list.split_terminator(','))
            .map(PartKey::of)
            .collect()
    }
}

impl MemoryClient {
    /// Records a call and returns the behaviour for it.
    fn record_call(&self, call: RecordedCall) -> CallScript {
        let mut state = self.state.lock().unwrap();
        let next = state.scripts.pop_front();
        let script = next
            .or(state.default_script)
            .unwrap_or(CallScript::Stream { events: 3 });
        let ran = !matches!(script, CallScript::Unreachable | CallScript::Full);
        state.calls.push(RecordedCall { ran, ..call });
        state.running += 1;
        script
    }

    async fn respond(&self, call: RecordedCall) -> Result<EndpointResponse, CallError> {
        let resume_after = call.resume_after;
        let script = self.record_call(call);
        let running = RunningCall(self.clone());
        sleep(Duration::from_millis(5)).await;
        let lost = || CallError::Interrupted {
            cause: "lost".into(),
        };
        let (events, disconnects, stalls, status) = match script {
            CallScript::Unreachable => {
                return Err(CallError::NotSent {
                    cause: "unreachable".into(),
                });
            }
            CallScript::Full => {
                return Err(CallError::NotRun {
                    status: StatusCode::SERVICE_UNAVAILABLE,
                    misdirected: false,
                    notice: None,
                });
            }
            CallScript::Panic => panic!("as the test asks"),
            CallScript::Disconnect => return Err(lost()),
            CallScript::Silent => std::future::pending().await,
            CallScript::Status(status)
            | CallScript::StatusUntilClose(status)
            | CallScript::Answer { status, .. } => (0, false, false, status),
            CallScript::EndAfter { event, .. }
            | CallScript::EndWithin { after: event, .. }
            | CallScript::TextAfter { event, .. } => (event, false, false, 200),
            CallScript::Stream { events }
            | CallScript::StreamUntilClose { events }
            | CallScript::BlankLineAtEnd { events }
            | CallScript::Pause { events, .. }
            | CallScript::PauseOften { events, .. } => (events, false, false, 200),
            CallScript::BreakAfterSilence { after: 0, silence } => {
                sleep(silence).await;
                return Err(lost());
            }
            CallScript::BreakAfterSilence { after, .. } => (after, true, false, 200),
            CallScript::EndlessEvent => return Ok(endless_event(running)),
            CallScript::EndlessStream => return Ok(endless_stream(running)),
            CallScript::EndlessComments => return Ok(endless_comments(running)),
            CallScript::CommentFlood { chunks } => {
                let comment = |_| Bytes::from_static(b": comment\n\n");
                return Ok(flood(running, 1..=chunks, comment));
            }
            CallScript::LargeEvents { events, bytes } => {
                let first = resume_after.map_or(1, |last| last + 1);
                return Ok(large_events(running, first..=events, bytes));
            }
            CallScript::EventFlood { events } => {
                let first = resume_after.map_or(1, |last| last + 1);
                return Ok(flood(running, first..=events, event));
            }
            CallScript::BreakAfter { event } => (event, true, false, 200),
            CallScript::StallAfter { event } => (event, false, true, 200),
        };
        let pause_at = move |position| script.pause_at(position);
        sleep(pause_at(0)).await;
        let first = resume_after.map_or(1, |last| last + 1);
        let sent = stream::iter(first..=events).then(move |id| async move {
            if id > 1 {
                sleep(pause_at(id - 1)).await;
            }
            sleep(EVENT_INTERVAL).await;
            Ok(event(id))
        });
        let tail = async move {
            let _running = running;
            match script {
                CallScript::EndWithin { after, .. } => return Some(Ok(half_event(after + 1))),
                CallScript::BlankLineAtEnd { .. } => {
                    return Some(Ok(Bytes::from_static(b"\n")));
                }
                CallScript::TextAfter { text, .. } | CallScript::Answer { text, .. } => {
                    return (!text.is_empty()).then(|| Ok(Bytes::from_static(text.as_bytes())));
                }
                _ => {}
            }
            if stalls {
                std::future::pending::<()>().await;
            }
            if let CallScript::BreakAfterSilence { silence, .. } = script {
                sleep(silence).await;
            }
            disconnects.then(|| Err(lost()))
        };
        let body = sent.chain(stream::once(tail).filter_map(std::future::ready));
        Ok(EndpointResponse {
            status: StatusCode::from_u16(status).unwrap(),
            headers: script.headers(),
            framing: script.framing(),
            leaving: false,
            limit: None,
            source: None,
            body: body.boxed(),
        })
    }
}

/// A response whose only event has no end.
fn endless_event(running: RunningCall) -> EndpointResponse {
    let chunks = stream::repeat_with(move || {
        let _ = &running;
        Ok(Bytes::from(vec![b'x'; 600_000]))
    });
    EndpointResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        framing: BodyFraming::Delimited,
        leaving: false,
        limit: None,
        source: None,
        body: chunks.boxed(),
    }
}

/// A response with events without end, each of which is ready at once.
fn endless_stream(running: RunningCall) -> EndpointResponse {
    let chunks = stream::iter(1..).map(move |id| {
        let _ = &running;
        Ok(event(id))
    });
    EndpointResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        framing: BodyFraming::Delimited,
        leaving: false,
        limit: None,
        source: None,
        body: chunks.boxed(),
    }
}

/// A response with comments without end.
fn endless_comments(running: RunningCall) -> EndpointResponse {
    let chunks = stream::repeat(()).then(move |()| {
        let _ = &running;
        async {
            sleep(EVENT_INTERVAL).await;
            Ok(Bytes::from_static(b": comment\n\n"))
        }
    });
    EndpointResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        framing: BodyFraming::Delimited,
        leaving: false,
        limit: None,
        source: None,
        body: chunks.boxed(),
    }
}

/// A response whose chunks are always ready, so that whoever reads it never waits.
fn flood(
    running: RunningCall,
    indexes: RangeInclusive<u64>,
    chunk: impl Fn(u64) -> Bytes + Send + 'static,
) -> EndpointResponse {
    let body = stream::iter(indexes).map(move |index| {
        let _ = &running;
        // The first poll moves the clock.
        let _ = advance(FLOOD_INTERVAL).now_or_never();
        Ok(chunk(index))
    });
    EndpointResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        framing: BodyFraming::Delimited,
        leaving: false,
        limit: None,
        source: None,
        body: body.boxed(),
    }
}

/// Complete output of a run with this many events of this size.
pub fn large_text(events: usize, bytes: usize) -> Bytes {
    vec!["x".repeat(bytes); events].join("\n").into()
}

fn large_events(running: RunningCall, ids: RangeInclusive<u64>, bytes: usize) -> EndpointResponse {
    let data = "x".repeat(bytes);
    let body = stream::iter(ids).then(move |id| {
        let _ = &running;
        let event = Bytes::from(format!("id: {id}\ndata: {data}\n\n"));
        async move {
            sleep(EVENT_INTERVAL).await;
            Ok(event)
        }
    });
    EndpointResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        framing: BodyFraming::Delimited,
        leaving: false,
        limit: None,
        source: None,
        body: body.boxed(),
    }
}

/// Decodes a version number as the test configuration, and `ready` or `draining` as a listing. After the version `without jobs`
/// may follow, and then the kinds and prefixes of further routes; a kind may name its service after a colon. After the state a software
/// version may follow, after it the endpoint's start in milliseconds, and then its service and domain.
struct TextDecoder;

/// Cap of the workspaces of [`capped_workspace`].
pub const TEST_CAP: RequestCap = RequestCap {
    per_second: 2.0,
    burst: 4.0,
};

/// A workspace with a cap, which a configuration names after the word `capped`.
pub fn capped_workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        cap: Some(TEST_CAP),
    }
}

impl ConfigDecoder for TextDecoder {
    fn routes(&self, key: &[u8], value: &[u8]) -> Option<Result<RouteTable, DecodeError>> {
        let text = std::str::from_utf8(value).ok()?;
        let (version, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (has_jobs, further) = match rest.strip_prefix("without jobs") {
            Some(further) => (false, further),
            None => (true, rest),
        };
        let words: Vec<&str> = further.split_whitespace().collect();
        let pairs = words.chunks_exact(2);
        let capped = pairs.clone().filter(|words| words[0] == "capped");
        let capped: Vec<_> = capped
            .map(|words| (capped_workspace(words[1]), Vec::new()))
            .collect();
        let further = pairs.filter(|words| words[0] != "capped").map(|words| {
            let (kind, service) = words[0].split_once(':').unwrap_or((words[0], "service"));
            let kind = match kind {
                "safe" => RouteKind::Safe,
                "stream" => RouteKind::Stream,
                _ => RouteKind::Batch,
            };
            let mut route = route(words[1], kind, true);
            route.shares[0].service = service.into();
            route
        });
        let mut list = routes(has_jobs);
        list.extend(further);
        let table = RouteTable::new(version.parse().ok()?, LIMITS, list);
        let has_capped = !capped.is_empty();
        let table = table.with_workspaces(has_capped.then(|| WorkspaceTable::new(capped)));
        (key == b"config").then_some(Ok(table))
    }

    fn endpoint(&self, key: &[u8], value: &[u8]) -> Result<ListedEndpoint, DecodeError> {
        let malformed = |cause: &str| DecodeError::Malformed {
            cause: cause.into(),
        };
        let text = std::str::from_utf8(value).map_err(|_| malformed("no text"))?;
        let id = std::str::from_utf8(key).map_err(|_| malformed("no text"))?;
        let mut parts = text.split(' ');
        let state = parts.next().unwrap_or_default();
        let version = parts.next().unwrap_or("1");
        let started_ms = parts.next().and_then(|start| start.parse().ok());
        let service = parts.next().unwrap_or("service");
        let domain = parts.next().unwrap_or("domain");
        let slots = parts.next().and_then(|slots| slots.parse().ok());
        let address = parts.next().and_then(|address| address.parse().ok());
        let draining = match state {
            "ready" => false,
            "draining" => true,
            "panic" => panic!("as the test asks"),
            _ => return Err(malformed(text)),
        };
        Ok(ListedEndpoint {
            version: version.into(),
            started_ms: started_ms.unwrap_or(0),
            service: service.into(),
            domain: domain.into(),
            address: address.unwrap_or_else(|| own_address(id)),
            ..listed(id, slots.unwrap_or(4), draining)
        })
    }
}

/// Address of the endpoint with this ID alone.
fn own_address(id: &str) -> SocketAddr {
    let [first, second, third, port @ ..] = xxh3_64(id.as_bytes()).to_be_bytes();
    let port = u16::from_be_bytes([port[0], port[1]]);
    SocketAddr::from(([127, first, second, third], port))
}

/// A listing with fixed address, service and domain.
pub fn listed(id: &str, slots: u32, draining: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        started_ms: 1,
        service: "service".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "domain".into(),
        version: "1".into(),
        slots,
        draining,
    }
}

/// A route to the one test service.
pub fn route(prefix: &str, kind: RouteKind, resumable: bool) -> ServiceRoute {
    ServiceRoute {
        host: "host".into(),
        path_prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(300),
        completion_target: Duration::from_secs(18),
        retention: Duration::from_mins(1),
        attempts: 3,
        resumable,
        token_quota: (kind == RouteKind::Batch).then_some(1000),
        priority: 0,
        is_public: false,
        shares: vec![ServiceShare {
            service: "service".into(),
            weight: 1,
        }],
    }
}

/// Limits for callers in the test configuration.
pub const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 8192,
    body_bytes: 65_536,
    idle_timeout: Duration::from_secs(15),
};

/// Routes of the test configuration: one of each kind, that of jobs only on request.
pub fn routes(has_jobs: bool) -> Vec<ServiceRoute> {
    let mut list = vec![
        route("/once/", RouteKind::Unsafe, false),
        route("/safe/", RouteKind::Safe, false),
        route("/stream/", RouteKind::Stream, false),
        route("/resume/", RouteKind::Stream, true),
    ];
    if has_jobs {
        list.push(route("/jobs/", RouteKind::Batch, true));
    }
    list
}

/// Hosts that pass requests on to each other.
#[derive(Clone, Default)]
pub struct MemoryHosts {
    nodes: Arc<Mutex<Vec<Arc<SwitchNode>>>>,
    passed: Arc<AtomicUsize>,
}

impl MemoryHosts {
    /// Number of attempts that were passed on.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl HostClient for MemoryHosts {
    async fn pass_on(
        &self,
        host: &HostDescriptor,
        call: &EndpointCall,
        options: PassOptions,
    ) -> Result<EndpointResponse, CallError> {
        self.passed.fetch_add(1, Ordering::Relaxed);
        let found = {
            let hosts = self.nodes.lock().unwrap();
            let is_host = |node: &&Arc<SwitchNode>| node.settings.descriptor == *host;
            hosts.iter().find(is_host).cloned()
        };
        let Some(node) = found else {
            let cause = "connection refused".into();
            return Err(CallError::NotSent { cause });
        };
        node.serve_passed_on(call.clone(), options)
            .await
            .into_passed()
    }
}

/// An in-memory log and endpoints for any number of hosts.
#[derive(Clone)]
pub struct TestFleet {
    pub log: MemoryLog,
    pub client: MemoryClient,
    pub hosts: MemoryHosts,
    /// Logger of the hosts that are started.
    /// Failure domain of the hosts that start.
    pub domain: Arc<str>,
    pub logger: slog::Logger,
}

static INCARNATION: AtomicU16 = AtomicU16::new(1);

impl TestFleet {
    /// Creates a fleet with this many endpoints and no hosts.
    pub fn new(endpoints: usize) -> Self {
        let fleet = Self {
            log: MemoryLog::default(),
            client: MemoryClient::default(),
            hosts: MemoryHosts::default(),
            domain: "domain".into(),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        };
        fleet.log.put("config", "config", "1");
        for index in 0..endpoints {
            fleet.log.put("endpoints", &format!("e{index}"), "ready");
        }
        fleet
    }

    /// Returns the same fleet over other links to the endpoints, for hosts that are cut off from them alone.
    pub fn with_other_links(&self) -> Self {
        Self {
            client: self.client.over_other_links(),
            ..self.clone()
        }
    }

    /// Returns the same fleet for hosts of another failure domain.
    pub fn in_domain(&self, domain: &str) -> Self {
        Self {
            domain: domain.into(),
            ..self.clone()
        }
    }

    /// Returns the same fleet with another access to the log, for hosts that are cut off from it alone.
    pub fn with_other_log_access(&self) -> Self {
        Self {
            log: self.log.other_access(),
            ..self.clone()
        }
    }

    /// Starts a host and waits until it is ready.
    pub async fn start(&self, name: &str) -> Arc<SwitchNode> {
        let node = self.spawn(name).await;
        sleep(Duration::from_secs(1)).await;
        assert!(node.is_ready());
        node
    }

    /// Starts a host without waiting for it.
    pub async fn spawn(&self, name: &str) -> Arc<SwitchNode> {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let peer_address = socket.local_addr().unwrap();
        self.spawn_on(name, socket, peer_address)
    }

    /// Starts a host that no other host reaches, and returns the socket that gets what they send to it.
    pub async fn spawn_isolated(&self, name: &str) -> (Arc<SwitchNode>, UdpSocket) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let unread = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let peer_address = unread.local_addr().unwrap();
        (self.spawn_on(name, socket, peer_address), unread)
    }

    /// Starts a host that uses this access to the log, without waiting for it.
    pub async fn spawn_with_log(&self, name: &str, log: Arc<dyn KeyedLog>) -> Arc<SwitchNode> {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let peer_address = socket.local_addr().unwrap();
        self.spawn_with(name, socket, peer_address, log)
    }

    fn spawn_on(&self, name: &str, socket: UdpSocket, peer_address: SocketAddr) -> Arc<SwitchNode> {
        self.spawn_with(name, socket, peer_address, Arc::new(self.log.clone()))
    }

    fn spawn_with(
        &self,
        name: &str,
        socket: UdpSocket,
        peer_address: SocketAddr,
        log: Arc<dyn KeyedLog>,
    ) -> Arc<SwitchNode> {
        let topic = |topic: &str| LogPartition {
            topic: topic.into(),
            partition: 0,
        };
        let settings = SwitchSettings {
            descriptor: HostDescriptor {
                name: name.into(),
                incarnation: INCARNATION.fetch_add(1, Ordering::Relaxed).into(),
                peer_address,
                caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: self.domain.clone(),
            },
            topics: LogTopics {
                config: topic("config"),
                endpoints: topic("endpoints"),
                hosts: topic("hosts"),
                jobs: topic("jobs"),
                texts: topic("texts"),
                origins: topic("origins"),
            },
            job_retention: Duration::from_mins(2),
            settle_time: Duration::from_secs(1),
            grace: Duration::from_secs(8),
            is_first_start: true,
            cap_bounds: CapBounds::default(),
        };
        let deps = SwitchDependencies {
            log,
            client: Arc::new(self.client.clone()),
            hosts: Arc::new(self.hosts.clone()),
            decoder: Arc::new(TextDecoder),
            logger: self.logger.clone(),
        };
        let node = SwitchNode::new(settings, deps);
        self.hosts.nodes.lock().unwrap().push(node.clone());
        node.start(socket);
        node
    }
}

/// A job whose items have ten tokens each.
pub fn submission(job: &str, items: u32) -> JobSubmission {
    submission_on("/jobs/", job, items)
}

/// A job on the route with this prefix, whose items have ten tokens each.
pub fn submission_on(prefix: &str, job: &str, items: u32) -> JobSubmission {
    let item = |index: u32| AcceptedItem {
        id: format!("{job}-{index}").into(),
        path: format!("{prefix}run").into(),
        headers: vec![("model".into(), "m".into())],
        body: Bytes::from_static(b"input"),
        tokens: 10,
    };
    JobSubmission {
        job: job.into(),
        scope: CallerScope::Everyone,
        route: Arc::new(route(prefix, RouteKind::Batch, true)),
        items: (0..items).map(item).collect(),
    }
}

/// Returns all results of a job so far.
pub async fn results(node: &SwitchNode, job: &str) -> ResultPage {
    match node
        .job_results(job, 0, Duration::ZERO, &CallerScope::Everyone)
        .await
    {
        JobReply::Found(page) => page,
        other => panic!("{job}: {other:?}"),
    }
}

/// Complete output of a run with this many events.
pub fn full_text(events: u64) -> Bytes {
    let words: Vec<String> = (1..=events).map(|id| format!("word{id}")).collect();
    words.join("\n").into()
}

/// Result of a request as seen by the caller.
#[derive(Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    Complete(Bytes),
    Truncated(Bytes),
    Status(u16),
    Rejected,
    Failed,
    TimedOut,
}

/// A request with this ID.
pub fn request(node: &SwitchNode, path: &str, id: &str) -> OnlineRequest {
    let routes = node.routes().unwrap();
    OnlineRequest {
        call: EndpointCall {
            id: id.into(),
            method: Method::POST,
            host: "host".into(),
            target: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            workspace: None,
        },
        route: routes.find("host", path).unwrap().clone(),
        workspace: None,
        resume_after: None,
        resumes: None,
        passed_on: None,
        deadline: Instant::now() + Duration::from_secs(5),
    }
}

/// A request with this ID whose prompt has these parts.
pub fn request_with_parts(
    node: &SwitchNode,
    path: &str,
    id: &str,
    parts: &[String],
) -> OnlineRequest {
    let mut request = request(node, path, id);
    let list = parts.join(",").parse().unwrap();
    request.call.headers.insert("parts", list);
    request
}

/// Sends a request and reads its response.
pub async fn send_request(node: &Arc<SwitchNode>, path: &str) -> CallerOutcome {
    read_response(node, request(node, path, "r")).await
}

/// Sends a request and reads its response.
pub async fn read_response(node: &Arc<SwitchNode>, request: OnlineRequest) -> CallerOutcome {
    let mut response = match node.serve_online(request).await {
        OnlineReply::Response(response) => response,
        OnlineReply::OverCap { .. } | OnlineReply::Rejected { .. } | OnlineReply::OutOfReach => {
            return CallerOutcome::Rejected;
        }
        OnlineReply::Failed => return CallerOutcome::Failed,
        OnlineReply::TimedOut => return CallerOutcome::TimedOut,
    };
    if !response.status.is_success() {
        return CallerOutcome::Status(response.status.as_u16());
    }
    let mut body = Vec::new();
    while let Some(chunk) = response.body.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return CallerOutcome::Truncated(body.into()),
        }
    }
    CallerOutcome::Complete(body.into())
}

/// Upper bound for conditions that take about 2 s to become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}
