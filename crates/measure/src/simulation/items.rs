//! Batch items: gates pull them from jobs with an unlimited backlog.

use super::{GateTicket, Simulation, callers::prompt, lock};
use crate::scenario::{BATCH_PROMPT_BYTES, BATCH_TOKENS};
use fulmarswitch_decide::gate::{GateAction, RequestClass};
use fulmarswitch_decide::offers::{OfferCandidate, choose_offer};
use fulmarswitch_endpoint::{AnswerPart, EndpointCall};
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;

/// Offered jobs: name, workspace and due time in milliseconds.
pub(super) const JOBS: [(&str, &str, u64); 3] = [
    ("a/logs", "a", 3_600_000),
    ("b/logs", "b", 3_600_000),
    ("b/more", "b", 7_200_000),
];
/// Latency of a pull, from the request for items to their arrival.
const PULL_DELAY: Duration = Duration::from_millis(3);
/// Maximum items per pull, as in the daemon.
const MAX_PULL_ITEMS: usize = 32;
/// Maximum time that an item is queued at the gate, as in the daemon.
const BATCH_TIMEOUT: Duration = Duration::from_hours(1);

impl Simulation {
    /// Starts a pull if the gate has capacity for batch items and no pull is in flight.
    pub(super) fn pull_items(self: &Arc<Self>, endpoint: usize) {
        if !self.scenario.batch {
            return;
        }
        let mut endpoint_state = lock(&self.endpoints[endpoint]);
        let room = endpoint_state.policy.batch_room().min(MAX_PULL_ITEMS);
        if room == 0 || endpoint_state.pulling || endpoint_state.leaving {
            return;
        }
        endpoint_state.pulling = true;
        drop(endpoint_state);
        let simulation = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(PULL_DELAY).await;
            for _ in 0..room {
                let item = simulation.next_item();
                tokio::spawn(Arc::clone(&simulation).run_item(endpoint, item));
            }
            lock(&simulation.endpoints[endpoint]).pulling = false;
        });
    }

    /// Selects a job and returns the number of its next item, which is unique over all jobs.
    fn next_item(&self) -> u64 {
        let mut items_issued = lock(&self.items_issued);
        let offers: Vec<OfferCandidate> = JOBS
            .iter()
            .map(|(job, workspace, due_ms)| OfferCandidate {
                job: (*job).into(),
                workspace: (*workspace).into(),
                due_ms: *due_ms,
                waiting: 1,
                workspace_load: 0,
            })
            .collect();
        let at = choose_offer(&offers).unwrap_or(0);
        items_issued[at] += 1;
        items_issued.iter().sum()
    }

    async fn run_item(self: Arc<Self>, endpoint: usize, item: u64) {
        let mut gate_ticket = self.enqueue(endpoint, RequestClass::Batch, BATCH_TIMEOUT);
        let input = prompt("batch", item, item, BATCH_PROMPT_BYTES);
        let mut tokens = 0;
        loop {
            match gate_ticket.gate_actions.recv().await {
                Some(GateAction::Start(_)) => {}
                Some(GateAction::Cancel(_)) => continue,
                Some(GateAction::Refuse { .. }) | None => return,
            }
            match self.read_item(&mut gate_ticket, &input, &mut tokens).await {
                Some(true) => break,
                Some(false) => lock(&self.stats).cancelled += u64::from(self.past_warmup()),
                None => {
                    // The owner would issue the item again from its start, so its tokens are lost.
                    if self.past_warmup() {
                        lock(&self.stats).wasted_tokens += u64::from(tokens);
                    }
                    // The delay keeps the gate of a lost endpoint from pulling and failing items in a busy loop.
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    return;
                }
            }
        }
        if self.past_warmup() {
            let mut stats = lock(&self.stats);
            stats.items += 1;
            stats.useful_tokens += u64::from(tokens);
        }
    }

    /// Reads a stream until it completes (`Some(true)`), is cancelled by the gate (`Some(false)`) or fails (`None`).
    async fn read_item(
        &self,
        gate_ticket: &mut GateTicket,
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
        let engine = Arc::clone(&lock(&self.endpoints[gate_ticket.endpoint]).engine);
        let mut parts = engine.start(&call).ok()?;
        loop {
            let part = tokio::select! {
                biased;
                action = gate_ticket.gate_actions.recv() => match action {
                    Some(GateAction::Cancel(_)) => return Some(false),
                    _ => continue,
                },
                part = parts.next() => part,
            };
            match part {
                Some(Ok(AnswerPart::Text(_))) => {
                    *tokens += 1;
                    self.record_token(gate_ticket.endpoint, gate_ticket.ticket);
                }
                Some(Ok(AnswerPart::End)) => return Some(true),
                _ => return None,
            }
        }
    }
}
