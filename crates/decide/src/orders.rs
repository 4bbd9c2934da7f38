//! When the holder of an endpoint's gate orders it to load a model.
//!
//! Orders carry the offset of the holder's claim as their fencing number. An endpoint that checks it
//! refuses those of an older holder. For one that does not, a new holder waits until the orders that the
//! one before may have on their way have ended, and what comes later all the same is seen in the next report
//! and put right.
//!
//! Endpoints that want the same model load it one after the other, each in its own slot of the time that
//! the weight store takes for one, so that a new version does not load everywhere at once.

use crate::placement::weight;
use std::time::Duration;

/// Longest time that an order may take before its giver abandons it.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a new holder waits before its first order to an endpoint that checks no fencing numbers:
/// the longest order, and the time in which the one before notices that it no longer hears the log.
pub const UNFENCED_ORDER_DELAY: Duration = Duration::from_secs(8);

/// What is known of an endpoint at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderView {
    /// Time now.
    pub now: Duration,
    /// Whether the endpoint reports the wanted model as loaded.
    pub loaded: bool,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Fencing number of this host's claim and when it was first seen to stand, if it is the newest claim.
    pub claim: Option<(u64, Duration)>,
    /// Slot in which the endpoint may load.
    pub slot: LoadSlot,
}

/// Recurring time in which one of several endpoints may begin to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSlot {
    /// When the first slot of all began.
    pub since: Duration,
    /// Length of a slot; zero when the weight store is no limit.
    pub length: Duration,
    /// Position of the endpoint.
    pub position: u32,
    /// Number of endpoints.
    pub count: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Nothing is wanting.
    Done,
    /// Nothing may be ordered yet.
    Wait,
    /// Claim the endpoint.
    Claim,
    /// Order it to load the wanted model.
    Load {
        /// Fencing number of the order.
        fencing: u64,
    },
}

/// Decides what to do next about an endpoint whose gate is here.
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

/// Returns the position of `endpoint` among those that want `model`, in an order that every host computes
/// alike, and their number.
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
    /// Tells whether the endpoint may begin to load.
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
