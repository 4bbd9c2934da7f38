//! Queued and running requests of a gate, in dense tables.

use super::{GateRequest, RequestClass, TicketId};
use std::collections::VecDeque;
use std::time::Duration;

/// Request that is queued or running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeldRequest {
    pub(super) request: GateRequest,
    pub(super) arrived_at: Duration,
    /// Start of the current run.
    pub(super) started_at: Duration,
    /// Time of the newest token of the current run, or of its start.
    pub(super) last_token_at: Duration,
    /// Tokens of the current run.
    pub(super) run_tokens: u32,
    /// Tokens of all runs.
    pub(super) tokens: u32,
}

impl HeldRequest {
    pub(super) fn new(request: GateRequest, now: Duration) -> Self {
        Self {
            request,
            arrived_at: now,
            started_at: now,
            last_token_at: now,
            run_tokens: 0,
            tokens: 0,
        }
    }

    pub(super) fn is_online(&self) -> bool {
        self.request.class == RequestClass::Online
    }

    /// Resets the state of the run after its cancellation.
    pub(super) fn reset_run(&mut self, now: Duration) {
        self.started_at = now;
        self.last_token_at = now;
        self.run_tokens = 0;
    }
}

/// Token of a running request, as input to the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TokenEvent {
    /// Whether it is the first token of its run.
    pub(super) is_first: bool,
    /// Whether its request is online.
    pub(super) is_online: bool,
    /// Time since the previous token, or since the start of the run.
    pub(super) elapsed: Duration,
}

/// Queued requests: online in order of deadline, batch in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingQueue {
    /// In descending order, so that the next request is the last element.
    online: Vec<HeldRequest>,
    batch: VecDeque<HeldRequest>,
}

impl WaitingQueue {
    pub(super) fn len(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    pub(super) fn online_len(&self) -> usize {
        self.online.len()
    }

    pub(super) fn batch_len(&self) -> usize {
        self.batch.len()
    }

    pub(super) fn push_online(&mut self, held: HeldRequest) {
        let index = self.index_of(&held);
        self.online.insert(index, held);
    }

    pub(super) fn peek_online(&self) -> Option<&HeldRequest> {
        self.online.last()
    }

    pub(super) fn pop_online(&mut self) -> Option<HeldRequest> {
        self.online.pop()
    }

    pub(super) fn push_batch(&mut self, held: HeldRequest) {
        self.batch.push_back(held);
    }

    /// Puts a preempted request at the head of the batch queue.
    pub(super) fn requeue_batch(&mut self, held: HeldRequest) {
        self.batch.push_front(held);
    }

    pub(super) fn pop_batch(&mut self) -> Option<HeldRequest> {
        self.batch.pop_front()
    }

    pub(super) fn remove(&mut self, ticket: TicketId) {
        self.online.retain(|held| held.request.ticket != ticket);
        self.batch.retain(|held| held.request.ticket != ticket);
    }

    /// Returns all queued requests, online first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &HeldRequest> {
        self.online.iter().chain(self.batch.iter())
    }

    fn index_of(&self, held: &HeldRequest) -> usize {
        let order = |held: &HeldRequest| (held.request.deadline, held.request.ticket);
        self.online
            .partition_point(|other| order(other) > order(held))
    }
}

/// Running requests, sorted by ticket.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningTable {
    held: Vec<HeldRequest>,
    online: usize,
    prefilling_online: usize,
    prefilling_batch: usize,
}

impl RunningTable {
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    pub(super) fn online(&self) -> usize {
        self.online
    }

    pub(super) fn batch(&self) -> usize {
        self.held.len() - self.online
    }

    /// Returns the number of online requests without a token in their current run.
    pub(super) fn prefilling_online(&self) -> usize {
        self.prefilling_online
    }

    /// Returns the number of batch requests without a token in their current run.
    pub(super) fn prefilling_batch(&self) -> usize {
        self.prefilling_batch
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &HeldRequest> {
        self.held.iter()
    }

    pub(super) fn start(&mut self, now: Duration, mut held: HeldRequest) {
        held.started_at = now;
        held.last_token_at = now;
        self.count(&held, true);
        let index = self.index_of(held.request.ticket);
        self.held.insert(index, held);
    }

    pub(super) fn record_token(&mut self, now: Duration, ticket: TicketId) -> Option<TokenEvent> {
        let index = self.index_of(ticket);
        let held = self.held.get_mut(index)?;
        if held.request.ticket != ticket {
            return None;
        }
        let event = TokenEvent {
            is_first: held.run_tokens == 0,
            is_online: held.is_online(),
            elapsed: now.saturating_sub(held.last_token_at),
        };
        held.last_token_at = now;
        held.run_tokens += 1;
        held.tokens += 1;
        if event.is_first && event.is_online {
            self.prefilling_online -= 1;
        } else if event.is_first {
            self.prefilling_batch -= 1;
        }
        Some(event)
    }

    pub(super) fn remove(&mut self, ticket: TicketId) -> Option<HeldRequest> {
        let index = self.index_of(ticket);
        let found = self.held.get(index)?.request.ticket == ticket;
        found.then(|| self.remove_at(index))
    }

    /// Removes and returns the resumable batch request with the fewest tokens in all its runs; of
    /// several with equally few, the newest. `None` if no resumable batch request runs.
    pub(super) fn take_preemptible_batch(&mut self) -> Option<HeldRequest> {
        let candidates = self.held.iter().enumerate();
        let (index, _) = candidates
            .filter(|(_, held)| !held.is_online() && held.request.resumable)
            .min_by_key(|(_, held)| (held.tokens, std::cmp::Reverse(held.request.ticket)))?;
        Some(self.remove_at(index))
    }

    fn remove_at(&mut self, index: usize) -> HeldRequest {
        let held = self.held.remove(index);
        self.count(&held, false);
        held
    }

    /// Adds a request to the counters if it was added to the table, or else subtracts it.
    fn count(&mut self, held: &HeldRequest, added: bool) {
        let change = |count: &mut usize, by: bool| {
            let by = usize::from(by);
            *count = if added { *count + by } else { *count - by };
        };
        let prefilling = held.run_tokens == 0;
        change(&mut self.online, held.is_online());
        change(&mut self.prefilling_online, held.is_online() && prefilling);
        change(&mut self.prefilling_batch, !held.is_online() && prefilling);
    }

    fn index_of(&self, ticket: TicketId) -> usize {
        self.held
            .partition_point(|held| held.request.ticket < ticket)
    }
}
