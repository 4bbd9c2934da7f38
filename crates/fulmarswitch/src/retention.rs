//! Copies state forward before the log's retention drops the records that it came from.
//!
//! The owner of a shard copies its keys and jobs and forgets those whose time to live is over; one host
//! copies the configuration; each host repeats its own join. [`fulmarswitch_decide::retention`] decides what
//! is due, by the log's clock. Each pass writes only a little, so that copying does not delay requests and
//! jobs.

use crate::context::{HostContext, lock, millis};
use crate::fleet::FleetState;
use crate::membership::Membership;
use crate::replica::{StreamReplay, StreamReplica};
use crate::shards::ShardReplicas;
use fulmarswitch_decide::retention::copy::{
    RecordsByPlace, copy_items, copy_key, items_places, key_places, split_items,
};
use fulmarswitch_decide::retention::{
    RetentionStep, RetentionWindow, StepLimits, plan_steps, verify_retained,
};
use fulmarswitch_decide::shard::ShardState;
use fulmarswitch_records::record::ForgetName;
use fulmarswitch_records::{Epoch, RecordBody, RecordPlace, ShardIndex};
use futures::future::join_all;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// State is copied forward after the log's retention divided by this.
const COPY_DIVISOR: u32 = 2;
/// A join is repeated, and an unfinished job submission expires, after the log's retention divided by this.
const RENEWAL_DIVISOR: u32 = 4;
/// Number of passes over each shard per retention period of the log.
const PASSES_PER_RETENTION: u32 = 256;
/// Maximum time between two passes.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two passes while there is something to write.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum numbers of copies and of forgotten names of a shard in one pass.
const SHARD_PASS_LIMITS: StepLimits = StepLimits {
    copies: 4,
    forgets: 256,
};
/// Maximum number of configuration records in one pass.
const MAX_CONFIG_COPIES: usize = 16;
/// Maximum size of the texts in one record of copied items, in bytes.
const MAX_COPY_BYTES: usize = 256 << 10;
/// Nothing is written while the last answered read of the log is older than this.
const LOG_FRESHNESS_LIMIT: Duration = Duration::from_millis(1_500);

/// Copies the state that this host is responsible for.
pub struct RetentionManager {
    context: HostContext,
    fleet: Arc<FleetState>,
    shards: Arc<ShardReplicas>,
    membership: Arc<Membership>,
    /// Time of this host's last join on the log's clock, in milliseconds; 0 before the first pass.
    joined_ms: Mutex<u64>,
}

