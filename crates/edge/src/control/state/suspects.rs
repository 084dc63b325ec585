//! The requests that crash the targets that run them, as a process learns of them when it starts.
//!
//! What an entry has seen of crashes ends with its process, and all entries may be restarted, one
//! after the other or at once. So the leader stores which requests are refused, in one short row
//! that every entry reads at its start before it takes callers, and tells an entry that reports for
//! the first time. A single crash is not stored: after a loss of all entries, one more is needed.

use {
    super::State,
    crate::control::{
        feeds::send,
        input::Input,
        records::{LEADERSHIP_KEY, SUSPECTS_KEY, SuspectList},
    },
    key::{Version, clock::Tick},
    platform::store::{Change, Commit, Row, Rows, Table, Write},
    route::{
        crash_log::CrashNotice,
        quarantine::{Fingerprint, Suspect},
    },
    serde::Serialize,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// The time between two writes of the row.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// What this process knows of the row.
#[derive(Debug, Default)]
pub(super) struct StoredSuspects {
    version: Version,
    fingerprints: HashSet<Fingerprint>,
    is_being_written: bool,
    written_at: Tick,
}

impl StoredSuspects {
    /// Records the outcome of a write. After one that did not take effect, or may not have, the feed
    /// brings the row.
    pub(super) fn record_write(&mut self, suspects: &[Suspect], commit: Commit) {
        self.is_being_written = false;
        if let Commit::Committed(version) = commit
            && version > self.version
        {
            self.version = version;
            self.fingerprints = suspects.iter().map(|suspect| suspect.fingerprint).collect();
        }
    }
}

/// The journal line about requests that are refused from now on, by what another process knows.
#[derive(Serialize)]
struct SuspectsLine<'a> {
    source: &'a str,
    told: usize,
    newly_refused: usize,
}

impl State {
    /// Records the requests that another process refuses.
    pub(super) fn apply_suspects(&self, suspects: &[Suspect], source: &str) {
        if suspects.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.shared.quarantine();
        let newly_refused = suspects.iter().filter(|suspect| quarantine.merge(suspect, now));
        let newly_refused = newly_refused.count();
        drop(quarantine);
        if newly_refused == 0 {
            return;
        }
        let line = SuspectsLine { source, told: suspects.len(), newly_refused };
        self.shared.journal.log("suspects", &line);
    }

    /// Records a crash that another process reported.
    pub(super) fn quarantine_heard(&self, notice: CrashNotice) {
        let CrashNotice { report, age_ms } = notice;
        let suspect =
            Suspect { fingerprint: report.fingerprint, crashes: vec![report.crash], age_ms };
        if self.shared.quarantine().merge(&suspect, Instant::now()) {
            self.shared.journal.log("quarantined", &report);
        }
    }

    /// Applies the row of refused requests, as the store had it when its clock stood at `clock`.
    pub(super) fn apply_suspects_row(&mut self, row: &Row, clock: Duration) {
        let Some(value) =
            row.value.as_ref().filter(|_| row.version >= self.stored_suspects.version)
        else {
            return;
        };
        self.stored_suspects.version = row.version;
        let list: SuspectList = match serde_json::from_slice(value) {
            Ok(list) => list,
            Err(error) => return self.log_belief(&row.key, row.version, &error.to_string()),
        };
        let stored_for_ms = (clock.as_millis() as u64).saturating_sub(list.clock_ms);
        let to_age = |suspect: &Suspect| Suspect {
            age_ms: suspect.age_ms.saturating_add(stored_for_ms),
            ..suspect.clone()
        };
        let suspects: Vec<Suspect> = list.suspects.iter().map(to_age).collect();
        self.stored_suspects.fingerprints =
            suspects.iter().map(|suspect| suspect.fingerprint).collect();
        self.apply_suspects(&suspects, "store");
    }

    /// Takes note that the row does not exist, by a complete read of the table: nothing was stored,
    /// or a copy of the store lacks it.
    pub(super) fn apply_suspects_absence(&mut self, rows: &Rows) {
        if rows.rows.iter().all(|row| row.key != SUSPECTS_KEY)
            && rows.version > self.stored_suspects.version
        {
            self.stored_suspects.version = Version::ZERO;
            self.stored_suspects.fingerprints.clear();
        }
    }

    /// Writes the row if requests are refused that it does not contain.
    pub(super) fn store_suspects(&mut self, now: Tick) {
        let stored = &self.stored_suspects;
        if stored.is_being_written || now.since(stored.written_at) < WRITE_INTERVAL {
            return;
        }
        let suspects = self.shared.quarantine().refused(Instant::now());
        if suspects.iter().all(|suspect| stored.fingerprints.contains(&suspect.fingerprint)) {
            return;
        }
        let clock_ms = self.era_clock.latest().as_millis() as u64;
        let list = SuspectList { clock_ms, suspects: suspects.clone() };
        // Serializing a struct of plain fields cannot fail.
        let value = serde_json::to_vec(&list).unwrap_or_default();
        let write = |key: &str, expected, change| Write {
            table: Table::Entries,
            key: key.into(),
            expected: Some(expected),
            change,
        };
        let writes = [
            write(LEADERSHIP_KEY, self.leadership_version, Change::Keep),
            write(SUSPECTS_KEY, stored.version, Change::Put(value)),
        ];
        self.stored_suspects.is_being_written = true;
        self.stored_suspects.written_at = now;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = store.commit(&writes).await;
            send(&inputs, Input::SuspectsWritten { suspects, commit }).await;
        });
    }
}
