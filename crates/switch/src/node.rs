//! One host of the switch: its settings, its state and its background tasks.

use crate::backend::{
    DecodeError, EndpointClient, HostClient, KeyedLog, LogEntry, LogPartition, ReadSize,
};
use crate::batch::routeless::RoutelessJobs;
use crate::coordinator::CoordinationState;
use crate::crash_watch::CrashState;
use crate::departures::RecentDepartures;
use crate::endpoint::{EndpointTable, ListedEndpoint};
use crate::expiry::DeletionQueue;
use crate::follow::{FollowBatch, FollowOptions, follow};
use crate::gossip;
use crate::idle_items::IdleItems;
use crate::item_status::ItemWaits;
use crate::jobs::TextCache;
use crate::ledger::{JobLedger, LedgerChange};
use crate::limits::LimitTable;
use crate::load::{LoadView, RequestClass};
use crate::members::{HostDescriptor, MemberTable};
use crate::metrics::SwitchMetrics;
use crate::origins::OriginTable;
use crate::overload::OverloadTracker;
use crate::panics::{contain, spawn_vital};
use crate::progress::SharedProgress;
use crate::reach::{EndpointReach, ReachPhase};
use crate::record::{FrameRange, JobRecord, RecordNumberGenerator, RecordReader};
use crate::route::RouteTable;
use crate::schedule::{ItemHistories, ItemKey, ItemName, ItemTimes};
use crate::stop::{AnswerTimes, RunDelay, StopPlan};
use crate::version_holds::VersionHolds;
use crate::versions::VersionState;
use crate::workspace::{bucket::CapBounds, exchange::CapState};
use crate::{batch, crash_exchange, crash_log, expiry, listings, versions};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

/// Maximum wait of a read for the next configuration. It is short, so that a stalled connection is detected well
/// within the 2 s in which a configuration must take effect.
const CONFIG_READ_WAIT: Duration = Duration::from_secs(1);
/// Interval between reads of the endpoint listings. A draining endpoint must get no requests after 2 s.
const ENDPOINT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the job records. A job must be readable at all hosts 1 s after it was accepted.
pub(crate) const JOB_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between reads of the host descriptors. Heartbeats distribute them as well, so these reads are rarely
/// needed.
const HOST_POLL_INTERVAL: Duration = Duration::from_secs(4);
/// Age of the last read of the job records beyond which the log counts as unavailable: a few poll intervals.
const LOG_STALE_AFTER: Duration = Duration::from_millis(1500);

/// Age of the last complete read of the configuration from which on a later one may be in force: two long polls and their responses.
const CONFIG_STALE_AFTER: Duration = Duration::from_secs(3);

/// Partitions of the log in which the switch stores and reads records.
#[derive(Clone, Debug)]
pub struct LogTopics {
    /// Configuration published by the operator.
    pub config: LogPartition,
    /// Endpoint listings.
    pub endpoints: LogPartition,
    /// Host descriptors.
    pub hosts: LogPartition,
    /// Job records.
    pub jobs: LogPartition,
    /// Output texts of items.
    pub texts: LogPartition,
    /// Origins of streams. Records of this topic expire, and do not replace each other.
    pub origins: LogPartition,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct SwitchSettings {
    /// Descriptor that the host publishes to its peers.
    pub descriptor: HostDescriptor,
    /// Partitions of the log that the host uses.
    pub topics: LogTopics,
    /// Time after acceptance for which a job stays readable. A job with open items is retained beyond it.
    pub job_retention: Duration,
    /// Time after which what one host has told a caller of a job must be known at all hosts.
    pub settle_time: Duration,
    /// Grace period for shutdown.
    pub grace: Duration,
    /// Whether the whole system starts for the first time, so that nothing in it is older than this host.
    pub is_first_start: bool,
    /// How far workspaces may exceed their caps.
    pub cap_bounds: CapBounds,
}

/// Decodes records written by the operator and by endpoints.
pub trait ConfigDecoder: Send + Sync {
    /// Decodes a configuration; returns `None` for a key that does not hold one.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the record is malformed or has an invalid value.
    fn routes(&self, key: &[u8], value: &[u8]) -> Option<Result<RouteTable, DecodeError>>;

