//! Following the operators' table and the table of entries, from the store or through the entry that
//! this one follows.
//!
//! The feed of the registry says what the followed entry tells of these tables, and each table is
//! polled at the store only while none does. A poll that is under way when one begins to is not
//! given up: it costs nothing more, and goes on if that entry is lost.

use {
    super::{OutageCount, log_failure, pause_after_change, send, wait_to_retry},
    crate::{
        control::{
            input::Input,
            message::{TablesQuery, TablesSummary},
        },
        shared::Shared,
    },
    hold::staleness::{PollTiming, Staleness},
    key::{Version, clock::Tick},
    member::{Backoff, Coverage, Step},
    platform::store::{Error, Rows, Store, Table},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, watch},
        time,
    },
};

/// The shortest pause after a change of the table of entries: when a fleet starts, every entry
/// writes its row. The pause does not delay a change of the leader, which the new leader announces
/// itself.
const MIN_ENTRIES_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after a change of the table of entries.
const MAX_ENTRIES_PAUSE: Duration = Duration::from_millis(2_000);

/// The time that a fetch of the routing configuration from another entry has, before the store is
/// asked for it. Together with the read of the store it stays within the limit for its changes.
const FETCH_TIME: Duration = Duration::from_millis(800);

/// What is known of the tables, for their feeds and that of the registry.
#[derive(Debug)]
pub(crate) struct Tables {
    operator: watch::Sender<Coverage>,
    entries: watch::Sender<Coverage>,
    /// The newest version of the routing configuration that another entry told, and since when this
    /// process lacks it.
    routing: watch::Sender<ToldRouting>,
    shared: Arc<Shared>,
}

/// The routing configuration of which the followed entry tells.
#[derive(Clone, Copy, Debug, Default)]
struct ToldRouting {
    version: Version,
    missing_since: Option<Tick>,
}

impl Tables {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        let limit = shared.settings.routing_apply.as_duration();
        let coverage = Coverage::new(limit, shared.pace().max_age);
        Arc::new(Self {
            operator: watch::Sender::new(coverage),
            entries: watch::Sender::new(coverage),
            routing: watch::Sender::default(),
            shared: Arc::clone(shared),
        })
    }

    const fn coverage(&self, table: Table) -> &watch::Sender<Coverage> {
        match table {
            Table::Entries => &self.entries,
            _ => &self.operator,
        }
    }

    /// Returns the version of the routing configuration in force here.
    fn known_routing(&self) -> Version {
        let snapshot = self.shared.snapshot.load();
        snapshot.routing.as_ref().map_or(Version::ZERO, |routing| routing.version)
    }

    /// Returns the version of the routing configuration that was told, if this process lacks it.
    fn missing_routing(&self) -> Option<Version> {
        let told = self.routing.borrow().version;
        (told > self.known_routing()).then_some(told)
    }

    /// Returns what this process knows, for the question to another entry.
    pub(crate) fn query(&self) -> TablesQuery {
        TablesQuery {
            operator: self.operator.borrow().version(),
            entries: self.entries.borrow().version(),
            routing: self.routing.borrow().version.max(self.known_routing()),
        }
    }

    /// Records what the followed entry has told.
    pub(crate) fn record_answer(&self, told: TablesSummary, now: Tick) {
        self.record_routing(told.routing, now);
        let missing_since = self.routing.borrow().missing_since;
        let is_fetch_late = missing_since.is_some_and(|since| now.since(since) >= FETCH_TIME);
        record_told(&self.operator, told.operator.filter(|_| !is_fetch_late), now);
        record_told(&self.entries, told.entries, now);
    }

    fn record_routing(&self, version: Version, now: Tick) {
        let known = self.known_routing();
        self.routing.send_modify(|told| {
            told.version = told.version.max(version);
            let is_missing = told.version > known;
            told.missing_since = is_missing.then(|| told.missing_since.unwrap_or(now));
        });
    }

    /// Records that no entry is followed.
    pub(crate) fn end_coverage(&self) {
        for table in [Table::Operator, Table::Entries] {
            record_told(self.coverage(table), None, Tick::now());
        }
    }
}

/// Records that the followed entry knows a table up to a version, or that none tells.
fn record_told(coverage: &watch::Sender<Coverage>, version: Option<Version>, now: Tick) {
    coverage.send_if_modified(|coverage| {
        let was_covered = coverage.is_covered(now);
        match version.filter(|version| version.era() >= coverage.version().era()) {
            Some(version) => coverage.record_answer(version, now),
            None => coverage.end(),
        }
        was_covered != coverage.is_covered(now)
    });
}

/// The feed of one table.
pub(crate) struct TableFeed {
    table: Table,
    store: Store,
    inputs: Sender<Input>,
    tables: Arc<Tables>,
    shared: Arc<Shared>,
    backoff: Backoff,
    staleness: Staleness,
    /// The version of the routing configuration for which the whole table was read last.
    read_for: Version,
}

