//! Expected wait for a slot of an endpoint, from the ages of the runs that hold its slots.
//!
//! In a steady load the ages of the runs are spread evenly, and a slot frees after a fraction of a run. After a sudden
//! burst all runs are young, and no slot frees for almost a whole run. A count of requests does not tell these apart.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Assumed run time before one has been measured.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(700);
/// Weight in the moving averages of a response whose run has the mean length.
const MEASUREMENT_WEIGHT: f64 = 0.05;
/// Length of a run, as a fraction of the mean, from which its first byte is taken as the first measurement.
const MIN_FIRST_LENGTH: f64 = 0.5;
/// Time without a first byte after which a request waits for a slot, as a multiple of the time that the first byte takes
/// with a free slot.
const OVERDUE_FACTOR: f64 = 1.5;
/// Fraction of the time that a request has left for a queue that it may be expected to wait. The rest is for requests
/// that other hosts send meanwhile.
const MAX_QUEUE_FRACTION: f64 = 0.75;

/// Maximum expected wait of a request that is sent to an endpoint, from its latency target (zero for none), the time to
/// the first byte without a queue, and the time left until its deadline.
///
/// ```
/// use fulmarswitch_switch::wait::max_wait;
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// assert_eq!(max_wait(millis(300), millis(100), millis(5000)), millis(150));
/// assert_eq!(max_wait(millis(0), millis(100), millis(5000)), millis(5000));
/// ```
#[must_use]
pub fn max_wait(target: Duration, first_byte: Duration, remaining: Duration) -> Duration {
    if target.is_zero() {
        return remaining;
    }
    let left = target.saturating_sub(first_byte);
    left.mul_f64(MAX_QUEUE_FRACTION).min(remaining)
}

/// Runs that hold slots, as their number and the sum of their start times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunStarts {
    runs: u32,
    /// Sum of the start times in milliseconds since an origin that the caller chooses.
    sum_ms: u64,
}

impl RunStarts {
    /// Adds a run that started at `start`, measured from the origin.
    pub fn add(&mut self, start: Duration) {
        *self = self.plus(Self::of(1, start));
    }

    /// Removes a run that was added with the same `start`.
    pub fn remove(&mut self, start: Duration) {
        *self = self.minus(Self::of(1, start));
    }

    /// Runs of both sets.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            sum_ms: self.sum_ms + other.sum_ms,
        }
    }

    /// Runs of this set without those of `other`.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_sub(other.runs),
            sum_ms: self.sum_ms.saturating_sub(other.sum_ms),
        }
    }

    /// Ages of the runs at `now`, measured from the origin.
    #[must_use]
    pub fn ages(self, now: Duration) -> RunAges {
        let mean_start = self.sum_ms.checked_div(self.runs.into()).unwrap_or(0);
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        RunAges {
            runs: u16::try_from(self.runs).unwrap_or(u16::MAX),
            mean_ms: u16::try_from(now.saturating_sub(mean_start)).unwrap_or(u16::MAX),
        }
    }

    fn of(runs: u32, start: Duration) -> Self {
        let start = u64::try_from(start.as_millis()).unwrap_or(u64::MAX);
        Self {
            runs,
            sum_ms: start.saturating_mul(runs.into()),
        }
    }
}

/// Number and mean age of the runs that hold slots, as sent in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAges {
    /// Number of runs.
    pub runs: u16,
    /// Mean time since the start of the runs in milliseconds.
    pub mean_ms: u16,
}

impl RunAges {
    /// Start times, measured from an origin, of runs that have these ages at `now`.
    ///
    /// ```
    /// use fulmarswitch_switch::wait::RunAges;
    /// use std::time::Duration;
    /// let ages = RunAges { runs: 2, mean_ms: 300 };
    /// let starts = ages.starts(Duration::from_secs(5));
    /// assert_eq!(starts.ages(Duration::from_secs(6)).mean_ms, 1_300);
    /// ```
    #[must_use]
    pub fn starts(self, now: Duration) -> RunStarts {
        let age = Duration::from_millis(self.mean_ms.into());
        RunStarts::of(self.runs.into(), now.saturating_sub(age))
    }
}

/// Time in which a request reaches its endpoint: a few round trips within a region.
const REACH_TIME: Duration = Duration::from_millis(100);

