//! Arenas with small `Copy` keys.
//!
//! The data path names targets by an index instead of a string, so that a routing table of many
//! shards stays a flat array of a few bytes a shard.

use std::{fmt, hash, marker::PhantomData};

/// An index into an [`Arena`] of `T`.
pub struct Index<T> {
    raw: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Index<T> {
    /// Returns the plain number.
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

/// A list whose items are named by [`Index`] and never removed.
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
    /// Panics beyond 2³² items, which no list of targets comes near.
    pub fn push(&mut self, item: T) -> Index<T> {
        let raw = u32::try_from(self.items.len()).expect("an arena holds fewer than 2^32 items");
        self.items.push(item);
        Index { raw, kind: PhantomData }
    }

    /// Returns the item of an index that this arena gave out.
    #[must_use]
    pub fn get(&self, index: Index<T>) -> &T {
        &self.items[index.raw as usize]
    }

    /// Returns the items with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (Index<T>, &T)> {
        self.items
            .iter()
            .enumerate()
            .map(|(at, item)| (Index { raw: at as u32, kind: PhantomData }, item))
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether the arena has no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
