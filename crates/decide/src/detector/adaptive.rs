//! Failure detector with a fixed period and a timeout that follows the round-trip time.

use super::{DetectorChange, FailureDetector, HeartbeatIndex, HeartbeatWindow, RoundTripEstimate};
use std::time::Duration;

/// Settings of an [`AdaptiveDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdaptiveSettings {
    /// Time between heartbeats.
    pub period: Duration,
    /// Shortest time to wait for an answer; longer than the usual pauses of a host.
    pub min_timeout: Duration,
    /// Longest time from the first unanswered heartbeat to suspicion.
    pub max_timeout: Duration,
    /// Number of heartbeats that may stay unanswered because of message loss.
    pub tolerated_losses: u32,
}

/// Suspects a neighbour whose answer is later than the mean plus four deviations of its round-trip
/// time.
#[derive(Clone, Debug)]
pub struct AdaptiveDetector {
    settings: AdaptiveSettings,
    window: HeartbeatWindow,
    round_trip: RoundTripEstimate,
}

impl AdaptiveDetector {
    /// Creates a detector without samples.
    ///
    /// ```
    /// use fulmarswitch_decide::detector::{
    ///     AdaptiveDetector, AdaptiveSettings, HeartbeatIndex, DetectorChange, FailureDetector,
    /// };
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut detector = AdaptiveDetector::new(AdaptiveSettings {
    ///     period: ms(250),
    ///     min_timeout: ms(400),
    ///     max_timeout: ms(1_500),
    ///     tolerated_losses: 1,
    /// });
    /// detector.record_sent(ms(0), HeartbeatIndex(0));
    /// assert_eq!(detector.poll(ms(600)), None);
    /// assert_eq!(detector.poll(ms(650)), Some(DetectorChange::Suspect));
    /// ```
    #[must_use]
    pub fn new(settings: AdaptiveSettings) -> Self {
        Self {
            settings,
            window: HeartbeatWindow::default(),
            round_trip: RoundTripEstimate::default(),
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let answer = self.round_trip.timeout().max(self.settings.min_timeout);
        let timeout = self.settings.period * self.settings.tolerated_losses + answer;
        timeout.min(self.settings.max_timeout)
    }
}

impl FailureDetector for AdaptiveDetector {
    fn record_sent(&mut self, now: Duration, heartbeat: HeartbeatIndex) {
        self.window.send(now, heartbeat);
    }

    fn record_answer(
        &mut self,
        now: Duration,
        heartbeat: HeartbeatIndex,
    ) -> Option<DetectorChange> {
        let sent = self.window.answer(heartbeat)?;
        self.round_trip.update(now.saturating_sub(sent));
        self.window.trust()
    }

    fn poll(&mut self, now: Duration) -> Option<DetectorChange> {
        let oldest = self.window.oldest()?;
        let overdue = now.saturating_sub(oldest) >= self.suspicion_timeout();
        self.window.suspect_if(overdue)
    }

    fn reset(&mut self, _now: Duration) {
        self.window.restart();
    }

    fn period(&self) -> Duration {
        self.settings.period
    }

    fn is_suspected(&self) -> bool {
        self.window.suspected
    }
}
