//! Gates without learning, to compare with.

use crate::policy::GatePolicy;
use fulmarswitch_decide::gate::{GateAction, GateRequest, RequestClass, TicketId};
use std::collections::VecDeque;
use std::time::Duration;

/// Starts online requests at once, or in one queue with batch, and batch up to a cap.
#[derive(Debug)]
pub struct OpenGate {
    waiting: VecDeque<(TicketId, RequestClass)>,
    online: Vec<TicketId>,
    batch: Vec<TicketId>,
    cap: usize,
    shared: bool,
    paced: bool,
    /// Batch request whose first token is still to come; kept by a paced gate only.
    unread: Option<TicketId>,
}

impl OpenGate {
    /// Creates a gate with one queue for both classes and a limit on their sum.
    #[must_use]
    pub fn without_priorities(limit: usize) -> Self {
        Self {
            shared: true,
            ..Self::with_cap(limit)
        }
    }

    /// Creates a gate that starts online requests at once and caps batch.
    #[must_use]
    pub fn with_cap(cap: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            online: Vec::new(),
            batch: Vec::new(),
            cap,
            shared: false,
            paced: false,
            unread: None,
        }
    }

    /// Creates a gate with a cap that starts one batch prompt at a time.
    #[must_use]
    pub fn with_paced_cap(cap: usize) -> Self {
        Self {
            paced: true,
            ..Self::with_cap(cap)
        }
    }

    fn counted(&self) -> usize {
        self.batch.len() + if self.shared { self.online.len() } else { 0 }
    }
}

impl GatePolicy for OpenGate {
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>) {
        if arrival.class == RequestClass::Online && !self.shared {
            self.online.push(arrival.ticket);
            actions.push(GateAction::Start(arrival.ticket));
            return;
        }
        self.waiting.push_back((arrival.ticket, arrival.class));
        self.poll(now, actions);
    }

    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        if self.unread == Some(ticket) {
            self.unread = None;
            self.poll(now, actions);
        }
    }

    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.waiting.retain(|held| held.0 != ticket);
        self.online.retain(|held| *held != ticket);
        self.batch.retain(|held| *held != ticket);
        self.unread = self.unread.filter(|unread| *unread != ticket);
        self.poll(now, actions);
    }

    fn poll(&mut self, _: Duration, actions: &mut Vec<GateAction>) {
        while self.counted() < self.cap && self.unread.is_none() {
            let Some((ticket, class)) = self.waiting.pop_front() else {
                return;
            };
            match class {
                RequestClass::Online => self.online.push(ticket),
                RequestClass::Batch => {
                    self.batch.push(ticket);
                    self.unread = self.paced.then_some(ticket);
                }
            }
            actions.push(GateAction::Start(ticket));
        }
    }

    fn batch_room(&self) -> usize {
        self.cap.saturating_sub(self.counted() + self.waiting.len())
    }
}
