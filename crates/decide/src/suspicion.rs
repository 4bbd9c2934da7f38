//! Suspicion of the endpoints of a service.
//!
//! Each attempt at an endpoint yields signals: the endpoint was not reached or refused the call,
//! the answer was interrupted, the first token was early or late, or the following tokens are fast
//! or slow. Latency is judged against the median over all endpoints of the service, so a single slow
//! endpoint stands out. When all endpoints are slow, none does: that is overload, which no single
//! endpoint causes.
//!
//! The host that holds an endpoint's gate observes all attempts at it, so it detects a fault first
//! and reports it together with the load. A suspected endpoint is probed with single requests at
//! growing intervals until two signals in a row are good.

use crate::balance::EndpointIndex;
use std::time::Duration;

/// Multiple of the median above which a first token is late or a gap between tokens is long.
const SLOW_FACTOR: u32 = 3;
/// Penalty at which an endpoint becomes suspected.
const SUSPICION_PENALTY: u32 = 4;
/// Penalty of an attempt that did not reach the endpoint or whose answer was interrupted.
const FAILURE_PENALTY: u32 = 2;
/// Penalty of an attempt whose first token is overdue.
const OVERDUE_PENALTY: u32 = 2;
/// Shortest time over which an endpoint must be slow. A single pause of an endpoint makes many
/// streams late at the same moment and must not count as slowness.
const MIN_SLOW_DURATION: Duration = Duration::from_millis(400);
/// Consecutive good signals after which a suspected endpoint is trusted again.
const RECOVERY_SUCCESSES: u32 = 2;
/// Time from the suspicion of an endpoint to its first probe.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// At most one endpoint in this many may be suspected of slowness at a time.
const SLOW_SHARE_DIVISOR: usize = 3;
/// Samples needed before anything is judged as late.
const MIN_SAMPLES: u32 = 20;
/// Shortest time after which a missing first token is overdue.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Signal of an attempt about the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// The endpoint could not be reached or refused the call; nothing ran.
    Unreached,
    /// The answer was interrupted.
    Broken,
    /// No first token arrived within [`ServiceHealth::first_token_timeout`].
    Overdue,
    /// The first token arrived after this time.
    FirstToken(Duration),
    /// Mean time between several tokens that followed.
    TokenGap(Duration),
    /// The host that holds the endpoint's gate reported it as suspected.
    Reported,
}

/// Change in the suspicion of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustChange {
    /// The endpoint is suspected from now on.
    Suspected(EndpointIndex),
    /// The endpoint is trusted again.
    Trusted(EndpointIndex),
}

/// Suspicion state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrustState {
    Trusted,
    Suspected {
        /// Whether the endpoint counts as slow rather than failed, as reported endpoints also do.
        slow: bool,
        successes: u32,
        next_probe: Duration,
        interval: Duration,
    },
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndpointHealth {
    state: TrustState,
    penalty: u32,
    /// Time of the first adverse signal since the penalty was last zero.
    first_penalty_at: Duration,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            state: TrustState::Trusted,
            penalty: 0,
            first_penalty_at: Duration::ZERO,
        }
    }
}

/// Running estimate of the median. Each sample moves it up or down by an eighth of its value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MedianEstimate {
    micros: u64,
    samples: u32,
}

impl MedianEstimate {
    /// Returns whether a sample is far above the median; false until the median is known.
    fn is_slow(self, sample: Duration) -> bool {
        self.value()
            .is_some_and(|median| sample > median * SLOW_FACTOR)
    }

    fn record(&mut self, sample: Duration) {
        let micros = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        let step = self.micros / 8 + 1;
        self.micros = if self.samples == 0 {
            micros
        } else if micros > self.micros {
            self.micros + step
        } else {
            self.micros.saturating_sub(step)
        };
        self.samples = self.samples.saturating_add(1);
    }

    fn value(self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_micros(self.micros))
    }
}

/// Health of the endpoints of one service.
///
/// At least one endpoint is trusted at any time, and no more than a third of the endpoints (but
/// always one) may be suspected of slowness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceHealth {
    endpoints: Vec<EndpointHealth>,
    suspected: Vec<EndpointIndex>,
    first_token: MedianEstimate,
    token_gap: MedianEstimate,
}

