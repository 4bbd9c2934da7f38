//! What must always hold in a gate.

use super::EndpointGate;
use super::queue::HeldRequest;
use snafu::Snafu;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum GateViolation {
    /// A ticket stands in more than one place.
    #[snafu(display("ticket {ticket} is held twice; the gate must hold each ticket in one place"))]
    DuplicateTicket {
        /// Number of the ticket.
        ticket: u64,
    },
    /// A counter differs from what the tables hold.
    #[snafu(display("a counter differs from the tables; each change must go through `count`"))]
    CounterMismatch,
    /// More requests run than the configuration allows.
    #[snafu(display("{running} requests run; start no more than {max_concurrent}"))]
    OverLimit {
        /// Requests that run.
        running: usize,
        /// The most that the configuration allows.
        max_concurrent: usize,
    },
    /// Online requests wait although there is room.
    #[snafu(display("online requests wait beside free room; start them first"))]
    IdleCapacity,
    /// Online requests wait while batch streams that could be cancelled run.
    #[snafu(display("online requests wait behind batch; cancel the batch streams first"))]
    BatchBeforeOnline,
}

/// Returns the invariants that do not hold after a decision.
///
/// ```
/// use fulmarswitch_decide::gate::{EndpointGate, GateSettings, verify::verify_gate};
/// use std::time::Duration;
/// let gate = EndpointGate::new(GateSettings {
///     max_concurrent: 8,
///     first_token: Duration::from_millis(520),
///     between_tokens: Duration::from_millis(26),
///     mixed: true,
/// });
/// assert_eq!(verify_gate(&gate), vec![]);
/// ```
#[must_use]
pub fn verify_gate(gate: &EndpointGate) -> Vec<GateViolation> {
    let mut violations = Vec::new();
    check_tickets(gate, &mut violations);
    check_counts(gate, &mut violations);
    let max_concurrent = gate.settings.max_concurrent.max(1) as usize;
    let running = gate.running.len();
    if running > max_concurrent && gate.running.batch() > 0 {
        violations.push(GateViolation::OverLimit {
            running,
            max_concurrent,
        });
    }
    if gate.waiting.online_len() > 0 {
        if running < gate.limits.limit() {
            violations.push(GateViolation::IdleCapacity);
        }
        let cancellable = |held: &HeldRequest| !held.is_online() && held.request.resumable;
        if gate.running.iter().any(cancellable) {
            violations.push(GateViolation::BatchBeforeOnline);
        }
    }
    violations
}

fn check_tickets(gate: &EndpointGate, violations: &mut Vec<GateViolation>) {
    let held = gate.waiting.iter().chain(gate.running.iter());
    let mut tickets: Vec<u64> = held.map(|held| held.request.ticket.0).collect();
    tickets.sort_unstable();
    for pair in tickets.windows(2).filter(|pair| pair[0] == pair[1]) {
        violations.push(GateViolation::DuplicateTicket { ticket: pair[0] });
    }
}

fn check_counts(gate: &EndpointGate, violations: &mut Vec<GateViolation>) {
    let running = &gate.running;
    let count =
        |wanted: fn(&HeldRequest) -> bool| running.iter().filter(|held| wanted(held)).count();
    let prefilling_online = count(|held| held.is_online() && held.run_tokens == 0);
    let prefilling_batch = count(|held| !held.is_online() && held.run_tokens == 0);
    let holds = running.online() == count(HeldRequest::is_online)
        && running.prefilling_online() == prefilling_online
        && running.prefilling_batch() == prefilling_batch;
    if !holds {
        violations.push(GateViolation::CounterMismatch);
    }
}