/// Requests that have been sent and have not received a first byte.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    /// Times at which they were sent, in ascending order.
    sent: Vec<Instant>,
}

impl WaitingRequests {
    /// Adds a request sent at `sent`.
    pub fn add(&mut self, sent: Instant) {
        let index = self.sent.partition_point(|time| *time <= sent);
        self.sent.insert(index, sent);
    }

    /// Removes a request that was added with the same `sent`.
    pub fn remove(&mut self, sent: Instant) {
        if let Ok(index) = self.sent.binary_search(&sent) {
            self.sent.remove(index);
        }
    }

    /// Number of requests that may not have reached their endpoint: they have waited for longer than that takes, and nothing was
    /// heard from any endpoint since they were sent. `heard_at` is when something last was.
    #[must_use]
    pub fn unreached(&self, heard_at: Instant, now: Instant) -> u16 {
        let before = self.sent.partition_point(|sent| *sent <= heard_at);
        let late = self
            .sent
            .partition_point(|sent| now.saturating_duration_since(*sent) > REACH_TIME);
        u16::try_from(late.saturating_sub(before)).unwrap_or(u16::MAX)
    }

    /// Number of requests that have waited for `limit` or longer.
    #[must_use]
    pub fn overdue(&self, limit: Duration, now: Instant) -> u16 {
        let is_overdue = |sent: &Instant| now.saturating_duration_since(*sent) >= limit;
        u16::try_from(self.sent.partition_point(is_overdue)).unwrap_or(u16::MAX)
    }
}

/// Moving averages of how long responses take.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    run: Duration,
    /// `None` before the first measurement.
    first_byte: Option<Duration>,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            run: INITIAL_RUN_TIME,
            first_byte: None,
        }
    }
}

impl ResponseTimes {
    /// Records a response that took `run` after its first byte. `first_byte` is the time until then, if the request did
    /// not wait for a slot.
    ///
    /// Measurements are weighted by their length, as slots are mostly held by long runs.
    pub fn record(&mut self, first_byte: Option<Duration>, run: Duration) {
        let length = run.as_secs_f64() / self.run.as_secs_f64().max(0.001);
        let weight = (MEASUREMENT_WEIGHT * length).min(1.0);
        self.run = moved(self.run, run, weight);
        if let Some(first_byte) = first_byte {
            self.first_byte = match self.first_byte {
                Some(mean) => Some(moved(mean, first_byte, weight)),
                // A response that takes no time says little about the others.
                None => (length >= MIN_FIRST_LENGTH).then_some(first_byte),
            };
        }
    }

    /// Times at an endpoint that takes `pace` times as long for a run as the mean.
    #[must_use]
    pub fn at_pace(mut self, pace: f64) -> Self {
        self.run = self.run.mul_f64(pace);
        self
    }

    /// Time for which a request holds a slot.
    #[must_use]
    pub fn run(&self) -> Duration {
        self.run
    }

    /// Time until the first byte of a response to a request that gets a slot at once; zero if not measured yet.
    #[must_use]
    pub fn first_byte(&self) -> Duration {
        self.first_byte.unwrap_or_default()
    }

    /// Time without a first byte after which a request must be waiting for a slot; `None` if not measured yet.
    #[must_use]
    pub fn overdue_after(&self) -> Option<Duration> {
        Some(self.first_byte?.mul_f64(OVERDUE_FACTOR))
    }

    /// Expected wait of the request at `position` in the queue, counted from 1, of an endpoint with `slots` slots that
    /// are held by runs of the given ages. A request at position 0 has a slot.
    #[must_use]
    pub fn wait(&self, position: u32, slots: u32, ages: RunAges) -> Duration {
        if position == 0 {
            return Duration::ZERO;
        }
        // Ages are taken to be spread evenly between zero and twice their mean.
        let oldest = match ages.runs {
            0 => self.run,
            _ => self.run.min(Duration::from_millis(ages.mean_ms.into()) * 2),
        };
        self.run.saturating_sub(oldest) + oldest * position / slots.max(1)
    }
}

fn moved(mean: Duration, sample: Duration, weight: f64) -> Duration {
    let mean = mean.as_secs_f64();
    Duration::from_secs_f64(mean + (sample.as_secs_f64() - mean) * weight)
}
