//! Whole hosts in one process, on tokio's paused clock, with in-memory fakes of the platform, the network and
//! the engines.

use async_trait::async_trait;
use bytes::Bytes;
use fulmarswitch::context::HostContext;
use fulmarswitch::events::EventLog;
use fulmarswitch::host::HostNode;
use fulmarswitch::metrics::HostMetrics;
use fulmarswitch::settings::{HostSettings, LayoutSettings, PlatformSettings, TuningSettings};
use fulmarswitch_decide::shard::jobs::{chunk_digest, job_digest};
use fulmarswitch_peer::message::{ItemBatch, ResultRange};
use fulmarswitch_peer::{
    FrameStream, PeerError, PeerHandler, PeerLink, PeerMessage, PeerReply, PeerTarget, StreamFrame,
    StreamRequest,
};
use fulmarswitch_platform::{
    HostList, ListedHost, LogError, LogPage, LogService, PlatformError, WeightStore,
};
use fulmarswitch_records::record::JobSeal;
use fulmarswitch_records::{
    ConfigChange, Epoch, HostIdentity, ItemOutcome, JobHeader, LogicalClock, Offset, OnlineRequest,
    RecordBody, ShardIndex,
};
use fulmarswitch_standins::endpoints::MemoryEndpoints;
use fulmarswitch_standins::engine::{EngineFaults, MemoryEngine};
use fulmarswitch_standins::log::{LogFaults, MemoryLog};
use futures::StreamExt;
use slog::{Discard, Logger, o};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Network that delivers messages in memory. A host that is removed from it can neither send nor receive.
#[derive(Default)]
pub struct MemoryNetwork {
    nodes: Mutex<Vec<(HostIdentity, Arc<HostNode>)>>,
}

impl MemoryNetwork {
    fn node(&self, host: &HostIdentity) -> Option<Arc<HostNode>> {
        let nodes = self.nodes.lock().unwrap();
        let found = nodes.iter().find(|(known, _)| known == host);
        found.map(|(_, node)| Arc::clone(node))
    }

    async fn wait_removed(&self, host: &HostIdentity) {
        while self.node(host).is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn remove(&self, host: &HostIdentity) {
        self.nodes
            .lock()
            .unwrap()
            .retain(|(known, _)| known != host);
    }
}

struct MemoryLink {
    from: HostIdentity,
    network: Arc<MemoryNetwork>,
}

impl MemoryLink {
    fn find(&self, to: &PeerTarget) -> Result<Arc<HostNode>, PeerError> {
        let sender = self.network.node(&self.from);
        let node = sender.and_then(|_| self.network.node(&to.host));
        node.ok_or_else(|| PeerError::NotReached {
            host: to.host.clone(),
            cause: "no such host".into(),
        })
    }
}

#[async_trait]
impl PeerLink for MemoryLink {
    async fn call(&self, to: &PeerTarget, message: PeerMessage) -> Result<PeerReply, PeerError> {
        let node = self.find(to)?;
        tokio::time::sleep(Duration::from_millis(1)).await;
        let reply = tokio::select! {
            reply = node.handle(self.from.clone(), message) => Some(reply),
            () = self.network.wait_removed(&to.host) => None,
        };
        reply.ok_or_else(|| PeerError::NoReply {
            host: to.host.clone(),
            cause: "the host was lost".into(),
        })
    }

    async fn open(
        &self,
        to: &PeerTarget,
        request: StreamRequest,
    ) -> Result<FrameStream, PeerError> {
        let node = self.find(to)?;
        Ok(node.serve(request).await)
    }
}

/// The log as seen by one host. Calls that a host starts after its removal from the network never return.
struct HostLog {
    log: Arc<MemoryLog>,
    host: HostIdentity,
    network: Arc<MemoryNetwork>,
}

impl HostLog {
    async fn wait_connected(&self) {
        while self.network.node(&self.host).is_none() {
            tokio::time::sleep(Duration::from_hours(1)).await;
        }
    }
}

#[async_trait]
impl LogService for HostLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        self.wait_connected().await;
        self.log.append(stream, data).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        self.wait_connected().await;
        self.log.read(stream, from, max, wait).await
    }
}

struct StaticPlatform;

