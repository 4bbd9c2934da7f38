//! The compared policies.

use crate::baseline::FixedLimitGate;
use crate::previous::PreviousGate;
use fulmarswitch_decide::gate::{EndpointGate, GateAction, GateRequest, GateSettings, TicketId};
use fulmarswitch_decide::load::LoadShare;
use std::time::Duration;

/// Limit of the fixed-cap baseline on concurrent batch streams at an endpoint.
pub const FIXED_CAP: usize = 16;
/// Concurrent streams per endpoint of the baseline without priorities, as an operator would configure it
/// from the batch size of the engine.
const ENGINE_BATCH: usize = 64;

/// Admission control at one endpoint. Decisions are appended to `actions`.
pub trait GatePolicy: Send {
    /// Handles the arrival of a request.
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>);
    /// Handles a token received for a running request.
    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>);
    /// Handles the end of a request, whether it was running or queued.
    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>);
    /// Re-evaluates queued and running requests; called periodically.
    fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>);
    /// Returns the number of batch items that may be pulled now.
    fn batch_room(&self) -> usize;
    /// Returns the load that is reported to entry hosts, or `None` if the policy reports none.
    fn load(&self) -> Option<LoadShare> {
        None
    }
}

/// A policy for endpoint selection and admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Round-robin selection, and one queue per endpoint without priorities.
    RoundRobin,
    /// Selection of the endpoint with the fewest outstanding requests, and a fixed cap on batch streams.
    FixedCap(usize),
    /// Like [`Self::FixedCap`] with one batch prompt in processing at a time. Swept over caps to find the
    /// spare capacity.
    PacedCap(usize),
    /// The first version of the gate and of endpoint selection in this project.
    Previous,
    /// The decisions that the daemon runs.
    Current,
}

impl PolicyKind {
    /// Returns the policy's name in tables and CSV files.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::RoundRobin => "round-robin".into(),
            Self::FixedCap(cap) => format!("fixed-cap-{cap}"),
            Self::PacedCap(cap) => format!("paced-cap-{cap}"),
            Self::Previous => "previous".into(),
            Self::Current => "current".into(),
        }
    }

    /// Creates the gate of one endpoint for this policy.
    #[must_use]
    pub fn gate(self, settings: &GateSettings) -> Box<dyn GatePolicy> {
        match self {
            Self::RoundRobin => Box::new(FixedLimitGate::without_priorities(ENGINE_BATCH)),
            Self::FixedCap(cap) => Box::new(FixedLimitGate::with_cap(cap)),
            Self::PacedCap(cap) => Box::new(FixedLimitGate::with_paced_cap(cap)),
            Self::Previous => Box::new(PreviousGate::new(settings.max_concurrent as usize)),
            Self::Current => Box::new(EndpointGate::new(settings.clone())),
        }
    }

    /// Returns whether the end of a request pulls new batch items at once instead of at the next poll.
    #[must_use]
    pub fn pulls_on_end(self) -> bool {
        self != Self::Previous
    }
}

impl GatePolicy for EndpointGate {
    fn arrive(&mut self, now: Duration, arrival: GateRequest, actions: &mut Vec<GateAction>) {
        self.arrive(now, arrival, actions);
    }

    fn token(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.token(now, ticket, actions);
    }

    fn end(&mut self, now: Duration, ticket: TicketId, actions: &mut Vec<GateAction>) {
        self.end(now, ticket, actions);
    }

    fn poll(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        self.poll(now, actions);
    }

    fn batch_room(&self) -> usize {
        self.batch_room()
    }

    fn load(&self) -> Option<LoadShare> {
        Some(self.online_load())
    }
}
