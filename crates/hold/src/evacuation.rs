//! Which availability zones an operator has evacuated, and since when.
//!
//! An operator requests the evacuation of a zone by a row of the store. From a bounded time after the
//! store acknowledged that row until it is removed, no target of the zone may get a request. Every
//! process reads the rows itself, and processes tell each other what they know, for the benefit of
//! those that the store turns away.
//!
//! The bound counts from the acknowledgement, of which a process knows only the earliest moment at
//! which it can have been. Such moments, of the same version of a row, are all right, so the latest
//! of them is used. What another process says in a message that may have been on its way for long is
//! only an estimate, which anything better replaces.
//!
//! An evacuation ends only when a read of the store, newer than the row, shows that the row is gone.
//! A process that ends it too late leaves targets idle for a moment; one that ends it too early
//! breaks the rule. A store that comes back from a copy counts as newer than all before, whatever
//! the copy contains.

use {
    key::{Version, Zone, clock::Tick},
    std::collections::{BTreeMap, BTreeSet},
};

/// An answer of the store about the operators' rows.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The version of the store up to which the rows were read.
    pub version: Version,
    /// Whether the rows are all that there are, rather than those that changed since the last answer.
    pub complete: bool,
    /// When the earliest change in the answer can have been; the start of the clock if that is not
    /// known.
    pub changed_at: Tick,
    /// A moment at which nothing newer than `version` existed.
    pub newest_at: Tick,
    /// The rows about evacuations.
    pub rows: Vec<Row>,
}

/// A row about the evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Row {
    /// The zone.
    pub zone: Zone,
    /// The version of the row.
    pub version: Version,
    /// Whether the row exists, rather than having been removed.
    pub is_requested: bool,
}

/// What another process says of an evacuation.
#[derive(Clone, Debug)]
pub struct Word {
    /// The zone.
    pub zone: Zone,
    /// The version of the row.
    pub version: Version,
    /// When the row can have been acknowledged at the earliest.
    pub since: Tick,
    /// Whether `since` is an estimate: the message may have been on its way for longer than assumed.
    pub is_estimate: bool,
}

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The version of the row that requests it.
    pub version: Version,
    /// When the row can have been acknowledged at the earliest.
    pub since: Tick,
    /// Whether `since` is an estimate.
    is_estimate: bool,
    /// Whether this process has read the row itself.
    is_read: bool,
}

/// The zones that are evacuated, as far as this process knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Zone, Evacuation>,
    /// The version of the store up to which this process has read the rows itself.
    read_up_to: Version,
    /// The latest moment at which nothing newer than that existed.
    newest_at: Option<Tick>,
}

impl Evacuations {
    /// Returns true if a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &Zone) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the evacuation of a zone, if there is one.
    #[must_use]
    pub fn get(&self, zone: &Zone) -> Option<Evacuation> {
        self.zones.get(zone).copied()
    }

    /// Returns the zones that are evacuated.
    pub fn iter(&self) -> impl Iterator<Item = (&Zone, &Evacuation)> {
        self.zones.iter()
    }

    /// Records an answer of the store. An answer that is older than what was read changes nothing.
    pub fn record_read(&mut self, reading: Reading) {
        let Reading { version, complete, changed_at, newest_at, rows } = reading;
        if version < self.read_up_to {
            return;
        }
        // A row that this process has not read was written after the newest moment at which it had
        // read everything.
        let earliest = self.newest_at.map_or(changed_at, |at| at.max(changed_at));
        let read_up_to = std::mem::replace(&mut self.read_up_to, version);
        if complete {
            let requested: BTreeSet<&Zone> =
                rows.iter().filter(|row| row.is_requested).map(|row| &row.zone).collect();
            self.zones.retain(|zone, known| requested.contains(zone) || known.version > version);
        }
        for row in rows.into_iter().filter(|row| complete || row.version > read_up_to) {
            if row.is_requested {
                self.record_row(row, earliest);
            } else if self.zones.get(&row.zone).is_some_and(|known| known.version < row.version) {
                self.zones.remove(&row.zone);
            }
        }
        // What others said of rows that this process must have read by now was no row of the store.
        self.zones.retain(|_, known| known.is_read || known.version > version);
        self.newest_at = self.newest_at.max(Some(newest_at));
    }

    /// Records a row that requests an evacuation and was written at `earliest` at the earliest.
    fn record_row(&mut self, row: Row, earliest: Tick) {
        let Row { zone, version, .. } = row;
        let read = Evacuation { version, since: earliest, is_estimate: false, is_read: true };
        let Some(known) = self.zones.get_mut(&zone) else {
            self.zones.insert(zone, read);
            return;
        };
        if known.version == version && !known.is_read {
            known.since = if known.is_estimate { earliest } else { known.since.max(earliest) };
            known.is_estimate = false;
        }
        // A row that was written again leaves the zone evacuated since the first time.
        known.version = known.version.max(version);
        known.is_read = true;
    }

    /// Records what another process says. Returns true if that changes anything.
    pub fn record_word(&mut self, word: Word) -> bool {
        let Word { zone, version, since, is_estimate } = word;
        match self.zones.get_mut(&zone) {
            // This process has read what became of the row.
            None if version <= self.read_up_to => false,
            None => {
                let told = Evacuation { version, since, is_estimate, is_read: false };
                self.zones.insert(zone, told);
                true
            }
            Some(known) if known.version < version => {
                known.version = version;
                true
            }
            Some(known) if known.version > version || is_estimate => false,
            Some(known) if known.is_estimate || known.since < since => {
                known.since = since;
                known.is_estimate = false;
                true
            }
            Some(_) => false,
        }
    }
}
