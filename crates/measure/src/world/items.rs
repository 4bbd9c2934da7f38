//! Batch items: pulled by gates from jobs that never run dry.

use super::{HeldTicket, RunWorld, callers::prompt, lock};
use crate::scenario::{BATCH_BYTES, BATCH_TOKENS};
use fulmarswitch_decide::gate::{GateAction, RequestClass};
use fulmarswitch_decide::offers::{OfferCandidate, choose_offer};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall};
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;

/// Jobs on offer: name, workspace and due time in milliseconds.
pub(super) const JOBS: [(&str, &str, u64); 3] = [
    ("a/logs", "a", 3_600_000),
    ("b/logs", "b", 3_600_000),
    ("b/more", "b", 7_200_000),
];
/// Time from asking for items to having them.
const PULL_TIME: Duration = Duration::from_millis(3);
/// Most items pulled at once, as in the daemon.
const PULL_LIMIT: usize = 32;
/// Time that an item may wait at the gate, as in the daemon.
const BATCH_WAIT: Duration = Duration::from_hours(1);

impl RunWorld {
    /// Pulls items if the gate has room and no pull is under way.
    pub(super) fn pull(self: &Arc<Self>, site: usize) {
        if !self.scenario.batch {
            return;
        }
        let mut gate = lock(&self.sites[site]);
        let room = gate.policy.batch_room().min(PULL_LIMIT);
        if room == 0 || gate.pulling || gate.leaving {
            return;
        }
        gate.pulling = true;
        drop(gate);
        let world = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(PULL_TIME).await;
            for _ in 0..room {
                let body = world.hand_out();
                tokio::spawn(Arc::clone(&world).drive_item(site, body));
            }
            lock(&world.sites[site]).pulling = false;
        });
    }

    /// Picks a job and returns the number of its item, unique over the jobs.
    fn hand_out(&self) -> u64 {
        let mut handed = lock(&self.handed);
        let views: Vec<OfferCandidate> = JOBS
            .iter()
            .map(|(job, workspace, due_ms)| OfferCandidate {
                job: (*job).into(),
                workspace: (*workspace).into(),
                due_ms: *due_ms,
                waiting: 1,
                workspace_load: 0,
            })
            .collect();
        let at = choose_offer(&views).unwrap_or(0);
        handed[at] += 1;
        handed.iter().sum()
    }

    async fn drive_item(self: Arc<Self>, site: usize, body: u64) {
        let mut held = self.enter(site, RequestClass::Batch, BATCH_WAIT);
        let input = prompt("batch", body, body, BATCH_BYTES);
        let mut tokens = 0;
        loop {
            match held.orders.recv().await {
                Some(GateAction::Start(_)) => {}
                Some(GateAction::Cancel(_)) => continue,
                Some(GateAction::Refuse { .. }) | None => return,
            }
            match self.read_item(&mut held, &input, &mut tokens).await {
                Some(true) => break,
                Some(false) => lock(&self.tally).cancelled += u64::from(self.counts()),
                None => {
                    // The owner hands the item out again, from its start.
                    if self.counts() {
                        lock(&self.tally).wasted_tokens += u64::from(tokens);
                    }
                    // A gate of a lost endpoint must not spin.
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    return;
                }
            }
        }
        if self.counts() {
            let mut tally = lock(&self.tally);
            tally.items += 1;
            tally.useful_tokens += u64::from(tokens);
        }
    }

    /// Reads a stream to its end (true), to its cancellation (false) or to its failure.
    async fn read_item(
        &self,
        held: &mut HeldTicket,
        input: &Arc<str>,
        tokens: &mut u32,
    ) -> Option<bool> {
        let call = EndpointCall {
            id: "".into(),
            model: "".into(),
            input: Arc::clone(input),
            prior: "".into(),
            prior_tokens: *tokens,
            max_tokens: BATCH_TOKENS,
        };
        let engine = Arc::clone(&lock(&self.sites[held.site]).engine);
        let mut parts = engine.start(&call).ok()?;
        loop {
            let part = tokio::select! {
                biased;
                order = held.orders.recv() => match order {
                    Some(GateAction::Cancel(_)) => return Some(false),
                    _ => continue,
                },
                part = parts.next() => part,
            };
            match part {
                Some(Ok(AnswerPart::Text(_))) => {
                    *tokens += 1;
                    self.note_token(held.site, held.ticket);
                }
                Some(Ok(AnswerPart::End)) => return Some(true),
                _ => return None,
            }
        }
    }
}
