//! Fixed period and timeout.

use super::{BeatWindow, DetectorChange, FailureDetector, HeartbeatIndex};
use std::time::Duration;

/// Suspects a neighbour that has been silent for a fixed time.
#[derive(Clone, Debug)]
pub struct FixedDetector {
    period: Duration,
    timeout: Duration,
    window: BeatWindow,
    heard_at: Option<Duration>,
}

impl FixedDetector {
    /// Creates a detector that sends every `period` and suspects after `timeout` of silence.
    ///
    /// ```
    /// use fulmarswitch_decide::detector::{HeartbeatIndex, DetectorChange, FixedDetector, FailureDetector};
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut detector = FixedDetector::new(second / 4, second);
    /// detector.record_sent(Duration::ZERO, HeartbeatIndex(0));
    /// assert_eq!(detector.poll(second), Some(DetectorChange::Suspect));
    /// ```
    #[must_use]
    pub fn new(period: Duration, timeout: Duration) -> Self {
        Self {
            period,
            timeout,
            window: BeatWindow::default(),
            heard_at: None,
        }
    }
}

impl FailureDetector for FixedDetector {
    fn record_sent(&mut self, now: Duration, beat: HeartbeatIndex) {
        self.heard_at.get_or_insert(now);
        self.window.send(now, beat);
    }

    fn record_answer(&mut self, now: Duration, beat: HeartbeatIndex) -> Option<DetectorChange> {
        self.window.answer(beat)?;
        self.heard_at = Some(now);
        self.window.trust()
    }

    fn poll(&mut self, now: Duration) -> Option<DetectorChange> {
        let silence = now.saturating_sub(self.heard_at?);
        self.window.suspect_if(silence >= self.timeout)
    }

    fn reset(&mut self, now: Duration) {
        self.heard_at = Some(now);
        self.window.restart();
    }

    fn period(&self) -> Duration {
        self.period
    }

    fn is_suspected(&self) -> bool {
        self.window.suspected
    }
}
