//! What one endpoint is given, and when: online before batch.
//!
//! The engine admits whatever arrives and knows no priorities, so the gate keeps what the engine holds short
//! and does the queueing itself. The gate is told what happens and answers with actions; it never waits.
//!
//! - Online requests start in order of deadline, up to a learned limit ([`limits`]). One that could not
//!   start in time is refused at once.
//! - Batch requests start in what is spare beside the online requests that run and those that are likely to
//!   come. Their prompts are read a few at a time, since reading delays every stream's next token.
//! - When online requests need the room, batch streams are cancelled, those with the fewest tokens first.
//!   A cancelled request waits again under its ticket; a call that may run once is never cancelled.
//!
//! What the gate does not do: choose endpoints, talk to the engine, or keep texts.

pub mod limits;
mod queue;
pub mod verify;

use crate::load::LoadShare;
use limits::EndpointLimits;
use queue::{HeldRequest, RunningTable, WaitingQueue};
use std::time::Duration;

/// Batch prompts that may be unread at once while no online request is about.
const MAX_PREFILLS_WITHOUT_ONLINE: usize = 2;
/// Batch requests that wait at the gate so that one that ends is followed at once.
const BATCH_PREFETCH: usize = 3;
/// Batch streams over what is allowed, in percent, that may end by themselves.
const BATCH_EXCESS_PERCENT: usize = 25;
/// Shortest time to come back that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time to come back that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of a request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Somebody waits for the answer.
    Online,
    /// Due much later.
    Batch,
}

/// What a gate promises and may use.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Most requests that the endpoint may hold at once.
    pub max_concurrent: u32,
    /// Time to the first token that is promised.
    pub first_token: Duration,
    /// Time between tokens that is promised.
    pub between_tokens: Duration,
    /// Whether batch may run beside online requests; otherwise it runs while none is about.
    pub mixed: bool,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRequest {
    /// Number of the request; higher than those before.
    pub ticket: TicketId,
    /// Online or batch.
    pub class: RequestClass,
    /// Time by which the answer is due.
    pub deadline: Duration,
    /// Whether a run may be cancelled and resumed.
    pub resumable: bool,
}

/// What the gate wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the request to the endpoint now.
    Start(TicketId),
    /// Cancel the request at the endpoint; it waits again under the same ticket.
    Cancel(TicketId),
    /// Tell the caller that the request does not run.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// When to try again.
        retry_after: Duration,
    },
}

/// The gate of one endpoint. Times are measured from any fixed start.
///
/// ```
/// use fulmarswitch_decide::gate::{
///     EndpointGate, GateAction, GateRequest, GateSettings, RequestClass, TicketId,
/// };
/// use std::time::Duration;
/// let mut gate = EndpointGate::new(GateSettings {
///     max_concurrent: 8,
///     first_token: Duration::from_millis(520),
///     between_tokens: Duration::from_millis(26),
///     mixed: true,
/// });
/// let request = GateRequest {
///     ticket: TicketId(0),
///     class: RequestClass::Online,
///     deadline: Duration::from_secs(2),
///     resumable: false,
/// };
/// let mut actions = Vec::new();
/// gate.arrive(Duration::ZERO, request, &mut actions);
/// assert_eq!(actions, [GateAction::Start(TicketId(0))]);
/// ```
#[derive(Clone, Debug)]
pub struct EndpointGate {
    settings: GateSettings,
    waiting: WaitingQueue,
    running: RunningTable,
    limits: EndpointLimits,
    /// Whether the endpoint is leaving: nothing starts any more, and what waits is refused.
    leaving: bool,
}

