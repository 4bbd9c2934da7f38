//! Batch items at a gate: pulled from owners, run in spare capacity, and reported back.

use super::GateManager;
use super::driver::{CallEnd, GateCommand, GateDriver};
use crate::context::lock;
use fulmarswitch_decide::gate::RequestClass;
use fulmarswitch_decide::offers::{OfferCandidate, choose_offer, workspace_load};
use fulmarswitch_decide::shard::jobs::JobEntry;
use fulmarswitch_endpoint::EndpointCall;
use fulmarswitch_peer::message::{
    AttemptResult, ItemReport, ItemResult, JobOffer, PullRequest, PulledItem, PulledItems,
};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::{HostIdentity, JobHeader, ShardIndex};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum number of items pulled at once.
const MAX_PULL_ITEMS: usize = 32;
/// Time that a batch item may wait at the gate. Long, since jobs are due much later than online
/// requests.
const BATCH_QUEUE_TIMEOUT: Duration = Duration::from_hours(1);
/// Time over which results of a job are collected into one report.
const REPORT_LINGER: Duration = Duration::from_millis(20);
/// Maximum number of results in one report.
const MAX_REPORT_RESULTS: usize = 64;
/// Pause before a report is sent again.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that a report is sent; after that its items are reclaimed when their lease expires.
const MAX_REPORT_ATTEMPTS: u32 = 50;

impl GateManager {
    /// Starts to pull items if the gate has room and no pull is in flight.
    pub(super) fn pull_batch(self: &Arc<Self>, gate: &Arc<GateDriver>) {
        let room = gate.batch_room().min(MAX_PULL_ITEMS);
        if room == 0 || gate.pull_in_flight.swap(true, Ordering::AcqRel) {
            return;
        }
        let Some((owner, offer)) = self.select_offer(gate) else {
            gate.pull_in_flight.store(false, Ordering::Release);
            return;
        };
        let (manager, gate) = (Arc::clone(self), Arc::clone(gate));
        tokio::spawn(async move {
            manager.pull(&gate, &owner, &offer, room).await;
            gate.pull_in_flight.store(false, Ordering::Release);
        });
    }

    fn select_offer(&self, gate: &GateDriver) -> Option<(HostIdentity, JobOffer)> {
        let service = gate.config().0.service;
        let view = self.fleet.view();
        let batch_items = gate.batch_items_by_workspace();
        let load_of = |workspace: &str| {
            let items = batch_items.get(workspace).copied().unwrap_or(0);
            let weight = view.config.workspace(workspace);
            workspace_load(items, weight.map_or(1, |config| config.batch_weight))
        };
        let offers = lock(&self.offers);
        let mut owned_offers = Vec::new();
        let mut candidates = Vec::new();
        for (owner, list) in offers.iter() {
            for offer in list.jobs.iter().filter(|offer| offer.service == service) {
                owned_offers.push((owner.clone(), offer.clone()));
                candidates.push(OfferCandidate {
                    job: Arc::clone(&offer.job),
                    workspace: Arc::clone(&offer.workspace),
                    due_ms: offer.due_ms,
                    waiting: offer.waiting,
                    workspace_load: load_of(&offer.workspace),
                });
            }
        }
        Some(owned_offers.swap_remove(choose_offer(&candidates)?))
    }

    async fn pull(
        self: &Arc<Self>,
        gate: &Arc<GateDriver>,
        owner: &HostIdentity,
        offer: &JobOffer,
        room: usize,
    ) {
        let Some(target) = self.fleet.view().target(owner) else {
            lock(&self.offers).remove(owner);
            return;
        };
        let count = u32::try_from(room).unwrap_or(u32::MAX);
        let request = PullRequest {
            job: Arc::clone(&offer.job),
            shard: offer.shard,
            count,
        };
        self.context.metrics.peer_messages.inc();
        let reply = self
            .context
            .link
            .call(&target, PeerMessage::Pull(request))
            .await;
        let Ok(PeerReply::Items(PulledItems { header, items })) = reply else {
            self.remove_offer(owner, &offer.job);
            return;
        };
        if items.is_empty() {
            self.remove_offer(owner, &offer.job);
        }
        let header = Arc::new(header);
        for item in items {
            let (manager, gate) = (Arc::clone(self), Arc::clone(gate));
            tokio::spawn(manager.drive_item(gate, Arc::clone(&header), offer.shard, item));
        }
    }

    /// Removes an offer until its owner sends the next list.
    fn remove_offer(&self, owner: &HostIdentity, job: &str) {
        if let Some(list) = lock(&self.offers).get_mut(owner) {
            list.jobs.retain(|offer| *offer.job != *job);
        }
    }

    async fn drive_item(
        self: Arc<Self>,
        gate: Arc<GateDriver>,
        header: Arc<JobHeader>,
        shard: ShardIndex,
        item: PulledItem,
    ) {
        let job = header.full_name();
        let (stop, stopped) = oneshot::channel();
        let (index, announced) = (item.index, item.announced);
        let run = self.run_item(&gate, &header, item, (Arc::clone(&job), stop));
        let result = tokio::select! {
            result = run => Some(result),
            // The job is cancelled, so its owner needs no result.
            _ = stopped => None,
        };
        if let Some(result) = result {
            let result = ItemResult {
                item: index,
                announced,
                result,
            };
            self.queue_result(&job, shard, result);
        }
        // Refills the room that the item leaves at once.
        self.pull_batch(&gate);
    }

