//! Speeds of endpoints, learned from their answers.
//!
//! Endpoints of one service may differ in how fast they are. Each complete answer gives the time to its first byte, if the request got a
//! slot at once, and the time for each event after that, which depends neither on the queue nor on the length of the answer. Hosts tell
//! the coordinators with their load, so that a coordinator knows the endpoints of its group by all their callers.
//!
//! An endpoint without answers lately counts as one like the others.

use crate::report::EndpointKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Weight of a sample in the moving averages, once there are enough.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples from which an average is used.
const MIN_SAMPLES: u32 = 4;
/// Mean deviations above the mean beyond which a time is unusual, as for retransmission timers (RFC 6298).
const UNUSUAL_DEVIATIONS: f64 = 4.0;
/// Time without an answer after which the speed of an endpoint is no longer known.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Bound of how many times faster or slower than the others an endpoint is taken to be.
const MAX_PACE: f64 = 4.0;
/// Maximum number of endpoints. It bounds their memory.
const MAX_ENDPOINTS: usize = 16_384;

/// What one answer tells of the speed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSample {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Time to the first byte in milliseconds, if the request did not wait for a slot.
    pub first_byte_ms: Option<u16>,
    /// Time for each event after the first in microseconds, if there were any.
    pub event_us: Option<u32>,
}

impl SpeedSample {
    /// The sample of an answer that took `run` after its first byte and had `events` events.
    ///
    /// ```
    /// use fulmarswitch_switch::report::EndpointKey;
    /// use fulmarswitch_switch::speed::SpeedSample;
    /// use std::time::Duration;
    /// let sample = SpeedSample::of(EndpointKey::of("i-1"), None, Duration::from_millis(380), 20);
    /// assert_eq!(sample.event_us, Some(20_000));
    /// ```
    #[must_use]
    pub fn of(
        endpoint: EndpointKey,
        first_byte: Option<Duration>,
        run: Duration,
        events: u32,
    ) -> Self {
        let millis = |span: Duration| u16::try_from(span.as_millis()).unwrap_or(u16::MAX);
        let gaps = events.saturating_sub(1);
        Self {
            endpoint,
            first_byte_ms: first_byte.map(millis),
            event_us: (gaps > 0)
                .then(|| u32::try_from((run / gaps.max(1)).as_micros()).unwrap_or(u32::MAX)),
        }
    }
}

/// Moving averages of a time and of its deviation from the mean.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl MovingMean {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let distance = (sample - self.mean).abs();
        self.mean += (sample - self.mean) * weight;
        if self.samples > 1 {
            self.deviation += (distance - self.deviation) * weight;
        }
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointSpeed {
    first_byte: MovingMean,
    event: MovingMean,
    last_sample: Instant,
}

/// Speeds of the endpoints.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    /// Sorted by endpoint.
    speeds: Vec<(EndpointKey, EndpointSpeed)>,
}

impl SpeedTable {
    /// Records what an answer tells.
    pub fn record(&mut self, sample: SpeedSample, now: Instant) {
        let Some(speed) = self.entry(sample.endpoint, now) else {
            return;
        };
        if now.saturating_duration_since(speed.last_sample) >= FORGET_AFTER {
            *speed = EndpointSpeed::unknown(now);
        }
        speed.last_sample = now;
        if let Some(first_byte) = sample.first_byte_ms {
            speed.first_byte.add(first_byte.into());
        }
        if let Some(event) = sample.event_us {
            speed.event.add(event.into());
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, endpoint: EndpointKey) {
        if let Ok(index) = self.search(endpoint) {
            self.speeds.remove(index);
        }
    }

    /// Time within which nearly all first bytes of an endpoint come if the request does not wait for a slot; `None` if it is not known.
    #[must_use]
    pub fn longest_first_byte(&self, endpoint: EndpointKey, now: Instant) -> Option<Duration> {
        let first_byte = self.find(endpoint, now)?.first_byte;
        let longest = first_byte.mean + UNUSUAL_DEVIATIONS * first_byte.deviation;
        first_byte
            .is_known()
            .then(|| Duration::from_secs_f64(longest / 1_000.0))
    }

    /// Time that an endpoint takes for an event, relative to the mean of `endpoints`. It is 1 if it is not known.
    ///
    /// ```
    /// use fulmarswitch_switch::report::EndpointKey;
    /// use fulmarswitch_switch::speed::{SpeedSample, SpeedTable};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let (mut speeds, now) = (SpeedTable::default(), Instant::now());
    /// let keys = [EndpointKey::of("fast"), EndpointKey::of("slow")];
    /// for (key, run) in keys.into_iter().zip([10, 30]).cycle().take(20) {
    ///     speeds.record(SpeedSample::of(key, None, Duration::from_millis(run), 2), now);
    /// }
    /// assert_eq!(speeds.pace(keys[1], speeds.usual_event(keys, now), now), 1.5);
    /// ```
    #[must_use]
    pub fn pace(&self, endpoint: EndpointKey, usual_event: Option<f64>, now: Instant) -> f64 {
        let event = self.find(endpoint, now).map(|speed| speed.event);
        let event = event.filter(MovingMean::is_known);
        let pace = event
            .zip(usual_event)
            .map(|(event, usual)| event.mean / usual);
        pace.unwrap_or(1.0).clamp(1.0 / MAX_PACE, MAX_PACE)
    }

    /// Mean time for an event over the endpoints of `endpoints` where it is known, in microseconds.
    pub fn usual_event(
        &self,
        endpoints: impl IntoIterator<Item = EndpointKey>,
        now: Instant,
    ) -> Option<f64> {
        let speeds = endpoints
            .into_iter()
            .filter_map(|endpoint| self.find(endpoint, now));
        let known = speeds.map(|speed| speed.event).filter(MovingMean::is_known);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), event| {
            (sum + event.mean, count + 1.0)
        });
        (sum > 0.0).then(|| sum / count)
    }

    fn find(&self, endpoint: EndpointKey, now: Instant) -> Option<&EndpointSpeed> {
        let speed = &self.speeds[self.search(endpoint).ok()?].1;
        let age = now.saturating_duration_since(speed.last_sample);
        (age < FORGET_AFTER).then_some(speed)
    }

    fn entry(&mut self, endpoint: EndpointKey, now: Instant) -> Option<&mut EndpointSpeed> {
        let index = match self.search(endpoint) {
            Ok(index) => index,
            Err(_) if self.speeds.len() >= MAX_ENDPOINTS => return None,
            Err(index) => {
                let speed = EndpointSpeed::unknown(now);
                self.speeds.insert(index, (endpoint, speed));
                index
            }
        };
        Some(&mut self.speeds[index].1)
    }

    fn search(&self, endpoint: EndpointKey) -> Result<usize, usize> {
        self.speeds.binary_search_by_key(&endpoint, |(key, _)| *key)
    }
}

impl EndpointSpeed {
    fn unknown(now: Instant) -> Self {
        Self {
            first_byte: MovingMean::default(),
            event: MovingMean::default(),
            last_sample: now,
        }
    }
}
