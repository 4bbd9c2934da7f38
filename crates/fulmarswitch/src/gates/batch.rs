//! Batch items at a gate: pulled from owners, run in spare room, reported back.

use super::GateRole;
use super::unit::{CallEnd, GateOrder, GateUnit};
use crate::parts::lock;
use fulmarswitch_decide::gate::RequestClass;
use fulmarswitch_decide::offers::{OfferView, choose_offer};
use fulmarswitch_endpoint::EndpointCall;
use fulmarswitch_peer::message::{
    AttemptResult, ItemReport, JobOffer, PullRequest, PulledItem, PulledItems,
};
use fulmarswitch_peer::{PeerMessage, PeerReply};
use fulmarswitch_records::{HostIdentity, JobHeader, ShardIndex};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Most items pulled at once.
const PULL_LIMIT: usize = 32;
/// Time that a batch item may wait at the gate; a long time, since its due date is far off.
const BATCH_WAIT: Duration = Duration::from_hours(1);
/// Pause before a report is sent again.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// Times that a report is sent before the item is left to its lease.
const REPORT_TRIES: u32 = 50;

impl GateRole {
    /// Pulls items if the gate has room and no pull is under way.
    pub(super) fn pull_batch(self: &Arc<Self>, unit: &Arc<GateUnit>) {
        let room = unit.batch_room().min(PULL_LIMIT);
        if room == 0 || unit.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let Some((owner, offer)) = self.best_offer(unit) else {
            unit.pulling.store(false, Ordering::Release);
            return;
        };
        let (role, unit) = (Arc::clone(self), Arc::clone(unit));
        tokio::spawn(async move {
            role.pull(&unit, &owner, &offer, room).await;
            unit.pulling.store(false, Ordering::Release);
        });
    }

    fn best_offer(&self, unit: &GateUnit) -> Option<(HostIdentity, JobOffer)> {
        let service = unit.config().0.service;
        let offers = lock(&self.offers);
        let mut candidates = Vec::new();
        let mut views = Vec::new();
        for (owner, list) in offers.iter() {
            for offer in list.jobs.iter().filter(|offer| offer.service == service) {
                candidates.push((owner.clone(), offer.clone()));
                views.push(OfferView {
                    job: Arc::clone(&offer.job),
                    workspace: Arc::clone(&offer.workspace),
                    due_ms: offer.due_ms,
                    waiting: offer.waiting,
                    workspace_load: 0,
                });
            }
        }
        Some(candidates.swap_remove(choose_offer(&views)?))
    }

    async fn pull(
        self: &Arc<Self>,
        unit: &Arc<GateUnit>,
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
        self.parts.metrics.peer_messages.inc();
        let reply = self
            .parts
            .link
            .call(&target, PeerMessage::Pull(request))
            .await;
        let Ok(PeerReply::Items(PulledItems { header, items })) = reply else {
            self.drop_offer(owner, &offer.job);
            return;
        };
        if items.is_empty() {
            self.drop_offer(owner, &offer.job);
        }
        let header = Arc::new(header);
        for item in items {
            let (role, unit) = (Arc::clone(self), Arc::clone(unit));
            tokio::spawn(role.drive_item(unit, Arc::clone(&header), offer.shard, item));
        }
    }

    /// Forgets an offer until its owner sends its list again.
    fn drop_offer(&self, owner: &HostIdentity, job: &str) {
        if let Some(list) = lock(&self.offers).get_mut(owner) {
            list.jobs.retain(|offer| *offer.job != *job);
        }
    }

    async fn drive_item(
        self: Arc<Self>,
        unit: Arc<GateUnit>,
        header: Arc<JobHeader>,
        shard: ShardIndex,
        item: PulledItem,
    ) {
        let job = header.full_name();
        let (stop, stopped) = oneshot::channel();
        let index = item.index;
        let run = self.run_item(&unit, &header, item, (Arc::clone(&job), stop));
        let result = tokio::select! {
            result = run => result,
            // The job is cancelled, so its owner waits for nothing.
            _ = stopped => return,
        };
        let report = ItemReport {
            job,
            shard,
            results: vec![(index, result)],
        };
        self.send_report(report).await;
    }

    /// Runs an item, again after each time that online work takes its place.
    async fn run_item(
        &self,
        unit: &Arc<GateUnit>,
        header: &JobHeader,
        item: PulledItem,
        job: (Arc<str>, oneshot::Sender<()>),
    ) -> AttemptResult {
        let mut held = unit.enter(RequestClass::Batch, BATCH_WAIT, Some(job));
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match held.orders.recv().await {
                Some(GateOrder::Start) => {}
                Some(GateOrder::Cancel) => continue,
                Some(GateOrder::Refuse(_)) | None => {
                    return AttemptResult::Returned {
                        may_have_run: false,
                    };
                }
            }
            let call = EndpointCall {
                id: format!("{}-{}", self.parts.identity, self.next_attempt()).into(),
                model: unit.model(),
                input: Arc::clone(&item.input),
                prior: text.as_str().into(),
                prior_tokens: tokens,
                max_tokens: header.max_tokens,
            };
            let mut show = |part: &Arc<str>| {
                text.push_str(part);
                tokens += 1;
                true
            };
            match unit.call_endpoint(&mut held, call, &mut show).await {
                CallEnd::Done => return AttemptResult::Done { text: text.into() },

                CallEnd::Unreached(_) | CallEnd::NotRun(_) => {
                    return AttemptResult::Returned {
                        may_have_run: false,
                    };
                }
                CallEnd::Failed(cause) | CallEnd::Broken(cause) => {
                    return AttemptResult::Failed {
                        cause,
                        may_have_run: true,
                    };
                }
                CallEnd::Cancelled => {
                    self.parts.metrics.preemptions.inc();
                }
            }
            if !header.idempotent {
                return AttemptResult::Returned { may_have_run: true };
            }
        }
    }

    /// Reports to whoever owns the job's shard by now.
    async fn send_report(&self, report: ItemReport) {
        for _ in 0..REPORT_TRIES {
            if let Some(target) = self.shards.owner_target(report.shard) {
                self.parts.metrics.peer_messages.inc();
                let message = PeerMessage::Report(report.clone());
                let reply = self.parts.link.call(&target, message).await;
                if let Ok(PeerReply::Accepted | PeerReply::NotFound) = reply {
                    return;
                }
            }
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    }
}