    /// Adds a result to the pending report of its job.
    fn queue_result(self: &Arc<Self>, job: &Arc<str>, shard: ShardIndex, result: ItemResult) {
        let mut pending_reports = lock(&self.pending_reports);
        if let Some(report) = pending_reports.get_mut(&**job) {
            report.results.push(result);
            return;
        }
        let report = ItemReport {
            job: Arc::clone(job),
            shard,
            results: vec![result],
        };
        pending_reports.insert(Arc::clone(job), report);
        drop(pending_reports);
        tokio::spawn(Arc::clone(self).send_queued_report(Arc::clone(job)));
    }

    /// Sends the pending report of a job after its linger time.
    async fn send_queued_report(self: Arc<Self>, job: Arc<str>) {
        tokio::time::sleep(REPORT_LINGER).await;
        // Counted before it is removed from the queue, so that a draining host always counts the report.
        self.reports_in_flight.fetch_add(1, Ordering::AcqRel);
        let removed = lock(&self.pending_reports).remove(&*job);
        if let Some(report) = removed {
            self.send_results(&report).await;
        }
        self.reports_in_flight.fetch_sub(1, Ordering::AcqRel);
    }

    async fn send_results(&self, report: &ItemReport) {
        for results in report.results.chunks(MAX_REPORT_RESULTS) {
            let part = ItemReport {
                job: Arc::clone(&report.job),
                shard: report.shard,
                results: results.to_vec(),
            };
            self.send_report(part).await;
        }
    }

    fn is_endpoint_leaving(&self, gate: &GateDriver) -> bool {
        let view = self.fleet.view();
        let endpoint = view.config.endpoint(&gate.name);
        endpoint.is_none_or(|endpoint| endpoint.leaving)
    }

    /// Stops items of jobs that are cancelled according to the log, as far as this host has read it. The
    /// owner notifies gates as well, but its message may be lost.
    pub(super) fn stop_cancelled(&self, gate: &GateDriver) {
        let view = self.fleet.view();
        for job in gate.jobs() {
            let cancelled = self.shards.with_shard(view.shard_of(&job), |state| {
                state.job(&job).is_some_and(JobEntry::is_cancelled)
            });
            if cancelled {
                gate.stop_job(&job);
            }
        }
    }

    /// Runs an item, and resumes it after each preemption by online requests if it is idempotent.
    async fn run_item(
        &self,
        gate: &Arc<GateDriver>,
        header: &JobHeader,
        item: PulledItem,
        job: (Arc<str>, oneshot::Sender<()>),
    ) -> AttemptResult {
        let mut guard = gate.enqueue(
            RequestClass::Batch,
            BATCH_QUEUE_TIMEOUT,
            header.idempotent,
            Some(job),
        );
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match guard.commands.recv().await {
                Some(GateCommand::Start) if !self.is_endpoint_leaving(gate) => {}
                Some(GateCommand::Cancel) => continue,
                // A leaving endpoint gets no new work; the owner assigns the item to another one.
                Some(GateCommand::Start | GateCommand::Refuse(_)) | None => {
                    return AttemptResult::Returned {
                        may_have_run: false,
                    };
                }
            }
            let call = EndpointCall {
                id: format!("{}-{}", self.context.identity, self.next_attempt()).into(),
                model: gate.model(),
                input: Arc::clone(&item.input),
                prior: text.as_str().into(),
                prior_tokens: tokens,
                max_tokens: header.max_tokens,
            };
            let mut on_text = |part: &Arc<str>| {
                text.push_str(part);
                tokens += 1;
                true
            };
            match gate.call_endpoint(&mut guard, call, &mut on_text).await {
                CallEnd::Done => return AttemptResult::Done { text: text.into() },
                CallEnd::NotRun(_) => {
                    return AttemptResult::Returned {
                        may_have_run: false,
                    };
                }
                CallEnd::Failed(cause) | CallEnd::Interrupted(cause) => {
                    return AttemptResult::Failed {
                        cause,
                        may_have_run: true,
                    };
                }
                CallEnd::Cancelled => {
                    self.context.metrics.preemptions.inc();
                }
            }
            if !header.idempotent {
                return AttemptResult::Returned { may_have_run: true };
            }
        }
    }

    /// Sends a report to the current owner of the job's shard, with retries.
    async fn send_report(&self, report: ItemReport) {
        for _ in 0..MAX_REPORT_ATTEMPTS {
            if let Some(target) = self.shards.owner_target(report.shard) {
                self.context.metrics.peer_messages.inc();
                let message = PeerMessage::Report(report.clone());
                let reply = self.context.link.call(&target, message).await;
                if let Ok(PeerReply::Accepted | PeerReply::NotFound) = reply {
                    return;
                }
            }
            tokio::time::sleep(REPORT_RETRY_INTERVAL).await;
        }
    }
}
