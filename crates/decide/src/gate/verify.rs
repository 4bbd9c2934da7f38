//! Invariants of a gate.

use super::EndpointGate;
use super::queue::HeldRequest;
use snafu::Snafu;

/// Violated invariant of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum GateViolation {
    /// A ticket is held more than once.
    #[snafu(display(
        "ticket {ticket} is held more than once; it must be either queued or running"
    ))]
    DuplicateTicket {
        /// Number of the ticket.
        ticket: u64,
    },
    /// A counter differs from the contents of the tables.
    #[snafu(display(
        "a counter of running requests differs from the table; update it through `count`"
    ))]
    CounterMismatch,
    /// More requests run than the configuration allows.
    #[snafu(display("{running} requests run, but the endpoint allows {max_concurrent}"))]
    OverLimit {
        /// Number of running requests.
        running: usize,
        /// Largest number that the configuration allows.
        max_concurrent: usize,
    },
    /// Online requests are queued although there is free capacity.
    #[snafu(display("online requests are queued although the limit is not reached"))]
    IdleCapacity,
    /// Online requests are queued while batch streams run that could be preempted.
    #[snafu(display("online requests are queued while batch streams run that can be preempted"))]
    BatchBeforeOnline,
}

/// Returns the invariants that do not hold; to be called after each decision of the gate.
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
        |predicate: fn(&HeldRequest) -> bool| running.iter().filter(|held| predicate(held)).count();
    let prefilling_online = count(|held| held.is_online() && held.run_tokens == 0);
    let prefilling_batch = count(|held| !held.is_online() && held.run_tokens == 0);
    let holds = running.online() == count(HeldRequest::is_online)
        && running.prefilling_online() == prefilling_online
        && running.prefilling_batch() == prefilling_batch;
    if !holds {
        violations.push(GateViolation::CounterMismatch);
    }
}
