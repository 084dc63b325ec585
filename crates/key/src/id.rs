//! Identifiers as newtypes.

use {
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// The value before the first.
            pub const ZERO: Self = Self(0);

            /// Returns the plain number.
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

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
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

number!(
    /// The number of a shard within its service, from zero.
    Shard, u32
);
number!(
    /// A counter that grows each time a shard changes its owner.
    Fence, u64
);
number!(
    /// A counter that grows each time a cell changes its guardian.
    Term, u64
);
number!(
    /// The version that the table gave to a row; zero means that the row is absent.
    Version, u64
);
number!(
    /// A number that a process draws when it starts, so that a restart is told from a pause.
    Incarnation, u64
);

name!(
    /// The name of a service in the operators' text.
    Service
);
name!(
    /// The name of a VM as the platform lists it.
    Vm
);
name!(
    /// The name of an availability zone.
    Zone
);

/// One run of an entry process: the VM it runs on and the incarnation it drew at its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{vm}#{incarnation}")]
pub struct Process {
    /// The VM that runs the process.
    pub vm: Vm,
    /// The run of the process on that VM.
    pub incarnation: Incarnation,
}

/// The order of the orders a target receives about its lease.
///
/// A target that checks stamps refuses one that is lower than the highest it has accepted, which
/// is what makes an acknowledged revocation final; see docs/OWNERSHIP.md.
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
    /// The term of the guardian.
    pub term: Term,
    /// The version of the cell's row that the order rests on.
    pub version: Version,
    /// The order among the orders of one term and version.
    pub seq: u64,
}
