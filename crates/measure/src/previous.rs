//! The first version of this project's gate, kept for comparison.
//!
//! It starts queued requests, online before batch and then by deadline, up to the configured concurrency
//! limit, and pulls batch items up to half of that limit.

use crate::policy::GatePolicy;
use fulmarswitch_decide::gate::{GateAction, GateRequest, RequestClass, TicketId};
use std::time::Duration;

/// Strict priority queue with a fixed concurrency limit.
#[derive(Debug)]
pub struct PreviousGate {
    limit: usize,
    waiting: Vec<(bool, Duration, TicketId)>,
    running: Vec<TicketId>,
}

impl PreviousGate {
    /// Creates an empty gate that runs at most `limit` requests at a time.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }
}

impl GatePolicy for PreviousGate {
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>) {
        let position = (arrival.class == RequestClass::Batch, arrival.deadline);
        let at = self
            .waiting
            .partition_point(|queued| (queued.0, queued.1) <= position);
        self.waiting
            .insert(at, (position.0, position.1, arrival.ticket));
        self.poll(now, actions);
    }

    fn token(&mut self, _: Duration, _: TicketId, _: &mut Vec<GateAction>) {}

    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.waiting.retain(|held| held.2 != ticket);
        self.running.retain(|running| *running != ticket);
        self.poll(now, actions);
    }

    fn poll(&mut self, _: Duration, actions: &mut Vec<GateAction>) {
        while self.running.len() < self.limit && !self.waiting.is_empty() {
            let (_, _, ticket) = self.waiting.remove(0);
            self.running.push(ticket);
            actions.push(GateAction::Start(ticket));
        }
    }

    fn batch_room(&self) -> usize {
        (self.limit / 2).saturating_sub(self.running.len() + self.waiting.len())
    }
}
