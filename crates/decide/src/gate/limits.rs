//! Adaptive limits on the requests at an endpoint, derived from the times of its tokens.
//!
//! Two limits are adapted. The limit on all requests falls when the first tokens of online requests
//! are so late that the engine must be queueing, or when too many token gaps are late while no
//! batch streams run that could cause it. The limit on batch streams while online requests are
//! active or expected falls when more than a small share of the token gaps of online streams is
//! late. A gap is late if it exceeds the latency target. Both limits rise in steps while they are
//! reached.

use super::GateSettings;
use super::queue::{HeldRequest, RunningTable, TokenEvent};
use std::time::Duration;

/// One request, in the thousandths in which limits are counted.
const MILLI: u32 = 1_000;
/// Initial limit on all requests.
const INITIAL_LIMIT: u32 = 48;
/// Lowest limit on all requests.
const MIN_LIMIT: u32 = 2;
/// Initial limit on batch streams while online requests are active or expected.
const INITIAL_BATCH_LIMIT: u32 = 4;
/// Shortest time between adjustments of the limits.
const ADJUST_PERIOD: Duration = Duration::from_millis(250);
/// Shortest time between changes of the limit on all requests once it has been lowered.
const LIMIT_ADJUST_PERIOD: Duration = Duration::from_secs(1);
/// Share of late token gaps above which a limit falls, in parts per million.
const LATE_SHARE_HIGH_PPM: i64 = 40_000;
/// Share of late token gaps below which a limit rises, in parts per million.
const LATE_SHARE_LOW_PPM: i64 = 30_000;
/// One million, the scale of shares in parts per million.
const PPM: i64 = 1_000_000;
/// Number of token gaps over which the late share is averaged, as the exponent of a power of two.
const LATE_SHARE_SHIFT: u32 = 8;
/// Time after the last online request during which more are expected.
const ONLINE_EXPECTED: Duration = Duration::from_secs(1);
/// Length of one window of the peak of online requests; the current and the previous window count.
const PEAK_PERIOD: Duration = Duration::from_secs(4);
/// The engine counts as queueing when the mean time to the first token exceeds its target divided
/// by this.
const QUEUEING_DIVISOR: u32 = 6;
/// A request is admitted if its expected wait is at most the time that it may wait divided by this.
const ADMIT_WAIT_DIVISOR: u32 = 8;
/// Share of late token gaps above which an endpoint counts as slow, in parts per million.
const LATE_SHARE_SEVERE_PPM: i64 = 500_000;

/// Adaptive limits of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLimits {
    first_token: Duration,
    between_tokens: Duration,
    mixed: bool,
    max_concurrent_milli: u32,
    limit_milli: u32,
    batch_limit_milli: u32,
    /// Moving average of the share of late token gaps of online streams, in parts per million.
    late_share_ppm: i64,
    /// Moving average of the time to the first token of online requests.
    mean_first_token: Duration,
    /// Moving average of the time from start to end of online requests.
    mean_service: Duration,
    /// Whether the engine counts as queueing at present.
    queueing: bool,
    /// Whether the limit on all requests was ever lowered; until then it rises fast.
    ever_lowered: bool,
    adjusted_at: Duration,
    limit_changed_at: Duration,
    online_expected_until: Duration,
    /// Time of the last poll.
    last_poll: Duration,
    /// Largest number of online requests in the current window of [`PEAK_PERIOD`].
    online_peak: usize,
    previous_online_peak: usize,
    peak_started_at: Duration,
}

impl EndpointLimits {
    /// Creates the initial limits of an endpoint.
    #[must_use]
    pub fn new(settings: &GateSettings) -> Self {
        let max_concurrent_milli = settings.max_concurrent.saturating_mul(MILLI);
        Self {
            first_token: settings.first_token,
            between_tokens: settings.between_tokens,
            mixed: settings.mixed,
            max_concurrent_milli,
            limit_milli: max_concurrent_milli.min(INITIAL_LIMIT * MILLI),
            batch_limit_milli: INITIAL_BATCH_LIMIT * MILLI,
            late_share_ppm: 0,
            mean_first_token: Duration::ZERO,
            mean_service: Duration::ZERO,
            queueing: false,
            ever_lowered: false,
            adjusted_at: Duration::ZERO,
            limit_changed_at: Duration::ZERO,
            online_expected_until: Duration::ZERO,
            last_poll: Duration::ZERO,
            online_peak: 0,
            previous_online_peak: 0,
            peak_started_at: Duration::ZERO,
        }
    }

