//! The holders of a service's keys, as one row of the store.

use {
    key::{Fence, Version, Vm, Zone},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error as Derive,
};

/// A contiguous run of keys, both ends inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl Span {
    /// Every key.
    pub const ALL: Self = Self { first: 0, last: u16::MAX };

    /// Tells whether the span has a key.
    #[must_use]
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Tells whether two spans have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns what is left of the span without `other`, before and after it.
    #[must_use]
    pub fn without(self, other: Self) -> [Option<Self>; 2] {
        if !self.overlaps(other) {
            return [Some(self), None];
        }
        let before =
            (self.first < other.first).then(|| Self { first: self.first, last: other.first - 1 });
        let after =
            (other.last < self.last).then(|| Self { first: other.last + 1, last: self.last });
        [before, after]
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn width(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }
}

/// One run of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The target.
    pub vm: Vm,
    /// When the run began, in milliseconds of the target's clock.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// A target that holds keys.
///
/// In a row it is an array, since a row has room for some hundred targets only if names of fields do
/// not stand with each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "HolderRow", into = "HolderRow")]
pub struct Holder {
    /// Its run.
    pub instance: Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

/// Keys with one holder; in a row an array like [`Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "AssignmentRow", into = "AssignmentRow")]
pub struct Assignment {
    /// The keys.
    pub span: Span,
    /// The index of the holder in [`Map::holders`], or nothing if nobody may hold the keys.
    pub holder: Option<u16>,
    /// The fence; zero in a row stands for the version of the row.
    pub fence: Fence,
}

/// The name, the start of the run, the address and the zone.
#[derive(Serialize, Deserialize)]
struct HolderRow(Vm, u64, SocketAddr, Zone);

impl From<HolderRow> for Holder {
    fn from(row: HolderRow) -> Self {
        Self { instance: Instance { vm: row.0, started_at_ms: row.1 }, address: row.2, zone: row.3 }
    }
}

impl From<Holder> for HolderRow {
    fn from(holder: Holder) -> Self {
        Self(holder.instance.vm, holder.instance.started_at_ms, holder.address, holder.zone)
    }
}

/// The first key, the last key, the index of the holder and the fence.
#[derive(Serialize, Deserialize)]
struct AssignmentRow(u16, u16, Option<u16>, u64);

impl From<AssignmentRow> for Assignment {
    fn from(row: AssignmentRow) -> Self {
        let span = Span { first: row.0, last: row.1 };
        Self { span, holder: row.2, fence: Fence::from(row.3) }
    }
}

impl From<Assignment> for AssignmentRow {
    fn from(assignment: Assignment) -> Self {
        Self(assignment.span.first, assignment.span.last, assignment.holder, assignment.fence.get())
    }
}

/// Why a row cannot be read.
#[derive(Debug, Derive)]
pub enum Error {
    /// It is no JSON of the expected form.
    #[error("malformed map: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The holdings do not cover each key once, or name no holder.
    #[error("the holdings do not cover each key once")]
    Gap,
}

/// Keys that were given to a holder, or to nobody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanHolder {
    /// The keys.
    pub span: Span,
    /// The holder.
    pub holder: Option<Holder>,
}

/// What one write changed in a map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version of the map before.
    pub base: Version,
    /// The version of the map after.
    pub version: Version,
    /// The keys whose holder or fence changed.
    #[serde(rename = "given")]
    pub spans: Vec<SpanHolder>,
}

/// The holders of all keys of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// The version of the row; zero before it was written.
    #[serde(skip)]
    pub version: Version,
    /// The targets that hold keys.
    pub holders: Vec<Holder>,
    /// The holdings in the order of their keys.
    #[serde(rename = "holdings")]
    pub assignments: Vec<Assignment>,
}

impl Map {
    /// Returns a map in which nobody holds any key.
    #[must_use]
    pub fn vacant() -> Self {
        let assignment = Assignment { span: Span::ALL, holder: None, fence: Fence::ZERO };
        Self { version: Version::ZERO, holders: Vec::new(), assignments: vec![assignment] }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the row is not a whole map.
    pub fn parse(bytes: &[u8], version: Version) -> Result<Self, Error> {
        let mut map: Self = serde_json::from_slice(bytes)?;
        map.version = version;
        let mut next = 0_u32;
        for assignment in &mut map.assignments {
            let known =
                assignment.holder.is_none_or(|holder| usize::from(holder) < map.holders.len());
            let Span { first, last } = assignment.span;
            if u32::from(first) != next || last < first || !known {
                return Err(Error::Gap);
            }
            next = u32::from(last) + 1;
            if assignment.fence == Fence::ZERO {
                assignment.fence = Fence::from(version.get());
            }
        }
        if next == Span::ALL.width() { Ok(map) } else { Err(Error::Gap) }
    }

    /// Returns the row.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        // A map has string keys only, so that it always has a form in JSON.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the holding of a key.
    #[must_use]
    pub fn assignment(&self, key: u16) -> Option<&Assignment> {
        let at = self.assignments.partition_point(|assignment| assignment.span.last < key);
        self.assignments.get(at)
    }

    /// Returns the holder of a holding.
    #[must_use]
    pub fn holder(&self, assignment: &Assignment) -> Option<&Holder> {
        self.holders.get(usize::from(assignment.holder?))
    }

    /// Returns each holder with its holdings.
    #[must_use]
    pub fn by_holder(&self) -> Vec<(Holder, Vec<Assignment>)> {
        let mut held: Vec<Vec<Assignment>> = vec![Vec::new(); self.holders.len()];
        for assignment in &self.assignments {
            if let Some(assignments) =
                assignment.holder.and_then(|at| held.get_mut(usize::from(at)))
            {
                assignments.push(*assignment);
            }
        }
        self.holders.iter().cloned().zip(held).collect()
    }

    /// Returns the holdings of a run of a target.
    pub fn held_by<'a>(
        &'a self,
        instance: &Instance,
    ) -> impl Iterator<Item = &'a Assignment> + use<'a> {
        let index = self.holders.iter().position(|holder| holder.instance == *instance);
        let index = index.map(|index| index as u16);
        let held = move |assignment: &&Assignment| index.is_some() && assignment.holder == index;
        self.assignments.iter().filter(held)
    }