impl ServiceHealth {
    /// Creates the state of a service whose endpoints are all trusted.
    ///
    /// ```
    /// use fulmarswitch_decide::balance::EndpointIndex;
    /// use fulmarswitch_decide::suspicion::{AttemptSignal, ServiceHealth};
    /// use std::time::Duration;
    /// let mut health = ServiceHealth::new(3);
    /// let lost = EndpointIndex(1);
    /// health.record_attempt(Duration::ZERO, lost, AttemptSignal::Unreached);
    /// health.record_attempt(Duration::ZERO, lost, AttemptSignal::Unreached);
    /// assert!(health.is_suspected(lost));
    /// assert!(health.probe_due(Duration::from_secs(1), lost));
    /// ```
    #[must_use]
    pub fn new(endpoints: usize) -> Self {
        Self {
            endpoints: vec![EndpointHealth::default(); endpoints],
            ..Self::default()
        }
    }

    /// Returns the state after a change of configuration. `old_indices` holds the previous index of
    /// each endpoint, `None` for a new one.
    #[must_use]
    pub fn remapped(&self, old_indices: &[Option<EndpointIndex>]) -> Self {
        let health_of = |index: &Option<EndpointIndex>| {
            index.map_or_else(EndpointHealth::default, |old_index| {
                self.endpoints[old_index.as_usize()]
            })
        };
        let endpoints: Vec<EndpointHealth> = old_indices.iter().map(health_of).collect();
        let mut next = Self {
            suspected: Vec::new(),
            endpoints,
            ..*self
        };
        for index in (0..).take(next.endpoints.len()).map(EndpointIndex) {
            if next.is_suspected(index) {
                next.suspected.push(index);
            }
        }
        if next.suspected.len() == next.endpoints.len() {
            // All endpoints that were trusted have left the service.
            next.endpoints.fill(EndpointHealth::default());
            next.suspected.clear();
        }
        next
    }

    /// Returns whether an endpoint is suspected; false for an unknown index.
    #[must_use]
    pub fn is_suspected(&self, endpoint: EndpointIndex) -> bool {
        self.endpoints
            .get(endpoint.as_usize())
            .is_some_and(|health| health.state != TrustState::Trusted)
    }

    /// Returns the suspected endpoints, in no particular order.
    #[must_use]
    pub fn suspected(&self) -> &[EndpointIndex] {
        &self.suspected
    }

    /// Returns whether a signal counts against its endpoint.
    #[must_use]
    pub fn is_adverse(&self, signal: AttemptSignal) -> bool {
        self.penalty_of(signal) > 0
    }

    /// Returns the time after which a missing first token is overdue; `None` until enough samples
    /// have arrived.
    #[must_use]
    pub fn first_token_timeout(&self) -> Option<Duration> {
        let median = self.first_token.value()?;
        Some((median * SLOW_FACTOR).max(MIN_FIRST_TOKEN_TIMEOUT))
    }

    /// Returns the median time to the first token; `None` until enough samples have arrived.
    #[must_use]
    pub fn median_first_token(&self) -> Option<Duration> {
        self.first_token.value()
    }

