//! The rows of the table of entries: the leadership record, and one row per entry.

use {
    hold::{map::Format, recovery::Mark},
    key::{Era, Incarnation, Process, Version, Vm, Zone},
    route::quarantine::Suspect,
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, format_smolstr},
    std::net::SocketAddr,
};

/// The key of the leadership record.
pub(crate) const LEADERSHIP_KEY: &str = "lead";

/// The key of the row with the requests that are refused since they crash targets.
pub(crate) const SUSPECTS_KEY: &str = "suspects";

const MEMBER_KEY_PREFIX: &str = "member/";

/// The leadership record: the row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeadershipRecord {
    pub(crate) vm: Vm,
    pub(crate) incarnation: Incarnation,
    /// The address at which peers reach it.
    pub(crate) address: SocketAddr,
    /// Grows with each change of the leader.
    pub(crate) term: u64,
    /// The VMs of the leaders before, which may renew grants until they say that they do not;
    /// earlier releases name none.
    #[serde(default)]
    pub(crate) former: Option<Vec<Vm>>,
    /// The era of the store in which the record was written; earlier releases state none.
    #[serde(default)]
    pub(crate) era: Option<Era>,
    /// What later leaders of that era need to know; earlier releases tell nothing.
    #[serde(default)]
    pub(crate) recovery: Option<Mark>,
}

impl LeadershipRecord {
    /// Returns the version that the record got when it was written, if the store has it with
    /// `row_version`.
    pub(crate) fn version(&self, row_version: Version) -> Version {
        self.era.map_or(row_version, |era| row_version.of_era(era))
    }

    /// Returns true if the record names this run of a process.
    pub(crate) fn is_held_by(&self, process: &Process) -> bool {
        self.vm == process.vm && self.incarnation == process.incarnation
    }
}

/// The row of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Zone,
    /// The share of a core that the entry may use; entries with more power campaign first.
    pub(crate) power: f64,
    /// The address at which it takes requests that other entries pass on, if it takes any.
    #[serde(default)]
    pub(crate) relay: Option<SocketAddr>,
    /// The newest form of stored maps that it can read; earlier releases name none.
    #[serde(default)]
    pub(crate) map_format: Format,
}

/// The row with the requests that are refused, which a process reads when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectList {
    /// The store's clock as of which the suspects' ages are, in milliseconds.
    pub(crate) clock_ms: u64,
    pub(crate) suspects: Vec<Suspect>,
}

/// The kind of a row, by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RowKind<'a> {
    Leadership,
    Suspects,
    Member(&'a str),
    Other,
}

impl<'a> RowKind<'a> {
    pub(crate) fn from_key(key: &'a str) -> Self {
        match key {
            LEADERSHIP_KEY => return Self::Leadership,
            SUSPECTS_KEY => return Self::Suspects,
            _ => {}
        }
        key.strip_prefix(MEMBER_KEY_PREFIX).map_or(Self::Other, Self::Member)
    }
}

/// Returns the key of an entry's row.
pub(crate) fn member_key(vm: &Vm) -> SmolStr {
    format_smolstr!("{MEMBER_KEY_PREFIX}{vm}")
}