    /// Decodes an endpoint listing.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the record is malformed or has an invalid value.
    fn endpoint(&self, key: &[u8], value: &[u8]) -> Result<ListedEndpoint, DecodeError>;
}

/// External systems and services that a host depends on.
pub struct SwitchDependencies {
    /// Log for all durable state.
    pub log: Arc<dyn KeyedLog>,
    /// Client for calls to endpoints.
    pub client: Arc<dyn EndpointClient>,
    /// Client for requests that are passed on to other hosts.
    pub hosts: Arc<dyn HostClient>,
    /// Decoder for configurations and listings.
    pub decoder: Arc<dyn ConfigDecoder>,
    /// Logger of the host.
    pub logger: Logger,
}

/// A batch item that runs on this host.
pub(crate) struct RunningItem {
    pub(crate) name: ItemName,
    /// ID of the endpoint.
    pub(crate) endpoint: Arc<str>,
    pub(crate) progress: SharedProgress,
    /// Cancels the run; `None` once it has been cancelled.
    pub(crate) cancel: Option<oneshot::Sender<()>>,
}

/// Mutable state of a host, guarded by one mutex.
pub(crate) struct SwitchState {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) departures: RecentDepartures,
    pub(crate) load: LoadView,
    pub(crate) coordination: CoordinationState,
    pub(crate) caps: CapState,
    pub(crate) limits: LimitTable,
    pub(crate) origins: OriginTable,
    pub(crate) versions: VersionState,
    pub(crate) overload: OverloadTracker,
    pub(crate) crashes: CrashState,
    pub(crate) reach: EndpointReach,
    pub(crate) members: MemberTable,
    pub(crate) ledger: JobLedger,
    pub(crate) deletions: DeletionQueue,
    pub(crate) routeless: RoutelessJobs,
    /// Start of the last read that reached the end of the configuration's partition.
    pub(crate) config_read_at: Option<Instant>,
    pub(crate) histories: ItemHistories,
    pub(crate) item_times: ItemTimes,
    pub(crate) version_holds: VersionHolds,
    pub(crate) idle_items: IdleItems,
    pub(crate) item_waits: ItemWaits,
    /// When the open items were last logged.
    pub(crate) items_logged_at: Option<Instant>,
    pub(crate) running: Vec<RunningItem>,
    /// Output so far of started items, whether they run or wait to be continued.
    pub(crate) progress: Vec<(ItemName, SharedProgress)>,
    /// Items of which the log does not hold yet that they have a final outcome or that their output was discarded.
    pub(crate) unrecorded: Vec<ItemName>,
    pub(crate) texts: TextCache,
    pub(crate) stopping: bool,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) run_delay: RunDelay,
    pub(crate) online_in_flight: usize,
    /// Requests of callers that have begun to arrive and whose answers are not written completely.
    pub(crate) open_requests: usize,
    pub(crate) rng: SmallRng,
    pub(crate) numbers: RecordNumberGenerator,
}

impl SwitchState {
    /// Items that this host claims: they run or have output here, or their outcome is not recorded in the log yet and they are not left to
    /// other hosts. Those that run here come first.
    pub(crate) fn own_claims(&self, max: usize, now: Instant) -> Vec<ItemKey> {
        let running = self.running.iter().map(|running| &running.name);
        let is_running = |name: &ItemName| self.running.iter().any(|running| running.name == *name);
        let in_progress = self.progress.iter().map(|(name, _)| name);
        let waiting = in_progress.filter(|name| !is_running(name));
        let unrecorded = self.unrecorded.iter();
        let unrecorded = unrecorded.filter(|name| !self.idle_items.is_released(name, now));
        let names = running.chain(unrecorded).chain(waiting);
        names.take(max).map(ItemName::key).collect()
    }