#[async_trait]
impl HostList for StaticPlatform {
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Bytes per second that the weight store serves.
pub const STORE_RATE: u64 = 1_000;

#[async_trait]
impl WeightStore for StaticPlatform {
    async fn bytes_per_second(&self) -> Result<u64, PlatformError> {
        Ok(STORE_RATE)
    }
}

/// Hosts, engines and the log that they share.
pub struct TestFleet {
    pub log: Arc<MemoryLog>,
    pub network: Arc<MemoryNetwork>,
    pub endpoints: MemoryEndpoints,
    engine_list: Vec<Arc<MemoryEngine>>,
    pub tuning: TuningSettings,
    pub events: Vec<EventLog>,
    incarnation: u64,
}

impl TestFleet {
    /// Creates a fleet without hosts and with `engines` engines at the addresses `engine-0` and so on.
    pub fn new(faults: LogFaults, tuning: TuningSettings, engines: usize) -> Self {
        let mut endpoints = MemoryEndpoints::new();
        let mut engine_list = Vec::new();
        for number in 0..engines {
            let engine = MemoryEngine::new(EngineFaults::default(), &["m"]);
            tokio::spawn(Arc::clone(&engine).run());
            endpoints.add_engine(&format!("engine-{number}"), Arc::clone(&engine));
            engine_list.push(engine);
        }
        Self {
            log: Arc::new(MemoryLog::new(faults)),
            network: Arc::default(),
            endpoints,
            engine_list,
            tuning,
            events: Vec::new(),
            incarnation: 0,
        }
    }

    /// Starts a host without waiting for it to join.
    pub fn make_host(&mut self, name: &str, domain: &str) -> (HostIdentity, Arc<HostNode>) {
        self.incarnation += 1;
        let identity = HostIdentity {
            name: name.into(),
            incarnation: self.incarnation,
        };
        let address: Arc<str> = "127.0.0.1:1".into();
        let settings = HostSettings {
            host: name.into(),
            failure_domain: domain.into(),
            caller_address: Arc::clone(&address),
            message_address: Arc::clone(&address),
            stream_address: Arc::clone(&address),
            platform: PlatformSettings {
                log_address: Arc::clone(&address),
                list_address: Arc::clone(&address),
                store_address: address,
            },
            layout: LayoutSettings {
                shards: 4,
                groups: 2,
            },
            tuning: self.tuning.clone(),
        };
        let logger = Logger::root(Discard, o!());
        let clock = LogicalClock::new();
        let events = EventLog::new(name.into(), clock, logger);
        self.events.push(events.clone());
        let context = HostContext {
            identity: identity.clone(),
            log: Arc::new(HostLog {
                log: Arc::clone(&self.log),
                host: identity.clone(),
                network: Arc::clone(&self.network),
            }),
            list: Arc::new(StaticPlatform),
            store: Arc::new(StaticPlatform),
            link: Arc::new(MemoryLink {
                from: identity.clone(),
                network: Arc::clone(&self.network),
            }),
            endpoints: Arc::new(self.endpoints.clone()),
            events,
            metrics: HostMetrics::new(),
            started: Instant::now(),
            settings: Arc::new(settings),
        };
        let node = HostNode::new(&context);
        let nodes = &self.network.nodes;
        nodes
            .lock()
            .unwrap()
            .push((identity.clone(), Arc::clone(&node)));
        (identity, node)
    }

    /// Starts a host and waits until it has joined.
    pub async fn add_host(&mut self, name: &str, domain: &str) -> (HostIdentity, Arc<HostNode>) {
        let (identity, node) = self.make_host(name, domain);
        node.join().await.expect("the host joins");
        (identity, node)
    }

    /// Returns the engine at the address `engine-{number}`.
    pub fn engine(&self, number: usize) -> &Arc<MemoryEngine> {
        &self.engine_list[number]
    }

    /// Returns the tokens that all engines have generated.
    pub fn tokens(&self) -> u64 {
        self.engine_list.iter().map(|engine| engine.tokens()).sum()
    }

    /// Returns the events of one kind that any host has emitted.
    pub fn events_of_kind(&self, kind: &str) -> Vec<String> {
        let all = self.events.iter().flat_map(EventLog::all);
        let matching = all.filter(|event| *event.kind == *kind);
        matching
            .map(|event| format!("{} {}: {}", event.host, event.entity, event.detail))
            .collect()
    }

