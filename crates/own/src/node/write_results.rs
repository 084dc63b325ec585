//! Handling of the results of writes.

use {
    crate::{
        cell::Row,
        decision::Decision,
        node::{
            Action, Node, RoleState,
            writes::{PendingWrite, WritePurpose},
        },
    },
    key::{Version, clock::Tick},
    store::Commit,
};

impl Node {
    /// Handles the result of a write.
    pub(super) fn handle_write_result(
        &mut self,
        id: u64,
        result: Commit,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.writes.remove(id) else { return };
        match result {
            Commit::Committed(versions) => self.record_commit(pending, &versions, now, actions),
            Commit::Conflict(rows) => self.resolve_conflict(pending, &rows, now, actions),
            Commit::Refused if !pending.uncertain => {
                self.notify_primary(&pending);
                self.writes.back_off(&pending, now);
                self.end_resigned_role(&pending);
            }
            Commit::Refused | Commit::Ambiguous => {
                if !pending.uncertain
                    && let Some((_, row)) = pending.rows.first()
                {
                    let decision = Decision::WriteUnconfirmed { cell: row.name.clone() };
                    actions.push(Action::Record(decision));
                }
                self.end_resigned_role(&pending);
                self.writes.schedule_retry(pending, now);
            }
        }
    }

    /// Applies a write that was committed with the given versions of its rows.
    fn record_commit(
        &mut self,
        pending: PendingWrite,
        versions: &[Version],
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        self.notify_primary(&pending);
        actions.extend(pending.decisions.into_iter().map(Action::Record));
        for (version, (_, row)) in versions.iter().zip(pending.rows) {
            actions.push(Action::Publish { version: *version, row: row.clone() });
            self.apply_row(*version, row, now, actions);
        }
        if let (WritePurpose::DeclareFailover(name), Some(version)) =
            (&pending.purpose, versions.first())
            && let Some(cell) = self.cells.get_mut(name)
        {
            cell.failover.record_declared(*version, now);
        }
    }

    /// Handles a conflict, in which the table returns the current rows.
    ///
    /// If one of them carries the token of this write, an earlier attempt was committed and only
    /// its response was lost.
    fn resolve_conflict(
        &mut self,
        pending: PendingWrite,
        rows: &[store::Row],
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let decoded: Vec<(Version, Row)> = rows
            .iter()
            .filter_map(|row| {
                Some((row.version, Row::decode(&row.name, row.value.as_ref()?).ok()?))
            })
            .collect();
        let was_committed = |(base, ours): &(Version, Row)| {
            let is_ours = |(version, row): &(Version, Row)| {
                row.name == ours.name && *version == base.next() && row.token == ours.token
            };
            decoded.iter().any(is_ours)
        };
        if pending.rows.iter().any(was_committed) {
            let versions: Vec<Version> = pending.rows.iter().map(|(base, _)| base.next()).collect();
            self.record_commit(pending, &versions, now, actions);
        } else {
            self.notify_primary(&pending);
        }
        for (version, row) in decoded {
            self.apply_row(version, row, now, actions);
        }
    }

    /// Notifies the primary that sent the write that its result is known.
    fn notify_primary(&mut self, pending: &PendingWrite) {
        if let WritePurpose::Update(name) = &pending.purpose
            && let Some(cell) = self.cells.get_mut(name)
            && let RoleState::Primary(primary) = &mut cell.role
        {
            primary.record_write_finished();
        }
    }

    /// Ends the role of a process that resigned but cannot write to the table.
    ///
    /// It only has to stop renewing; another process takes over the cell without its help.
    fn end_resigned_role(&mut self, pending: &PendingWrite) {
        if let WritePurpose::Resign(name) = &pending.purpose
            && let Some(cell) = self.cells.get_mut(name)
        {
            cell.role = RoleState::Observer;
        }
    }
}
