//! Failure detector with a fixed period and timeout.

use super::{DetectorChange, FailureDetector, HeartbeatIndex, HeartbeatWindow};
use std::time::Duration;

/// Suspects a neighbour that has been silent for a fixed time.
#[derive(Clone, Debug)]
pub struct FixedDetector {
    period: Duration,
    timeout: Duration,
    window: HeartbeatWindow,
    /// Time of the newest answer or reset; before the first of them, of the first heartbeat.
    last_answer_at: Option<Duration>,
}

impl FixedDetector {
    /// Creates a detector that sends a heartbeat every `period` and suspects after `timeout` of
    /// silence.
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
            window: HeartbeatWindow::default(),
            last_answer_at: None,
        }
    }
}

impl FailureDetector for FixedDetector {
    fn record_sent(&mut self, now: Duration, heartbeat: HeartbeatIndex) {
        self.last_answer_at.get_or_insert(now);
        self.window.send(now, heartbeat);
    }

    fn record_answer(
        &mut self,
        now: Duration,
        heartbeat: HeartbeatIndex,
    ) -> Option<DetectorChange> {
        self.window.answer(heartbeat)?;
        self.last_answer_at = Some(now);
        self.window.trust()
    }

    fn poll(&mut self, now: Duration) -> Option<DetectorChange> {
        let silence = now.saturating_sub(self.last_answer_at?);
        self.window.suspect_if(silence >= self.timeout)
    }

    fn reset(&mut self, now: Duration) {
        self.last_answer_at = Some(now);
        self.window.restart();
    }

    fn period(&self) -> Duration {
        self.period
    }

    fn is_suspected(&self) -> bool {
        self.window.suspected
    }
}