    /// Permanently cuts a host off from the log and all other hosts.
    pub fn isolate_host(&self, host: &HostIdentity) {
        self.network.remove(host);
    }
}

/// Publishes a configuration record.
pub async fn publish(node: &HostNode, name: &str, base_version: u64, body: &str) {
    let change = ConfigChange {
        name: name.into(),
        base_version,
        schema: 1,
        body: body.into(),
    };
    let body = RecordBody::Config(change);
    let replica = &node.fleet().config;
    let receiver = replica
        .append(ShardIndex(0), Epoch(0), body)
        .expect("the record is queued");
    receiver.await.expect("the record is applied");
}

/// Publishes the workspace `w` and the service `s` with one endpoint per engine.
pub async fn publish_service(node: &HostNode, engines: usize) {
    publish(node, "workspace/w", 0, "{}").await;
    publish(node, "service/s", 0, r#"{"protocol":"engine","model":"m"}"#).await;
    for number in 0..engines {
        let body = format!(
            r#"{{"service":"s","address":"engine-{number}","failure_domain":"d{number}"}}"#
        );
        publish(node, &format!("endpoint/e{number}"), 0, &body).await;
    }
}

/// Creates a request for the service `s` in the workspace `w`.
pub fn request(key: &str, idempotent: bool) -> OnlineRequest {
    OnlineRequest {
        key: key.into(),
        workspace: "w".into(),
        service: "s".into(),
        input: format!("input of {key}").into(),
        max_tokens: 4,
        deadline_ms: 10_000,
        idempotent,
    }
}

/// Returns the owner of a key or job according to the log, as `node` has replayed it.
pub fn owner_of(fleet: &TestFleet, node: &HostNode, name: &str) -> Arc<HostNode> {
    let shard = node.fleet().view().shard_of(name);
    let owner = node.shards().owner(shard).expect("the shard has an owner");
    fleet
        .network
        .node(&owner)
        .expect("the owner is in the network")
}

/// Submits a request to its owner and returns the last frame.
pub async fn submit(node: &HostNode, request: OnlineRequest) -> StreamFrame {
    let mut frames = node.serve(StreamRequest::Submit(request)).await;
    let mut last = StreamFrame::NotOwner;
    while let Some(frame) = frames.next().await {
        last = frame;
    }
    last
}

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold within `limit`.
pub async fn wait_for(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a message to the owner of a key or job.
pub async fn call(
    fleet: &TestFleet,
    node: &HostNode,
    name: &str,
    message: PeerMessage,
) -> PeerReply {
    let from = HostIdentity {
        name: "test".into(),
        incarnation: 1,
    };
    owner_of(fleet, node, name).handle(from, message).await
}

/// Creates the header of the job `w/j`.
pub fn job_header(service: &str, max_tokens: u32, idempotent: bool) -> JobHeader {
    JobHeader {
        job: "j".into(),
        workspace: "w".into(),
        service: service.into(),
        due_ms: 1,
        max_tokens,
        idempotent,
    }
}

/// Submits a job of `total` items in batches of `batch`; the input of item 7 is `item 7`.
pub async fn submit_job(
    fleet: &TestFleet,
    node: &HostNode,
    header: JobHeader,
    total: u32,
    batch: u32,
) {
    let name = header.full_name();
    let begun = call(fleet, node, &name, PeerMessage::BeginJob(header.clone())).await;
    assert_eq!(begun, PeerReply::Received { items: 0 });
    let mut digests = Vec::new();
    for first in (0..total).step_by(batch as usize) {
        let inputs: Vec<Arc<str>> = (first..first + batch)
            .map(|item| format!("item {item}").into())
            .collect();
        digests.push(chunk_digest(&inputs));
        let job = Arc::clone(&name);
        let batch_sent = ItemBatch { job, first, inputs };
        let put = call(fleet, node, &name, PeerMessage::PutItems(batch_sent)).await;
        assert_eq!(
            put,
            PeerReply::Received {
                items: first + batch
            }
        );
    }
    let digest = job_digest(digests.into_iter());
    let seal = JobSeal {
        header,
        total,
        digest,
    };
    let sealed = call(fleet, node, &name, PeerMessage::SealJob(seal)).await;
    assert!(matches!(sealed, PeerReply::Job(report) if report.total == total));
}

/// Reads the results of the first `count` items of a job.
pub async fn read_results(
    fleet: &TestFleet,
    node: &HostNode,
    job: &str,
    count: u32,
) -> Vec<(u32, ItemOutcome)> {
    let mut results = Vec::new();
    loop {
        let first = results.last().map_or(0, |(item, _): &(u32, _)| item + 1);
        let range = ResultRange {
            job: job.into(),
            first,
            count: count - first,
        };
        match call(fleet, node, job, PeerMessage::ReadResults(range)).await {
            PeerReply::Results(page) if page.is_empty() => return results,
            PeerReply::Results(page) => results.extend(page),
            reply => panic!("no results: {reply:?}"),
        }
    }
}
