//! Failure detectors for hosts.
//!
//! A detector watches one neighbour. Its caller records the heartbeats sent and the answers
//! received, and polls it as time passes. The detector reports when the neighbour becomes suspected
//! or trusted again, and sets the time until the next heartbeat.
//!
//! - [`FixedDetector`]: fixed period and timeout.
//! - [`AdaptiveDetector`]: fixed period; the timeout follows the mean and deviation of the
//!   round-trip time.
//! - [`SelfConfiguringDetector`]: period and timeout both follow the measured delays.

mod adaptive;
mod fixed;
mod self_configuring;

pub use adaptive::{AdaptiveDetector, AdaptiveSettings};
pub use fixed::FixedDetector;
pub use self_configuring::{SelfConfiguringDetector, SelfConfiguringSettings};

use std::time::Duration;

/// Sequence number of a heartbeat to one neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatIndex(pub u64);

/// Change in the suspicion of the neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorChange {
    /// The neighbour is suspected from now on.
    Suspect,
    /// The neighbour is trusted again.
    Trust,
}

/// Failure detector for one neighbour. Times are measured from an arbitrary fixed start.
pub trait FailureDetector: Send {
    /// Records that a heartbeat was sent.
    fn record_sent(&mut self, now: Duration, heartbeat: HeartbeatIndex);

    /// Records the answer to a heartbeat; returns `Trust` if it ends a suspicion.
    fn record_answer(&mut self, now: Duration, heartbeat: HeartbeatIndex)
    -> Option<DetectorChange>;

    /// Checks for overdue answers; returns `Suspect` when a suspicion begins.
    fn poll(&mut self, now: Duration) -> Option<DetectorChange>;

    /// Restarts the wait for answers, for use after a pause of the watching host itself.
    fn reset(&mut self, now: Duration);

    /// Returns the time between the newest heartbeat and the next.
    fn period(&self) -> Duration;

    /// Returns whether the neighbour is suspected.
    fn is_suspected(&self) -> bool;
}

/// Unanswered heartbeats and the suspicion state of the neighbour.
///
/// The heartbeats are in order and all newer than the newest answered one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HeartbeatWindow {
    unanswered: Vec<(HeartbeatIndex, Duration)>,
    suspected: bool,
}

/// Largest number of unanswered heartbeats that are kept.
const MAX_UNANSWERED: usize = 64;

impl HeartbeatWindow {
    fn send(&mut self, now: Duration, heartbeat: HeartbeatIndex) {
        if self.unanswered.len() == MAX_UNANSWERED {
            // The oldest is kept because its age is the time for which the neighbour has been
            // silent.
            self.unanswered.remove(1);
        }
        self.unanswered.push((heartbeat, now));
    }

    /// Records an answer and returns when its heartbeat was sent; `None` if that heartbeat or a
    /// later one was already answered.
    fn answer(&mut self, heartbeat: HeartbeatIndex) -> Option<Duration> {
        let position = self
            .unanswered
            .iter()
            .position(|(index, _)| *index == heartbeat)?;
        let sent = self.unanswered[position].1;
        self.unanswered.drain(..=position);
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

/// Mean and deviation of the round-trip time, as for the retransmission timeout of TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RoundTripEstimate {
    mean_s: f64,
    deviation_s: f64,
    initialized: bool,
}

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new error in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Number of deviations above the mean at which an answer is overdue.
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
