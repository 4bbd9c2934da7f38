//! Coordinates online requests on the host that owns the shard of their idempotency keys.
//!
//! The owner accepts a request, runs it at an endpoint and records its outcome in the log. Each
//! accepted request has at most one `RequestRun` here, to which any number of streams subscribe. A
//! run continues when its shard moves to another host; the new owner then records its outcome.

mod at_most_once;
mod attempt;
mod recovery;
mod run;
mod second_attempt;

use crate::backup::OutcomeBackup;
use crate::balancer::LoadBalancer;
use crate::context::{HostContext, lock, millis};
use crate::fleet::FleetState;
use crate::gates::GateManager;
use crate::shards::ShardReplicas;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_peer::message::{KeyName, Refusal, RequestOutcome, RunState};
use fulmarswitch_peer::{FrameStream, PeerMessage, PeerReply, StreamFrame};
use fulmarswitch_platform::LogError;
use fulmarswitch_records::record::{ForgetName, KeyOutcome};
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, OnlineRequest, RecordBody, RecordPlace, ShardIndex, SortedIndex,
};
use futures::StreamExt;
use run::{RequestRun, RunOrigin};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which a run that waits for its acceptance record checks whether the log is still
/// available. If it is not, the request is served without waiting for the record.
const LOG_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time that the last frame of a run waits for the log to record the outcome. Longer than one long
/// poll of the log's readers, so that an idle log is not mistaken for an outage.
const LOG_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Retry delay for callers while the log is unavailable.
pub(crate) const LOG_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay for callers when a refusal has no delay of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Owner of the idempotency keys of the shards that this host owns.
pub struct KeyOwner {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    gates: Arc<GateManager>,
    balancer: Arc<LoadBalancer>,
    backup: Arc<OutcomeBackup>,
    runs: Mutex<SortedIndex<Arc<str>, Arc<RequestRun>>>,
    /// Hosts that still run requests of shards owned here, as previous owners reported, by full key.
    remote_runs: Mutex<SortedIndex<Arc<str>, HostIdentity>>,
    in_progress: watch::Sender<usize>,
}

