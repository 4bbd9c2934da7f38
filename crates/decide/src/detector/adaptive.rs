//! Fixed period; a timeout that follows the answer times.

use super::{AnswerTime, BeatWindow, DetectorChange, FailureDetector, HeartbeatIndex};
use std::time::Duration;

/// Settings of an [`AdaptiveDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdaptiveSettings {
    /// Time between heartbeats.
    pub period: Duration,
    /// Least time that an answer is waited for; more than the usual pauses of a host.
    pub floor: Duration,
    /// Most time from the first unanswered heartbeat to suspicion.
    pub ceiling: Duration,
    /// Heartbeats that may go unanswered because a message is lost.
    pub losses: u32,
}

/// Suspects a neighbour when its answer is later than the mean and four deviations of its answer times.
#[derive(Clone, Debug)]
pub struct AdaptiveDetector {
    settings: AdaptiveSettings,
    window: BeatWindow,
    answer_time: AnswerTime,
}

impl AdaptiveDetector {
    /// Creates a detector.
    ///
    /// ```
    /// use fulmarswitch_decide::detector::{
    ///     AdaptiveDetector, AdaptiveSettings, HeartbeatIndex, DetectorChange, FailureDetector,
    /// };
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut detector = AdaptiveDetector::new(AdaptiveSettings {
    ///     period: ms(250),
    ///     floor: ms(400),
    ///     ceiling: ms(1_500),
    ///     losses: 1,
    /// });
    /// detector.record_sent(ms(0), HeartbeatIndex(0));
    /// assert_eq!(detector.poll(ms(600)), None);
    /// assert_eq!(detector.poll(ms(650)), Some(DetectorChange::Suspect));
    /// ```
    #[must_use]
    pub fn new(settings: AdaptiveSettings) -> Self {
        Self {
            settings,
            window: BeatWindow::default(),
            answer_time: AnswerTime::default(),
        }
    }

    fn limit(&self) -> Duration {
        let answer = self.answer_time.timeout().max(self.settings.floor);
        let limit = self.settings.period * self.settings.losses + answer;
        limit.min(self.settings.ceiling)
    }
}

impl FailureDetector for AdaptiveDetector {
    fn record_sent(&mut self, now: Duration, beat: HeartbeatIndex) {
        self.window.send(now, beat);
    }

    fn record_answer(&mut self, now: Duration, beat: HeartbeatIndex) -> Option<DetectorChange> {
        let sent = self.window.answer(beat)?;
        self.answer_time.take(now.saturating_sub(sent));
        self.window.trust()
    }

    fn poll(&mut self, now: Duration) -> Option<DetectorChange> {
        let oldest = self.window.oldest()?;
        let overdue = now.saturating_sub(oldest) >= self.limit();
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
