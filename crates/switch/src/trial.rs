//! When the trial of a quarantine is due, and which host makes it.
//!
//! One host, the arbiter, decides on the trial, so that a fleet does not make several. A request that is covered by the quarantine may come
//! to any other host, and an item waits at the host that it is assigned to. Such a host asks the arbiter for the trial. An arbiter that does
//! not answer, as it stands still or is of an earlier release, is passed over: the next host in the order of rendezvous hashing is asked,
//! and after [`MAX_ARBITERS`] the host decides by itself.

use std::time::Duration;
use tokio::time::Instant;

/// Time after which a trial without a result is repeated.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a host may begin a trial that it was granted. The rest of [`TRIAL_TIMEOUT`] is for the result.
const PERMIT_TIME: Duration = Duration::from_secs(5);
/// Time between two asks for a trial.
pub const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of asks to one host, as datagrams may be lost.
const ASKS_PER_ARBITER: u32 = 2;
/// Number of hosts that are asked.
pub const MAX_ARBITERS: u32 = 3;

/// Trials of one quarantine, as one host knows of them.
#[derive(Clone, Debug)]
pub struct TrialSchedule {
    due_at: Instant,
    /// Until when this host may begin the trial; `None` if it was not granted.
    permitted_until: Option<Instant>,
    /// Number of asks without an answer, and when the last one was sent.
    unanswered: u32,
    asked_at: Option<Instant>,
}

impl TrialSchedule {
    /// The first trial is due at `due_at`.
    #[must_use]
    pub fn new(due_at: Instant) -> Self {
        Self {
            due_at,
            permitted_until: None,
            unanswered: 0,
            asked_at: None,
        }
    }

    /// Time until the trial is due; zero if it is.
    #[must_use]
    pub fn due_in(&self, now: Instant) -> Duration {
        self.due_at.saturating_duration_since(now)
    }

    /// Whether this host was granted the trial.
    #[must_use]
    pub fn is_permitted(&self, now: Instant) -> bool {
        self.permitted_until.is_some_and(|until| now < until)
    }

    /// Position of the arbiter in the order of hosts: the first, unless it has not answered. The host itself is the arbiter from
    /// [`MAX_ARBITERS`] on.
    #[must_use]
    pub fn arbiter_rank(&self, now: Instant) -> u32 {
        let is_waiting = self.is_waiting(now);
        (self.unanswered - u32::from(is_waiting)) / ASKS_PER_ARBITER
    }

    /// Records an ask. Returns `false` if the answer to the last one is still waited for.
    pub fn ask(&mut self, now: Instant) -> bool {
        if self.is_waiting(now) {
            return false;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.asked_at = Some(now);
        true
    }

    /// Records that this host was granted the trial.
    pub fn permit(&mut self, now: Instant) {
        self.permitted_until = Some(now + PERMIT_TIME);
    }

    /// Records that a trial of this host has reached no endpoint, so that the host may make it again.
    pub fn renew(&mut self, now: Instant) {
        *self = Self::new(now);
        self.permit(now);
    }

    /// Records that a trial begins, or that another host was granted it: the next one is due after a time.
    pub fn postpone(&mut self, time: Duration, now: Instant) {
        *self = Self::new(now + time);
    }

    fn is_waiting(&self, now: Instant) -> bool {
        self.asked_at
            .is_some_and(|asked_at| now < asked_at + ASK_INTERVAL)
    }
}
