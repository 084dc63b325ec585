//! The leadership record: who leads, and the campaign to become the leader.

use {
    super::{State, leading::LEADERSHIP_LEASE, recovery::Recovery},
    crate::control::{
        feeds::send,
        input::Input,
        records::{LEADERSHIP_KEY, LeadershipRecord},
    },
    hold::election::Leader,
    key::{Process, Version, Vm, clock::Tick},
    platform::store::{Change, Commit, Table, Write},
};

impl State {
    /// Replaces the leadership record by a newer one; steps down if it names another process.
    pub(super) fn apply_leadership(
        &mut self,
        record: LeadershipRecord,
        version: Version,
        now: Tick,
    ) {
        if version <= self.leadership_version {
            return;
        }
        self.log_belief(LEADERSHIP_KEY, version, record.vm.as_str());
        if !record.is_held_by(&self.me) && self.leadership.take().is_some() {
            self.log_belief(LEADERSHIP_KEY, version, "no longer this process");
        }
        if version.era() == self.store.era() {
            self.leadership_row = self.leadership_row.max(version);
        }
        self.set_leadership(record, version, now);
        self.resigning = false;
        self.election.record_heartbeat(now);
    }

    /// Replaces what is known of the leader, and keeps the version of the last one of earlier eras.
    pub(super) fn set_leadership(&mut self, record: LeadershipRecord, version: Version, now: Tick) {
        if self.leadership_version.era() < version.era() {
            self.former_leadership_version = self.leadership_version;
        }
        let leader = Process { vm: record.vm.clone(), incarnation: record.incarnation };
        let is_suspect = |fingerprint| self.shared.quarantine().is_suspect(fingerprint);
        self.crash_log.follow(&leader, is_suspect, now);
        self.leadership_record = Some(record);
        self.leadership_version = version;
        self.leadership_learned_at = now;
        // Which entries this one follows depends on whether it leads.
        self.dirty = true;
    }

    /// Returns the VMs of the leaders that may still renew grants when this process takes over, or
    /// `None` if they are not known. The leases of those before the last leader have run out once
    /// that one has led for as long.
    fn former_leaders(&self, now: Tick) -> Option<Vec<Vm>> {
        let Some(record) = &self.leadership_record else { return Some(Vec::new()) };
        let mut former = vec![record.vm.clone()];
        if now.since(self.leadership_learned_at) < LEADERSHIP_LEASE {
            former.extend(record.former.clone()?);
        }
        former.sort();
        former.dedup();
        Some(former)
    }

    /// Returns what the leadership record says of the leader.
    pub(super) fn leader(&self) -> Leader {
        match &self.leadership_record {
            None => Leader::Vacant,
            Some(record) if record.vm == self.me.vm => Leader::FormerSelf,
            Some(_) => Leader::Other { resigning: self.resigning },
        }
    }

    /// Tries to become the leader by a conditional write of the leadership record.
    pub(super) fn campaign(&mut self, now: Tick) {
        self.write_leadership(false, now);
    }

    /// Writes the leadership record; `has_orders` says that this process is about to send orders.
    pub(super) fn write_leadership(&mut self, has_orders: bool, now: Tick) {
        self.election.record_attempt(now);
        self.campaigning = true;
        let era = self.store.era();
        // A leader of an earlier release does not tell whether it has sent orders.
        let is_unmarked = self.leadership_record.as_ref().is_some_and(|record| {
            record.recovery.is_none() && record.era.is_none_or(|known| known == era)
        });
        let has_orders = has_orders || is_unmarked;
        let record = LeadershipRecord {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            address: self.shared.settings.peer_listen,
            term: self.leadership_record.as_ref().map_or(0, |record| record.term) + 1,
            former: self.former_leaders(now),
            era: Some(era),
            recovery: self.era_clock.mark(era, self.recovery_mark(), has_orders),
        };
        self.log_belief(LEADERSHIP_KEY, self.leadership_version, "standing");
        // Serializing a struct of plain fields cannot fail.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let write = Write {
            table: Table::Entries,
            key: LEADERSHIP_KEY.into(),
            expected: Some(self.leadership_row),
            change: Change::Put(value),
        };
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = store.commit(&[write]).await;
            send(&inputs, Input::CampaignResult { record, commit }).await;
        });
    }

    /// Becomes the leader if the write of the leadership record was committed.
    pub(super) fn handle_campaign_result(
        &mut self,
        record: LeadershipRecord,
        commit: Commit,
        now: Tick,
    ) {
        self.campaigning = false;
        // The feed may deliver the record before the result of the commit. If the result is lost,
        // the feed shows whether the write took effect; the record then looks like one of an
        // earlier run of this process, which makes it campaign again.
        if let Commit::Committed(version) = commit
            && version >= self.leadership_version
            && Some(version.era()) == record.era
        {
            self.set_leadership(record, version, now);
            self.leadership_row = version;
            let has_orders = self.recovery_mark().is_some_and(|mark| mark.has_orders);
            match &mut self.leadership {
                Some(leadership) if leadership.recovery == Recovery::Marking && has_orders => {
                    leadership.recovery = Recovery::Done;
                    self.plan(now);
                }
                // The record was written again in a new era.
                Some(leadership) => leadership.recovery = Recovery::default(),
                None => self.become_leader(now),
            }
            self.announce_leadership();
        }
    }
}