    /// Items that run here, or that the log has to record something of first.
    pub(crate) fn busy_items(&self) -> impl Iterator<Item = &ItemName> {
        let running = self.running.iter().map(|running| &running.name);
        running.chain(&self.unrecorded)
    }

    /// Returns the output of an item so far, creating an empty one if needed. From then on the item counts as
    /// started.
    pub(crate) fn start_progress(&mut self, name: &ItemName) -> SharedProgress {
        if let Some((_, progress)) = self.progress.iter().find(|(known, _)| known == name) {
            return progress.clone();
        }
        let progress = SharedProgress::default();
        self.progress.push((name.clone(), progress.clone()));
        progress
    }

    pub(crate) fn remove_progress(&mut self, name: &ItemName) {
        self.progress.retain(|(known, _)| known != name);
    }
}

/// One host of the switch.
pub struct SwitchNode {
    /// Settings that the host was started with.
    pub settings: SwitchSettings,
    pub(crate) deps: SwitchDependencies,
    state: Mutex<SwitchState>,
    pub(crate) metrics: SwitchMetrics,
    /// Requests a scheduling pass before the next interval.
    pub(crate) schedule_requested: Notify,
    /// Socket for messages to and from other hosts; set when the host is started.
    pub(crate) socket: OnceLock<UdpSocket>,
    /// Notifies the tasks that wait for the origin of a stream.
    pub(crate) origin_received: Notify,
    /// Requests an append of the origins that this host has to write to the log.
    pub(crate) origins_queued: Notify,
    /// Offset up to which this host has read the origins in the log.
    pub(crate) origins_read_until: tokio::sync::Mutex<u64>,
    /// Requests an immediate heartbeat to all hosts.
    pub(crate) heartbeat_requested: Notify,
    /// Requests an immediate heartbeat to the neighbours.
    pub(crate) neighbour_heartbeat_requested: Notify,
    /// Whether this host reaches the endpoints. Notifies the requests that wait for one.
    pub(crate) reach_changes: watch::Sender<ReachPhase>,
    /// Requests a report of crashes to all hosts.
    pub(crate) crash_report_requested: Notify,
    /// Notifies the requests that wait for the answer of an arbiter.
    pub(crate) trial_settled: Notify,
    pub(crate) started: Instant,
    /// The planned stop that is in progress.
    pub(crate) stop_plan: watch::Sender<Option<StopPlan>>,
    /// When this host last got data from an endpoint, in milliseconds since its start.
    heard_ms: AtomicU64,
    /// Requests a read of the job records before the next interval.
    pub(crate) read_requested: Notify,
    /// Requests a read of the listings before the next interval.
    pub(crate) listings_requested: Notify,
    /// Start of the last read that reached the end of the listings; `None` before the first one.
    pub(crate) listings_read_at: watch::Sender<Option<Instant>>,
    /// Number of reads that returned job records.
    pub(crate) job_updates: watch::Sender<u64>,
    /// Start of the last read that reached the end of the job records; `None` before the first one.
    pub(crate) jobs_read_at: watch::Sender<Option<Instant>>,
}