impl TableFeed {
    pub(crate) fn new(
        table: Table,
        store: Store,
        inputs: Sender<Input>,
        tables: Arc<Tables>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            table,
            store,
            inputs,
            tables,
            shared,
            backoff: Backoff::default(),
            staleness: Staleness::default(),
            read_for: Version::ZERO,
        }
    }

    /// Follows the table; never returns.
    pub(crate) async fn follow(mut self, mut outages: OutageCount) {
        let mut coverage = self.tables.coverage(self.table).subscribe();
        loop {
            let step = coverage.borrow_and_update().next(Tick::now());
            match step {
                Step::Wait(until) => {
                    // What was told meanwhile extends the wait.
                    let wait = until.since(Tick::now());
                    let _: Result<_, time::error::Elapsed> =
                        time::timeout(wait, coverage.changed()).await;
                }
                Step::Read => self.read().await,
                Step::Poll(_) if self.lacks_routing() => self.read().await,
                Step::Poll(version) => self.poll(version, &mut outages).await,
            }
        }
    }

    /// Returns true if the changes in this table lack the routing configuration: another entry told
    /// what changed, and did not give it.
    fn lacks_routing(&self) -> bool {
        let missing = self.tables.missing_routing();
        self.table == Table::Operator && missing.is_some_and(|told| told > self.read_for)
    }

    /// Reads the table in full.
    async fn read(&mut self) {
        let told = self.tables.missing_routing();
        let sent_at = Tick::now();
        match self.store.read(self.table).await {
            Ok(rows) => {
                self.shared.counters.count("table_polls", self.table.name());
                self.read_for = self.read_for.max(told.unwrap_or_default());
                let (received_at, store_clock) = (Tick::now(), rows.clock);
                let timing = PollTiming { sent_at, received_at, store_clock };
                let changed_at = received_at.before(self.staleness.record(timing).of_change);
                self.pass_on(rows, true, changed_at, sent_at).await;
            }
            Err(error) => self.handle_failure(sent_at, error).await,
        }
    }

    /// Polls the table for changes after `version`.
    async fn poll(&mut self, version: Version, outages: &mut OutageCount) {
        let sent_at = Tick::now();
        match next_rows(&self.store, self.table, version, outages).await {
            Ok(rows) => {
                self.shared.counters.count("table_polls", self.table.name());
                self.backoff.reset();
                // The store answers a long poll when something changes or the wait is over, and the
                // answer may take long to arrive.
                let received_at = Tick::now();
                let timing = PollTiming { sent_at, received_at, store_clock: rows.clock };
                let age = self.staleness.record(timing);
                let given_at = received_at.before(age.of_answer);
                let changed_at = received_at.before(age.of_change);
                let is_changed = !rows.rows.is_empty();
                let at = if is_changed { given_at } else { sent_at };
                self.pass_on(rows, false, changed_at, at).await;
                if is_changed && self.table == Table::Entries {
                    let (min, max) = (MIN_ENTRIES_PAUSE, MAX_ENTRIES_PAUSE);
                    time::sleep(pause_after_change(&self.shared, min, max)).await;
                }
            }
            Err(Error::Compacted) => {
                let coverage = self.tables.coverage(self.table);
                coverage.send_modify(Coverage::record_lost_history);
            }
            Err(error @ Error::Unavailable) => self.handle_failure(sent_at, error).await,
        }
    }

    /// Passes on rows that changed at `changed_at` at the earliest and are the newest ones as of the
    /// time `at`.
    async fn pass_on(&self, rows: Rows, complete: bool, changed_at: Tick, at: Tick) {
        let version = rows.version;
        let input = match self.table {
            Table::Entries => Input::EntryRows { rows, complete },
            _ => Input::OperatorRows { rows, complete, changed_at, at },
        };
        send(&self.inputs, input).await;
        let coverage = self.tables.coverage(self.table);
        coverage.send_modify(|coverage| coverage.record_version(version));
    }

    async fn handle_failure(&mut self, sent_at: Tick, error: Error) {
        log_failure(&self.shared, self.table, sent_at, error);
        send(&self.inputs, Input::TableUnavailable { table: self.table }).await;
        wait_to_retry(&mut self.backoff).await;
    }
}

/// Waits for changes of a table, and polls again after an outage.
async fn next_rows(
    store: &Store,
    table: Table,
    version: Version,
    outages: &mut OutageCount,
) -> Result<Rows, Error> {
    loop {
        tokio::select! {
            rows = store.watch(table, version) => return rows,
            changed = outages.changed() => {
                if changed.is_err() {
                    return Err(Error::Unavailable);
                }
            }
        }
    }
}
