//! A map in several rows, for a service with more targets than fit into one.
//!
//! The keys are divided into equal parts, each with a row of its own. The row that holds the whole
//! map of a small service names the version of each part instead. Every write replaces that first
//! row, on the condition that it has not changed, and those parts in which something changed. So
//! one version still orders all writes, and a reader notices parts of different writes.
//!
//! An earlier release cannot parse such a first row, and keeps the map that it knows or gets from
//! the leader. It cannot lead over one, so a map is divided only while every entry can read
//! [`Format::Parts`].

use {
    super::{Assignment, Error, Map, Span, row::Row},
    key::{Era, Service, Version},
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, format_smolstr},
    std::collections::HashMap,
};

/// The size of a row up to which a map, or a part, is not divided further, in bytes: half of what
/// the platform's store accepts.
const MAX_PART_BYTES: usize = 32_768;

/// The size of a map in parts below which it becomes one row again, in bytes. It differs from
/// [`MAX_PART_BYTES`], so that a map of that size does not change its form with every write.
const MAX_REJOINED_BYTES: usize = 24_576;

/// The size of a single row up to which spans are split, in bytes. The platform's store accepts
/// 65,536; the rest is left to reassignments that cannot wait, such as those of a lost target.
const MAX_ROW_BYTES: usize = 60_000;

/// The size of a map in parts up to which spans are split, in bytes. A new leader writes all parts
/// in one transaction, of which the store accepts 1 MB in base64.
const MAX_MAP_BYTES: usize = 600_000;

/// The largest number of parts; a transaction of the store holds 100 rows and conditions.
const MAX_PARTS: usize = 64;

/// The size that one holder takes in a row at most, in bytes.
const HOLDER_BYTES: usize = 72;

/// The size that one assignment takes in a row, in bytes, with a fence of nine digits.
const ASSIGNMENT_BYTES: usize = 29;

const PART_KEY_SEPARATOR: &str = "/part/";

/// The forms of stored maps that a process can read, in the order of releases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One row.
    #[default]
    Row,
    /// One row, or a first row and parts.
    Parts,
    /// A form of a later release.
    #[serde(other)]
    Later,
}

/// A row as it was read.
#[derive(Clone, Copy, Debug)]
pub struct StoredRow<'a> {
    /// The key of the row.
    pub key: &'a str,
    /// The version of the row in the store.
    pub version: Version,
    /// The value.
    pub bytes: &'a [u8],
}

/// A map as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The map.
    pub map: Map,
    /// The version of the first row in the store, which a write has to expect.
    pub row_version: Version,
    /// The version that each part got when it was written; empty if the map is one row.
    part_versions: Vec<Version>,
}

/// The rows that a write of a map replaces, with the versions of all its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The value of the first row, whose key is the name of the service.
    pub first_row: Vec<u8>,
    /// The keys and values of the parts that change.
    pub parts: Vec<(SmolStr, Vec<u8>)>,
    /// The version of each part; none for those that are written.
    part_versions: Vec<Option<Version>>,
}

impl Replacement {
    /// Returns the map as it is stored once the write was committed with a version.
    #[must_use]
    pub fn into_stored(self, map: Map, version: Version) -> Stored {
        let part_versions = self.part_versions.into_iter();
        let part_versions = part_versions.map(|known| known.unwrap_or(version)).collect();
        Stored { map, row_version: version, part_versions }
    }

    /// Returns the size of the largest row and the number of rows.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let rows = self.parts.iter().map(|(_, bytes)| bytes.len()).chain([self.first_row.len()]);
        (rows.max().unwrap_or_default(), self.parts.len() + 1)
    }
}

/// The first row of a map in parts.
#[derive(Serialize, Deserialize)]
struct FirstRow {
    era: Era,
    /// The version of each part; zero stands for that of this row.
    parts: Vec<Version>,
}

impl Stored {
    /// Returns a map that is not stored yet.
    #[must_use]
    pub fn absent() -> Self {
        Self { map: Map::vacant(), row_version: Version::ZERO, part_versions: Vec::new() }
    }

    /// Returns the rows to replace so that `map` is stored, written in `era`. Readers can parse
    /// `format`.
    #[must_use]
    pub fn replace(&self, service: &Service, map: &Map, era: Era, format: Format) -> Replacement {
        let count = self.part_count(map, format);
        if count == 1 {
            let (first_row, parts) = (map.to_bytes(era), Vec::new());
            return Replacement { first_row, parts, part_versions: Vec::new() };
        }
        let is_divided_alike = self.part_versions.len() == count;
        let mut parts = Vec::new();
        let mut part_versions = Vec::with_capacity(count);
        for (index, span) in part_spans(count).enumerate() {
            let part = map.part(span);
            if is_divided_alike && part.has_same_content(&self.map.part(span)) {
                part_versions.push(Some(self.part_versions[index]));
                continue;
            }
            parts.push((part_key(service, index), part.to_bytes(era)));
            part_versions.push(None);
        }
        let versions = part_versions.iter().map(|version| version.unwrap_or(Version::ZERO));
        let first_row = FirstRow { era, parts: versions.collect() };
        // Serializing a struct of plain fields cannot fail.
        let first_row = serde_json::to_vec(&first_row).unwrap_or_default();
        Replacement { first_row, parts, part_versions }
    }

