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
const STRIKE_LIMIT: u32 = 4;
/// Strikes of an attempt that did not reach the endpoint or broke off.
const HARD_STRIKES: u32 = 2;
/// Strikes of an attempt whose first token is overdue.
const OVERDUE_STRIKES: u32 = 2;
/// Time over which an endpoint must have been slow; a pause of it gives many signs at one moment.
const SLOW_SPAN: Duration = Duration::from_millis(400);
/// Good signs in a row after which a suspected endpoint is trusted.
const GOOD_NEEDED: u32 = 2;
/// Time from suspicion to the first probe.
const FIRST_PROBE: Duration = Duration::from_millis(500);
/// Most time between probes.
const PROBE_LIMIT: Duration = Duration::from_secs(8);
/// Part of the service's endpoints that may be suspected of slowness at once.
const SLOW_PART: usize = 3;
/// Samples before which nothing is called late.
const SAMPLES_NEEDED: u32 = 20;
/// Least time that an attempt waits for its first token before it is overdue.
const PATIENCE_FLOOR: Duration = Duration::from_millis(200);

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
        good: u32,
        next_probe: Duration,
        interval: Duration,
    },
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndpointHealth {
    state: TrustState,
    strikes: u32,
    /// When the first of the strikes came.
    struck_at: Duration,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            state: TrustState::Trusted,
            strikes: 0,
            struck_at: Duration::ZERO,
        }
    }
}

/// A time that half of the samples exceed, followed in steps of an eighth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TypicalTime {
    micros: u64,
    samples: u32,
}

impl TypicalTime {
    /// Tells whether a sample is far above the typical.
    fn is_slow(self, sample: Duration) -> bool {
        self.time()
            .is_some_and(|typical| sample > typical * SLOW_FACTOR)
    }

    fn learn(&mut self, sample: Duration) {
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

    fn time(self) -> Option<Duration> {
        (self.samples >= SAMPLES_NEEDED).then(|| Duration::from_micros(self.micros))
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
    first_token: TypicalTime,
    token_gap: TypicalTime,
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

    /// Returns the health after a change of configuration; `old_places` holds the place that each endpoint
    /// had before.
    #[must_use]
    pub fn remapped(&self, old_places: &[Option<EndpointIndex>]) -> Self {
        let old_health = |place: &Option<EndpointIndex>| {
            place.map_or_else(EndpointHealth::default, |old| {
                self.endpoints[old.as_usize()]
            })
        };
        let endpoints: Vec<EndpointHealth> = old_places.iter().map(old_health).collect();
        let mut next = Self {
            suspected: Vec::new(),
            endpoints,
            ..*self
        };
        for place in (0..).take(next.endpoints.len()).map(EndpointIndex) {
            if next.is_suspected(place) {
                next.suspected.push(place);
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
    pub fn is_adverse(&self, sign: AttemptSignal) -> bool {
        self.strikes_of(sign) > 0
    }

    /// Returns how long an attempt waits for its first token before it is overdue, once that is known.
    #[must_use]
    pub fn first_token_timeout(&self) -> Option<Duration> {
        let typical = self.first_token.time()?;
        Some((typical * SLOW_FACTOR).max(PATIENCE_FLOOR))
    }

    /// Returns the typical time to the first token, once it is known.
    #[must_use]
    pub fn median_first_token(&self) -> Option<Duration> {
        self.first_token.time()
    }

    /// Takes a sign of an own attempt; returns the change of trust that it brings.
    ///
    /// # Panics
    /// In debug builds, when no endpoint is left that is trusted.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        sign: AttemptSignal,
    ) -> Option<TrustChange> {
        let change = self.record_observed(now, endpoint, sign);
        match sign {
            AttemptSignal::FirstToken(time) => self.first_token.learn(time),
            AttemptSignal::TokenGap(time) => self.token_gap.learn(time),
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
        sign: AttemptSignal,
    ) -> Option<TrustChange> {
        let strikes = self.strikes_of(sign);
        let health = self.endpoints.get_mut(endpoint.as_usize())?;
        let change = match health.state {
            TrustState::Trusted => self.judge_trusted(now, endpoint, sign, strikes),
            TrustState::Suspected { .. } => self.judge_suspected(now, endpoint, sign, strikes),
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
            *interval = (*interval * 2).min(PROBE_LIMIT);
            *next_probe = now + *interval;
        }
    }

    fn strikes_of(&self, sign: AttemptSignal) -> u32 {
        match sign {
            AttemptSignal::Unreached | AttemptSignal::Broken => HARD_STRIKES,
            AttemptSignal::Overdue => OVERDUE_STRIKES,
            AttemptSignal::FirstToken(time) => u32::from(self.first_token.is_slow(time)),
            AttemptSignal::TokenGap(time) => u32::from(self.token_gap.is_slow(time)),
            AttemptSignal::Reported => STRIKE_LIMIT,
        }
    }

    fn judge_trusted(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        sign: AttemptSignal,
        strikes: u32,
    ) -> Option<TrustChange> {
        let hard = matches!(sign, AttemptSignal::Unreached | AttemptSignal::Broken);
        let allowed = self.may_suspect(hard);
        let health = &mut self.endpoints[endpoint.as_usize()];
        if strikes == 0 {
            health.strikes = health.strikes.saturating_sub(1);
            return None;
        }
        if health.strikes == 0 {
            health.struck_at = now;
        }
        health.strikes = (health.strikes + strikes).min(2 * STRIKE_LIMIT);
        let at_once = hard || sign == AttemptSignal::Reported;
        let long_enough = at_once || now.saturating_sub(health.struck_at) >= SLOW_SPAN;
        if health.strikes < STRIKE_LIMIT || !long_enough || !allowed {
            return None;
        }
        health.state = TrustState::Suspected {
            slow: !hard,
            good: 0,
            next_probe: now + FIRST_PROBE,
            interval: FIRST_PROBE,
        };
        self.suspected.push(endpoint);
        Some(TrustChange::Suspected(endpoint))
    }

    fn judge_suspected(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        sign: AttemptSignal,
        strikes: u32,
    ) -> Option<TrustChange> {
        // An endpoint with few requests may give its first token early and still be slow.
        let says_nothing =
            matches!(sign, AttemptSignal::FirstToken(_)) && self.token_gap.time().is_some();
        let health = &mut self.endpoints[endpoint.as_usize()];
        let TrustState::Suspected {
            good, next_probe, ..
        } = &mut health.state
        else {
            return None;
        };
        if strikes > 0 {
            *good = 0;
            return None;
        }
        if says_nothing {
            return None;
        }
        *good += 1;
        // An endpoint that does well is probed again at once.
        *next_probe = now;
        if *good < GOOD_NEEDED {
            return None;
        }
        *health = EndpointHealth {
            strikes: STRIKE_LIMIT / 2,
            struck_at: now,
            ..EndpointHealth::default()
        };
        self.suspected.retain(|place| *place != endpoint);
        Some(TrustChange::Trusted(endpoint))
    }

    fn may_suspect(&self, hard: bool) -> bool {
        let len = self.endpoints.len();
        if self.suspected.len() + 1 >= len {
            return false;
        }
        let is_slow = |place: &&EndpointIndex| {
            matches!(
                self.endpoints[place.as_usize()].state,
                TrustState::Suspected { slow: true, .. }
            )
        };
        let slow = self.suspected.iter().filter(is_slow).count();
        hard || slow < (len / SLOW_PART).max(1)
    }
}
