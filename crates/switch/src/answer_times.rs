//! How long the answers to callers took lately, by their size.

use std::time::Duration;
use tokio::time::Instant;

/// Time for which answers are remembered, at least.
const ANSWER_PERIOD: Duration = Duration::from_secs(30);

/// Size of an answer, in powers of two of its maximum number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerSize(u32);

impl AnswerSize {
    /// Returns the size of an answer of at most this many tokens.
    #[must_use]
    pub fn of_tokens(tokens: u64) -> Self {
        Self(u64::BITS - tokens.leading_zeros())
    }
}

/// Longest time of the last one or two periods.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTime {
    /// Start of the period and the longest time in it; `None` before the first one.
    current: Option<(Instant, Duration)>,
    /// Longest time of the period before.
    previous: Duration,
}

impl LongestTime {
    fn record(&mut self, time: Duration, now: Instant) {
        match &mut self.current {
            Some((since, longest)) if now < *since + ANSWER_PERIOD => {
                *longest = time.max(*longest);
            }
            current => {
                self.previous = current.map_or(Duration::ZERO, |(_, longest)| longest);
                *current = Some((now, time));
            }
        }
    }

    fn get(&self, now: Instant) -> Option<Duration> {
        let (since, longest) = self.current?;
        let is_recent = now < since + ANSWER_PERIOD * 2;
        is_recent.then(|| longest.max(self.previous))
    }
}

/// How long the answers to callers took lately.
///
/// ```
/// use fulmarswitch_switch::answer_times::{AnswerSize, AnswerTimes};
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let [short, long] = [8, 100].map(|tokens| Some(AnswerSize::of_tokens(tokens)));
/// let mut times = AnswerTimes::default();
/// assert_eq!(times.longest(short, now), None);
/// times.record(short, Duration::from_secs(1), now);
/// times.record(long, Duration::from_secs(4), now);
/// assert_eq!(times.longest(short, now), Some(Duration::from_secs(1)));
/// assert_eq!(times.longest(long, now), Some(Duration::from_secs(4)));
/// assert_eq!(times.longest(None, now), Some(Duration::from_secs(4)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// By size; those of unknown size come first.
    sizes: Vec<(Option<AnswerSize>, LongestTime)>,
}

impl AnswerTimes {
    /// Records an answer that took `time` until it was complete, or until its deadline. `size` is its largest possible size; `None` if that
    /// is not known.
    pub fn record(&mut self, size: Option<AnswerSize>, time: Duration, now: Instant) {
        let index = match self.sizes.binary_search_by_key(&size, |(size, _)| *size) {
            Ok(index) => index,
            Err(index) => {
                self.sizes.insert(index, (size, LongestTime::default()));
                index
            }
        };
        self.sizes[index].1.record(time, now);
    }

    /// How long answers of this size, of smaller ones and of unknown size took lately, at most; `None` if there were none. If there were
    /// none of this size, the next larger ones count, or else the time grows as the size does.
    #[must_use]
    pub fn longest(&self, size: Option<AnswerSize>, now: Instant) -> Option<Duration> {
        let mut longest = None;
        let mut largest = None;
        for (other, times) in &self.sizes {
            let Some(time) = times.get(now) else {
                continue;
            };
            longest = longest.max(Some(time));
            largest = *other;
            if size.is_some() && *other >= size {
                return longest;
            }
        }
        let growth = size
            .zip(largest)
            .map_or(0, |(size, largest)| size.0 - largest.0);
        Some(longest?.saturating_mul(2_u32.saturating_pow(growth)))
    }
}