    /// Returns the number of parts of a map: the smallest power of two whose parts are small
    /// enough, and no fewer than now as long as it is divided.
    fn part_count(&self, map: &Map, format: Format) -> usize {
        let is_divided = !self.part_versions.is_empty();
        let limit = if is_divided { MAX_REJOINED_BYTES } else { MAX_PART_BYTES };
        if format < Format::Parts || map.estimated_bytes() <= limit {
            return 1;
        }
        let is_small = |span: Span| map.part(span).estimated_bytes() <= MAX_PART_BYTES;
        let mut count = self.part_versions.len().max(2);
        while count < MAX_PARTS && !part_spans(count).all(is_small) {
            count *= 2;
        }
        count
    }
}

/// Returns the equal spans into which `count` parts divide all keys.
fn part_spans(count: usize) -> impl Iterator<Item = Span> {
    let width = Span::ALL.width() / count as u32;
    (0..count as u32).map(move |index| {
        let first = index * width;
        Span { first: first as u16, last: (first + width - 1) as u16 }
    })
}

fn part_key(service: &Service, index: usize) -> SmolStr {
    format_smolstr!("{service}{PART_KEY_SEPARATOR}{index}")
}

impl Format {
    /// Returns the size up to which spans are split, in bytes.
    const fn max_bytes(self) -> usize {
        match self {
            Self::Row => MAX_ROW_BYTES,
            Self::Parts | Self::Later => MAX_MAP_BYTES,
        }
    }

    /// Returns the number of targets that can each have a span.
    #[must_use]
    pub const fn max_holders(self) -> usize {
        self.max_bytes() / (HOLDER_BYTES + ASSIGNMENT_BYTES)
    }
}

impl Map {
    /// Returns how many spans can be split before the rows would be larger than the store accepts.
    #[must_use]
    pub fn room_for_splits(&self, format: Format) -> usize {
        // A split in the middle makes two more assignments, and the recipient may be a new holder.
        format.max_bytes().saturating_sub(self.estimated_bytes())
            / (HOLDER_BYTES + 2 * ASSIGNMENT_BYTES)
    }

    fn estimated_bytes(&self) -> usize {
        HOLDER_BYTES * self.holders.len() + ASSIGNMENT_BYTES * self.assignments.len()
    }

    /// Returns the assignments of the keys of a span, with their holders.
    fn part(&self, span: Span) -> Self {
        let start = self.assignments.partition_point(|known| known.span.last < span.first);
        let end = self.assignments.partition_point(|known| known.span.first <= span.last);
        let cut = |known: &Assignment| Assignment {
            span: Span {
                first: known.span.first.max(span.first),
                last: known.span.last.min(span.last),
            },
            ..*known
        };
        let assignments = self.assignments[start..end].iter().map(cut).collect();
        let mut part = Self { version: self.version, holders: self.holders.clone(), assignments };
        part.remove_idle_holders();
        part
    }

    fn has_same_content(&self, other: &Self) -> bool {
        self.holders == other.holders && self.assignments == other.assignments
    }

    /// Appends a part that follows the keys of this map.
    fn append(&mut self, part: Self) {
        let indices: Vec<u16> =
            part.holders.into_iter().map(|holder| self.index_of(holder)).collect();
        let mut assignments = part.assignments.into_iter().map(|assignment| {
            let holder = assignment.holder.map(|index| indices[usize::from(index)]);
            Assignment { holder, ..assignment }
        });
        // An assignment that reaches over the end of a part was cut there.
        if let Some(first) = assignments.next() {
            match self.assignments.last_mut() {
                Some(last) if last.holder == first.holder && last.fence == first.fence => {
                    last.span.last = first.span.last;
                }
                _ => self.assignments.push(first),
            }
        }
        self.assignments.extend(assignments);
    }
}

/// Parses the rows of a table of maps, and returns the map of each service or the reason why it
/// cannot be parsed.
#[must_use]
pub fn parse_rows(rows: &[StoredRow<'_>]) -> Vec<(Service, Result<Stored, Error>)> {
    let by_key: HashMap<&str, &StoredRow<'_>> = rows.iter().map(|row| (row.key, row)).collect();
    let is_first = |row: &&StoredRow<'_>| !row.key.contains(PART_KEY_SEPARATOR);
    let first_rows = rows.iter().filter(is_first);
    first_rows
        .map(|row| {
            let service = Service::from(row.key);
            let stored = parse_map(&service, row, &by_key);
            (service, stored)
        })
        .collect()
}

fn parse_map(
    service: &Service,
    first: &StoredRow<'_>,
    rows: &HashMap<&str, &StoredRow<'_>>,
) -> Result<Stored, Error> {
    let Ok(first_row) = serde_json::from_slice::<FirstRow>(first.bytes) else {
        let map = Map::parse(first.bytes, first.version)?;
        return Ok(Stored { map, row_version: first.version, part_versions: Vec::new() });
    };
    let count = first_row.parts.len();
    if !count.is_power_of_two() || count > MAX_PARTS {
        return Err(Error::InvalidAssignments);
    }
    let version = first.version.of_era(first_row.era);
    let mut map = Map { version, holders: Vec::new(), assignments: Vec::new() };
    let mut part_versions = Vec::with_capacity(count);
    for (index, span) in part_spans(count).enumerate() {
        let expected = match first_row.parts[index] {
            Version::ZERO => version,
            known => known,
        };
        let row = rows.get(part_key(service, index).as_str());
        let row = row.ok_or(Error::MismatchedPart(index))?;
        let part = serde_json::from_slice::<Row>(row.bytes)?.into_map(span, row.version)?;
        if part.version != expected {
            return Err(Error::MismatchedPart(index));
        }
        part_versions.push(expected);
        map.append(part);
    }
    Ok(Stored { map, row_version: first.version, part_versions })
}
