//! Counters and histograms of one run.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest value of the histograms, in microseconds; longer times are recorded as this.
const MAX_TIME_US: u64 = 120_000_000;
/// Length of the intervals in which requests sent to faulty endpoints are counted.
pub const FAULT_SLOT: Duration = Duration::from_millis(100);

/// Counters and histograms of one run.
#[derive(Clone, Debug)]
pub struct RunStats {
    /// Time from arrival to the first token of online requests, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens of online requests, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Time from arrival to refusal of online requests, in microseconds.
    pub refusal: Histogram<u64>,
    /// Online requests that have ended in any way.
    pub online: u64,
    /// Online requests that were answered completely.
    pub done: u64,
    /// Complete online answers whose first token and mean time between tokens met the latency objectives.
    pub in_time: u64,
    /// Online requests whose last attempt was refused by a gate, or that found no endpoint.
    pub refused: u64,
    /// Online requests that failed because their last attempt broke off.
    pub failed: u64,
    /// Retries of online requests after an attempt that broke off.
    pub retried: u64,
    /// Completed batch items.
    pub items: u64,
    /// Tokens of completed online answers and completed batch items.
    pub useful_tokens: u64,
    /// Tokens received and discarded after a failed attempt.
    pub wasted_tokens: u64,
    /// Batch streams preempted by the gate.
    pub cancelled: u64,
    /// Online requests sent to the faulty endpoints, by interval of [`FAULT_SLOT`] since the fault; probes of
    /// suspected endpoints are left out.
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
    /// Records a time in a histogram, at least one microsecond.
    pub fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        histogram.saturating_record(time_us.max(1));
    }

    /// Counts a request sent to a faulty endpoint at a time since the fault.
    pub fn record_sent_after_fault(&mut self, since_fault: Duration) {
        let slot = usize::try_from(since_fault.as_millis() / FAULT_SLOT.as_millis()).unwrap_or(0);
        if self.sent_after_fault.len() <= slot {
            self.sent_after_fault.resize(slot + 1, 0);
        }
        self.sent_after_fault[slot] += 1;
    }

    /// Returns `part / whole`, or 1 if `whole` is zero.
    #[must_use]
    pub fn share(part: u64, whole: u64) -> f64 {
        if whole == 0 {
            return 1.0;
        }
        to_float(part) / to_float(whole)
    }
}

/// Converts a count to a float; counts above `u32::MAX`, which no run reaches, saturate.
///
/// ```
/// assert!((fulmarswitch_measure::stats::to_float(3) - 3.0).abs() < f64::EPSILON);
/// ```
#[must_use]
pub fn to_float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