impl EndpointGate {
    /// Creates the gate of an endpoint that holds nothing.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        let limits = EndpointLimits::new(&settings);
        Self {
            settings,
            waiting: WaitingQueue::default(),
            running: RunningTable::default(),
            limits,
            leaving: false,
        }
    }

    /// Says whether the endpoint is leaving; the next decision follows it.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Changes what the gate promises and may use.
    pub fn configure(&mut self, settings: GateSettings) {
        self.limits.configure(&settings);
        self.settings = settings;
    }

    /// Takes a request into the queue.
    pub fn arrive(&mut self, now: Duration, request: GateRequest, actions: &mut Vec<GateAction>) {
        let held = HeldRequest::new(request, now);
        match request.class {
            RequestClass::Online => self.admit(now, held, actions),
            RequestClass::Batch => self.waiting.push_batch(held),
        }
        self.poll(now, actions);
    }

    /// Notes one token of a running request.
    pub fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        let Some(token) = self.running.record_token(now, ticket) else {
            return;
        };
        if token.is_first {
            self.limits.record_first_token(now, &token, &self.running);
            self.poll(now, actions);
        } else if self.limits.record_token_gap(now, &token, &self.running) {
            self.poll(now, actions);
        }
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        if let Some(held) = self.running.remove(ticket) {
            self.limits.record_end(now, &held);
        } else {
            self.waiting.remove(ticket);
        }
        self.poll(now, actions);
    }

    /// Decides anew.
    pub fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        let online = self.running.online() + self.waiting.online_len();
        self.limits.record_online_count(now, online);
        if self.leaving {
            self.refuse_waiting(actions);
            return;
        }
        self.refuse_overdue(now, actions);
        self.preempt_excess_batch(now, actions);
        self.start_online(now, actions);
        self.start_batch(now, actions);
        debug_assert_eq!(verify::verify_gate(self), vec![]);
    }

    /// Returns how many more batch items the gate has room for.
    #[must_use]
    pub fn batch_room(&self) -> usize {
        if self.waiting.online_len() > 0 {
            return 0;
        }
        let allowed = self.limits.batch_allowed(&self.running);
        let held = self.running.batch() + self.waiting.batch_len();
        let ahead = if allowed > 0 { BATCH_PREFETCH } else { 0 };
        (allowed + ahead).saturating_sub(held)
    }

    /// Returns the number of requests that wait or run, as a measure of load.
    #[must_use]
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the load for those who choose endpoints: the online requests, since batch gives way to them.
    #[must_use]
    pub fn online_load(&self) -> LoadShare {
        let held = self.running.online() + self.waiting.online_len();
        LoadShare {
            held: u32::try_from(held).unwrap_or(u32::MAX),
            limit: u32::try_from(self.limits.limit()).unwrap_or(u32::MAX),
        }
    }

    /// Queues an online request unless it could not start in time.
    fn admit(&mut self, now: Duration, held: HeldRequest, actions: &mut Vec<GateAction>) {
        // The whole queue counts, so that one with an early deadline makes no other one late.
        let ahead = self.waiting.online_len();
        let wait = self.limits.expected_wait(now, ahead, &self.running);
        let longest = self.limits.longest_wait(&held);
        if wait <= longest {
            self.waiting.push_online(held);
            return;
        }
        let retry_after = wait.saturating_sub(longest);
        actions.push(GateAction::Refuse {
            ticket: held.request.ticket,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        });
    }

    fn refuse_waiting(&mut self, actions: &mut Vec<GateAction>) {
        while let Some(held) = self
            .waiting
            .pop_online()
            .or_else(|| self.waiting.pop_batch())
        {
            actions.push(GateAction::Refuse {
                ticket: held.request.ticket,
                retry_after: MIN_RETRY_AFTER,
            });
        }
    }

    fn refuse_overdue(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        while let Some(held) = self.waiting.peek_online() {
            let free = self.running.online() < self.limits.limit();
            if free || now <= self.limits.latest_start(held) {
                return;
            }
            let ticket = held.request.ticket;
            self.waiting.pop_online();
            actions.push(GateAction::Refuse {
                ticket,
                retry_after: MIN_RETRY_AFTER,
            });
        }
    }

    fn preempt_excess_batch(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        let limit = self.limits.limit();
        let allowed = self.limits.batch_allowed(&self.running);
        let mut excess = self.running.batch().saturating_sub(allowed);
        if excess * 100 <= allowed.max(4) * BATCH_EXCESS_PERCENT {
            excess = 0;
        }
        let wanted = self.running.len() + self.waiting.online_len();
        let blocked = match self.waiting.online_len() {
            0 => 0,
            _ => wanted.saturating_sub(limit),
        };
        for _ in 0..excess.max(blocked) {
            let Some(mut held) = self.running.take_preemptible_batch() else {
                return;
            };
            actions.push(GateAction::Cancel(held.request.ticket));
            held.reset_run(now);
            self.waiting.requeue_batch(held);
        }
    }

    fn start_online(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        while self.running.len() < self.limits.limit() {
            let Some(held) = self.waiting.pop_online() else {
                return;
            };
            actions.push(GateAction::Start(held.request.ticket));
            self.running.start(now, held);
        }
    }

    fn start_batch(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        if self.waiting.online_len() > 0 || self.running.prefilling_online() > 0 {
            return;
        }
        let prefill_limit = if self.limits.is_online_expected() {
            1
        } else {
            MAX_PREFILLS_WITHOUT_ONLINE
        };
        while self.running.batch() < self.limits.batch_allowed(&self.running)
            && self.running.prefilling_batch() < prefill_limit
        {
            let Some(held) = self.waiting.pop_batch() else {
                return;
            };
            actions.push(GateAction::Start(held.request.ticket));
            self.running.start(now, held);
        }
    }
}
