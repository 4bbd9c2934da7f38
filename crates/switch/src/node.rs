//! One host: its settings, its state and the tasks that keep it true.

use crate::backend::{DecodeError, EndpointClient, KeyedLog, LogEntry, LogPartition};
use crate::endpoint::{EndpointTable, ListedEndpoint};
use crate::follow::{FollowBatch, FollowOptions, follow};
use crate::gossip;
use crate::jobs::TextCache;
use crate::ledger::JobLedger;
use crate::load::{LoadView, RequestClass};
use crate::members::{HostDescriptor, MemberTable};
use crate::metrics::SwitchMetrics;
use crate::overload::OverloadTracker;
use crate::progress::SharedProgress;
use crate::record::{JobRecord, RecordNumberGenerator, RecordReader};
use crate::route::RouteTable;
use crate::schedule::{ItemHistories, ItemKey, ItemName};
use crate::{batch, jobs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep};

/// Longest wait of a read for the next configuration; short, so that a connection that went silent is noticed
/// well within the two seconds in which a configuration has to be in force.
const CONFIG_READ_WAIT: Duration = Duration::from_secs(1);
/// Pause between reads of the list of endpoints: a leaving endpoint may get no request after two seconds.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between reads of the jobs: a job is readable at all hosts one second after it was accepted.
pub(crate) const JOB_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between reads of the list of hosts, which beats make nearly needless.
const HOST_POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Age of the jobs' last read beyond which the log counts as lost: a few periods.
const LOG_STALE_AFTER: Duration = Duration::from_millis(1500);
/// Time after which a host that stops gives up what is still in progress, less the grace time's end.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Where the switch keeps and finds records.
#[derive(Clone, Debug)]
pub struct LogTopics {
    /// The operator's configuration.
    pub config: LogPartition,
    /// The endpoints' listings.
    pub endpoints: LogPartition,
    /// The hosts' cards.
    pub hosts: LogPartition,
    /// Records of jobs.
    pub jobs: LogPartition,
    /// Texts of completed items.
    pub texts: LogPartition,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct SwitchSettings {
    /// What the host says of itself.
    pub descriptor: HostDescriptor,
    /// Where records stand.
    pub topics: LogTopics,
    /// Time for which a job without open items stays readable.
    pub job_retention: Duration,
    /// Time that a host has to stop.
    pub grace: Duration,
}

/// Reads what the operator and the endpoints write.
pub trait ConfigDecoder: Send + Sync {
    /// Decodes a configuration; `None` for a key that is none.
    ///
    /// # Errors
    /// [`DecodeError`] says what is wrong.
    fn routes(&self, key: &[u8], value: &[u8]) -> Option<Result<RouteTable, DecodeError>>;

    /// Decodes a listing.
    ///
    /// # Errors
    /// [`DecodeError`] says what is wrong.
    fn endpoint(&self, key: &[u8], value: &[u8]) -> Result<ListedEndpoint, DecodeError>;
}

/// What a host works with.
pub struct SwitchDependencies {
    /// The log.
    pub log: Arc<dyn KeyedLog>,
    /// The way to endpoints.
    pub client: Arc<dyn EndpointClient>,
    /// The decoder of others' records.
    pub decoder: Arc<dyn ConfigDecoder>,
    /// Where lines go.
    pub logger: Logger,
}

/// A batch item in progress here.
pub(crate) struct RunningItem {
    pub(crate) name: ItemName,
    pub(crate) endpoint: Arc<str>,
    pub(crate) progress: SharedProgress,
    pub(crate) cancel: Option<oneshot::Sender<()>>,
}

/// Everything that a host knows.
pub(crate) struct SwitchState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) load: LoadView,
    pub(crate) overload: OverloadTracker,
    pub(crate) members: MemberTable,
    pub(crate) ledger: JobLedger,
    pub(crate) histories: ItemHistories,
    pub(crate) running: Vec<RunningItem>,
    pub(crate) progress: Vec<(ItemName, SharedProgress)>,
    pub(crate) unrecorded: Vec<ItemName>,
    pub(crate) texts: TextCache,
    pub(crate) stopping: bool,
    pub(crate) online_in_flight: usize,
    pub(crate) rng: SmallRng,
    pub(crate) numbers: RecordNumberGenerator,
}

impl SwitchState {
    /// Items that this host has begun: they run or have output here, or have ended here and are not recorded
    /// yet.
    pub(crate) fn own_claims(&self, max: usize) -> Vec<ItemKey> {
        let in_progress = self.progress.iter().map(|(name, _)| name);
        let names = in_progress.chain(&self.unrecorded);
        names.take(max).map(ItemName::key).collect()
    }

