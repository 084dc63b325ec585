//! The assignment map: which target holds which keys of a service.

mod holdings;
mod part;
mod row;

pub use self::{
    holdings::Holdings,
    part::{Format, Replacement, Stored, StoredRow, parse_rows},
    row::Error,
};

use {
    key::{Fence, Version, Vm, Zone},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A contiguous range of keys, both ends inclusive.
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

    /// Returns true if the span contains a key.
    #[must_use]
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns true if two spans have a key in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the parts of the span before and after `other`. If the two have no key in common,
    /// the first part is the whole span.
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

/// One run of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the target.
    pub vm: Vm,
    /// When the target started, in milliseconds of its own clock.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// A target that holds keys.
///
/// It is stored as an array, because field names with each holder would leave a row without room
/// for some hundred targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "row::HolderRow", into = "row::HolderRow")]
pub struct Holder {
    /// The instance of the target.
    pub instance: Instance,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub zone: Zone,
}

/// A span of keys and its holder, stored as an array like [`Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "row::AssignmentRow", into = "row::AssignmentRow")]
pub struct Assignment {
    /// The keys.
    pub span: Span,
    /// The index of the holder in [`Map::holders`], or none if no target may hold the keys.
    pub holder: Option<u16>,
    /// The fencing token. Zero in a row stands for the version of the row, which the store chooses
    /// when the row is written.
    pub fence: Fence,
}

/// A span of keys with its new holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanHolder {
    /// The keys.
    pub span: Span,
    /// The holder, or none if no target may hold the keys.
    pub holder: Option<Holder>,
}

/// The difference between two successive versions of a map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version of the map that the delta applies to.
    pub base: Version,
    /// The version of the map that results.
    pub version: Version,
    /// Whether every assignment gets a new fence before the spans below change: what a new leader
    /// does first, and the same holders need not be listed again.
    #[serde(default)]
    pub renewed: bool,
    /// The spans whose holder or fence changed.
    #[serde(rename = "given")]
    pub spans: Vec<SpanHolder>,
}

/// The assignment of all keys of a service to targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// The version that the row got when it was written; zero before the first write.
    #[serde(skip)]
    pub version: Version,
    /// The targets that hold keys.
    pub holders: Vec<Holder>,
    /// The assignments, ordered by their keys.
    #[serde(rename = "holdings")]
    pub assignments: Vec<Assignment>,
}

impl Map {
    /// Returns a map in which no key has a holder.
    #[must_use]
    pub fn vacant() -> Self {
        let assignment = Assignment { span: Span::ALL, holder: None, fence: Fence::ZERO };
        Self { version: Version::ZERO, holders: Vec::new(), assignments: vec![assignment] }
    }

    /// Returns the assignment of a key.
    #[must_use]
    pub fn assignment(&self, key: u16) -> Option<&Assignment> {
        let index = self.assignments.partition_point(|assignment| assignment.span.last < key);
        self.assignments.get(index)
    }

    /// Returns the holder of an assignment.
    #[must_use]
    pub fn holder(&self, assignment: &Assignment) -> Option<&Holder> {
        self.holders.get(usize::from(assignment.holder?))
    }

    /// Returns each holder with its assignments.
    #[must_use]
    pub fn by_holder(&self) -> Vec<(Holder, Vec<Assignment>)> {
        let mut held: Vec<Vec<Assignment>> = vec![Vec::new(); self.holders.len()];
        for assignment in &self.assignments {
            if let Some(assignments) =
                assignment.holder.and_then(|index| held.get_mut(usize::from(index)))
            {
                assignments.push(*assignment);
            }
        }
        self.holders.iter().cloned().zip(held).collect()
    }

