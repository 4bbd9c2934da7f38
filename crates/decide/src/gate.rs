//! What one endpoint is given, and when: online before batch.
//!
//! The engine admits whatever arrives, so the gate keeps what the engine holds short and does the queueing
//! itself: online in order of deadline, batch only in what is spare. The gate is told what happens and
//! answers with actions; it never waits.

use std::time::Duration;

/// Number of a request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketIndex(pub u64);

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
}

/// What the gate wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the request to the endpoint now.
    Start(TicketIndex),
    /// Cancel the request at the endpoint; it goes back to where it came from.
    Cancel(TicketIndex),
    /// Tell the caller that the request does not run.
    Refuse {
        /// The request.
        ticket: TicketIndex,
        /// When to try again.
        retry_after: Duration,
    },
}

/// A request that waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldRequest {
    ticket: TicketIndex,
    class: RequestClass,
    deadline: Duration,
    started: Option<Duration>,
    tokens: u32,
}

/// The gate of one endpoint. Times are measured from any fixed start.
#[derive(Clone, Debug)]
pub struct EndpointGate {
    settings: GateSettings,
    waiting: Vec<HeldRequest>,
    running: Vec<HeldRequest>,
}

impl EndpointGate {
    /// Creates the gate of an endpoint that holds nothing.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Changes what the gate promises and may use.
    pub fn configure(&mut self, settings: GateSettings) {
        self.settings = settings;
    }

    /// Takes a request into the queue.
    pub fn arrive(
        &mut self,
        now: Duration,
        ticket: TicketIndex,
        class: RequestClass,
        deadline: Duration,
        actions: &mut Vec<GateAction>,
    ) {
        let request = HeldRequest {
            ticket,
            class,
            deadline,
            started: None,
            tokens: 0,
        };
        let order = |held: &HeldRequest| (held.class == RequestClass::Batch, held.deadline);
        let at = self
            .waiting
            .partition_point(|held| order(held) <= order(&request));
        self.waiting.insert(at, request);
        self.poll(now, actions);
    }

    /// Notes one token of a running request.
    pub fn token(&mut self, _now: Duration, ticket: TicketIndex) {
        if let Some(held) = self.running.iter_mut().find(|held| held.ticket == ticket) {
            held.tokens += 1;
        }
    }

    /// Notes that a request has ended, for whatever reason.
    pub fn end(&mut self, now: Duration, ticket: TicketIndex, actions: &mut Vec<GateAction>) {
        self.waiting.retain(|held| held.ticket != ticket);
        self.running.retain(|held| held.ticket != ticket);
        self.poll(now, actions);
    }

    /// Decides anew.
    pub fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        while self.running.len() < self.limit() && !self.waiting.is_empty() {
            let mut held = self.waiting.remove(0);
            held.started = Some(now);
            self.running.push(held);
            actions.push(GateAction::Start(held.ticket));
        }
    }

    /// Returns how many more batch items the gate has room for.
    #[must_use]
    pub fn batch_room(&self) -> usize {
        let held = self.running.len() + self.waiting.len();
        (self.limit() / 2).saturating_sub(held)
    }

    /// Returns the number of requests that wait or run, as a measure of load.
    #[must_use]
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn limit(&self) -> usize {
        self.settings.max_concurrent as usize
    }
}
