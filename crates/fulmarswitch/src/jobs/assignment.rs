//! Offers jobs to gates, assigns items to them and records the results that they report.

use super::{CHUNK_CACHE_CAPACITY, CachedChunk, JobOwner, JobRun};
use crate::context::lock;
use crate::replica::AppendedRecord;
use fulmarswitch_decide::assignment::ItemAssignments;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_decide::shard::jobs::ItemState;
use fulmarswitch_peer::message::{
    AttemptResult, ItemReport, JobOffer, OfferList, PullRequest, PulledItem, PulledItems,
};
use fulmarswitch_peer::{PeerMessage, PeerReply, PeerTarget};
use fulmarswitch_platform::LogError;
use fulmarswitch_records::record::{
    ItemAttempts, ItemOutcomes, ItemsAnnounced, ItemsReturned, JobChunk, JobSeal,
};
use fulmarswitch_records::{
    HostIdentity, ItemOutcome, RecordBody, RecordPlace, ShardIndex, SortedIndex,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between offer lists.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a new owner waits for results of non-idempotent items that the previous owner announced,
/// before it records them as ones that may have run.
const ANNOUNCED_GRACE: Duration = Duration::from_secs(20);
/// Maximum number of jobs in an offer list.
const MAX_OFFERS: usize = 64;
/// Maximum number of items assigned in one reply.
const MAX_ASSIGNED_ITEMS: u32 = 64;

/// Consequence of one attempt for its item.
enum ItemResolution {
    /// The item has its outcome.
    Final(ItemOutcome),
    /// The item is retried, and the attempt counts towards the limit.
    Retry,
    /// The item was announced and did not run, so it may be announced again.
    NotRun,
}

impl JobOwner {
    /// Periodically offers jobs to gates and reclaims lost items; never returns.
    pub async fn run_offers(self: Arc<Self>) {
        let mut offered = false;
        loop {
            tokio::time::sleep(OFFER_INTERVAL).await;
            self.reconcile_runs();
            self.send_handovers().await;
            self.reclaim_lost_items().await;
            let jobs = self.offers();
            if jobs.is_empty() && !offered {
                continue;
            }
            offered = !jobs.is_empty();
            let list = OfferList {
                owner: self.context.identity.clone(),
                jobs,
            };
            for target in self.offer_targets(&list) {
                let (link, list) = (Arc::clone(&self.context.link), list.clone());
                self.context.metrics.peer_messages.inc();
                // A gate that is unreachable now receives the next list.
                tokio::spawn(async move { link.call(&target, PeerMessage::Offers(list)).await });
            }
        }
    }

    /// Assigns items of a job to a gate, under a lease.
    ///
    /// Non-idempotent items are announced in the log before they are assigned.
    pub async fn assign_items(&self, gate: &HostIdentity, request: PullRequest) -> PeerReply {
        if self.shards.owned_epoch(request.shard).is_none() {
            return PeerReply::NotOwner;
        }
        let replica = self.shards.replica(request.shard);
        if replica.pending_bytes() > self.context.settings.tuning.pending_bytes / 2 {
            // The other half of the append queue is reserved for online requests.
            return PeerReply::NotFound;
        }
        let count = request.count.min(MAX_ASSIGNED_ITEMS);
        let Some((seal, items)) = self.lease_items(gate, &request, count) else {
            return PeerReply::NotFound;
        };
        if !seal.header.idempotent && !replica.is_log_available() {
            self.release_items(&request.job, &items);
            return PeerReply::NotFound;
        }
        let mut announced = None;
        if !seal.header.idempotent && !items.is_empty() {
            let announcement = ItemsAnnounced {
                job: Arc::clone(&request.job),
                items: items.clone(),
            };
            let body = RecordBody::ItemsAnnounced(announcement);
            match self.append(request.shard, body).await {
                Some(appended) if appended.result == ApplyResult::Applied => {
                    announced = Some(appended.place);
                }
                _ => {
                    self.release_items(&request.job, &items);
                    return PeerReply::NotFound;
                }
            }
        }
        let mut pulled = Vec::with_capacity(items.len());
        for index in &items {
            match self.read_input(request.shard, &request.job, *index).await {
                Some(input) => pulled.push(PulledItem {
                    index: *index,
                    input,
                    announced,
                }),
                None => self.return_unread_item(&request, *index, announced).await,
            }
        }
        PeerReply::Items(PulledItems {
            header: seal.header.clone(),
            items: pulled,
        })
    }

    /// Records the results of items. The gate repeats a report that is not accepted.
    pub async fn record_results(&self, report: ItemReport) -> PeerReply {
        let Some(seal) = self.with_job(report.shard, &report.job, |job| job.seal().cloned()) else {
            return PeerReply::NotFound;
        };
        let (Some(seal), Some(_)) = (seal, self.shards.owned_epoch(report.shard)) else {
            return PeerReply::NotOwner;
        };
        let mut outcomes = Vec::new();
        let mut retried = Vec::new();
        let mut not_run = Vec::new();
        for result in report.results {
            let item = result.item;
            match self.classify(report.shard, &seal, item, result.result) {
                ItemResolution::Final(outcome) => outcomes.push((item, outcome)),
                ItemResolution::Retry => retried.push(item),
                ItemResolution::NotRun => not_run.push((item, result.announced)),
            }
        }
        let job = Arc::clone(&report.job);
        let attempts = ItemAttempts {
            job: Arc::clone(&job),
            items: retried.clone(),
        };
        let counted = retried.is_empty()
            || self
                .append_applied(report.shard, RecordBody::ItemAttempts(attempts))
                .await;
        let items: Vec<u32> = outcomes.iter().map(|(item, _)| *item).collect();
        let recorded = outcomes.is_empty()
            || self
                .append_applied(
                    report.shard,
                    RecordBody::ItemOutcomes(ItemOutcomes {
                        job: Arc::clone(&job),
                        outcomes,
                    }),
                )
                .await;
        let reopened = self.reopen_items(report.shard, &job, &not_run).await;
        if !counted || !recorded || !reopened {
            return PeerReply::NotOwner;
        }
        self.release_items(&job, &retried);
        if let Some(run) = lock(&self.runs).get_mut(&*job) {
            for item in &items {
                run.assignments.remove(*item);
            }
        }
        PeerReply::Accepted
    }

    /// Reopens announced items that did not run, so that they are assigned again. Returns `false` if
    /// that could not be recorded.
    ///
    /// The place of the announcement distinguishes this assignment of an item from earlier and later
    /// ones: a repeated report does not reopen the item a second time.
    async fn reopen_items(
        &self,
        shard: ShardIndex,
        job: &Arc<str>,
        not_run: &[(u32, Option<RecordPlace>)],
    ) -> bool {
        let mut items_by_announcement: SortedIndex<RecordPlace, Vec<u32>> = SortedIndex::new();
        for (item, announced) in not_run {
            let current = self
                .with_job(shard, job, |job| job.announced_at(*item))
                .flatten();
            // A report about an earlier assignment does not apply to the current one.
            if let Some(place) = announced.filter(|place| Some(*place) == current) {
                let mut items = items_by_announcement.remove(&place).unwrap_or_default();
                items.push(*item);
                items_by_announcement.insert(place, items);
            }
        }
        for (announced, items) in items_by_announcement.iter() {
            let returned = ItemsReturned {
                job: Arc::clone(job),
                items: items.clone(),
                announced: *announced,
            };
            let body = RecordBody::ItemsReturned(returned);
            let Some(appended) = self.append(shard, body).await else {
                return false;
            };
            if appended.result != ApplyResult::Applied {
                continue;
            }
            if let Some(run) = lock(&self.runs).get_mut(&**job) {
                for item in items {
                    run.assignments.reopen(*item);
                }
            }
        }
        true
    }

    /// Makes an item available again because its input could not be read; the gate never receives it.
    async fn return_unread_item(
        &self,
        request: &PullRequest,
        item: u32,
        announced: Option<RecordPlace>,
    ) {
        if announced.is_none() {
            self.release_items(&request.job, &[item]);
        } else if !self
            .reopen_items(request.shard, &request.job, &[(item, announced)])
            .await
        {
            // The shard has another owner by now, which ends the item as one that may have run.
            self.context.events.emit(
                "item-lost",
                &request.job,
                &format!("item {item} was announced; its input was not read, and its return was not recorded"),
            );
        }
    }

    /// Decides what a result means for its item.
    fn classify(
        &self,
        shard: ShardIndex,
        seal: &JobSeal,
        item: u32,
        result: AttemptResult,
    ) -> ItemResolution {
        let name = seal.header.full_name();
        let attempts = self
            .with_job(shard, &name, |job| job.attempts_of(item))
            .unwrap_or(0);
        let service = Arc::clone(&seal.header.service);
        let limit = self
            .fleet
            .view()
            .config
            .service(&service)
            .map_or(1, |s| s.max_attempts);
        let is_last_attempt = u32::from(attempts) + 1 >= limit;
        match result {
            AttemptResult::Done { text } => ItemResolution::Final(ItemOutcome::Done { text }),
            AttemptResult::Failed {
                may_have_run: true, ..
            }
            | AttemptResult::Returned { may_have_run: true }
                if !seal.header.idempotent =>
            {
                ItemResolution::Final(ItemOutcome::MayHaveRun)
            }
            AttemptResult::Failed { cause, .. } if is_last_attempt => {
                ItemResolution::Final(ItemOutcome::Failed { reason: cause })
            }
            AttemptResult::Failed { .. } | AttemptResult::Returned { .. }
                if seal.header.idempotent =>
            {
                ItemResolution::Retry
            }
            AttemptResult::Failed { .. } | AttemptResult::Returned { .. } => ItemResolution::NotRun,
        }
    }

    fn lease_items(
        &self,
        gate: &HostIdentity,
        request: &PullRequest,
        count: u32,
    ) -> Option<(Arc<JobSeal>, Vec<u32>)> {
        let lease_until =
            self.context.now() + Duration::from_millis(self.context.settings.tuning.item_lease_ms);
        let mut runs = lock(&self.runs);
        let run = runs.get_mut(&*request.job)?;
        self.with_job(request.shard, &request.job, |job| {
            let seal = job.seal()?.clone();
            Some((seal, run.assignments.assign(job, gate, lease_until, count)))
        })?
    }

    fn release_items(&self, job: &str, items: &[u32]) {
        if let Some(run) = lock(&self.runs).get_mut(job) {
            for item in items {
                run.assignments.release(*item);
            }
        }
    }

    /// Starts runs of the unfinished jobs in the shards owned here, and drops all others.
    pub(super) fn reconcile_runs(&self) {
        let owned = self.shards.owned();
        self.update_owned_shards(&owned);
        let mut runs = lock(&self.runs);
        runs.retain(|name, run| {
            let unfinished = self.with_job(run.shard, name, |job| !job.is_finished());
            owned.contains(&run.shard) && unfinished == Some(true)
        });
        for shard in owned {
            self.shards.with_shard(shard, |state| {
                for (name, job) in state.jobs() {
                    let unfinished = job.seal().is_some() && !job.is_finished();
                    if unfinished && !runs.contains(&**name) {
                        let (assignments, started_at) = (ItemAssignments::new(), Instant::now());
                        runs.insert(
                            Arc::clone(name),
                            JobRun {
                                shard,
                                assignments,
                                started_at,
                            },
                        );
                    }
                }
            });
        }
    }

    /// Reclaims items whose gate is lost or whose lease has expired.
    ///
    /// Announced items that are assigned to no gate get the outcome "may have run" after a grace period.
    async fn reclaim_lost_items(&self) {
        let view = self.fleet.view();
        let now = self.context.now();
        let mut abandoned = Vec::new();
        for run in lock(&self.runs).values_mut() {
            run.assignments
                .reclaim_lost(now, |gate| view.hosts.is_reachable(gate));
        }
        let runs: Vec<(Arc<str>, ShardIndex)> = lock(&self.runs)
            .iter()
            .filter(|(_, run)| run.started_at.elapsed() > ANNOUNCED_GRACE)
            .map(|(name, run)| (Arc::clone(name), run.shard))
            .collect();
        for (name, shard) in runs {
            let announced = self
                .with_job(shard, &name, announced_items)
                .unwrap_or_default();
            let live_runs = lock(&self.runs);
            let Some(run) = live_runs.get(&*name) else {
                continue;
            };
            let lost: Vec<u32> = announced
                .into_iter()
                .filter(|item| !run.assignments.is_assigned(*item))
                .collect();
            if !lost.is_empty() {
                abandoned.push((name, shard, lost));
            }
        }
        for (job, shard, items) in abandoned {
            let outcomes = items
                .into_iter()
                .map(|item| (item, ItemOutcome::MayHaveRun))
                .collect();
            let body = RecordBody::ItemOutcomes(ItemOutcomes { job, outcomes });
            self.append_applied(shard, body).await;
        }
    }

    fn offers(&self) -> Vec<JobOffer> {
        let mut offers = Vec::new();
        for (name, run) in lock(&self.runs).iter() {
            if !self.is_past_handover_grace(run.shard) {
                continue;
            }
            let offer = self.with_job(run.shard, name, |job| {
                let header = &job.seal()?.header;
                Some(JobOffer {
                    job: Arc::clone(name),
                    shard: run.shard,
                    workspace: Arc::clone(&header.workspace),
                    service: Arc::clone(&header.service),
                    due_ms: header.due_ms,
                    waiting: run.assignments.available(job),
                })
            });
            offers.extend(offer.flatten().filter(|offer| offer.waiting > 0));
        }
        offers.sort_by_key(|offer| offer.due_ms);
        offers.truncate(MAX_OFFERS);
        offers
    }

    /// Returns the hosts with gates of the offered services; an empty list goes to all live hosts.
    fn offer_targets(&self, list: &OfferList) -> Vec<PeerTarget> {
        let view = self.fleet.view();
        if list.jobs.is_empty() {
            return view.live_targets();
        }
        let mut targets: SortedIndex<HostIdentity, PeerTarget> = SortedIndex::new();
        for (name, endpoint) in view.config.endpoints() {
            let wanted = list.jobs.iter().any(|job| job.service == endpoint.service);
            if let Some(target) = view.gate_holder(name).filter(|_| wanted) {
                targets.insert(target.host.clone(), target);
            }
        }
        targets.iter().map(|(_, target)| target.clone()).collect()
    }

    async fn append_applied(&self, shard: ShardIndex, body: RecordBody) -> bool {
        let appended = self.append(shard, body).await;
        matches!(
            appended.map(|appended| appended.result),
            Some(ApplyResult::Applied | ApplyResult::Duplicate)
        )
    }

    /// Appends a record; returns `None` if the shard has another owner by now.
    async fn append(&self, shard: ShardIndex, body: RecordBody) -> Option<AppendedRecord> {
        self.shards.append(shard, body).ok()?.await.ok()
    }

    async fn read_input(&self, shard: ShardIndex, job: &str, item: u32) -> Option<Arc<str>> {
        let chunk = self.with_job(shard, job, |job| job.chunk_of(item).copied())??;
        let inputs = self.read_chunk(shard, job, chunk.place).await.ok()?;
        inputs.inputs.get((item - inputs.first) as usize).cloned()
    }

    async fn read_chunk(
        &self,
        shard: ShardIndex,
        job: &str,
        place: RecordPlace,
    ) -> Result<Arc<JobChunk>, LogError> {
        let cached = lock(&self.chunks)
            .iter()
            .find(|cached| cached.place == place && *cached.job == *job)
            .map(|cached| Arc::clone(&cached.chunk));
        if let Some(chunk) = cached {
            return Ok(chunk);
        }
        let chunk = match self.shards.replica(shard).read_record(place).await?.body {
            RecordBody::JobChunk(chunk) => chunk,
            RecordBody::ItemRangeCopy(copy) => JobChunk {
                job: copy.seal.header.full_name(),
                first: copy.first,
                inputs: copy.items.into_iter().map(|item| item.input).collect(),
            },
            _ => {
                return Err(LogError::Unknown {
                    cause: "the record contains no items".into(),
                });
            }
        };
        let chunk = Arc::new(chunk);
        let mut chunks = lock(&self.chunks);
        if chunks.len() >= CHUNK_CACHE_CAPACITY {
            chunks.remove(0);
        }
        chunks.push(CachedChunk {
            job: job.into(),
            place,
            chunk: Arc::clone(&chunk),
        });
        Ok(chunk)
    }
}

fn announced_items(job: &fulmarswitch_decide::shard::jobs::JobEntry) -> Vec<u32> {
    let states = (0..).zip(job.states());
    states
        .filter(|(_, state)| **state == ItemState::Announced)
        .map(|(item, _)| item)
        .collect()
}
