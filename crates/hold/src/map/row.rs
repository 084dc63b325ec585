//! The form of a map in one row of the store.

use {
    super::{Assignment, Holder, Instance, Map, Span},
    key::{Era, Fence, Version, Vm, Zone},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error as Derive,
};

/// The stored form of a holder: name, start, address and zone.
#[derive(Serialize, Deserialize)]
pub(super) struct HolderRow(Vm, u64, SocketAddr, Zone);

impl From<HolderRow> for Holder {
    fn from(row: HolderRow) -> Self {
        Self { instance: Instance { vm: row.0, started_at_ms: row.1 }, address: row.2, zone: row.3 }
    }
}

impl From<Holder> for HolderRow {
    fn from(holder: Holder) -> Self {
        Self(holder.instance.vm, holder.instance.started_at_ms, holder.address, holder.zone)
    }
}

/// The stored form of an assignment: first key, last key, index of the holder and fence.
#[derive(Serialize, Deserialize)]
pub(super) struct AssignmentRow(u16, u16, Option<u16>, u64);

impl From<AssignmentRow> for Assignment {
    fn from(row: AssignmentRow) -> Self {
        let span = Span { first: row.0, last: row.1 };
        Self { span, holder: row.2, fence: Fence::from(row.3) }
    }
}

impl From<Assignment> for AssignmentRow {
    fn from(assignment: Assignment) -> Self {
        Self(assignment.span.first, assignment.span.last, assignment.holder, assignment.fence.get())
    }
}

/// The stored form of a map. A store that has come back from a copy has rows of earlier eras, which
/// are as old as the copy.
#[derive(Serialize, Deserialize)]
pub(super) struct Row {
    /// The era in which the row was written; earlier releases state none.
    #[serde(default)]
    pub(super) era: Option<Era>,
    #[serde(flatten)]
    pub(super) map: Map,
}

/// Returns the stored form of a fence: without the era if it is that of the row, which saves a
/// third of the row.
fn shorten_fence(fence: Fence, era: Era) -> Fence {
    let version = Version::from(fence.get());
    if version.era() == era { Fence::from(version.number()) } else { fence }
}

/// Returns the fence of a stored form.
fn expand_fence(fence: Fence, era: Era) -> Fence {
    let version = Version::from(fence.get());
    if version.era() != Era::ZERO {
        return fence;
    }
    Version::in_era(era, version.number()).map_or(fence, |version| Fence::from(version.get()))
}

/// The reason why the rows of a map cannot be parsed.
#[derive(Debug, Derive)]
pub enum Error {
    /// A row is not JSON of the expected form.
    #[error("malformed map: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The assignments do not cover each key exactly once, or refer to an unknown holder.
    #[error("assignments do not cover each key once, or refer to an unknown holder")]
    InvalidAssignments,
    /// A part is missing, or has another version than the first row names: the rows were read while
    /// they changed.
    #[error("part {0} of the map is missing or has another version than the first row names")]
    MismatchedPart(usize),
}

impl Row {
    /// Returns the map with the version that it got when it was written, and checks that its
    /// assignments cover each key of `span` once.
    pub(super) fn into_map(self, span: Span, row_version: Version) -> Result<Map, Error> {
        let mut map = self.map;
        map.version = self.era.map_or(row_version, |era| row_version.of_era(era));
        let era = self.era.unwrap_or_default();
        let mut next = u32::from(span.first);
        for assignment in &mut map.assignments {
            let is_holder_known =
                assignment.holder.is_none_or(|holder| usize::from(holder) < map.holders.len());
            let Span { first, last } = assignment.span;
            if u32::from(first) != next || last < first || !is_holder_known {
                return Err(Error::InvalidAssignments);
            }
            next = u32::from(last) + 1;
            assignment.fence = match assignment.fence {
                Fence::ZERO => Fence::from(map.version.get()),
                fence => expand_fence(fence, era),
            };
        }
        if next == u32::from(span.last) + 1 { Ok(map) } else { Err(Error::InvalidAssignments) }
    }
}

impl Map {
    /// Parses a map that is stored in one row, which has version `row_version`. The version of the
    /// map has the era in which the row was written, which may be an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the row is not a complete map.
    pub fn parse(bytes: &[u8], row_version: Version) -> Result<Self, Error> {
        let row: Row = serde_json::from_slice(bytes)?;
        row.into_map(Span::ALL, row_version)
    }

    /// Serializes the map to a row that is written in `era`.
    #[must_use]
    pub fn to_bytes(&self, era: Era) -> Vec<u8> {
        let mut map = self.clone();
        for assignment in &mut map.assignments {
            assignment.fence = shorten_fence(assignment.fence, era);
        }
        // Serialization to JSON cannot fail here, since every object in a map has string keys.
        serde_json::to_vec(&Row { era: Some(era), map }).unwrap_or_default()
    }
}
