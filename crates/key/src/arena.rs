//! Append-only arenas with typed indices.
//!
//! The data path refers to targets by an index instead of a name, so that a routing table is a flat
//! array with a few bytes for each shard.

use std::{fmt, hash, marker::PhantomData};

/// An index into an [`Arena`] of `T`.
pub struct Index<T> {
    raw: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Index<T> {
    /// Returns the index as an integer.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.raw
    }
}

impl<T> Clone for Index<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Index<T> {}

impl<T> PartialEq for Index<T> {
    fn eq(&self, other: &Self) -> bool {
        self.raw == other.raw
    }
}

impl<T> Eq for Index<T> {}

impl<T> hash::Hash for Index<T> {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.raw.hash(state);
    }
}

impl<T> fmt::Debug for Index<T> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "#{}", self.raw)
    }
}

/// A list whose items are addressed by [`Index`] and never removed.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    items: Vec<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Adds an item and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if the arena has 2³² items, far more than there are targets.
    pub fn push(&mut self, item: T) -> Index<T> {
        let raw = u32::try_from(self.items.len()).expect("the arena has fewer than 2^32 items");
        self.items.push(item);
        Index { raw, kind: PhantomData }
    }

    /// Returns the item at an index that [`push`](Self::push) of this arena has returned.
    #[must_use]
    pub fn get(&self, index: Index<T>) -> &T {
        &self.items[index.raw as usize]
    }

    /// Returns the items with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (Index<T>, &T)> {
        self.items
            .iter()
            .enumerate()
            .map(|(position, item)| (Index { raw: position as u32, kind: PhantomData }, item))
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if the arena has no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
