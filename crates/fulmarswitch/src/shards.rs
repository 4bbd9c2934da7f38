//! Shard ownership and the claims that establish it.
//!
//! A host claims the shards that rendezvous hashing assigns to it among the live hosts, by a record in the
//! stream of the shard. The claim takes effect at its position in the log; the host owns the shard only once
//! it has read the claim back. A previous owner reads the claim from the same stream, and records that it
//! appends after the claim are rejected because of their older epoch.

use crate::commit::RecordCommitter;
use crate::context::HostContext;
use crate::fleet::FleetState;
use crate::replica::{AppendError, AppendedRecord, StreamReplay, StreamReplica};
use fulmarswitch_decide::placement::group_of;
use fulmarswitch_decide::shard::{ApplyResult, RejectReason, ShardState};
use fulmarswitch_peer::PeerTarget;
use fulmarswitch_records::record::ShardClaim;
use fulmarswitch_records::{
    Epoch, HostIdentity, LogRecord, Offset, RecordBody, RecordPlace, ShardIndex,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which the host checks which shards to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Nothing is claimed while the last answered read of the log is older than this.
const LOG_FRESHNESS_LIMIT: Duration = Duration::from_millis(1_500);
/// A claim is renewed after the log's retention divided by this.
const RENEWAL_DIVISOR: u32 = 4;

/// State of the shards of one group, replayed from the group's stream.
pub struct GroupReplay {
    shards: Vec<ShardState>,
    groups: u16,
}

impl GroupReplay {
    fn new(group: u16, shards: u16, groups: u16) -> Self {
        let members = (0..shards).filter(|shard| shard % groups == group);
        Self {
            shards: members
                .map(|shard| ShardState::new(ShardIndex(shard)))
                .collect(),
            groups,
        }
    }

    /// Returns the state of a shard of the group.
    ///
    /// # Panics
    /// May panic when the shard belongs to another group.
    #[must_use]
    pub fn shard(&self, shard: ShardIndex) -> &ShardState {
        &self.shards[usize::from(shard.0 / self.groups)]
    }

    /// Returns the states of all shards of the group.
    #[must_use]
    pub fn shards(&self) -> &[ShardState] {
        &self.shards
    }
}

impl StreamReplay for GroupReplay {
    fn apply(&mut self, place: RecordPlace, at_ms: u64, record: &LogRecord) -> ApplyResult {
        match self
            .shards
            .get_mut(usize::from(record.shard.0 / self.groups))
        {
            Some(state) if state.shard() == record.shard => state.apply(place, at_ms, record),
            _ => ApplyResult::Rejected(RejectReason::Unknown),
        }
    }

    /// Discards the state, since records in the gap may have changed it, and replays from `start`.
    fn reset(&mut self, start: Offset) {
        for state in &mut self.shards {
            *state = ShardState::starting_at(state.shard(), start);
        }
    }
}

/// Replica of the stream of one group.
pub type GroupReplica = StreamReplica<GroupReplay>;

/// The replicas of all groups, and the claims to their shards.
pub struct ShardReplicas {
    context: HostContext,
    fleet: Arc<FleetState>,
    replicas: Vec<Arc<GroupReplica>>,
}

impl ShardReplicas {
    /// Starts to replay all groups.
    #[must_use]
    pub fn start(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        committer: &Arc<RecordCommitter>,
    ) -> Arc<Self> {
        let layout = &context.settings.layout;
        let replica = |group| {
            let replay = GroupReplay::new(group, layout.shards, layout.groups);
            StreamReplica::start(&format!("items-{group}"), context, committer, replay)
        };
        let replicas = (0..layout.groups).map(replica).collect();
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            replicas,
        })
    }

    /// Returns the replica of the group that a shard belongs to.
    #[must_use]
    pub fn replica(&self, shard: ShardIndex) -> &Arc<GroupReplica> {
        let group = group_of(shard, self.context.settings.layout.groups);
        &self.replicas[usize::from(group.0)]
    }

    /// Returns the replicas of all groups.
    #[must_use]
    pub fn replicas(&self) -> &[Arc<GroupReplica>] {
        &self.replicas
    }

    /// Calls `read` with the state of a shard, which is locked for the duration of the call.
    pub fn with_shard<T>(&self, shard: ShardIndex, read: impl FnOnce(&ShardState) -> T) -> T {
        read(self.replica(shard).state().shard(shard))
    }

    /// Returns the epoch under which this incarnation of the host owns a shard, as far as it has read the log;
    /// `None` when it is not the owner.
    #[must_use]
    pub fn owned_epoch(&self, shard: ShardIndex) -> Option<Epoch> {
        self.with_shard(shard, |state| {
            (state.owner() == Some(&self.context.identity)).then(|| state.epoch())
        })
    }

    /// Returns the shards that this incarnation of the host owns.
    #[must_use]
    pub fn owned(&self) -> Vec<ShardIndex> {
        let mut owned = Vec::new();
        for replica in &self.replicas {
            let state = replica.state();
            let owned_here = |shard: &&ShardState| shard.owner() == Some(&self.context.identity);
            owned.extend(
                state
                    .shards()
                    .iter()
                    .filter(owned_here)
                    .map(ShardState::shard),
            );
        }
        owned
    }

    /// Returns the owner of a shard according to the log; `None` before the first claim.
    #[must_use]
    pub fn owner(&self, shard: ShardIndex) -> Option<HostIdentity> {
        self.with_shard(shard, |state| state.owner().cloned())
    }

    /// Returns the addresses of the owner of a shard according to the log; `None` when there is no owner or it
    /// is down.
    #[must_use]
    pub fn owner_target(&self, shard: ShardIndex) -> Option<PeerTarget> {
        let owner = self.owner(shard)?;
        self.fleet.view().target(&owner)
    }

    /// Queues a record of a shard under the epoch of this host's claim.
    ///
    /// # Errors
    /// [`AppendError::Closed`] when this host does not own the shard, [`AppendError::Full`] when the queue is
    /// over its byte limit.
    pub fn append(
        &self,
        shard: ShardIndex,
        body: RecordBody,
    ) -> Result<oneshot::Receiver<AppendedRecord>, AppendError> {
        let epoch = self.owned_epoch(shard).ok_or(AppendError::Closed)?;
        self.replica(shard).append(shard, epoch, body)
    }

    /// Queues records of a shard, to be written one after the other, under the epoch of this host's claim.
    ///
    /// # Errors
    /// [`AppendError::Closed`] when this host does not own the shard, [`AppendError::Full`] when the queue is
    /// over its byte limit.
    pub fn append_all(
        &self,
        shard: ShardIndex,
        bodies: Vec<RecordBody>,
    ) -> Result<Vec<oneshot::Receiver<AppendedRecord>>, AppendError> {
        let epoch = self.owned_epoch(shard).ok_or(AppendError::Closed)?;
        self.replica(shard).append_all(shard, epoch, bodies)
    }

    /// Claims the shards that this host should own and renews its claims; never returns.
    pub async fn run_claims(self: Arc<Self>) {
        loop {
            let claims = self.send_claims();
            for claim in claims {
                // A claim without a result is checked again in the next round.
                let _ = tokio::time::timeout(LOG_FRESHNESS_LIMIT, claim).await;
            }
            tokio::time::sleep(CLAIM_INTERVAL).await;
        }
    }

    fn send_claims(&self) -> Vec<oneshot::Receiver<AppendedRecord>> {
        let view = self.fleet.view();
        let mut claims = Vec::new();
        for shard in (0..self.context.settings.layout.shards).map(ShardIndex) {
            let assigned = view.should_own(&self.context.identity.name, shard);
            let replica = self.replica(shard);
            if !assigned || !replica.is_fresh(LOG_FRESHNESS_LIMIT) {
                continue;
            }
            // Read before the state, so that the state is at least as new as the offset in the claim.
            let next_offset = replica.status().borrow().next;
            let (current, due) = self.with_shard(shard, |state| {
                let owned_here = state.owner() == Some(&self.context.identity);
                (
                    state.epoch(),
                    !owned_here || is_renewal_due(replica, state.claimed_ms()),
                )
            });
            if !due {
                continue;
            }
            let claim = ShardClaim {
                owner: self.context.identity.clone(),
                next_offset,
            };
            claims.extend(replica.append(shard, current.next(), RecordBody::Claim(claim)));
        }
        claims
    }
}

/// Returns whether a claim is so old that it must be renewed to outlive the log's retention.
fn is_renewal_due(replica: &GroupReplica, claimed_ms: u64) -> bool {
    let status = replica.status();
    let status = status.borrow();
    let age = Duration::from_millis(status.log_ms.saturating_sub(claimed_ms));
    age > status.retention / RENEWAL_DIVISOR
}
