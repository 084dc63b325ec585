//! Integers with a range that is checked during deserialization.
//!
//! Serde's error for a value that fails here carries the position of that value, which a check
//! after parsing would have to look up again.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// An integer from `MIN` to `MAX`, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoundedU64<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> BoundedU64<MIN, MAX> {
    /// Returns `value`, clamped to the range.
    #[must_use]
    pub const fn clamped(value: u64) -> Self {
        if value < MIN {
            return Self(MIN);
        }
        if value > MAX {
            return Self(MAX);
        }
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for BoundedU64<MIN, MAX> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0)
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for BoundedU64<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = u64::deserialize(deserializer)?;
        if (MIN..=MAX).contains(&value) {
            return Ok(Self(value));
        }
        Err(de::Error::custom(format_args!("{value} is out of range, expected {MIN} to {MAX}")))
    }
}
