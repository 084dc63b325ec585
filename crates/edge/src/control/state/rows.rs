//! Applying the rows of the tables of entries and of maps.

use {
    super::State,
    crate::control::{
        message::MapDelta,
        records::{LEADERSHIP_KEY, LeadershipRecord, RowKind},
    },
    hold::{
        Map,
        map::{StoredRow, parse_rows},
    },
    key::{Service, Version, Vm, clock::Tick},
    platform::store::{Row, Rows},
    std::sync::Arc,
};

impl State {
    /// Applies rows of the table of entries: the leadership record and the members.
    pub(super) fn apply_entry_rows(&mut self, rows: &Rows, complete: bool, now: Tick) {
        self.era_clock.record(rows.version.era(), rows.clock);
        let is_leadership = |row: &&Row| row.key == LEADERSHIP_KEY && row.value.is_some();
        let leadership_row = rows.rows.iter().find(is_leadership);
        match leadership_row {
            Some(row) => self.leadership_row = self.leadership_row.max(row.version),
            None if complete && rows.version > self.leadership_row => {
                self.leadership_row = Version::ZERO;
            }
            None => {}
        }
        for row in &rows.rows {
            match RowKind::from_key(&row.key) {
                RowKind::Leadership => self.apply_leadership_row(row, now),
                RowKind::Suspects => self.apply_suspects_row(row, rows.clock),
                RowKind::Member(vm) => self.apply_member_row(Vm::from(vm), row, now),
                RowKind::Other => {}
            }
        }
        if complete {
            self.apply_member_list(rows, now);
            self.apply_suspects_absence(rows);
            self.shared.record_learned();
        }
    }

    fn apply_leadership_row(&mut self, row: &Row, now: Tick) {
        let Some(value) = &row.value else { return };
        match serde_json::from_slice::<LeadershipRecord>(value) {
            Ok(record) => {
                let version = record.version(row.version);
                self.apply_leadership(record, version, now);
            }
            Err(error) => self.log_belief(LEADERSHIP_KEY, row.version, &error.to_string()),
        }
    }

    /// Applies the maps after a full read. Where the rows of entries were read before them, this
    /// also confirms the leadership.
    pub(super) fn apply_map_rows(&mut self, rows: &Rows, entries: Option<(Rows, Tick)>, now: Tick) {
        self.map_read_in_flight = false;
        self.stored_maps.clear();
        let stored_rows = rows.rows.iter().filter_map(|row| {
            let bytes = row.value.as_deref()?;
            Some(StoredRow { key: &row.key, version: row.version, bytes })
        });
        let stored_rows: Vec<StoredRow<'_>> = stored_rows.collect();
        for (service, stored) in parse_rows(&stored_rows) {
            match stored {
                Ok(stored) => {
                    self.apply_map(service.clone(), stored.map.clone());
                    self.stored_maps.insert(service, stored);
                }
                Err(error) => self.log_belief(service.as_str(), rows.version, &error.to_string()),
            }
        }
        if let Some((entries, sent_at)) = entries {
            self.apply_entry_rows(&entries, true, now);
            self.confirm_leadership(&entries, sent_at, now);
        }
    }

    /// Applies a delta to a map. A delta whose base is not the version known here is skipped; the
    /// reply to the next report then brings the whole map.
    pub(super) fn apply_map_delta(&mut self, delta: &MapDelta) {
        let mut change = delta.delta.clone();
        change.base = self.with_era(change.base);
        change.version = self.with_era(change.version);
        let map = self.maps.get(&delta.service).and_then(|map| map.with_delta(&change));
        if let Some(map) = map {
            self.apply_map(delta.service.clone(), map);
        }
    }

    /// Replaces a map by a newer one.
    pub(super) fn apply_map(&mut self, service: Service, map: Map) {
        let current = self.maps.get(&service).map_or(Version::ZERO, |map| map.version);
        if map.version <= current {
            return;
        }
        self.log_belief(service.as_str(), map.version, "holders of keys");
        self.maps_learned_at.insert(service.clone(), Tick::now());
        self.maps.insert(service, Arc::new(map));
        self.dirty = true;
    }
}
