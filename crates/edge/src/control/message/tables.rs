//! What a follower learns of the operators' table and the table of entries, with the registry.
//!
//! The routing configuration may have megabytes, so only its version is told; a follower that is
//! behind fetches it.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    key::Version,
    member::News,
    platform::store::{Row, Rows},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::time::Duration,
};

/// What a follower knows of the tables.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TablesQuery {
    /// The version up to which it knows the operators' table; zero if it does not.
    pub(crate) operator: Version,
    /// The version up to which it knows the table of entries; zero if it does not.
    pub(crate) entries: Version,
    /// The newest version of the routing configuration of which it knows.
    pub(crate) routing: Version,
}

/// What another entry knows of the tables that the follower does not.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TablesUpdate {
    pub(crate) operator: TableUpdate,
    pub(crate) entries: TableUpdate,
    /// The version of the routing configuration of the entry.
    pub(crate) routing: Version,
    /// Whether the store may have a newer one that the entry cannot read.
    pub(crate) routing_unreadable: bool,
}

/// What another entry knows of one table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TableUpdate {
    /// The version of the store up to which the table was read.
    pub(crate) version: Version,
    /// The time since the store gave it; none if the entry cannot tell what has changed.
    pub(crate) age_ms: Option<u64>,
    /// The store's clock now, as far as the entry knows it.
    pub(crate) clock_ms: u64,
    /// Whether the rows are all that there are, rather than those that changed.
    pub(crate) complete: bool,
    /// The rows, without that of the routing configuration.
    pub(crate) rows: Vec<RelayedRow>,
}

/// A row as the store gave it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RelayedRow {
    pub(crate) key: SmolStr,
    pub(crate) version: Version,
    /// The value in base64, or none if the row was removed.
    pub(crate) value: Option<String>,
}

impl RelayedRow {
    pub(crate) fn new(row: &Row) -> Self {
        let value = row.value.as_ref().map(|value| STANDARD.encode(value));
        Self { key: row.key.clone(), version: row.version, value }
    }

    /// Returns the row; a value that is not valid base64 becomes empty, which no parser accepts.
    fn into_row(self) -> Row {
        let value = self.value.map(|value| STANDARD.decode(value).unwrap_or_default().into());
        Row { key: self.key, version: self.version, value }
    }
}

impl TableUpdate {
    /// Returns the update with some news, which the store gave `age` ago.
    pub(crate) fn new(
        version: Version,
        news: News<RelayedRow>,
        age: Option<Duration>,
        clock: Duration,
    ) -> Self {
        let (is_known, complete, rows) = match news {
            News::Changes(rows) => (true, false, rows),
            News::Complete(rows) => (true, true, rows),
            News::Unknown => (false, false, Vec::new()),
        };
        let age = age.filter(|_| is_known);
        Self {
            version,
            age_ms: age.map(|age| age.as_millis() as u64),
            clock_ms: clock.as_millis() as u64,
            complete,
            rows,
        }
    }

    /// Returns the version up to which the follower then knows the table, if the entry tells.
    fn told_version(&self) -> Option<Version> {
        self.age_ms.map(|_| self.version)
    }

    /// Returns the rows, and whether they are all that there are.
    pub(crate) fn into_rows(self) -> (Rows, bool) {
        let rows = self.rows.into_iter().map(RelayedRow::into_row).collect();
        let clock = Duration::from_millis(self.clock_ms);
        (Rows { rows, version: self.version, clock }, self.complete)
    }
}

/// The versions in an update; none of a table of which the entry cannot tell what has changed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TablesSummary {
    pub(crate) operator: Option<Version>,
    pub(crate) entries: Option<Version>,
    pub(crate) routing: Version,
}

impl TablesUpdate {
    pub(crate) fn summary(&self) -> TablesSummary {
        TablesSummary {
            operator: self.operator.told_version(),
            entries: self.entries.told_version(),
            routing: self.routing,
        }
    }
}
