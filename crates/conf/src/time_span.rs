//! Durations that are written with their unit.

use {
    serde::{Deserialize, Deserializer, de},
    smol_str::SmolStr,
    std::time::Duration,
};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A duration, deserialized from a number with its unit such as `1500ms` or `2.5s`.
///
/// ```
/// let span: conf::TimeSpan = serde_json::from_str(r#""2.5s""#)?;
/// assert_eq!(span.as_millis(), 2_500);
/// # Ok::<_, serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Returns a span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the span in whole milliseconds, or the largest number if there are more.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        let millis = self.0.as_millis();
        if millis > u64::MAX as u128 { u64::MAX } else { millis as u64 }
    }

    /// Returns the span as a [`Duration`].
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.0
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        let invalid = || {
            de::Error::custom(format_args!(
                "{text:?} is not a duration, expected a number of ms or s"
            ))
        };
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, MILLIS_PER_SECOND),
            None => (text.strip_suffix('s').ok_or_else(invalid)?, 1.0),
        };
        let number: f64 = number.trim().parse().map_err(|_| invalid())?;
        Duration::try_from_secs_f64(number / scale).map(Self).map_err(|_| invalid())
    }
}