    /// Items that run here, or have ended here and are not recorded yet.
    pub(crate) fn busy_items(&self) -> impl Iterator<Item = &ItemName> {
        let running = self.running.iter().map(|running| &running.name);
        running.chain(&self.unrecorded)
    }

    /// Returns the output of an item so far, which counts the item as begun.
    pub(crate) fn start_progress(&mut self, name: &ItemName) -> SharedProgress {
        if let Some((_, progress)) = self.progress.iter().find(|(known, _)| known == name) {
            return progress.clone();
        }
        let progress = SharedProgress::default();
        self.progress.push((name.clone(), progress.clone()));
        progress
    }

    /// Forgets the output of an item.
    pub(crate) fn remove_progress(&mut self, name: &ItemName) {
        self.progress.retain(|(known, _)| known != name);
    }
}

/// One host of the switch.
pub struct SwitchNode {
    /// Its settings.
    pub settings: SwitchSettings,
    pub(crate) deps: SwitchDependencies,
    state: Mutex<SwitchState>,
    pub(crate) metrics: SwitchMetrics,
    pub(crate) schedule_requested: Notify,
    pub(crate) heartbeat_requested: Notify,
    pub(crate) neighbour_heartbeat_requested: Notify,
    pub(crate) started: Instant,
    pub(crate) read_requested: Notify,
    pub(crate) job_updates: watch::Sender<u64>,
    pub(crate) jobs_read_at: watch::Sender<Option<Instant>>,
}

impl SwitchNode {
    /// Makes a host.
    #[must_use]
    pub fn new(settings: SwitchSettings, deps: SwitchDependencies) -> Arc<Self> {
        let state = SwitchState {
            routes: None,
            endpoints: EndpointTable::default(),
            load: LoadView::default(),
            overload: OverloadTracker::default(),
            members: MemberTable::default(),
            ledger: JobLedger::default(),
            histories: ItemHistories::default(),
            running: Vec::new(),
            progress: Vec::new(),
            unrecorded: Vec::new(),
            texts: TextCache::default(),
            stopping: false,
            online_in_flight: 0,
            rng: SmallRng::from_os_rng(),
            numbers: RecordNumberGenerator::new(
                &settings.descriptor.name,
                settings.descriptor.incarnation,
            ),
        };
        Arc::new(Self {
            settings,
            deps,
            state: Mutex::new(state),
            metrics: SwitchMetrics::default(),
            schedule_requested: Notify::new(),
            heartbeat_requested: Notify::new(),
            neighbour_heartbeat_requested: Notify::new(),
            started: Instant::now(),
            read_requested: Notify::new(),
            job_updates: watch::Sender::new(0),
            jobs_read_at: watch::Sender::new(None),
        })
    }

    /// Starts the tasks that follow the log, exchange beats on `socket` and run items.
    pub fn start(self: &Arc<Self>, socket: UdpSocket) {
        let topics = &self.settings.topics;
        let config = FollowOptions {
            partition: topics.config.clone(),
            wait: CONFIG_READ_WAIT,
            poll_interval: Duration::ZERO,
        };
        let endpoints = FollowOptions {
            partition: topics.endpoints.clone(),
            wait: Duration::ZERO,
            poll_interval: ENDPOINT_POLL_INTERVAL,
        };
        let hosts = FollowOptions {
            partition: topics.hosts.clone(),
            wait: Duration::ZERO,
            poll_interval: HOST_POLL_INTERVAL,
        };
        tokio::spawn(follow(self.clone(), config, Self::apply_config));
        tokio::spawn(follow(self.clone(), endpoints, Self::apply_endpoints));
        tokio::spawn(follow(self.clone(), hosts, gossip::apply_host_descriptors));
        tokio::spawn(self.clone().follow_jobs());
        tokio::spawn(gossip::publish_descriptor(self.clone()));
        tokio::spawn(gossip::exchange_heartbeats(self.clone(), socket));
        tokio::spawn(batch::run_scheduler(self.clone()));
        tokio::spawn(jobs::expire_jobs(self.clone()));
    }

    /// Returns where lines go.
    pub fn logger(&self) -> &Logger {
        &self.deps.logger
    }

