//! Which keys are about to leave their holders, as the leader tells all entries.
//!
//! This is for requests that arrive between the release of a key and the next map, which takes as long
//! as the work on the key at its former holder: up to some seconds if that is overloaded. Such a
//! request would be denied (421), tried again 100 ms later, denied again and refused. An entry that
//! knows of the move keeps it until the next map arrives, or refuses it once its time to wait is over.
//! It also sends no more work on these keys to the former holder, so the release ends sooner.
//!
//! An [`Announcement`] names all moves of a service, so that one that is lost is made up for by the
//! next. A move is over for an entry once its map names another holder, or [`MAX_AGE`] after the
//! announcement. A leader of an earlier release announces none, and an entry of one ignores them: both
//! are then as if the announcement were lost.

use {
    crate::map::{Instance, Map, Span},
    key::{Version, clock::Tick},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The time after which an announced move counts as given up. It is longer than a release may take,
/// and bounds what a lost announcement of a failed release costs.
pub const MAX_AGE: Duration = Duration::from_millis(4_500);

/// Keys that are leaving their holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The keys.
    pub span: Span,
    /// The holder, by the map of the leader.
    pub from: Instance,
}

/// All moves of a service at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The version of the record by which the process leads that announces the moves.
    pub leadership: Version,
    /// The number of the announcement; later ones of a leader have higher numbers.
    pub number: u64,
    /// The moves.
    pub moves: Vec<Move>,
}

/// The moves of a service that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    announced: Option<Announcement>,
    announced_at: Tick,
}

impl Moves {
    /// Replaces the moves by those of a later announcement. Returns false if it is not later.
    pub fn apply(&mut self, announcement: Announcement, now: Tick) -> bool {
        let order = |announcement: &Announcement| (announcement.leadership, announcement.number);
        if self.announced.as_ref().is_some_and(|known| order(known) >= order(&announcement)) {
            return false;
        }
        self.announced = Some(announcement);
        self.announced_at = now;
        true
    }

    /// Returns true if a key is leaving the instance that holds it by the map of this entry.
    #[must_use]
    pub fn is_leaving(&self, key: u16, holder: &Instance, now: Tick) -> bool {
        now.since(self.announced_at) < MAX_AGE
            && self.announced.as_ref().is_some_and(|announcement| {
                let moves = announcement.moves.iter();
                moves.clone().any(|known| known.span.contains(key) && known.from == *holder)
            })
    }
}

/// Returns true if entries must be told of a change of the moves: one has begun, or one has ended and
/// its keys stay with their holder. What a new map ends, the entries see by that.
#[must_use]
pub fn is_news(told: &[Move], moves: &[Move], map: &Map) -> bool {
    let stays = |ended: &Move| {
        let assignment = map.assignment(ended.span.first);
        let holder = assignment.and_then(|assignment| map.holder(assignment));
        holder.is_some_and(|holder| holder.instance == ended.from)
    };
    moves.iter().any(|begun| !told.contains(begun))
        || told.iter().any(|ended| !moves.contains(ended) && stays(ended))
}
