//! Passing the operators' table and the table of entries on to entries that follow this one, and
//! applying what another passes on.
//!
//! The news goes with the answers about the registry (module `relaying`), and any ends the wait of a
//! query. It is applied by the same functions as the rows that this process reads itself.

use {
    super::{State, evacuating::Answer},
    crate::control::message::{RegistryQuery, RelayedRow, TableUpdate, TablesQuery, TablesUpdate},
    key::{Version, Vm, clock::Tick},
    member::RowLog,
    platform::store::{ROUTING_KEY, Rows, Table},
    smol_str::SmolStr,
    std::{net::SocketAddr, time::Duration},
};

/// The time after its last answer for which another entry counts as telling of new versions of the
/// routing configuration.
const TOLD_FOR: Duration = Duration::from_secs(2);

/// What this entry can tell others of one table.
#[derive(Debug, Default)]
struct RelayedTable {
    log: RowLog<SmolStr, RelayedRow>,
    /// When the store gave the last answer; none if it does not answer.
    confirmed_at: Option<Tick>,
    /// The store's clock then.
    clock: Duration,
}

impl RelayedTable {
    /// Records an answer about the table that was given at the time `at`. Returns false if a newer
    /// one is known.
    fn record(&mut self, rows: &Rows, complete: bool, at: Tick) -> bool {
        if rows.version < self.log.version() {
            return false;
        }
        if complete {
            self.log.restart(rows.version);
        }
        for row in rows.rows.iter().filter(|row| row.key != ROUTING_KEY) {
            let (key, is_removed) = (row.key.clone(), row.value.is_none());
            self.log.record(rows.version, key, RelayedRow::new(row), is_removed);
        }
        self.log.record_version(rows.version);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.clock = rows.clock;
        true
    }

    fn has_news(&self, after: Version) -> bool {
        self.confirmed_at.is_some() && self.log.has_news(after)
    }

    fn update(&self, after: Version, now: Tick) -> TableUpdate {
        let age = self.confirmed_at.map(|at| now.since(at));
        let clock = self.clock + age.unwrap_or_default();
        TableUpdate::new(self.log.version(), self.log.since(after), age, clock)
    }
}

/// What this entry can tell others of the tables, and which entry tells it of the routing
/// configuration.
#[derive(Debug, Default)]
pub(super) struct RelayedTables {
    operator: RelayedTable,
    entries: RelayedTable,
    routing_told: Option<(SocketAddr, Tick)>,
}

impl RelayedTables {
    /// Records that the store does not answer about a table.
    pub(super) const fn record_failure(&mut self, table: Table) {
        match table {
            Table::Operator => self.operator.confirmed_at = None,
            Table::Entries => self.entries.confirmed_at = None,
            Table::Targets | Table::Maps => {}
        }
    }

    /// Returns true if the entry at an address last told of the routing configuration.
    pub(super) fn routing_told_by(&self, address: SocketAddr) -> bool {
        self.routing_told.is_some_and(|(by, _)| by == address)
    }
}

impl State {
    /// Applies an answer about the operators' table, unless a newer one is known: answers of the
    /// store and of another entry may overtake each other.
    pub(super) fn handle_operator_rows(&mut self, rows: &Rows, answer: Answer, now: Tick) {
        if self.tables.operator.record(rows, answer.complete, answer.newest_at) {
            // A routing configuration in force lets this entry serve, so the evacuations come first.
            self.apply_evacuation_rows(rows, answer, now);
            self.apply_operator_rows(rows, answer.newest_at);
        }
    }

    /// Applies rows of the table of entries.
    pub(super) fn handle_entry_rows(&mut self, rows: &Rows, complete: bool, now: Tick) {
        let is_first = complete && !self.entries_read;
        self.tables.entries.record(rows, complete, now);
        self.apply_entry_rows(rows, complete, now);
        if is_first {
            self.update_readers();
            self.get_first_maps(now);
        }
    }

    /// Returns true if this entry knows of a change in another table that a query does not.
    pub(super) fn has_table_news(&self, query: &RegistryQuery) -> bool {
        query.tables.as_ref().is_some_and(|known| {
            self.tables.operator.has_news(known.operator)
                || self.tables.entries.has_news(known.entries)
                || self.routing_version() > known.routing
        })
    }

    /// Returns what is known of the tables and is newer than `known`.
    pub(super) fn tables_update(&self, known: &TablesQuery, now: Tick) -> TablesUpdate {
        TablesUpdate {
            operator: self.tables.operator.update(known.operator, now),
            entries: self.tables.entries.update(known.entries, now),
            routing: self.routing_version(),
            routing_unreadable: self.routing_unreadable,
        }
    }

    /// Applies what the entry `reader` knows of the tables, as of the time `answered_at`.
    pub(super) fn apply_tables_update(
        &mut self,
        reader: &Vm,
        update: TablesUpdate,
        answered_at: Tick,
        now: Tick,
    ) {
        let TablesUpdate { operator, entries, routing, routing_unreadable } = update;
        if let Some(age_ms) = operator.age_ms {
            if let Some(address) = self.members.get(reader).map(|member| member.address) {
                self.tables.routing_told = Some((address, now));
                self.hear_routing(routing, address, now);
            }
            self.routing_unreadable = routing_unreadable;
            let newest_at = answered_at.before(Duration::from_millis(age_ms));
            // What the last answer did not contain has changed since.
            let changed_at = self.tables.operator.confirmed_at.unwrap_or_default();
            let (rows, complete) = operator.into_rows();
            let answer = Answer { complete, changed_at, newest_at };
            self.handle_operator_rows(&rows, answer, now);
            self.fetch_routing(now);
        }
        if entries.age_ms.is_some() {
            let (rows, complete) = entries.into_rows();
            self.handle_entry_rows(&rows, complete, now);
        }
    }

    /// Returns true if another entry tells of new versions of the routing configuration.
    pub(super) fn is_told_of_routing(&self, now: Tick) -> bool {
        self.tables.routing_told.is_some_and(|(_, at)| now.since(at) < TOLD_FOR)
    }
}
