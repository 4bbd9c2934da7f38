//! What is counted in one run.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest time that a histogram holds, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;
/// Width of the slots in which sends to faulty endpoints are counted.
pub const FAULT_SLOT: Duration = Duration::from_millis(100);

/// Counts of one run.
#[derive(Clone, Debug)]
pub struct RunStats {
    /// Time to the first token of online requests, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens of online requests, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Time until a refusal, in microseconds.
    pub refusal: Histogram<u64>,
    /// Online requests that arrived.
    pub online: u64,
    /// Online answers that were whole.
    pub done: u64,
    /// Online answers whose first token and mean time between tokens kept the promise.
    pub in_time: u64,
    /// Online requests refused as not run.
    pub refused: u64,
    /// Online requests that failed for an endpoint.
    pub failed: u64,
    /// Online attempts made again elsewhere after a fault.
    pub retried: u64,
    /// Batch items completed.
    pub items: u64,
    /// Tokens generated for completed online answers and for batch items.
    pub useful_tokens: u64,
    /// Tokens received and thrown away.
    pub wasted_tokens: u64,
    /// Batch streams cancelled by the gate.
    pub cancelled: u64,
    /// Online requests sent to the endpoints of the fault, by slot of time since the fault.
    pub sent_after_fault: Vec<u64>,
}

impl Default for RunStats {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid");
        Self {
            first_token: histogram(),
            between_tokens: histogram(),
            refusal: histogram(),
            online: 0,
            done: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            retried: 0,
            items: 0,
            useful_tokens: 0,
            wasted_tokens: 0,
            cancelled: 0,
            sent_after_fault: Vec::new(),
        }
    }
}

impl RunStats {
    /// Notes a time in a histogram.
    pub fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        histogram.saturating_record(time_us.max(1));
    }

    /// Notes a send to an endpoint of the fault.
    pub fn record_sent_after_fault(&mut self, since_fault: Duration) {
        let slot = usize::try_from(since_fault.as_millis() / FAULT_SLOT.as_millis()).unwrap_or(0);
        if self.sent_after_fault.len() <= slot {
            self.sent_after_fault.resize(slot + 1, 0);
        }
        self.sent_after_fault[slot] += 1;
    }

    /// Returns the share of `part` in `whole`, or one for an empty whole.
    #[must_use]
    pub fn share(part: u64, whole: u64) -> f64 {
        if whole == 0 {
            return 1.0;
        }
        to_float(part) / to_float(whole)
    }
}

/// Converts a count, which is far below the limit of 32 bits in every run.
///
/// ```
/// assert!((fulmarswitch_measure::stats::to_float(3) - 3.0).abs() < f64::EPSILON);
/// ```
#[must_use]
pub fn to_float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
