//! The other entries: their rows, and for what a silent one counts.
//!
//! Each entry writes a row once. The leader removes the rows of entries that have been silent for so
//! long that their VMs must be gone, on the condition that it still leads; an entry that finds its
//! own row removed writes it again.

use {
    super::{State, leading::LastReport},
    crate::control::{
        feeds::send,
        input::Input,
        records::{LEADERSHIP_KEY, Member, RowKind, member_key},
    },
    key::{Version, Vm, clock::Tick},
    member::Presence,
    platform::store::{Change, Row, Rows, Table, Write},
    serde::Serialize,
    std::{collections::HashSet, time::Duration},
};

/// The shortest interval between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The number of entries up to which each reports at the shortest interval. With more entries each
/// reports less often, so that the leader's work stays constant. The interval also decides how soon
/// busy keys are noticed and a lost leader is replaced.
const ENTRIES_AT_MIN_INTERVAL: f64 = 60.0;

/// The number of rows that are removed in one transaction.
const MAX_REMOVED_ROWS: usize = 20;

/// The time between two transactions that remove rows.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// The journal line about rows of entries that are removed.
#[derive(Serialize)]
struct RemovalLine<'a> {
    members: Vec<&'a str>,
    known: usize,
}

impl State {
    /// Applies a row of an entry, or its removal.
    pub(super) fn apply_member_row(&mut self, vm: Vm, row: &Row, now: Tick) {
        let Some(value) = &row.value else {
            if vm == self.me.vm {
                self.rejoin();
            } else if self.members.remove(&vm, row.version) {
                self.log_belief(&row.key, row.version, "removed");
                self.dirty = true;
            }
            return;
        };
        match serde_json::from_slice::<Member>(value) {
            Ok(member) => {
                self.members.record(vm, member, row.version, now);
                self.dirty = true;
            }
            Err(error) => self.log_belief(&row.key, row.version, &error.to_string()),
        }
    }

    /// Applies what a complete read of the rows does not contain.
    pub(super) fn apply_member_list(&mut self, rows: &Rows, now: Tick) {
        let kinds = rows.rows.iter().map(|row| RowKind::from_key(&row.key));
        let vms = kinds.filter_map(|kind| match kind {
            RowKind::Member(vm) => Some(vm),
            RowKind::Leadership | RowKind::Suspects | RowKind::Other => None,
        });
        let listed: HashSet<&str> = vms.collect();
        self.entries_read = true;
        self.dirty |= self.members.retain_listed(&listed, rows.version, now);
        if !listed.contains(self.me.vm.as_str()) {
            self.rejoin();
        }
    }

    /// Writes this entry's row again, which is gone.
    fn rejoin(&mut self) {
        if !self.joining && !self.shared.is_stopping() {
            self.join();
        }
    }

    /// Returns the interval between two reports of an entry.
    pub(super) fn report_interval(&self) -> Duration {
        let entries = self.entries_sharing_limits() as f64;
        MIN_REPORT_INTERVAL.mul_f64((entries / ENTRIES_AT_MIN_INTERVAL).max(1.0))
    }

    /// Returns whether an entry is there, by its reports to this process since it leads. One that
    /// has not reported yet may be about to, or have ended long ago.
    pub(super) fn presence(&self, vm: &Vm, now: Tick) -> Presence {
        let Some(leadership) = self.leadership.as_ref().filter(|_| *vm != self.me.vm) else {
            return Presence::Live;
        };
        let reported_at = leadership.last_reports.get(vm).map(|report| report.at);
        let joined_at = self.members.row(vm).map(|(_, learned_at)| learned_at);
        let heard_at = [reported_at, joined_at].into_iter().flatten().max();
        let silent_for = now.since(heard_at.unwrap_or_default().max(leadership.started_at));
        Presence::new(silent_for, self.report_interval())
    }

    /// Returns the last reports of the other entries that are live.
    pub(super) fn live_reports(&self, now: Tick) -> impl Iterator<Item = &LastReport> {
        let reports = self.leadership.iter().flat_map(|leadership| &leadership.last_reports);
        let live = reports.filter(move |(vm, _)| self.presence(vm, now) == Presence::Live);
        live.map(|(_, report)| report)
    }

    /// Removes the rows of entries that are gone.
    pub(super) fn remove_gone_members(&mut self, now: Tick) {
        if self.removal_in_flight || now.since(self.rows_removed_at) < REMOVAL_INTERVAL {
            return;
        }
        let era = self.store.era();
        let gone = self.members.iter().map(|(vm, _)| vm);
        let gone = gone.filter(|vm| self.presence(vm, now) == Presence::Gone);
        let rows = gone.filter_map(|vm| Some((vm, self.members.row(vm)?.0)));
        let rows: Vec<(&Vm, Version)> =
            rows.filter(|(_, version)| version.era() == era).take(MAX_REMOVED_ROWS).collect();
        if rows.is_empty() {
            return;
        }
        let members = rows.iter().map(|(vm, _)| vm.as_str()).collect();
        self.shared.journal.log("remove", &RemovalLine { members, known: self.members.len() });
        let removals = rows.iter().map(|(vm, version)| Write {
            table: Table::Entries,
            key: member_key(vm),
            expected: Some(*version),
            change: Change::Remove,
        });
        let leadership = Write {
            table: Table::Entries,
            key: LEADERSHIP_KEY.into(),
            expected: Some(self.leadership_version),
            change: Change::Keep,
        };
        let writes: Vec<Write> = [leadership].into_iter().chain(removals).collect();
        self.removal_in_flight = true;
        self.rows_removed_at = now;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = store.commit(&writes).await;
            send(&inputs, Input::MembersRemoved { commit }).await;
        });
    }
}
