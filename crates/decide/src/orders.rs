//! Decides when the host that holds an endpoint's gate orders the endpoint to load a model.
//!
//! Each order carries a fencing token: the offset of the holder's claim. An endpoint that checks
//! the token refuses orders of an older holder. For an endpoint that does not, a new holder waits
//! until any outstanding orders of the previous holder have ended. An order that takes effect even
//! later shows in the next report of the endpoint and is corrected.
//!
//! Endpoints that want the same model load it one after the other. Each has its own slot, as long
//! as the weight store takes for one load, so that a new version is not loaded everywhere at the
//! same time.

use crate::placement::weight;
use std::time::Duration;

/// Time after which the host that sent an order abandons it.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a new holder waits before its first order to an endpoint that does not check fencing
/// tokens: the duration of the longest order plus the time in which the previous holder notices
/// that it no longer receives the log.
pub const UNFENCED_ORDER_DELAY: Duration = Duration::from_secs(8);

/// State of an endpoint at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderView {
    /// Current time.
    pub now: Duration,
    /// Whether the endpoint reports that the wanted model is loaded.
    pub loaded: bool,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Fencing token of this host's claim and the time at which it was first read from the log;
    /// `None` if the newest claim is not this host's.
    pub claim: Option<(u64, Duration)>,
    /// Slot in which the endpoint may start to load.
    pub slot: LoadSlot,
}

/// Recurring time slot in which one of several endpoints may start to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSlot {
    /// Start of the first slot.
    pub since: Duration,
    /// Length of a slot; zero if the weight store imposes no limit.
    pub length: Duration,
    /// Position of the endpoint in the rotation, below `count`.
    pub position: u32,
    /// Number of endpoints in the rotation.
    pub count: u32,
}

/// Next step for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// The wanted model is loaded.
    Done,
    /// Wait; no order may be sent yet.
    Wait,
    /// Claim the gate of the endpoint.
    Claim,
    /// Order the endpoint to load the wanted model.
    Load {
        /// Fencing token of the order.
        fencing: u64,
    },
}

/// Decides the next step for an endpoint whose gate this host holds.
///
/// ```
/// use fulmarswitch_decide::orders::{LoadSlot, OrderStep, OrderView, next_step};
/// use std::time::Duration;
/// let slot = LoadSlot { since: Duration::ZERO, length: Duration::ZERO, position: 0, count: 1 };
/// let mut view = OrderView {
///     now: Duration::ZERO, loaded: false, checks_fencing: true, claim: None, slot,
/// };
/// assert_eq!(next_step(&view), OrderStep::Claim);
/// view.claim = Some((7, Duration::ZERO));
/// assert_eq!(next_step(&view), OrderStep::Load { fencing: 7 });
/// ```
#[must_use]
pub fn next_step(view: &OrderView) -> OrderStep {
    if view.loaded {
        return OrderStep::Done;
    }
    let Some((fencing, since)) = view.claim else {
        return OrderStep::Claim;
    };
    let may_order = view.checks_fencing || view.now >= since + UNFENCED_ORDER_DELAY;
    if may_order && view.slot.is_open(view.now) {
        OrderStep::Load { fencing }
    } else {
        OrderStep::Wait
    }
}

/// Returns the position of `endpoint` among the endpoints that want `model`, and the number of
/// those. Every host computes the same order.
///
/// ```
/// use fulmarswitch_decide::orders::load_position;
/// let (position, count) = load_position("e1", "m", ["e0", "e1"].into_iter());
/// assert!(position < 2 && count == 2);
/// ```
#[must_use]
pub fn load_position<'a>(
    endpoint: &str,
    model: &str,
    endpoints: impl Iterator<Item = &'a str>,
) -> (u32, u32) {
    let rank = |name: &str| (weight(name, model), name == endpoint);
    let own_rank = rank(endpoint);
    let (mut position, mut count) = (0, 0);
    for name in endpoints {
        count += 1;
        position += u32::from(rank(name) < own_rank);
    }
    (position, count)
}

impl LoadSlot {
    /// Returns whether the endpoint may start to load at `now`.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        if self.length.is_zero() || self.count <= 1 {
            return true;
        }
        let elapsed_slots =
            now.saturating_sub(self.since).as_millis() / self.length.as_millis().max(1);
        elapsed_slots % u128::from(self.count) == u128::from(self.position)
    }
}
