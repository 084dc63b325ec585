//! Newtypes for identifiers, versions and other counters.

use {
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Zero, the value before the first.
            pub const ZERO: Self = Self(0);

            /// Returns the value as an integer.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the value after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

macro_rules! name_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

integer_newtype!(
    /// The number of a shard within its service, from zero.
    Shard, u32
);
integer_newtype!(
    /// A fencing token: a counter that increases whenever a shard changes its owner.
    Fence, u64
);
integer_newtype!(
    /// A counter that increases whenever a cell changes its primary.
    Term, u64
);
integer_newtype!(
    /// The version of a row in the platform's table; zero means that the row is absent.
    ///
    /// A store that comes back from a copy gives versions out again. Such a store states its
    /// [`Era`], and its versions contain it in front of the number that the store counts, so that a
    /// version of a later era is higher than all of an earlier one.
    Version, u64
);
integer_newtype!(
    /// The number by which the platform's store counts its returns from a copy; see [`Era::FIRST`].
    Era, u64
);
integer_newtype!(
    /// A random number that a process draws at its start, to distinguish a restart from a pause.
    Incarnation, u64
);

impl Era {
    /// The era of a store that has not come back from a copy yet. A store that states none has era
    /// zero.
    pub const FIRST: Self = Self(1);
}

/// The distance between the first versions of two eras. It is a power of ten, so that both parts
/// can be read in a log.
const VERSIONS_PER_ERA: u64 = 1_000_000_000_000;

/// The number of eras that fit into a version. Versions stay below 2^53, since a fencing token is
/// one and JSON numbers are exact up to there.
const MAX_ERAS: u64 = 9_000;

impl Version {
    /// Returns the version that the store counts as `number` in `era`, or `None` if either is too
    /// large. An absent row has version zero in every era.
    #[must_use]
    pub const fn in_era(era: Era, number: u64) -> Option<Self> {
        if era.0 >= MAX_ERAS || number >= VERSIONS_PER_ERA {
            return None;
        }
        Some(if number == 0 { Self::ZERO } else { Self(era.0 * VERSIONS_PER_ERA + number) })
    }

    /// Returns the version with the same number in `era`, or in its own era if that is earlier.
    #[must_use]
    pub const fn of_era(self, era: Era) -> Self {
        if era.0 >= self.era().0 {
            return self;
        }
        Self(era.0 * VERSIONS_PER_ERA + self.number())
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> Era {
        Era(self.0 / VERSIONS_PER_ERA)
    }

    /// Returns the number that the store counts.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 % VERSIONS_PER_ERA
    }
}

name_newtype!(
    /// The name of a service in the configuration.
    Service
);
name_newtype!(
    /// The name of a VM in the platform's list.
    Vm
);
name_newtype!(
    /// The name of an availability zone.
    Zone
);

/// One run of an entry process, identified by its VM and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{vm}#{incarnation}")]
pub struct Process {
    /// The VM that runs the process.
    pub vm: Vm,
    /// The number that this run of the process drew at its start.
    pub incarnation: Incarnation,
}

/// The position of a grant in the sequence of grants to a target.
///
/// A target that checks stamps refuses a grant whose stamp is lower than the highest one that it
/// has accepted, so that a delayed grant cannot undo an acknowledged revocation. See
/// docs/OWNERSHIP.md.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[display("{term}.{version}.{seq}")]
pub struct Stamp {
    /// The term of the primary that sent the grant.
    pub term: Term,
    /// The version of the cell's row on which the grant is based.
    pub version: Version,
    /// The sequence number among the grants of one term and version.
    pub seq: u64,
}
