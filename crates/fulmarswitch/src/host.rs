//! One host: starts and stops its roles and dispatches the messages of other hosts to them.

use crate::backup::OutcomeBackup;
use crate::balancer::LoadBalancer;
use crate::commit::RecordCommitter;
use crate::context::HostContext;
use crate::fleet::FleetState;
use crate::frontend::Frontend;
use crate::gates::GateManager;
use crate::jobs::JobOwner;
use crate::keys::KeyOwner;
use crate::membership::{JoinError, Membership};
use crate::model_loader::ModelLoader;
use crate::retention::RetentionManager;
use crate::shards::ShardReplicas;
use async_trait::async_trait;
use fulmarswitch_peer::{FrameStream, PeerHandler, PeerMessage, PeerReply, StreamRequest};
use fulmarswitch_records::HostIdentity;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Interval at which a leaving host checks whether it is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an idle leaving host still serves requests of callers that cache its address.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// One host with all its roles.
pub struct HostNode {
    context: HostContext,
    fleet: Arc<FleetState>,
    committer: Arc<RecordCommitter>,
    shards: Arc<ShardReplicas>,
    gates: Arc<GateManager>,
    keys: Arc<KeyOwner>,
    jobs: Arc<JobOwner>,
    membership: Arc<Membership>,
    retention: Arc<RetentionManager>,
    backup: Arc<OutcomeBackup>,
    model_loader: Arc<ModelLoader>,
    frontend: Arc<Frontend>,
    tasks: Mutex<JoinSet<()>>,
}

impl HostNode {
    /// Creates the roles of the host. Their replicas start to replay the log, but their tasks run only after
    /// [`Self::join`].
    #[must_use]
    pub fn new(context: &HostContext) -> Arc<Self> {
        let (fleet, committer) = FleetState::start(context);
        let shards = ShardReplicas::start(context, &fleet, &committer);
        let balancer = LoadBalancer::new(context, &fleet);
        let gates = GateManager::new(context, &fleet, &shards, &balancer);
        let backup = OutcomeBackup::new(context, &fleet);
        let keys = KeyOwner::new(context, &fleet, &shards, &gates, &balancer, &backup);
        let jobs = JobOwner::new(context, &fleet, &shards);
        let membership = Membership::new(context, &fleet);
        let model_loader = ModelLoader::new(context, &fleet);
        let retention = RetentionManager::new(context, &fleet, &shards, &membership);
        let frontend = Frontend::new(context, &fleet, &shards, &keys, &jobs, &gates, &membership);
        Arc::new(Self {
            context: context.clone(),
            fleet,
            committer,
            shards,
            gates,
            keys,
            jobs,
            membership,
            retention,
            backup,
            model_loader,
            frontend,
            tasks: Mutex::default(),
        })
    }

    /// Returns the front end, which serves callers and operators.
    #[must_use]
    pub fn frontend(&self) -> &Arc<Frontend> {
        &self.frontend
    }

    /// Returns the replicas of all groups.
    #[must_use]
    pub fn shards(&self) -> &Arc<ShardReplicas> {
        &self.shards
    }