impl SwitchNode {
    /// Creates a host. Nothing runs until [`SwitchNode::start`].
    #[must_use]
    pub fn new(settings: SwitchSettings, deps: SwitchDependencies) -> Arc<Self> {
        let state = SwitchState {
            routes: None,
            endpoints: EndpointTable::default(),
            departures: RecentDepartures::default(),
            load: LoadView::default(),
            coordination: CoordinationState::default(),
            caps: CapState::new(
                settings.cap_bounds,
                settings.descriptor.incarnation,
                Instant::now(),
            ),
            limits: LimitTable::default(),
            origins: OriginTable::default(),
            versions: VersionState::default(),
            overload: OverloadTracker::default(),
            crashes: CrashState::default(),
            reach: EndpointReach::default(),
            members: MemberTable::default(),
            ledger: JobLedger::default(),
            deletions: DeletionQueue::default(),
            routeless: RoutelessJobs::default(),
            config_read_at: None,
            histories: ItemHistories::default(),
            item_times: ItemTimes::default(),
            version_holds: VersionHolds::default(),
            idle_items: IdleItems::default(),
            item_waits: ItemWaits::default(),
            items_logged_at: None,
            running: Vec::new(),
            progress: Vec::new(),
            unrecorded: Vec::new(),
            texts: TextCache::default(),
            stopping: false,
            answer_times: AnswerTimes::default(),
            run_delay: RunDelay::default(),
            online_in_flight: 0,
            open_requests: 0,
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
            socket: OnceLock::new(),
            origin_received: Notify::new(),
            origins_queued: Notify::new(),
            origins_read_until: tokio::sync::Mutex::new(0),
            heartbeat_requested: Notify::new(),
            neighbour_heartbeat_requested: Notify::new(),
            reach_changes: watch::Sender::new(ReachPhase::Reached),
            crash_report_requested: Notify::new(),
            trial_settled: Notify::new(),
            started: Instant::now(),
            stop_plan: watch::Sender::new(None),
            heard_ms: AtomicU64::new(0),
            read_requested: Notify::new(),
            listings_requested: Notify::new(),
            listings_read_at: watch::Sender::new(None),
            job_updates: watch::Sender::new(0),
            jobs_read_at: watch::Sender::new(None),
        })
    }

    /// Spawns the tasks that follow the log, exchange heartbeats on `socket` and run batch items.
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
        spawn_vital(
            "configuration",
            follow(self.clone(), config, Self::apply_config),
        );
        spawn_vital(
            "listings",
            follow(self.clone(), endpoints, listings::apply_listings),
        );
        spawn_vital(
            "host descriptors",
            follow(self.clone(), hosts, gossip::apply_host_descriptors),
        );
        spawn_vital("job records", self.clone().follow_jobs());
        spawn_vital("own descriptor", gossip::publish_descriptor(self.clone()));
        spawn_vital(
            "heartbeats",
            gossip::exchange_heartbeats(self.clone(), socket),
        );
        spawn_vital("crash reports", crash_exchange::share_crashes(self.clone()));
        spawn_vital(
            "stored crash reports",
            crash_log::store_reports(self.clone()),
        );
        spawn_vital(
            "version history",
            versions::store::store_changes(self.clone()),
        );
        spawn_vital(
            "stored origins",
            versions::origin_log::store_origins(self.clone()),
        );
        spawn_vital("items", batch::run_scheduler(self.clone()));
        spawn_vital("expired jobs", expiry::expire_jobs(self.clone()));
    }

    /// Logger of the host.
    pub fn logger(&self) -> &Logger {
        &self.deps.logger
    }

    /// Number of listed endpoints.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// Whether the host can serve callers: it has a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.routes.is_some() && !state.stopping
    }

    /// Whether a shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Returns the routes of the configuration in force; `None` before the first one was read.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.lock().routes.clone()
    }

    /// Whether the configuration was read lately, so that a route which it lacks does not exist.
    #[must_use]
    pub fn has_current_config(&self) -> bool {
        let read_at = self.lock().config_read_at;
        read_at.is_some_and(|read_at| read_at.elapsed() < CONFIG_STALE_AFTER)
    }

    /// Caller addresses of at most `max` ready hosts, including this one; a random selection if there are more. Hosts that are cut off from
    /// the endpoints are left out as long as there are others.
    #[must_use]
    pub fn caller_addresses(&self, max: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let mut state = self.lock();
        let caller_addresses = |state: &SwitchState, is_cut_off: bool| {
            let hosts = state.members.live(now);
            let hosts = hosts.filter(|entry| entry.accepts_callers(is_cut_off));
            let mut addresses: Vec<SocketAddr> =
                hosts.map(|entry| entry.descriptor.caller_address).collect();
            let accepts_callers = state.routes.is_some() && !state.stopping;
            if accepts_callers && state.reach.is_cut_off() == is_cut_off {
                addresses.push(self.settings.descriptor.caller_address);
            }
            addresses
        };
        let mut addresses = caller_addresses(&state, false);
        if addresses.is_empty() {
            addresses = caller_addresses(&state, true);
        }
        while addresses.len() > max {
            let index = state.rng.random_range(..addresses.len());
            addresses.swap_remove(index);
        }
        addresses
    }

    /// Adds a host to the member table, so that heartbeats are sent to it.
    pub fn add_peer(&self, descriptor: &HostDescriptor) {
        self.lock()
            .members
            .add_host(descriptor.clone(), Instant::now());
    }

    /// Records that this host has got data from an endpoint.
    pub(crate) fn record_heard(&self) {
        let heard = millis(self.started.elapsed());
        self.heard_ms.store(heard, Ordering::Relaxed);
    }

    /// When this host last got data from an endpoint; its start if it has not.
    pub(crate) fn heard_at(&self) -> Instant {
        self.started + Duration::from_millis(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Age of the ledger: when the last complete read of the job records began. Before the first one, the age of this host.
    pub(crate) fn ledger_age(&self, now: Instant) -> Duration {
        let read_at = self.jobs_read_at.borrow().unwrap_or(self.started);
        now.duration_since(read_at)
    }

    /// Records a read of the job records that reached their end. It began at `started`.
    pub(crate) fn record_complete_job_read(&self, started: Instant, size: ReadSize) {
        let now = Instant::now();
        let age = self.ledger_age(now);
        if age > self.settings.settle_time {
            info!(self.deps.logger, "job records read late"; "age_ms" => millis(age),
                "read_ms" => millis(now.duration_since(started)), "records" => size.records,
                "bytes" => size.bytes);
        }
        self.jobs_read_at.send_replace(Some(started));
    }

    /// Whether this host has read the job records within [`LOG_STALE_AFTER`].
    pub(crate) fn has_log(&self, now: Instant) -> bool {
        let read_at = *self.jobs_read_at.borrow();
        read_at.is_some_and(|read_at| now.duration_since(read_at) < LOG_STALE_AFTER)
    }

    /// Takes a failed endpoint out of rotation on this host for a while. `state` is the state of this host.
    pub(crate) fn avoid_endpoint(&self, state: &mut SwitchState, id: &str, now: Instant) {
        let duration = state.load.health(id).record_connection_failure(now);
        info!(self.deps.logger, "endpoint avoided"; "endpoint" => id, "for_ms" => millis(duration));
    }

    /// Records an error response of an endpoint. If that takes the endpoint out of rotation, the other hosts are
    /// notified by an immediate heartbeat.
    pub(crate) fn record_error_response(
        &self,
        state: &mut SwitchState,
        id: &str,
        class: RequestClass,
    ) {
        let now = Instant::now();
        if let Some(duration) = state.load.health(id).record_error_response(class, now) {
            info!(self.deps.logger, "endpoint avoided"; "endpoint" => id, "for_ms" => millis(duration),
                "cause" => "it answers with failures");
            self.heartbeat_requested.notify_one();
        }
    }

    /// Runs a step that reads data from outside. Returns `None` if it panics, and the data is to be left out.
    pub(crate) fn contain<T>(&self, step: &'static str, run: impl FnOnce() -> T) -> Option<T> {
        contain(&self.deps.logger, &self.metrics, step, run)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, SwitchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow_jobs(self: Arc<Self>) {
        let options = FollowOptions {
            partition: self.settings.topics.jobs.clone(),
            wait: Duration::ZERO,
            poll_interval: JOB_POLL_INTERVAL,
        };
        let mut reader = RecordReader::default();
        // Jobs of the snapshot that is being read.
        let mut accepted: Vec<Arc<str>> = Vec::new();
        let apply = move |node: &Self, batch: FollowBatch<'_>| {
            match batch {
                FollowBatch::Unavailable => node.lock().deletions.interrupt(Instant::now()),
                FollowBatch::JobsBegin => {
                    reader = RecordReader::default();
                    accepted.clear();
                    node.lock().deletions.clear();
                }
                FollowBatch::JobsEnd => {
                    // The others were deleted after the last record that this host had read.
                    accepted.sort_unstable();
                    let is_accepted = |job: &Arc<str>| accepted.binary_search(job).is_ok();
                    node.lock().ledger.retain(is_accepted);
                }
                // The part has all frames of its records, so those that are left over are never completed.
                FollowBatch::Jobs(_) => reader = RecordReader::default(),
                FollowBatch::Snapshot(_) | FollowBatch::Tail(_) => {}
            }
            let is_part = matches!(batch, FollowBatch::Jobs(_));
            for entry in batch.records() {
                if entry.record.value.is_empty() {
                    node.lock().apply_tombstone(entry, Instant::now());
                    continue;
                }
                let pushed = node.contain("decode a job record", || reader.push(entry));
                let Some(pushed) = pushed else {
                    node.lock().deletions.read_undecoded(&entry.record.key);
                    continue;
                };
                match pushed {
                    None => {}
                    Some(Ok(record)) => {
                        if is_part && matches!(record, JobRecord::Accepted(_)) {
                            accepted.push(record.job().clone());
                        }
                        node.apply_record(record, entry);
                    }
                    Some(Err(error)) => {
                        node.lock().deletions.read_undecoded(&entry.record.key);
                        warn!(node.deps.logger, "job record ignored";
                            "offset" => entry.offset, "cause" => %error);
                    }
                }
            }
            let is_current = match batch {
                FollowBatch::JobsEnd => true,
                FollowBatch::Tail(page) => !page.records.is_empty(),
                _ => false,
            };
            if is_current {
                node.schedule_requested.notify_one();
                node.job_updates.send_modify(|count| *count += 1);
            }
        };
        follow(self, options, apply).await;
    }

    fn apply_record(&self, record: JobRecord, last_frame: &LogEntry) {
        let job = record.job().clone();
        let kind = match &record {
            JobRecord::Accepted(_) => "accepted",
            JobRecord::Settled { .. } => "settled",
            JobRecord::Failed { .. } => "failed",
            JobRecord::Progress { .. } | JobRecord::Checkpoint { .. } => "progress",
            JobRecord::Discarded { .. } => "discarded",
            JobRecord::Cancelled { .. } => "ended",
        };
        let last_key = &last_frame.record.key;
        let discarded_item = match &record {
            JobRecord::Discarded { item, .. } => Some(*item),
            _ => None,
        };
        let record_frames = FrameRange::from_record_key(last_key);
        let frames = record_frames.into_iter().chain(record.text_frames());
        let frames: Vec<FrameRange> = frames.collect();
        let mut state = self.lock();
        let is_acceptance = if let JobRecord::Accepted(accepted) = &record {
            let retention = self.settings.job_retention;
            if let Some(replaced) = state.ledger.remove_replaced(accepted, retention) {
                state.deletions.push_job(&replaced, Instant::now());
            }
            true
        } else {
            false
        };
        let ledger = &mut state.ledger;
        let applied = self.contain("apply a job record", || {
            ledger.apply_entry(record, last_key)
        });
        let Some(change) = applied else {
            return;
        };
        if !is_acceptance && state.ledger.get(&job).is_none() {
            state.deletions.push_orphan(&job, &frames, Instant::now());
        }
        if let (LedgerChange::Discarded, Some(item)) = (&change, discarded_item) {
            state
                .unrecorded
                .retain(|name| (&name.job, name.item) != (&job, item));
        }
        drop(state);
        slog::debug!(self.deps.logger, "job record"; "job" => &*job, "kind" => kind,
            "offset" => last_frame.offset, "change" => ?change);
    }
}

/// Wall-clock time in milliseconds since the Unix epoch. Used for incarnations and for times that hosts share over the
/// log: acceptance, due times and retention. Timeouts use the monotonic clock.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 counts as 1970, so that all due times are in the future.
    since.map_or(0, millis)
}

/// Converts a duration to whole milliseconds, saturating.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