    /// Records a signal of one of this host's own attempts and returns the resulting change of
    /// suspicion.
    ///
    /// # Panics
    /// In debug builds, if all endpoints are suspected.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        signal: AttemptSignal,
    ) -> Option<TrustChange> {
        let change = self.record_observed(now, endpoint, signal);
        match signal {
            AttemptSignal::FirstToken(time) => self.first_token.record(time),
            AttemptSignal::TokenGap(time) => self.token_gap.record(time),
            _ => {}
        }
        change
    }

    /// Records a signal of another host's attempt, observed at the gate. It is judged like an own
    /// signal but does not enter the medians, because a host observes only the gates that it holds.
    ///
    /// # Panics
    /// In debug builds, if all endpoints are suspected.
    pub fn record_observed(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        signal: AttemptSignal,
    ) -> Option<TrustChange> {
        let penalty = self.penalty_of(signal);
        let health = self.endpoints.get_mut(endpoint.as_usize())?;
        let change = match health.state {
            TrustState::Trusted => self.update_trusted(now, endpoint, signal, penalty),
            TrustState::Suspected { .. } => self.update_suspected(now, endpoint, signal, penalty),
        };
        debug_assert!(
            self.suspected.len() < self.endpoints.len(),
            "all {} endpoints are suspected",
            self.endpoints.len()
        );
        change
    }

    /// Returns whether an endpoint is suspected and due for a probe.
    #[must_use]
    pub fn probe_due(&self, now: Duration, endpoint: EndpointIndex) -> bool {
        let state = self
            .endpoints
            .get(endpoint.as_usize())
            .map(|health| health.state);
        matches!(state, Some(TrustState::Suspected { next_probe, .. }) if next_probe <= now)
    }

    /// Records that an endpoint was chosen. If it is suspected, its next probe is due only after a
    /// longer interval.
    pub fn record_probe(&mut self, now: Duration, endpoint: EndpointIndex) {
        let state = self.endpoints.get_mut(endpoint.as_usize());
        if let Some(TrustState::Suspected {
            next_probe,
            interval,
            ..
        }) = state.map(|health| &mut health.state)
        {
            *interval = (*interval * 2).min(MAX_PROBE_INTERVAL);
            *next_probe = now + *interval;
        }
    }

    fn penalty_of(&self, signal: AttemptSignal) -> u32 {
        match signal {
            AttemptSignal::Unreached | AttemptSignal::Broken => FAILURE_PENALTY,
            AttemptSignal::Overdue => OVERDUE_PENALTY,
            AttemptSignal::FirstToken(time) => u32::from(self.first_token.is_slow(time)),
            AttemptSignal::TokenGap(time) => u32::from(self.token_gap.is_slow(time)),
            AttemptSignal::Reported => SUSPICION_PENALTY,
        }
    }

    fn update_trusted(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        signal: AttemptSignal,
        penalty: u32,
    ) -> Option<TrustChange> {
        let is_failure = matches!(signal, AttemptSignal::Unreached | AttemptSignal::Broken);
        let allowed = self.may_suspect(is_failure);
        let health = &mut self.endpoints[endpoint.as_usize()];
        if penalty == 0 {
            health.penalty = health.penalty.saturating_sub(1);
            return None;
        }
        if health.penalty == 0 {
            health.first_penalty_at = now;
        }
        health.penalty = (health.penalty + penalty).min(2 * SUSPICION_PENALTY);
        let immediate = is_failure || signal == AttemptSignal::Reported;
        let lasted = immediate || now.saturating_sub(health.first_penalty_at) >= MIN_SLOW_DURATION;
        if health.penalty < SUSPICION_PENALTY || !lasted || !allowed {
            return None;
        }
        health.state = TrustState::Suspected {
            slow: !is_failure,
            successes: 0,
            next_probe: now + INITIAL_PROBE_INTERVAL,
            interval: INITIAL_PROBE_INTERVAL,
        };
        self.suspected.push(endpoint);
        Some(TrustChange::Suspected(endpoint))
    }

    fn update_suspected(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        signal: AttemptSignal,
        penalty: u32,
    ) -> Option<TrustChange> {
        // A slow endpoint with few requests can still return its first token early.
        let inconclusive =
            matches!(signal, AttemptSignal::FirstToken(_)) && self.token_gap.value().is_some();
        let health = &mut self.endpoints[endpoint.as_usize()];
        let TrustState::Suspected {
            successes,
            next_probe,
            ..
        } = &mut health.state
        else {
            return None;
        };
        if penalty > 0 {
            *successes = 0;
            return None;
        }
        if inconclusive {
            return None;
        }
        *successes += 1;
        // A good signal makes the next probe due immediately.
        *next_probe = now;
        if *successes < RECOVERY_SUCCESSES {
            return None;
        }
        *health = EndpointHealth {
            penalty: SUSPICION_PENALTY / 2,
            first_penalty_at: now,
            ..EndpointHealth::default()
        };
        self.suspected.retain(|index| *index != endpoint);
        Some(TrustChange::Trusted(endpoint))
    }

    fn may_suspect(&self, is_failure: bool) -> bool {
        let len = self.endpoints.len();
        if self.suspected.len() + 1 >= len {
            return false;
        }
        let is_slow = |index: &&EndpointIndex| {
            matches!(
                self.endpoints[index.as_usize()].state,
                TrustState::Suspected { slow: true, .. }
            )
        };
        let slow = self.suspected.iter().filter(is_slow).count();
        is_failure || slow < (len / SLOW_SHARE_DIVISOR).max(1)
    }
}