    /// Returns the assignments of an instance.
    pub fn held_by<'a>(
        &'a self,
        instance: &Instance,
    ) -> impl Iterator<Item = &'a Assignment> + use<'a> {
        let index = self.holders.iter().position(|holder| holder.instance == *instance);
        let index = index.map(|index| index as u16);
        let is_held = move |assignment: &&Assignment| index.is_some() && assignment.holder == index;
        self.assignments.iter().filter(is_held)
    }

    /// Assigns keys to a holder, or to none. Their new fence is the version that the store gives
    /// the map when it is written.
    pub fn assign(&mut self, span: Span, holder: Option<Holder>) {
        self.assign_each([(span, holder)]);
    }

    /// Assigns several spans, each as [`Self::assign`] does, at the cost of one pass over the map.
    pub fn assign_each(&mut self, spans: impl IntoIterator<Item = (Span, Option<Holder>)>) {
        for (span, holder) in spans {
            let index = holder.map(|holder| self.index_of(holder));
            self.replace(span, Assignment { span, holder: index, fence: Fence::ZERO });
        }
        self.remove_idle_holders();
    }

    /// Replaces what the map says of the keys of a span.
    fn replace(&mut self, span: Span, assignment: Assignment) {
        let start = self.assignments.partition_point(|known| known.span.last < span.first);
        let end = self.assignments.partition_point(|known| known.span.first <= span.last);
        let overlapping = self.assignments[start..end].iter();
        let rest = overlapping.flat_map(|known| {
            known.span.without(span).into_iter().flatten().map(|span| Assignment { span, ..*known })
        });
        let mut replacement: Vec<Assignment> = rest.chain([assignment]).collect();
        replacement.sort_by_key(|known| known.span);
        self.assignments.splice(start..end, replacement);
    }

    /// Gives every assignment a new fence.
    pub fn renew_fences(&mut self) {
        for assignment in &mut self.assignments {
            assignment.fence = Fence::ZERO;
        }
        self.coalesce_pending();
    }

    /// Returns what the latest write changed, for processes that know the map `base`.
    #[must_use]
    pub fn delta(&self, base: &Self) -> Delta {
        let renewal =
            Delta { base: base.version, version: self.version, renewed: true, spans: Vec::new() };
        if base.with_delta(&renewal).as_ref() == Some(self) {
            return renewal;
        }
        let newest = Fence::from(self.version.get());
        let changed = self.assignments.iter().filter(|assignment| assignment.fence == newest);
        let spans = changed.map(|assignment| SpanHolder {
            span: assignment.span,
            holder: self.holder(assignment).cloned(),
        });
        Delta { spans: spans.collect(), renewed: false, ..renewal }
    }

    /// Returns the map with a delta applied, if the delta applies to this version of the map.
    #[must_use]
    pub fn with_delta(&self, delta: &Delta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        let mut map = self.clone();
        if delta.renewed {
            map.renew_fences();
        }
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

    /// Gives the assignments of one instance a new fence.
    pub fn renew_holder_fences(&mut self, instance: &Instance) {
        let index = self.holders.iter().position(|holder| holder.instance == *instance);
        let index = index.map(|index| index as u16);
        for assignment in
            self.assignments.iter_mut().filter(|assignment| assignment.holder == index)
        {
            assignment.fence = Fence::ZERO;
        }
    }

    /// Returns the index of a holder, which is added if it is new.
    fn index_of(&mut self, holder: Holder) -> u16 {
        let existing =
            self.holders.iter().position(|existing| existing.instance == holder.instance);
        let index = existing.unwrap_or_else(|| {
            self.holders.push(holder);
            self.holders.len() - 1
        });
        index as u16
    }

    /// Merges adjacent assignments that have the same holder and are not new, and gives the result
    /// a new fence. Assignments that are new in the same write stay apart, since each may have
    /// handover data of its own.
    pub fn coalesce(&mut self) {
        let mut merged: Vec<Assignment> = Vec::with_capacity(self.assignments.len());
        let mut last_is_new = false;
        for assignment in self.assignments.drain(..) {
            let is_new = assignment.fence == Fence::ZERO;
            match merged.last_mut() {
                Some(last) if last.holder == assignment.holder && !last_is_new && !is_new => {
                    last.span.last = assignment.span.last;
                    last.fence = Fence::ZERO;
                }
                _ => {
                    last_is_new = is_new;
                    merged.push(assignment);
                }
            }
        }
        self.assignments = merged;
    }

    /// Merges adjacent assignments that have the same holder and are to get the same new fence.
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

    /// Removes the holders without an assignment, which changes the indices of the others.
    fn remove_idle_holders(&mut self) {
        let mut holders = Vec::with_capacity(self.holders.len());
        let mut new_indices = vec![None; self.holders.len()];
        for assignment in &mut self.assignments {
            let Some(old) = assignment.holder.map(usize::from) else { continue };
            let new = *new_indices[old].get_or_insert_with(|| {
                holders.push(self.holders[old].clone());
                (holders.len() - 1) as u16
            });
            assignment.holder = Some(new);
        }
        self.holders = holders;
    }
}
