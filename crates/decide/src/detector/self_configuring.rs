//! Failure detector whose period and timeout both follow the measured delays.
//!
//! It follows Sá and Macêdo, "`QoS` Self-configuring Failure Detectors for Distributed Systems"
//! (DAIS 2010). A margin on the timeout grows while the detector makes more mistakes than allowed,
//! and a proportional-integral controller sets the period so that heartbeats use a given fraction
//! of the resources. The implementation differs from the paper in two points. The utilization is
//! the larger of the estimate from delays and that of the byte budget. The estimate from delays
//! uses the filtered delay without the largest jitter, because with the jitter, as printed in the
//! paper, the estimate never falls below one.

use super::{DetectorChange, FailureDetector, HeartbeatIndex, HeartbeatWindow, RoundTripEstimate};
use std::time::Duration;

/// Overshoot for which the poles of the controller are placed.
const OVERSHOOT: f64 = 0.1;

/// Settings of a [`SelfConfiguringDetector`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelfConfiguringSettings {
    /// Longest time from the loss of the neighbour to its suspicion.
    pub max_detection_time: Duration,
    /// Largest mean duration of a wrong suspicion.
    pub max_mistake_duration: Duration,
    /// Smallest mean time between wrong suspicions.
    pub min_mistake_recurrence: Duration,
    /// Fraction of the resources that heartbeats may use, between zero and one.
    pub target_utilization: f64,
    /// Shortest time between heartbeats, at which they use the entire byte budget.
    pub min_period: Duration,
}

/// Range of the observed delays, in milliseconds; old samples decay slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DelayRange {
    min_ms: f64,
    max_ms: f64,
    filtered_ms: f64,
    initialized: bool,
}

impl DelayRange {
    fn update(&mut self, delay: f64, max_detection_time: f64) {
        if !self.initialized {
            *self = Self {
                min_ms: delay,
                max_ms: delay,
                filtered_ms: delay,
                initialized: true,
            };
            return;
        }
        let weight = (max_detection_time - self.min_ms).max(0.0) / max_detection_time;
        let blend = |previous: f64| weight * previous + (1.0 - weight) * delay;
        self.min_ms = delay.min(blend(self.min_ms));
        self.max_ms = delay.max(blend(self.max_ms));
        self.filtered_ms = blend(self.filtered_ms);
    }

    fn spread(&self) -> f64 {
        self.max_ms - self.min_ms
    }

    /// Returns the utilization of the environment that the delays indicate, between zero and one.
    fn utilization(&self) -> f64 {
        if self.spread() <= f64::EPSILON {
            return 0.0;
        }
        (self.filtered_ms - self.min_ms) / self.spread()
    }
}

/// Wrong suspicions: their number and total duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct MistakeCount {
    count: f64,
    mistaken_ms: f64,
}

impl MistakeCount {
    /// Returns the fraction of time without a wrong suspicion.
    fn availability(&self, elapsed_ms: f64) -> f64 {
        if elapsed_ms <= 0.0 {
            return 1.0;
        }
        1.0 - self.mistaken_ms / elapsed_ms
    }
}

/// Failure detector that sets its own timeout and heartbeat period.
#[derive(Clone, Debug)]
pub struct SelfConfiguringDetector {
    settings: SelfConfiguringSettings,
    window: HeartbeatWindow,
    round_trip: RoundTripEstimate,
    delays: DelayRange,
    mistakes: MistakeCount,
    period_ms: f64,
    /// Margin added to the timeout.
    margin_ms: f64,
    /// Integral term of the period's controller.
    integral_ms: f64,
    /// Estimated time at which the neighbour sent its newest answer.
    alive_at: Option<Duration>,
    sent_at: Option<Duration>,
    suspected_at: Option<Duration>,
    started_at: Option<Duration>,
}

impl SelfConfiguringDetector {
    /// Creates a detector that starts at the shortest period.
    ///
    /// ```
    /// use fulmarswitch_decide::detector::{
    ///     SelfConfiguringSettings, FailureDetector, SelfConfiguringDetector,
    /// };
    /// use std::time::Duration;
    /// let detector = SelfConfiguringDetector::new(SelfConfiguringSettings {
    ///     max_detection_time: Duration::from_millis(1_500),
    ///     max_mistake_duration: Duration::from_millis(500),
    ///     min_mistake_recurrence: Duration::from_secs(86_400),
    ///     target_utilization: 0.5,
    ///     min_period: Duration::from_millis(200),
    /// });
    /// assert_eq!(detector.period(), Duration::from_millis(200));
    /// ```
    #[must_use]
    pub fn new(settings: SelfConfiguringSettings) -> Self {
        Self {
            settings,
            window: HeartbeatWindow::default(),
            round_trip: RoundTripEstimate::default(),
            delays: DelayRange::default(),
            mistakes: MistakeCount::default(),
            period_ms: millis(settings.min_period),
            margin_ms: 0.0,
            integral_ms: 0.0,
            alive_at: None,
            sent_at: None,
            suspected_at: None,
            started_at: None,
        }
    }

