//! Baseline gates with a fixed concurrency limit.

use crate::policy::GatePolicy;
use fulmarswitch_decide::gate::{GateAction, GateRequest, RequestClass, TicketId};
use std::collections::VecDeque;
use std::time::Duration;

/// A gate with a fixed limit on batch streams, or on all streams if both classes share one queue.
#[derive(Debug)]
pub struct FixedLimitGate {
    waiting: VecDeque<(TicketId, RequestClass)>,
    online: Vec<TicketId>,
    batch: Vec<TicketId>,
    cap: usize,
    single_queue: bool,
    one_prompt_at_a_time: bool,
    /// Batch request that has started and has no first token yet; set only with `one_prompt_at_a_time`.
    awaiting_first_token: Option<TicketId>,
}

impl FixedLimitGate {
    /// Creates a gate with one FIFO queue for both classes and a limit on their total.
    #[must_use]
    pub fn without_priorities(limit: usize) -> Self {
        Self {
            single_queue: true,
            ..Self::with_cap(limit)
        }
    }

    /// Creates a gate that starts online requests at once and limits batch streams to `cap`.
    #[must_use]
    pub fn with_cap(cap: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            online: Vec::new(),
            batch: Vec::new(),
            cap,
            single_queue: false,
            one_prompt_at_a_time: false,
            awaiting_first_token: None,
        }
    }

    /// Creates a gate like [`Self::with_cap`] that also starts a batch request only after the first token of
    /// the previous one.
    #[must_use]
    pub fn with_paced_cap(cap: usize) -> Self {
        Self {
            one_prompt_at_a_time: true,
            ..Self::with_cap(cap)
        }
    }

    fn streams_in_limit(&self) -> usize {
        self.batch.len()
            + if self.single_queue {
                self.online.len()
            } else {
                0
            }
    }
}

impl GatePolicy for FixedLimitGate {
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>) {
        if arrival.class == RequestClass::Online && !self.single_queue {
            self.online.push(arrival.ticket);
            actions.push(GateAction::Start(arrival.ticket));
            return;
        }
        self.waiting.push_back((arrival.ticket, arrival.class));
        self.poll(now, actions);
    }

    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        if self.awaiting_first_token == Some(ticket) {
            self.awaiting_first_token = None;
            self.poll(now, actions);
        }
    }

    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.waiting.retain(|queued| queued.0 != ticket);
        self.online.retain(|running| *running != ticket);
        self.batch.retain(|running| *running != ticket);
        self.awaiting_first_token = self
            .awaiting_first_token
            .filter(|awaiting| *awaiting != ticket);
        self.poll(now, actions);
    }

    fn poll(&mut self, _: Duration, actions: &mut Vec<GateAction>) {
        while self.streams_in_limit() < self.cap && self.awaiting_first_token.is_none() {
            let Some((ticket, class)) = self.waiting.pop_front() else {
                return;
            };
            match class {
                RequestClass::Online => self.online.push(ticket),
                RequestClass::Batch => {
                    self.batch.push(ticket);
                    self.awaiting_first_token = self.one_prompt_at_a_time.then_some(ticket);
                }
            }
            actions.push(GateAction::Start(ticket));
        }
    }

    fn batch_room(&self) -> usize {
        self.cap
            .saturating_sub(self.streams_in_limit() + self.waiting.len())
    }
}