    /// Returns the name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.context.identity.name
    }

    /// Returns the owner of keys.
    #[must_use]
    pub fn keys(&self) -> &Arc<KeyOwner> {
        &self.keys
    }

    /// Returns this host's view of hosts and configuration.
    #[must_use]
    pub fn fleet(&self) -> &Arc<FleetState> {
        &self.fleet
    }

    /// Joins the fleet, once all streams are replayed, and starts all roles.
    ///
    /// # Errors
    /// [`JoinError`] when the name is in use or the layout differs from the fleet's.
    pub async fn join(self: &Arc<Self>) -> Result<(), JoinError> {
        self.wait_caught_up().await;
        self.membership.join().await?;
        self.context.events.emit(
            "join",
            &self.context.identity.to_string(),
            "joined the fleet",
        );
        let mut tasks = self.tasks.lock().await;
        tasks.spawn(Arc::clone(&self.membership).run_heartbeats());
        tasks.spawn(Arc::clone(&self.membership).run_rejoins());
        tasks.spawn(Arc::clone(&self.shards).run_claims());
        tasks.spawn(Arc::clone(&self.retention).run());
        tasks.spawn(Arc::clone(&self.model_loader).run());
        tasks.spawn(Arc::clone(&self.backup).run(Arc::clone(&self.keys)));
        tasks.spawn(Arc::clone(&self.gates).run_gates());
        tasks.spawn(Arc::clone(&self.keys).run_recovery());
        tasks.spawn(Arc::clone(&self.jobs).run_offers());
        Ok(())
    }

    /// Returns once an operator or the platform's list of hosts has requested that the host leaves.
    pub async fn wait_leave_requested(&self) {
        tokio::select! {
            () = self.frontend.wait_drain_requested() => {}
            () = self.membership.wait_listed_as_leaving() => {}
        }
    }

    /// Leaves the fleet: drains the host and returns once nothing is in progress here or the drain timeout has
    /// passed.
    pub async fn leave(&self) {
        let identity = self.context.identity.to_string();
        self.context
            .events
            .emit("leaving", &identity, "no new work is accepted");
        self.gates.start_draining();
        self.frontend.start_draining();
        let drain_timeout = Duration::from_millis(self.context.settings.tuning.drain_ms);
        // While the log is unavailable the leave record cannot be written; the host then drains without it.
        let _ = tokio::time::timeout(drain_timeout / 4, self.membership.leave()).await;
        let deadline = Instant::now() + drain_timeout;
        loop {
            while Instant::now() < deadline && !self.is_idle() {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
            tokio::time::sleep(DRAIN_GRACE_PERIOD).await;
            // A caller that cached this address may have sent a request during the grace period.
            if self.is_idle() || Instant::now() >= deadline {
                break;
            }
        }
        let detail = if self.is_idle() {
            "nothing was cut"
        } else {
            "the drain timeout passed with work in progress"
        };
        self.context.events.emit("left", &identity, detail);
    }

    /// Returns whether no call or run is in progress here, the gates have no requests and no undelivered
    /// reports, and the shards are handed over if there is another host.
    fn is_idle(&self) -> bool {
        let alone = self.fleet.view().hosts.live().next().is_none();
        let (_, gate_work) = self.gates.counts();
        let handed_over = alone || self.shards.owned().is_empty();
        handed_over
            && gate_work == 0
            && self.keys.in_progress() == 0
            && self.frontend.in_progress() == 0
    }

    async fn wait_caught_up(&self) {
        for replica in self.shards.replicas() {
            // The sender lives as long as the replica, so the wait cannot fail.
            let _ = replica.status().wait_for(|status| status.caught_up).await;
        }
        let _ = self
            .fleet
            .config
            .status()
            .wait_for(|status| status.caught_up)
            .await;
    }
}

#[async_trait]
impl PeerHandler for HostNode {
    async fn handle(&self, from: HostIdentity, message: PeerMessage) -> PeerReply {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.membership.record_heartbeat(&from, &heartbeat);
                PeerReply::Accepted
            }
            PeerMessage::Offers(offers) => self.gates.receive_offers(offers),
            PeerMessage::Pull(request) => self.jobs.assign_items(&from, request).await,
            PeerMessage::Report(report) => self.jobs.record_results(report).await,
            PeerMessage::StopJob(job) => self.gates.stop_job(&job),
            PeerMessage::Commit(request) => self.committer.handle(request).await,
            PeerMessage::RecordOutcome(outcome) => self.keys.record_remote_outcome(outcome).await,
            PeerMessage::ReadKey(name) => self.keys.read_key(&name).await,
            PeerMessage::BeginJob(header) => self.jobs.begin_submission(header).await,
            PeerMessage::PutItems(batch) => self.jobs.put_items(batch).await,
            PeerMessage::SealJob(seal) => self.jobs.seal_submission(seal).await,
            PeerMessage::CancelJob(name) => self.jobs.cancel(&name).await,
            PeerMessage::ReadJob(name) => self.jobs.read_job(&name),
            PeerMessage::ReadResults(range) => self.jobs.read_results(&range).await,
            PeerMessage::Handover(handover) => {
                let reply = self.jobs.receive_handover(&handover);
                self.keys.receive_handover(&from, handover);
                reply
            }
            PeerMessage::StoreBackups(request) => self.backup.store(&from, request),
            PeerMessage::FindBackup(request) => self.backup.find(&request),
        }
    }

    async fn serve(&self, request: StreamRequest) -> FrameStream {
        match request {
            StreamRequest::Submit(request) => self.keys.submit(request).await,
            StreamRequest::Run(request) => self.gates.run(request),
        }
    }
}