    /// Changes the latency targets and the capacity.
    pub fn configure(&mut self, settings: &GateSettings) {
        self.first_token = settings.first_token;
        self.between_tokens = settings.between_tokens;
        self.mixed = settings.mixed;
        self.max_concurrent_milli = settings.max_concurrent.saturating_mul(MILLI);
        self.limit_milli = self.limit_milli.min(self.max_concurrent_milli);
    }

    /// Returns the limit on all requests, at least one.
    #[must_use]
    pub fn limit(&self) -> usize {
        (self.limit_milli / MILLI).max(1) as usize
    }

    /// Returns whether online requests are present or expected.
    #[must_use]
    pub fn is_online_expected(&self) -> bool {
        self.last_poll < self.online_expected_until
    }

    /// Returns the number of batch streams that may run at present.
    pub(super) fn batch_allowed(&self, running: &RunningTable) -> usize {
        if !self.is_online_expected() {
            return self.limit();
        }
        if !self.mixed {
            return 0;
        }
        let reserved = running
            .online()
            .max(self.online_peak)
            .max(self.previous_online_peak);
        let batch_limit = (self.batch_limit_milli / MILLI) as usize;
        self.limit().saturating_sub(reserved).min(batch_limit)
    }

    /// Returns the expected time until an online request behind `ahead` others can start.
    ///
    /// Requests that started together end together, so the estimate is the larger of the time that
    /// the running requests still need and the time implied by the mean completion rate.
    pub(super) fn expected_wait(
        &self,
        now: Duration,
        ahead: usize,
        running: &RunningTable,
    ) -> Duration {
        let behind = (ahead + 1 + running.online()).saturating_sub(self.limit());
        if behind == 0 {
            return Duration::ZERO;
        }
        let starts = running.iter().filter(|held| held.is_online());
        let first_end = starts
            .map(|held| held.started_at)
            .nth(behind - 1)
            .map_or(Duration::ZERO, |started_at| started_at + self.mean_service);
        let requests = u32::try_from(behind).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit()).unwrap_or(u32::MAX);
        first_end
            .saturating_sub(now)
            .max(self.mean_service * requests / limit)
    }

    /// Returns the latest time at which a request may start and still meet its deadline, at least
    /// its arrival.
    pub(super) fn latest_start(&self, held: &HeldRequest) -> Duration {
        let due = held.request.deadline.saturating_sub(self.mean_service);
        due.max(held.arrived_at)
    }

    /// Returns the longest expected wait at which a request is admitted: a fraction of what the
    /// latency target and the deadline leave, so that few admitted requests are late.
    pub(super) fn longest_wait(&self, held: &HeldRequest) -> Duration {
        let target = self.first_token.saturating_sub(self.mean_first_token * 2);
        let due = self.latest_start(held).saturating_sub(held.arrived_at);
        target.min(due) / ADMIT_WAIT_DIVISOR
    }

    /// Updates the limits with a first token.
    pub(super) fn record_first_token(
        &mut self,
        now: Duration,
        token: &TokenEvent,
        running: &RunningTable,
    ) {
        if token.is_online {
            self.mean_first_token = moving_average(self.mean_first_token, token.elapsed);
            self.queueing = self.mean_first_token > self.first_token / QUEUEING_DIVISOR;
            if !self.queueing {
                self.raise_limit(now, running);
            }
        } else if running.online() == 0 {
            self.raise_limit(now, running);
        }
        self.adjust(now, running);
    }

    /// Updates the limits with the gap between two tokens; returns whether the limits may have
    /// changed.
    pub(super) fn record_token_gap(
        &mut self,
        now: Duration,
        token: &TokenEvent,
        running: &RunningTable,
    ) -> bool {
        if token.is_online {
            let is_late = token.elapsed > self.between_tokens;
            let sample = if is_late { PPM } else { 0 };
            self.late_share_ppm += (sample - self.late_share_ppm) >> LATE_SHARE_SHIFT;
        }
        self.adjust(now, running)
    }

    /// Updates the mean service time with the end of a run.
    pub(super) fn record_end(&mut self, now: Duration, held: &HeldRequest) {
        if held.is_online() && held.run_tokens > 0 {
            let service = now.saturating_sub(held.started_at);
            self.mean_service = moving_average(self.mean_service, service);
        }
    }

    /// Records the number of online requests that are running or queued.
    pub(super) fn record_online_count(&mut self, now: Duration, online: usize) {
        if online > 0 {
            self.online_expected_until = now + ONLINE_EXPECTED;
        }
        self.last_poll = now;
        self.online_peak = self.online_peak.max(online);
        if now >= self.peak_started_at + PEAK_PERIOD {
            self.previous_online_peak = self.online_peak;
            self.online_peak = online;
            self.peak_started_at = now;
        }
    }

    /// Raises the limit on all requests if the endpoint is at it: by half a request until the limit
    /// was first lowered, then by a sixteenth (at least one request) per [`LIMIT_ADJUST_PERIOD`].
    fn raise_limit(&mut self, now: Duration, running: &RunningTable) {
        if running.len() < self.limit() {
            return;
        }
        let step = if !self.ever_lowered {
            MILLI / 2
        } else if now >= self.limit_changed_at + LIMIT_ADJUST_PERIOD {
            self.limit_changed_at = now;
            MILLI.max(self.limit_milli / 16)
        } else {
            0
        };
        self.limit_milli = (self.limit_milli + step).min(self.max_concurrent_milli);
    }

    /// Lowers the limit on all requests by a sixteenth if the endpoint is slow or close to the
    /// limit. For a slow endpoint it starts from the number of requests that run, if that is lower.
    fn lower_limit(&mut self, now: Duration, running: &RunningTable) {
        let held = u32::try_from(running.len()).unwrap_or(u32::MAX);
        let held_milli = held.saturating_mul(MILLI);
        let slow = self.late_share_ppm > LATE_SHARE_SEVERE_PPM;
        // Late tokens far below the limit come from long prompts, not from too many streams.
        let full = held_milli >= self.limit_milli / 4 * 3;
        let too_soon = self.ever_lowered && now < self.limit_changed_at + LIMIT_ADJUST_PERIOD;
        if too_soon || !(slow || full) {
            return;
        }
        self.ever_lowered = true;
        self.limit_changed_at = now;
        let base_milli = if slow {
            self.limit_milli.min(held_milli)
        } else {
            self.limit_milli
        };
        let min_milli = (MIN_LIMIT * MILLI).min(self.max_concurrent_milli);
        self.limit_milli = (base_milli / 16 * 15).max(min_milli);
    }

    /// Adjusts the limits at most once per [`ADJUST_PERIOD`]; returns whether they may have
    /// changed.
    fn adjust(&mut self, now: Duration, running: &RunningTable) -> bool {
        if now < self.adjusted_at + ADJUST_PERIOD || running.online() == 0 {
            return false;
        }
        self.adjusted_at = now;
        let batch_limit = self.batch_limit_milli / MILLI;
        let batch = u32::try_from(running.batch()).unwrap_or(u32::MAX);
        let queueing = self.queueing;
        if self.late_share_ppm > LATE_SHARE_HIGH_PPM || queueing {
            if batch > 0 {
                self.batch_limit_milli = self.batch_limit_milli * 7 / 8;
            } else {
                self.lower_limit(now, running);
            }
            return true;
        }
        if self.late_share_ppm < LATE_SHARE_LOW_PPM
            && batch >= batch_limit
            && self.batch_limit_milli < self.max_concurrent_milli
        {
            self.batch_limit_milli += MILLI / 4;
            return true;
        }
        false
    }
}

/// Returns the moving average after a new sample; the first sample is the initial average.
fn moving_average(mean: Duration, sample: Duration) -> Duration {
    if mean.is_zero() {
        return sample;
    }
    (mean * 15 + sample) / 16
}