impl RetentionManager {
    /// Creates the role; [`Self::run`] does the work.
    #[must_use]
    pub fn new(
        context: &HostContext,
        fleet: &Arc<FleetState>,
        shards: &Arc<ShardReplicas>,
        membership: &Arc<Membership>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            fleet: Arc::clone(fleet),
            shards: Arc::clone(shards),
            membership: Arc::clone(membership),
            joined_ms: Mutex::default(),
        })
    }

    /// Periodically renews the join and copies state that is due; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut interval = BUSY_INTERVAL;
        loop {
            tokio::time::sleep(interval).await;
            self.renew_join().await;
            let config = self.copy_config().await;
            let shards = self.shards.owned();
            let written = join_all(shards.into_iter().map(|shard| self.retain_shard(shard))).await;
            let busy = config || written.contains(&true);
            interval = if busy {
                BUSY_INTERVAL
            } else {
                self.idle_interval()
            };
        }
    }

    fn idle_interval(&self) -> Duration {
        let retention = self.fleet.hosts.status().borrow().retention;
        (retention / PASSES_PER_RETENTION).clamp(BUSY_INTERVAL / 4, MAX_INTERVAL)
    }

    async fn renew_join(&self) {
        let (log_ms, retention) = {
            let status = self.fleet.hosts.status();
            let status = status.borrow();
            (status.log_ms, status.retention)
        };
        let joined_ms = {
            let mut joined_ms = lock(&self.joined_ms);
            if *joined_ms == 0 {
                *joined_ms = log_ms;
            }
            *joined_ms
        };
        let due = millis(retention / RENEWAL_DIVISOR);
        if self.fleet.hosts.is_fresh(LOG_FRESHNESS_LIMIT) && log_ms > joined_ms + due {
            self.membership.renew_join().await;
            *lock(&self.joined_ms) = log_ms;
        }
    }

    /// Copies configuration if this host is responsible for it; returns whether anything was due.
    async fn copy_config(&self) -> bool {
        let view = self.fleet.view();
        let config_copier = view.config_copier();
        let is_copier = config_copier.is_some_and(|target| target.host == self.context.identity);
        let Some(window) = self.window(&self.fleet.config).filter(|_| is_copier) else {
            return false;
        };
        let copies = view.config.plan_copies(window.before, MAX_CONFIG_COPIES);
        let bodies: Vec<RecordBody> = copies.into_iter().map(RecordBody::ConfigCopy).collect();
        let busy = !bodies.is_empty();
        let replica = &self.fleet.config;
        if let Ok(receivers) = replica.append_all(ShardIndex(0), Epoch(0), bodies) {
            // A copy that a later change has superseded is due again in the next pass.
            join_all(receivers).await;
        }
        busy
    }

    /// Writes the copies and forgotten names that are due for one shard; returns whether any were.
    ///
    /// Returns only once all of it is in the log, so that copies of one entity are never reordered.
    async fn retain_shard(&self, shard: ShardIndex) -> bool {
        let replica = self.shards.replica(shard);
        let Some(window) = self.window(replica) else {
            return false;
        };
        let plan = |state: &ShardState| plan_steps(state, &window, SHARD_PASS_LIMITS);
        let steps = self.shards.with_shard(shard, plan);
        if steps.is_empty() {
            self.check_retained(shard);
            return false;
        }
        let records = self.read_records(shard, &steps).await;
        let make = |state: &ShardState| make_bodies(state, steps, &records);
        let bodies = self.shards.with_shard(shard, make);
        let count = bodies.len() as u64;
        if let Ok(receivers) = self.shards.append_all(shard, bodies) {
            self.context.metrics.retention_records.inc_by(count);
            // A copy that a later record has superseded is planned again in the next pass.
            join_all(receivers).await;
        }
        true
    }

    /// Reads the records that the copies are made from. Records that cannot be read are missing in the result.
    async fn read_records(&self, shard: ShardIndex, steps: &[RetentionStep]) -> RecordsByPlace {
        let mut places = self.shards.with_shard(shard, |state| {
            let places = steps.iter().flat_map(|step| step_places(state, step));
            places.collect::<Vec<_>>()
        });
        places.sort_unstable();
        places.dedup();
        let mut records = RecordsByPlace::new();
        for entry in places.chunk_by(|a, b| a.offset == b.offset) {
            let replica = self.shards.replica(shard);
            let Ok(read) = replica.read_entry(entry[0].offset).await else {
                continue;
            };
            for place in entry {
                if let Some(record) = read.get(place.position as usize) {
                    records.insert(*place, record.body.clone());
                }
            }
        }
        records
    }

    /// Returns the cutoffs that decide what is due in a stream; `None` if the log has not answered
    /// recently.
    fn window<R: StreamReplay>(&self, replica: &StreamReplica<R>) -> Option<RetentionWindow> {
        if !replica.is_fresh(LOG_FRESHNESS_LIMIT) {
            return None;
        }
        let status = replica.status().borrow().clone();
        Some(RetentionWindow {
            before: replica.offset_at_age(status.retention / COPY_DIVISOR),
            now_ms: status.log_ms,
            ttl_ms: self.context.settings.tuning.result_ttl_ms,
            submission_ttl_ms: millis(status.retention / RENEWAL_DIVISOR),
        })
    }

    /// Emits an event for all state that a host could not rebuild if it replayed the log now.
    fn check_retained(&self, shard: ShardIndex) {
        let oldest = self.shards.replica(shard).status().borrow().oldest;
        let check = |state: &ShardState| verify_retained(state, oldest);
        for violation in self.shards.with_shard(shard, check) {
            let entity = format!("shard {shard}");
            let detail = violation.to_string();
            self.context
                .events
                .emit("invariant-broken", &entity, &detail);
        }
    }
}

fn step_places(state: &ShardState, step: &RetentionStep) -> Vec<RecordPlace> {
    let places = match step {
        RetentionStep::CopyKey { key } => state.key(key).map(key_places),
        RetentionStep::CopyItems { job, first, count } => {
            let job = state.job(job);
            job.map(|job| items_places(job, *first, *count))
        }
        RetentionStep::Forget { .. } => None,
    };
    places.unwrap_or_default()
}

/// Builds the records of some steps from the current state.
fn make_bodies(
    state: &ShardState,
    steps: Vec<RetentionStep>,
    records: &RecordsByPlace,
) -> Vec<RecordBody> {
    let as_of = state.applied();
    let mut bodies = Vec::new();
    for step in steps {
        match step {
            RetentionStep::CopyKey { key } => {
                let copy = state.key(&key);
                let copy = copy.and_then(|entry| copy_key(as_of, entry, records));
                bodies.extend(copy.map(RecordBody::KeyCopy));
            }
            RetentionStep::CopyItems { job, first, count } => {
                let copy = state.job(&job);
                let copy = copy.and_then(|job| copy_items(as_of, job, first, count, records));
                let parts = copy.map(|copy| split_items(copy, MAX_COPY_BYTES));
                bodies.extend(parts.into_iter().flatten().map(RecordBody::ItemRangeCopy));
            }
            RetentionStep::Forget { name, is_job } => {
                bodies.push(RecordBody::Forget(ForgetName {
                    as_of,
                    name,
                    is_job,
                }));
            }
        }
    }
    bodies
}