impl KeyOwner {
    /// Creates an owner without runs; [`Self::run_recovery`] resumes requests accepted earlier.
    #[must_use]
    pub fn new(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        shards: &Arc<ShardReplicas>,
        gates: &Arc<GateManager>,
        balancer: &Arc<LoadBalancer>,
        backup: &Arc<OutcomeBackup>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            shards: Arc::clone(shards),
            gates: Arc::clone(gates),
            balancer: Arc::clone(balancer),
            backup: Arc::clone(backup),
            runs: Mutex::default(),
            remote_runs: Mutex::default(),
            in_progress: watch::Sender::new(0),
        })
    }

    /// Returns the backup at other hosts of outcomes that are not in the log yet.
    #[must_use]
    pub fn backup(&self) -> &Arc<OutcomeBackup> {
        &self.backup
    }

    /// Returns the number of runs on this host, including those of shards that have moved away.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        lock(&self.runs).len()
    }

    /// Accepts a request, or subscribes to the run or recorded outcome of an earlier submission.
    ///
    /// The stream ends with [`StreamFrame::NotOwner`] if this host does not own the shard of the key.
    pub async fn submit(self: &Arc<Self>, request: OnlineRequest) -> FrameStream {
        let name = request.full_key();
        if let Some(run) = self.find_run(&name) {
            return subscribe_checked(&run, &request);
        }
        let shard = self.fleet.view().shard_of(&name);
        if self.shards.owned_epoch(shard).is_none() {
            return single_frame(StreamFrame::NotOwner);
        }
        let known = self
            .shards
            .with_shard(shard, |state| state.key(&name).cloned());
        if let Some(entry) = &known {
            if entry.digest != request.digest() {
                return single_frame(conflict());
            }
            if let Some(result) = entry.outcome.filter(|result| !result.not_run) {
                return single_frame(self.recorded_frame(shard, result.place).await);
            }
            if let Some(frames) = self.subscribe_remote_run(&name, &request).await {
                return frames;
            }
            if entry.outcome.is_none() && entry.announced {
                return single_frame(self.resolve_announced(shard, &name).await);
            }
        }
        let resumed = known.is_some_and(|entry| entry.outcome.is_none());
        let origin = if resumed {
            RunOrigin::Resumed
        } else {
            RunOrigin::New
        };
        let run = self.start_run(request.clone(), shard, origin);
        subscribe_checked(&run, &request)
    }

    /// Runs an idempotent request while the owner of its shard is unreachable.
    ///
    /// An outcome that is already in the log is returned instead. If another host runs the request too,
    /// the outcome that is recorded first applies to both.
    pub async fn submit_without_owner(self: &Arc<Self>, request: OnlineRequest) -> FrameStream {
        let name = request.full_key();
        if let Some(run) = self.find_run(&name) {
            return subscribe_checked(&run, &request);
        }
        let shard = self.fleet.view().shard_of(&name);
        let known = self
            .shards
            .with_shard(shard, |state| state.key(&name).cloned());
        if let Some(entry) = known {
            if entry.digest != request.digest() {
                return single_frame(conflict());
            }
            if let Some(result) = entry.outcome.filter(|result| !result.not_run) {
                return single_frame(self.recorded_frame(shard, result.place).await);
            }
        }
        self.context
            .events
            .trace("owner-absent", &name, "run on the entry host");
        let run = self.start_run(request.clone(), shard, RunOrigin::NoOwner);
        subscribe_checked(&run, &request)
    }

    /// Returns the outcome of a key, or `None` as the outcome while the request is in progress.
    pub async fn read_key(&self, name: &KeyName) -> PeerReply {
        let shard = self.fleet.view().shard_of(&name.key);
        if self.shards.owned_epoch(shard).is_none() {
            return PeerReply::NotOwner;
        }
        let known = self
            .shards
            .with_shard(shard, |state| state.key(&name.key).cloned());
        let recorded = known.as_ref().and_then(|entry| entry.outcome);
        let Some(result) = recorded else {
            let run = self.find_run(&name.key);
            return match (run, known) {
                (Some(run), _) => PeerReply::Outcome(run.outcome()),
                (None, Some(_)) => PeerReply::Outcome(None),
                (None, None) => PeerReply::NotFound,
            };
        };
        match self.read_outcome(shard, result.place).await {
            Ok(outcome) => PeerReply::Outcome(Some(outcome)),
            Err(_) => PeerReply::Unknown,
        }
    }

    /// Records the outcome of a run on another host, and returns the outcome that is in the log.
    pub async fn record_remote_outcome(
        self: &Arc<Self>,
        request_outcome: RequestOutcome,
    ) -> PeerReply {
        let name = request_outcome.request.full_key();
        let shard = self.fleet.view().shard_of(&name);
        if self.shards.owned_epoch(shard).is_none() {
            return PeerReply::NotOwner;
        }
        let Some(bodies) =
            self.outcome_records(shard, &request_outcome.request, request_outcome.outcome)
        else {
            let reason = "the key stands for another request".into();
            return PeerReply::Conflict { reason };
        };
        let Ok(mut receivers) = self.shards.append_all(shard, bodies) else {
            return PeerReply::NotOwner;
        };
        let Some(last) = receivers.pop() else {
            return PeerReply::Unknown;
        };
        match last.await.map(|appended| appended.result) {
            Ok(ApplyResult::Applied | ApplyResult::Duplicate) => {
                lock(&self.remote_runs).remove(&name);
                self.read_key(&KeyName { key: name }).await
            }
            Ok(ApplyResult::Rejected(_)) => PeerReply::NotOwner,
            Err(_) => PeerReply::Unknown,
        }
    }

    /// Returns the records to append for an outcome, or `None` if the key belongs to another request.
    ///
    /// The acceptance comes first if the log does not have it yet.
    fn outcome_records(
        &self,
        shard: ShardIndex,
        request: &OnlineRequest,
        outcome: ItemOutcome,
    ) -> Option<Vec<RecordBody>> {
        let key = request.full_key();
        let digest = request.digest();
        // A run here may have appended an acceptance that has not been read back yet.
        if self
            .find_run(&key)
            .is_some_and(|run| run.request.digest() != digest)
        {
            return None;
        }
        let known = self
            .shards
            .with_shard(shard, |state| state.key(&key).cloned());
        let accepted = known.filter(|entry| !entry.outcome.is_some_and(|result| result.not_run));
        if accepted
            .as_ref()
            .is_some_and(|entry| entry.digest != digest)
        {
            return None;
        }
        let mut bodies = match accepted {
            Some(_) => Vec::new(),
            None => self.acceptance_records(shard, request),
        };
        bodies.push(RecordBody::Outcome(KeyOutcome { key, outcome }));
        Some(bodies)
    }

    /// Records an outcome through the owner of its key, which may be this host or another one.
    ///
    /// Returns `true` once an outcome is in the log, and also if the key belongs to another request.
    pub async fn record_through_owner(self: &Arc<Self>, request_outcome: RequestOutcome) -> bool {
        let shard = self
            .fleet
            .view()
            .shard_of(&request_outcome.request.full_key());
        let Some(target) = self.shards.owner_target(shard) else {
            return false;
        };
        let reply = if target.host == self.context.identity {
            self.record_remote_outcome(request_outcome).await
        } else {
            let message = PeerMessage::RecordOutcome(request_outcome);
            let reply = self.context.link.call(&target, message).await;
            reply.unwrap_or(PeerReply::Unknown)
        };
        // The outcome of a request that conflicts with the one in the log can never be recorded.
        matches!(
            reply,
            PeerReply::Outcome(Some(_)) | PeerReply::Conflict { .. }
        )
    }

    /// Returns the records that accept a request. A key whose last outcome is "not run" is released
    /// first, so that it can be accepted again.
    fn acceptance_records(&self, shard: ShardIndex, request: &OnlineRequest) -> Vec<RecordBody> {
        let name = request.full_key();
        let refused = self.shards.with_shard(shard, |state| {
            let outcome = state.key(&name)?.outcome?;
            outcome.not_run.then(|| state.applied())
        });
        let forget = refused.map(|as_of| {
            RecordBody::Forget(ForgetName {
                as_of,
                name,
                is_job: false,
            })
        });
        let accept = RecordBody::Accept(request.clone());
        forget.into_iter().chain([accept]).collect()
    }

    fn find_run(&self, name: &str) -> Option<Arc<RequestRun>> {
        lock(&self.runs).get(name).cloned()
    }

    fn start_run(
        self: &Arc<Self>,
        request: OnlineRequest,
        shard: ShardIndex,
        origin: RunOrigin,
    ) -> Arc<RequestRun> {
        let run = Arc::new(RequestRun::new(request, shard));
        {
            let mut runs = lock(&self.runs);
            if let Some(other) = runs.get(&*run.name) {
                return Arc::clone(other);
            }
            runs.insert(Arc::clone(&run.name), Arc::clone(&run));
            // The first frame acknowledges the request to the front end.
            run.publish(StreamFrame::Admitted);
        }
        tokio::spawn(Arc::clone(self).drive(Arc::clone(&run), origin));
        run
    }

    fn remove_run(&self, run: &RequestRun) {
        lock(&self.runs).remove(&*run.name);
        self.in_progress.send_replace(self.in_progress());
    }

    async fn recorded_frame(&self, shard: ShardIndex, place: RecordPlace) -> StreamFrame {
        match self.read_outcome(shard, place).await {
            Ok(outcome) => StreamFrame::Done {
                outcome,
                recorded: true,
            },
            Err(error) => StreamFrame::Refused(Refusal {
                reason: error.to_string().into(),
                ran: RunState::Done,
                retry_after_ms: millis(DEFAULT_RETRY_AFTER),
            }),
        }
    }

    async fn read_outcome(
        &self,
        shard: ShardIndex,
        place: RecordPlace,
    ) -> Result<ItemOutcome, LogError> {
        match self.shards.replica(shard).read_record(place).await?.body {
            RecordBody::Outcome(outcome) => Ok(outcome.outcome),
            RecordBody::KeyCopy(copy) => copy.outcome.ok_or_else(missing_outcome),
            _ => Err(missing_outcome()),
        }
    }
}

fn subscribe_checked(run: &Arc<RequestRun>, request: &OnlineRequest) -> FrameStream {
    if run.request.digest() == request.digest() {
        run.subscribe()
    } else {
        single_frame(conflict())
    }
}

fn missing_outcome() -> LogError {
    LogError::Unknown {
        cause: "the record contains no outcome".into(),
    }
}

fn single_frame(frame: StreamFrame) -> FrameStream {
    futures::stream::once(std::future::ready(frame)).boxed()
}

fn conflict() -> StreamFrame {
    StreamFrame::Refused(Refusal {
        reason: "the key stands for another request; choose a new key".into(),
        ran: RunState::NotRun,
        retry_after_ms: 0,
    })
}

fn may_have_run_frame(reason: &str) -> StreamFrame {
    StreamFrame::Refused(Refusal {
        reason: reason.into(),
        ran: RunState::MayHaveRun,
        retry_after_ms: millis(DEFAULT_RETRY_AFTER),
    })
}

fn not_run_frame(reason: &str, retry_after: Duration) -> StreamFrame {
    StreamFrame::Refused(Refusal {
        reason: reason.into(),
        ran: RunState::NotRun,
        retry_after_ms: millis(retry_after),
    })
}
