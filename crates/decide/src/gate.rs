//! Admission control and scheduling at one endpoint, with online requests before batch requests.
//!
//! The inference engine of the endpoint admits every request that arrives and has no priorities.
//! The gate therefore limits the requests at the engine and does the queueing itself. It receives
//! events and returns actions; it never blocks.
//!
//! - Online requests start in order of deadline, up to an adaptive limit ([`limits`]). A request
//!   that could not start in time is refused on arrival.
//! - Batch requests start in the capacity that running and expected online requests leave. Few of
//!   them prefill at the same time, because prefilling delays the next token of every stream.
//! - When online requests need the capacity, batch streams are preempted, those with the fewest
//!   tokens first. A preempted request returns to the queue under its ticket. A call that may run
//!   at most once is never preempted.
//!
//! The gate does not choose endpoints, talk to the engine or store request texts.

pub mod limits;
mod queue;
pub mod verify;

use crate::load::LoadShare;
use limits::EndpointLimits;
use queue::{HeldRequest, RunningTable, WaitingQueue};
use std::time::Duration;

/// Batch requests that may prefill at the same time while no online request is active or expected.
const MAX_PREFILLS_WITHOUT_ONLINE: usize = 2;
/// Batch requests queued at the gate beyond its capacity, so that the next one can start as soon as
/// one ends.
const BATCH_PREFETCH: usize = 3;
/// Excess of batch streams over their limit, in percent of it, up to which no stream is preempted.
/// The excess shrinks as streams end.
const BATCH_EXCESS_PERCENT: usize = 25;
/// Shortest retry delay that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry delay that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Identifier of a request at one gate, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Scheduling class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A caller waits for the answer.
    Online,
    /// No caller waits for the answer, which is due much later.
    Batch,
}

/// Latency targets and capacity of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Largest number of requests that may be in progress at the endpoint.
    pub max_concurrent: u32,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub between_tokens: Duration,
    /// Whether batch requests may run at the same time as online requests; otherwise they run only
    /// while no online request is active or expected.
    pub mixed: bool,
}

/// Request that arrives at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRequest {
    /// Ticket of the request; higher than all tickets before.
    pub ticket: TicketId,
    /// Scheduling class.
    pub class: RequestClass,
    /// Time by which the answer is due, on the clock of the gate.
    pub deadline: Duration,
    /// Whether a run may be cancelled and started again later.
    pub resumable: bool,
}

/// Action that the gate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the request to the endpoint now.
    Start(TicketId),
    /// Cancel the request at the endpoint; it returns to the queue under the same ticket.
    Cancel(TicketId),
    /// Refuse the request: it does not run and leaves the gate.
    Refuse {
        /// Ticket of the request.
        ticket: TicketId,
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}

/// Gate of one endpoint. Times are measured from an arbitrary fixed start.
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
    /// Whether the endpoint is leaving: nothing starts any more, and queued requests are refused.
    leaving: bool,
}

impl EndpointGate {
    /// Creates the gate of an idle endpoint.
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

    /// Sets whether the endpoint is leaving; takes effect at the next event or poll.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Changes the latency targets and the capacity.
    pub fn configure(&mut self, settings: GateSettings) {
        self.limits.configure(&settings);
        self.settings = settings;
    }

    /// Queues or refuses an arriving request and starts what can start.
    pub fn arrive(&mut self, now: Duration, request: GateRequest, actions: &mut Vec<GateAction>) {
        let held = HeldRequest::new(request, now);
        match request.class {
            RequestClass::Online => self.admit(now, held, actions),
            RequestClass::Batch => self.waiting.push_batch(held),
        }
        self.poll(now, actions);
    }

    /// Records one token of a running request.
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

    /// Records that a request has ended, for whatever reason.
    pub fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        if let Some(held) = self.running.remove(ticket) {
            self.limits.record_end(now, &held);
        } else {
            self.waiting.remove(ticket);
        }
        self.poll(now, actions);
    }

    /// Refuses, preempts and starts what is due at `now`; to be called as time passes.
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

    /// Returns the number of further batch items that the gate has capacity for.
    #[must_use]
    pub fn batch_room(&self) -> usize {
        if self.waiting.online_len() > 0 {
            return 0;
        }
        let allowed = self.limits.batch_allowed(&self.running);
        let held = self.running.batch() + self.waiting.batch_len();
        let prefetch = if allowed > 0 { BATCH_PREFETCH } else { 0 };
        (allowed + prefetch).saturating_sub(held)
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the load that is reported to load balancers. It counts only online requests, because
    /// batch requests are preempted by them.
    #[must_use]
    pub fn online_load(&self) -> LoadShare {
        let held = self.running.online() + self.waiting.online_len();
        LoadShare {
            held: u32::try_from(held).unwrap_or(u32::MAX),
            limit: u32::try_from(self.limits.limit()).unwrap_or(u32::MAX),
        }
    }

    /// Queues an online request, or refuses it if it could not start in time.
    fn admit(&mut self, now: Duration, held: HeldRequest, actions: &mut Vec<GateAction>) {
        // The entire queue counts, so that admitting a request with an early deadline makes no
        // other request late.
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
        // At least one excess stream is tolerated, however low the limit is: 25 percent of four.
        if excess * 100 <= allowed.max(4) * BATCH_EXCESS_PERCENT {
            excess = 0;
        }
        let demand = self.running.len() + self.waiting.online_len();
        let blocked = match self.waiting.online_len() {
            0 => 0,
            _ => demand.saturating_sub(limit),
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