    /// Gives keys to a holder, or to nobody, with a fence that the store will give.
    pub fn assign(&mut self, span: Span, holder: Option<Holder>) {
        let index = holder.map(|holder| self.index(holder));
        let mut assignments = Vec::with_capacity(self.assignments.len() + 2);
        for assignment in self.assignments.drain(..) {
            for span in assignment.span.without(span).into_iter().flatten() {
                assignments.push(Assignment { span, ..assignment });
            }
        }
        assignments.push(Assignment { span, holder: index, fence: Fence::ZERO });
        assignments.sort_by_key(|assignment| assignment.span);
        self.assignments = assignments;
        self.forget_idle_holders();
    }

    /// Gives every holding a new fence.
    pub fn renew_fences(&mut self) {
        for assignment in &mut self.assignments {
            assignment.fence = Fence::ZERO;
        }
        self.coalesce_pending();
    }

    /// Returns what the newest write changed, so that whoever has the map before can make this one.
    #[must_use]
    pub fn delta(&self, base: Version) -> Delta {
        let newest = Fence::from(self.version.get());
        let changed = self.assignments.iter().filter(|assignment| assignment.fence == newest);
        let spans = changed.map(|assignment| SpanHolder {
            span: assignment.span,
            holder: self.holder(assignment).cloned(),
        });
        Delta { base, version: self.version, spans: spans.collect() }
    }

    /// Returns the map after a change, if the change rests on this map.
    #[must_use]
    pub fn with_delta(&self, delta: &Delta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        let mut map = self.clone();
        for changed in &delta.spans {
            map.assign(changed.span, changed.holder.clone());
        }
        for assignment in
            map.assignments.iter_mut().filter(|assignment| assignment.fence == Fence::ZERO)
        {
            assignment.fence = Fence::from(delta.version.get());
        }
        map.version = delta.version;
        Some(map)
    }

    /// Gives the holdings of one run of a target a new fence.
    pub fn renew_holder_fences(&mut self, instance: &Instance) {
        let index = self.holders.iter().position(|holder| holder.instance == *instance);
        let index = index.map(|index| index as u16);
        for assignment in
            self.assignments.iter_mut().filter(|assignment| assignment.holder == index)
        {
            assignment.fence = Fence::ZERO;
        }
    }

    fn index(&mut self, holder: Holder) -> u16 {
        let known = self.holders.iter().position(|known| known.instance == holder.instance);
        let at = known.unwrap_or_else(|| {
            self.holders.push(holder);
            self.holders.len() - 1
        });
        at as u16
    }

    /// Joins neighbours with the same holder that have had their keys for some time. Those that are
    /// given out by the same write stay apart, since each may have a handover of its own.
    pub fn coalesce(&mut self) {
        let mut joined: Vec<Assignment> = Vec::with_capacity(self.assignments.len());
        let mut fresh = false;
        for assignment in self.assignments.drain(..) {
            let is_new = assignment.fence == Fence::ZERO;
            match joined.last_mut() {
                Some(last) if last.holder == assignment.holder && !fresh && !is_new => {
                    last.span.last = assignment.span.last;
                    last.fence = Fence::ZERO;
                }
                _ => {
                    fresh = is_new;
                    joined.push(assignment);
                }
            }
        }
        self.assignments = joined;
    }

    /// Joins neighbours that both wait for the same new fence.
    fn coalesce_pending(&mut self) {
        let mut merged: Vec<Assignment> = Vec::with_capacity(self.assignments.len());
        for assignment in self.assignments.drain(..) {
            match merged.last_mut() {
                Some(last)
                    if last.holder == assignment.holder
                        && last.fence == Fence::ZERO
                        && assignment.fence == Fence::ZERO =>
                {
                    last.span.last = assignment.span.last;
                }
                _ => merged.push(assignment),
            }
        }
        self.assignments = merged;
    }

    fn forget_idle_holders(&mut self) {
        let mut holders = Vec::with_capacity(self.holders.len());
        let mut moved = vec![None; self.holders.len()];
        for assignment in &mut self.assignments {
            let Some(old) = assignment.holder.map(usize::from) else { continue };
            let new = *moved[old].get_or_insert_with(|| {
                holders.push(self.holders[old].clone());
                (holders.len() - 1) as u16
            });
            assignment.holder = Some(new);
        }
        self.holders = holders;
    }
}