    /// Number of endpoints that are listed.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// Whether the host can serve callers: it knows a configuration and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.routes.is_some() && !state.stopping
    }

    /// Whether the host was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.lock().routes.clone()
    }

    /// Addresses of hosts that take callers, this one included.
    #[must_use]
    pub fn caller_addresses(&self, max: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut addresses: Vec<SocketAddr> = state
            .members
            .live(now)
            .filter(|entry| entry.ready)
            .map(|entry| entry.descriptor.caller_address)
            .collect();
        if state.routes.is_some() && !state.stopping {
            addresses.push(self.settings.descriptor.caller_address);
        }
        while addresses.len() > max {
            let index = state.rng.random_range(..addresses.len());
            addresses.swap_remove(index);
        }
        addresses
    }

    /// Makes another host known, which gets beats from now on.
    pub fn add_peer(&self, descriptor: &HostDescriptor) {
        self.lock()
            .members
            .add_known(descriptor.clone(), Instant::now());
    }

    /// Stops: takes no new work, hands items on and waits until requests in progress have ended or the grace
    /// time that began at `started` is nearly over.
    pub async fn stop(self: &Arc<Self>, started: Instant) {
        let online = {
            let mut state = self.lock();
            state.stopping = true;
            state.online_in_flight
        };
        info!(self.deps.logger, "stopping"; "online" => online);
        self.heartbeat_requested.notify_one();
        batch::hand_over(self).await;
        self.wait_idle(started).await;
    }

    /// Waits until no online request is in progress, or the grace time that began at `started` is nearly over.
    pub async fn wait_idle(&self, started: Instant) {
        let limit = self.settings.grace.saturating_sub(STOP_MARGIN);
        while self.lock().online_in_flight > 0 && started.elapsed() < limit {
            sleep(Duration::from_millis(20)).await;
        }
        let unfinished = self.lock().online_in_flight;
        info!(self.deps.logger, "idle"; "left" => unfinished, "took_ms" => millis(started.elapsed()));
    }

    /// Whether this host has read the log lately.
    pub(crate) fn has_log(&self, now: Instant) -> bool {
        let read_at = *self.jobs_read_at.borrow();
        read_at.is_some_and(|read_at| now.duration_since(read_at) < LOG_STALE_AFTER)
    }

    /// Keeps new work off an endpoint that failed, for a while. `state` belongs to this host.
    pub(crate) fn avoid_endpoint(&self, state: &mut SwitchState, id: &str, now: Instant) {
        let time = state.load.health(id).record_connection_failure(now);
        info!(self.deps.logger, "endpoint avoided"; "endpoint" => id, "for_ms" => millis(time));
    }

    /// Notes that an endpoint answered with a failure, and tells the other hosts if that speaks against it.
    pub(crate) fn record_failure_response(
        &self,
        state: &mut SwitchState,
        id: &str,
        class: RequestClass,
    ) {
        let now = Instant::now();
        if let Some(time) = state.load.health(id).record_failure_response(class, now) {
            info!(self.deps.logger, "endpoint avoided"; "endpoint" => id, "for_ms" => millis(time),
                "cause" => "it answers with failures");
            self.heartbeat_requested.notify_one();
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_config(&self, batch: FollowBatch<'_>) {
        for entry in batch.records() {
            let record = &entry.record;
            let Some(decoded) = self.deps.decoder.routes(&record.key, &record.value) else {
                continue;
            };
            match decoded {
                Ok(table) => self.apply_routes(table, entry.offset),
                Err(cause) => {
                    warn!(self.deps.logger, "configuration left out";
                        "offset" => entry.offset, "cause" => %cause);
                }
            }
        }
    }

    fn apply_routes(&self, table: RouteTable, offset: u64) {
        let mut state = self.lock();
        let old = state.routes.as_ref().map(|routes| routes.version);
        if old.is_some_and(|old| old >= table.version) {
            return;
        }
        info!(self.deps.logger, "configuration in force"; "version" => table.version,
            "old" => old, "offset" => offset, "routes" => table.route_count());
        state.routes = Some(Arc::new(table));
    }

    fn apply_endpoints(&self, batch: FollowBatch<'_>) {
        let now = Instant::now();
        let mut state = self.lock();
        match batch {
            FollowBatch::Unavailable => state.endpoints.mark_store_unavailable(),
            FollowBatch::Snapshot(records) => {
                state.endpoints.mark_store_available(now);
                let listed = records
                    .iter()
                    .filter_map(|entry| self.decode_endpoint(entry));
                state.endpoints.replace(listed.collect(), now);
            }
            FollowBatch::Tail(records) => {
                state.endpoints.mark_store_available(now);
                for entry in records {
                    self.apply_endpoint(&mut state, entry, now);
                }
            }
        }
        for id in state.endpoints.expire(now) {
            info!(self.deps.logger, "endpoint gone"; "endpoint" => &*id, "held_back" => true);
            state.load.forget(&id);
        }
    }

    fn apply_endpoint(&self, state: &mut SwitchState, entry: &LogEntry, now: Instant) {
        if entry.record.value.is_empty() {
            let id = String::from_utf8_lossy(&entry.record.key);
            if state.endpoints.remove(&id, now) {
                info!(self.deps.logger, "endpoint unlisted";
                    "endpoint" => &*id, "offset" => entry.offset);
            }
            return;
        }
        let Some(endpoint) = self.decode_endpoint(entry) else {
            return;
        };
        let (id, draining) = (endpoint.id.clone(), endpoint.draining);
        let restarted = state
            .endpoints
            .get(&id)
            .is_some_and(|old| old.started_ms != endpoint.started_ms && endpoint.started_ms != 0);
        if state.endpoints.set(endpoint) {
            if restarted {
                state.load.health(&id).record_success(now);
            }
            info!(self.deps.logger, "endpoint listed"; "endpoint" => &*id,
                "draining" => draining, "restarted" => restarted, "offset" => entry.offset);
        }
    }

    fn decode_endpoint(&self, entry: &LogEntry) -> Option<ListedEndpoint> {
        let record = &entry.record;
        match self.deps.decoder.endpoint(&record.key, &record.value) {
            Ok(endpoint) => Some(endpoint),
            Err(cause) => {
                warn!(self.deps.logger, "listing left out";
                    "key" => &*String::from_utf8_lossy(&record.key),
                    "offset" => entry.offset, "cause" => %cause);
                None
            }
        }
    }

    async fn follow_jobs(self: Arc<Self>) {
        let options = FollowOptions {
            partition: self.settings.topics.jobs.clone(),
            wait: Duration::ZERO,
            poll_interval: JOB_POLL_INTERVAL,
        };
        let mut reader = RecordReader::default();
        let apply = move |node: &Self, batch: FollowBatch<'_>| {
            if let FollowBatch::Snapshot(_) = batch {
                reader = RecordReader::default();
            }
            for entry in batch.records() {
                match reader.push(entry) {
                    None => {}
                    Some(Ok(record)) => node.apply_record(record, entry),
                    Some(Err(error)) => {
                        warn!(node.deps.logger, "record left out";
                            "offset" => entry.offset, "cause" => %error);
                    }
                }
            }
            if !batch.records().is_empty() {
                node.schedule_requested.notify_one();
                node.job_updates.send_modify(|count| *count += 1);
            }
        };
        follow(self, options, apply).await;
    }

    fn apply_record(&self, record: JobRecord, last: &LogEntry) {
        let job = record.job().clone();
        let kind = match &record {
            JobRecord::Accepted(_) => "accepted",
            JobRecord::Settled { .. } => "settled",
            JobRecord::Failed { .. } => "failed",
            JobRecord::Progress { .. } => "progress",
            JobRecord::Cancelled { .. } => "ended",
        };
        let last_key = &last.record.key;
        let change = self.lock().ledger.apply_entry(record, last_key);
        slog::debug!(self.deps.logger, "job record"; "job" => &*job, "kind" => kind,
            "offset" => last.offset, "change" => ?change);
    }
}

/// Counts one request in progress at an endpoint until dropped.
pub(crate) struct InFlightGuard {
    node: Arc<SwitchNode>,
    endpoint: Arc<str>,
    class: RequestClass,
}

impl InFlightGuard {
    /// Counts a request at `endpoint` in `state`, which belongs to `node`.
    pub(crate) fn begin(
        node: &Arc<SwitchNode>,
        state: &mut SwitchState,
        endpoint: &ListedEndpoint,
        class: RequestClass,
    ) -> Self {
        state.load.begin(&endpoint.id, class);
        node.neighbour_heartbeat_requested.notify_one();
        if class == RequestClass::Online && state.load.total(&endpoint.id).total() > endpoint.slots
        {
            // Batch items have to give way: the hosts that run them learn of it at once.
            node.heartbeat_requested.notify_one();
            node.schedule_requested.notify_one();
        }
        Self {
            node: node.clone(),
            endpoint: endpoint.id.clone(),
            class,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node.lock().load.finish(&self.endpoint, self.class);
        self.node.neighbour_heartbeat_requested.notify_one();
    }
}

/// The host's clock in milliseconds since the Unix epoch; takes part in due times only.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 counts as 1970: due times are then all in the future.
    since.map_or(0, millis)
}

/// A time span in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
