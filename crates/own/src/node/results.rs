//! What the results of writes mean.

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
    /// Takes the result of a write.
    pub(super) fn written(
        &mut self,
        id: u64,
        result: Commit,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.writes.remove(id) else { return };
        match result {
            Commit::Committed(versions) => self.committed(pending, &versions, now, actions),
            Commit::Conflict(rows) => self.conflicted(pending, &rows, now, actions),
            Commit::Refused if !pending.uncertain => {
                self.settle(&pending);
                self.writes.back_off(&pending, now);
                self.drop_resigned(&pending);
            }
            Commit::Refused | Commit::Ambiguous => {
                if !pending.uncertain
                    && let Some((_, row)) = pending.rows.first()
                {
                    let decision = Decision::WriteUnconfirmed { cell: row.name.clone() };
                    actions.push(Action::Record(decision));
                }
                self.drop_resigned(&pending);
                self.writes.schedule_retry(pending, now);
            }
        }
    }

    fn committed(
        &mut self,
        pending: PendingWrite,
        versions: &[Version],
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        self.settle(&pending);
        actions.extend(pending.decisions.into_iter().map(Action::Record));
        for (version, (_, row)) in versions.iter().zip(pending.rows) {
            actions.push(Action::Publish { version: *version, row: row.clone() });
            self.adopt(*version, row, now, actions);
        }
        if let (WritePurpose::DeclareFailover(name), Some(version)) =
            (&pending.purpose, versions.first())
            && let Some(cell) = self.cells.get_mut(name)
        {
            cell.rescue.record_declared(*version, now);
        }
    }

    fn conflicted(
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
        let landed = |(base, ours): &(Version, Row)| {
            let is_ours = |(version, row): &(Version, Row)| {
                row.name == ours.name && *version == base.next() && row.token == ours.token
            };
            decoded.iter().any(is_ours)
        };
        if pending.rows.iter().any(landed) {
            let versions: Vec<Version> = pending.rows.iter().map(|(base, _)| base.next()).collect();
            self.committed(pending, &versions, now, actions);
        } else {
            self.settle(&pending);
        }
        for (version, row) in decoded {
            self.adopt(version, row, now, actions);
        }
    }

    /// Tells the guardian that wrote that the result is known.
    fn settle(&mut self, pending: &PendingWrite) {
        if let WritePurpose::Update(name) = &pending.purpose
            && let Some(cell) = self.cells.get_mut(name)
            && let RoleState::Primary(guardian) = &mut cell.role
        {
            guardian.record_write_finished();
        }
    }

    /// A process that stops without the table has nothing more to do than to renew no longer.
    fn drop_resigned(&mut self, pending: &PendingWrite) {
        if let WritePurpose::Resign(name) = &pending.purpose
            && let Some(cell) = self.cells.get_mut(name)
        {
            cell.role = RoleState::Observer;
        }
    }
}
