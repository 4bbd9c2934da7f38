//! Failure detection of hosts: when a neighbour that does not answer heartbeats is suspected.
//!
//! A detector watches one neighbour. It is told of heartbeats sent and answered and of time passing, says
//! when the neighbour is suspected and trusted again, and how long to wait until the next heartbeat.
//!
//! - [`FixedDetector`]: fixed period and timeout.
//! - [`AdaptiveDetector`]: fixed period; the timeout follows the mean and deviation of the answer times.
//! - [`SelfConfiguringDetector`]: period and timeout both follow the measured delays.

mod adaptive;
mod fixed;
mod self_configuring;

pub use adaptive::{AdaptiveDetector, AdaptiveSettings};
pub use fixed::FixedDetector;
pub use self_configuring::{SelfConfiguringDetector, SelfConfiguringSettings};

use std::time::Duration;

/// Number of a heartbeat to one neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatIndex(pub u64);

/// A change of trust in the neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorChange {
    /// The neighbour is suspected from now on.
    Suspect,
    /// The neighbour is trusted again.
    Trust,
}

/// Watches one neighbour. Times are measured from any fixed start.
pub trait FailureDetector: Send {
    /// Notes that a heartbeat was sent.
    fn record_sent(&mut self, now: Duration, heartbeat: HeartbeatIndex);

    /// Notes the answer to a heartbeat.
    fn record_answer(&mut self, now: Duration, heartbeat: HeartbeatIndex)
    -> Option<DetectorChange>;

    /// Notes that time has passed.
    fn poll(&mut self, now: Duration) -> Option<DetectorChange>;

    /// Starts to wait anew, as after a pause of the watching host itself.
    fn reset(&mut self, now: Duration);

    /// Returns the time until the next heartbeat.
    fn period(&self) -> Duration;

    /// Tells whether the neighbour is suspected.
    fn is_suspected(&self) -> bool;
}

/// Heartbeats that have not been answered, and whether the neighbour is suspected.
///
/// The beats are sorted and all newer than the newest answered one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HeartbeatWindow {
    unanswered: Vec<(HeartbeatIndex, Duration)>,
    suspected: bool,
}

/// Unanswered heartbeats that are remembered.
const MAX_UNANSWERED: usize = 64;

impl HeartbeatWindow {
    fn send(&mut self, now: Duration, heartbeat: HeartbeatIndex) {
        if self.unanswered.len() == MAX_UNANSWERED {
            // The oldest says since when the neighbour has been silent.
            self.unanswered.remove(1);
        }
        self.unanswered.push((heartbeat, now));
    }

    /// Notes an answer and returns when its heartbeat was sent; nothing when a later one was answered.
    fn answer(&mut self, heartbeat: HeartbeatIndex) -> Option<Duration> {
        let at = self
            .unanswered
            .iter()
            .position(|(unanswered, _)| *unanswered == heartbeat)?;
        let sent = self.unanswered[at].1;
        self.unanswered.drain(..=at);
        Some(sent)
    }

    fn oldest(&self) -> Option<Duration> {
        self.unanswered.first().map(|(_, sent)| *sent)
    }

    fn restart(&mut self) {
        self.unanswered.clear();
    }

    fn suspect_if(&mut self, overdue: bool) -> Option<DetectorChange> {
        let change = overdue && !self.suspected;
        self.suspected |= overdue;
        change.then_some(DetectorChange::Suspect)
    }

    fn trust(&mut self) -> Option<DetectorChange> {
        std::mem::take(&mut self.suspected).then_some(DetectorChange::Trust)
    }
}

/// Mean and deviation of the time to an answer, as for the retransmission timeout of TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RoundTripEstimate {
    mean_s: f64,
    deviation_s: f64,
    initialized: bool,
}

/// Part of a new answer time in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Part of a new error in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations above the mean at which an answer is overdue.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

impl RoundTripEstimate {
    fn update(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        if !self.initialized {
            *self = Self {
                mean_s: time_s,
                deviation_s: time_s / 2.0,
                initialized: true,
            };
            return;
        }
        let error = time_s - self.mean_s;
        self.mean_s += MEAN_GAIN * error;
        self.deviation_s += DEVIATION_GAIN * (error.abs() - self.deviation_s);
    }

    fn timeout(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + TIMEOUT_DEVIATIONS * self.deviation_s).max(0.0))
    }
}