    fn timeout(&self) -> Duration {
        let max_margin = millis(self.settings.max_detection_time) - self.delays.min_ms;
        let margin = self.margin_ms.min(max_margin).max(0.0);
        self.round_trip.timeout() + Duration::from_secs_f64(margin / 1_000.0)
    }

    fn set_margin(&mut self, elapsed_ms: f64) {
        let recurrence = millis(self.settings.min_mistake_recurrence);
        let target = (recurrence - millis(self.settings.max_mistake_duration)) / recurrence;
        let error = target - self.mistakes.availability(elapsed_ms);
        self.margin_ms = (self.margin_ms + self.period_ms * error).max(0.0);
    }

    fn set_period(&mut self, step_ms: f64) {
        let floor = self.delays.min_ms.max(millis(self.settings.min_period));
        let ceiling = (millis(self.settings.max_detection_time) - self.delays.min_ms).max(floor);
        let range = ceiling - floor;
        let byte_utilization = millis(self.settings.min_period) / self.period_ms;
        let utilization = self.delays.utilization().max(byte_utilization);
        let error = self.settings.target_utilization - utilization;
        let magnitude = (-4.0 / self.delays.max_ms.max(1.0)).exp();
        let angle = std::f64::consts::PI * magnitude.ln() / OVERSHOOT.ln();
        let inverse_spread = 1.0 / self.delays.spread().max(1.0);
        let proportional = (inverse_spread - magnitude * magnitude) * range;
        let integral = (magnitude * magnitude - 2.0 * magnitude * angle.cos() + 1.0) * range;
        // The integral is clamped to the range so that it reverses as soon as the error does.
        self.integral_ms += error * integral * step_ms / 1_000.0;
        self.integral_ms = self.integral_ms.clamp(-range, range);
        // Spare resources shorten the period.
        let period = self.period_ms - (self.integral_ms + proportional * error);
        self.period_ms = period.clamp(floor, ceiling);
    }
}

impl FailureDetector for SelfConfiguringDetector {
    fn record_sent(&mut self, now: Duration, heartbeat: HeartbeatIndex) {
        self.window.send(now, heartbeat);
        let started = *self.started_at.get_or_insert(now);
        let last_sent = self.sent_at.replace(now);
        let (Some(alive), Some(last)) = (self.alive_at, last_sent) else {
            return;
        };
        let step_ms = millis(now.saturating_sub(last));
        let uncertain_ms = millis(now.saturating_sub(alive));
        let delay = (uncertain_ms - step_ms).abs();
        self.delays
            .update(delay, millis(self.settings.max_detection_time));
        self.set_margin(millis(now.saturating_sub(started)));
        self.set_period(step_ms);
    }

    fn record_answer(
        &mut self,
        now: Duration,
        heartbeat: HeartbeatIndex,
    ) -> Option<DetectorChange> {
        let sent = self.window.answer(heartbeat)?;
        let answer = now.saturating_sub(sent);
        self.round_trip.update(answer);
        self.alive_at = Some(now.saturating_sub(answer / 2));
        if let Some(suspected) = self.suspected_at.take() {
            self.mistakes.count += 1.0;
            self.mistakes.mistaken_ms += millis(now.saturating_sub(suspected));
        }
        self.window.trust()
    }

    fn poll(&mut self, now: Duration) -> Option<DetectorChange> {
        let oldest = self.window.oldest()?;
        let overdue = self.round_trip.initialized && now.saturating_sub(oldest) >= self.timeout();
        let change = self.window.suspect_if(overdue);
        if change.is_some() {
            self.suspected_at = Some(now);
        }
        change
    }

    fn reset(&mut self, _now: Duration) {
        self.window.restart();
        self.alive_at = None;
    }

    fn period(&self) -> Duration {
        Duration::from_secs_f64(self.period_ms / 1_000.0)
    }

    fn is_suspected(&self) -> bool {
        self.window.suspected
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
