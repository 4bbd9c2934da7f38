//! Limits that endpoints name in their responses: how many requests a second they take from all hosts together.

use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;

/// Number of requests in a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    per_1000_s: NonZeroU32,
}

impl RateLimit {
    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s.get()) / 1000.0
    }
}

/// Error of a limit that is no number of requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLimit;

/// Parses a decimal number of requests a second.
///
/// ```
/// use fulmarswitch_switch::limits::RateLimit;
/// assert_eq!("2.5".parse::<RateLimit>().unwrap().per_second(), 2.5);
/// assert!("-1".parse::<RateLimit>().is_err());
/// assert!("many".parse::<RateLimit>().is_err());
/// ```
impl FromStr for RateLimit {
    type Err = InvalidLimit;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidLimit)?;
        let millis =
            std::time::Duration::try_from_secs_f64(per_second).map_err(|_| InvalidLimit)?;
        let per_1000_s = u32::try_from(millis.as_millis()).map_err(|_| InvalidLimit)?;
        // An endpoint that takes no request at all would never be asked whether that is over.
        let per_1000_s = NonZeroU32::new(per_1000_s).unwrap_or(NonZeroU32::MIN);
        Ok(Self { per_1000_s })
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}
