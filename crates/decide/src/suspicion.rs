//! Which endpoints of a service are suspected, and when they are trusted again.
//!
//! Each attempt at an endpoint gives signs: it was not reached or refused the call, it broke off, its first token was early or
//! late, its tokens follow fast or slowly. Late and slow are judged against what is typical of the service,
//! which follows the median of all its endpoints. So one slow endpoint stands out, and when all are slow
//! nothing does: that is overload, for which no endpoint is to blame.
//!
//! The host that holds an endpoint's gate sees all attempts at it, so it notices first and says so with the
//! load that it reports. A suspected endpoint may be chosen for single requests, as probes, at growing
//! intervals, until it answers well.

use crate::balance::EndpointIndex;
use std::time::Duration;

/// Times the typical from which a first token is late and a gap between tokens is long.
const SLOW_FACTOR: u32 = 3;
/// Strikes from which an endpoint is suspected.
const SUSPICION_PENALTY: u32 = 4;
/// Strikes of an attempt that did not reach the endpoint or broke off.
const FAILURE_PENALTY: u32 = 2;
/// Strikes of an attempt whose first token is overdue.
const OVERDUE_PENALTY: u32 = 2;
/// Time over which an endpoint must have been slow; a pause of it gives many signs at one moment.
const MIN_SLOW_DURATION: Duration = Duration::from_millis(400);
/// Good signs in a row after which a suspected endpoint is trusted.
const RECOVERY_SUCCESSES: u32 = 2;
/// Time from suspicion to the first probe.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Most time between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// Part of the service's endpoints that may be suspected of slowness at once.
const SLOW_SHARE_DIVISOR: usize = 3;
/// Samples before which nothing is called late.
const MIN_SAMPLES: u32 = 20;
/// Least time that an attempt waits for its first token before it is overdue.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(200);

/// What an attempt tells of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// It could not be reached, or refused the call; nothing ran.
    Unreached,
    /// The answer broke off.
    Broken,
    /// No first token has come within [`ServiceHealth::first_token_timeout`].
    Overdue,
    /// The first token came after this time.
    FirstToken(Duration),
    /// The mean time between some tokens that followed.
    TokenGap(Duration),
    /// The host that holds the endpoint's gate suspects it.
    Reported,
}

/// A change of trust.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustChange {
    /// The endpoint is suspected from now on.
    Suspected(EndpointIndex),
    /// The endpoint is trusted again.
    Trusted(EndpointIndex),
}

/// Whether an endpoint is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrustState {
    Trusted,
    Suspected {
        slow: bool,
        successes: u32,
        next_probe: Duration,
        interval: Duration,
    },
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndpointHealth {
    state: TrustState,
    penalty: u32,
    /// When the first of the strikes came.
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

/// A time that half of the samples exceed, followed in steps of an eighth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MedianEstimate {
    micros: u64,
    samples: u32,
}

impl MedianEstimate {
    /// Tells whether a sample is far above the typical.
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

/// Trust in the endpoints of one service.
///
/// At least one endpoint is trusted at any time, and of all at most a third, or one, is suspected of
/// slowness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceHealth {
    endpoints: Vec<EndpointHealth>,
    suspected: Vec<EndpointIndex>,
    first_token: MedianEstimate,
    token_gap: MedianEstimate,
}

impl ServiceHealth {
    /// Creates the health of a service whose endpoints are all trusted.
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

    /// Returns the health after a change of configuration; `old_indices` holds the place that each endpoint
    /// had before.
    #[must_use]
    pub fn remapped(&self, old_indices: &[Option<EndpointIndex>]) -> Self {
        let health_of = |index: &Option<EndpointIndex>| {
            index.map_or_else(EndpointHealth::default, |old| {
                self.endpoints[old.as_usize()]
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
            // Those that were trusted have left the service.
            next.endpoints.fill(EndpointHealth::default());
            next.suspected.clear();
        }
        next
    }

    /// Tells whether an endpoint is suspected.
    #[must_use]
    pub fn is_suspected(&self, endpoint: EndpointIndex) -> bool {
        self.endpoints
            .get(endpoint.as_usize())
            .is_some_and(|health| health.state != TrustState::Trusted)
    }

    /// Returns the suspected endpoints.
    #[must_use]
    pub fn suspected(&self) -> &[EndpointIndex] {
        &self.suspected
    }

    /// Tells whether a sign speaks against an endpoint.
    #[must_use]
    pub fn is_adverse(&self, signal: AttemptSignal) -> bool {
        self.penalty_of(signal) > 0
    }

    /// Returns how long an attempt waits for its first token before it is overdue, once that is known.
    #[must_use]
    pub fn first_token_timeout(&self) -> Option<Duration> {
        let median = self.first_token.value()?;
        Some((median * SLOW_FACTOR).max(MIN_FIRST_TOKEN_TIMEOUT))
    }

    /// Returns the typical time to the first token, once it is known.
    #[must_use]
    pub fn median_first_token(&self) -> Option<Duration> {
        self.first_token.value()
    }

    /// Takes a sign of an own attempt; returns the change of trust that it brings.
    ///
    /// # Panics
    /// In debug builds, when no endpoint is left that is trusted.
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

    /// Takes a sign of another owner's attempt, seen at the gate. It is judged as an own one, but what is
    /// typical of the service is not learned from it, since a host sees only the gates that it holds.
    ///
    /// # Panics
    /// In debug builds, when no endpoint is left that is trusted.
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

    /// Tells whether an endpoint is suspected and due for a probe.
    #[must_use]
    pub fn probe_due(&self, now: Duration, endpoint: EndpointIndex) -> bool {
        let state = self
            .endpoints
            .get(endpoint.as_usize())
            .map(|health| health.state);
        matches!(state, Some(TrustState::Suspected { next_probe, .. }) if next_probe <= now)
    }

    /// Notes that a suspected endpoint was chosen; it is not due again before a longer interval has passed.
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
        // An endpoint with few requests may give its first token early and still be slow.
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
        // An endpoint that does well is probed again at once.
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
