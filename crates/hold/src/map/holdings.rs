//! The assignments of each holder of a map, found without a search.

use {
    super::{Assignment, Instance, Map},
    std::collections::HashMap,
};

/// The assignments of a map by instance.
///
/// [`Map::held_by`] searches the whole map. A round of planning asks for every target, so it builds
/// this index once and its work grows in proportion to the number of targets.
#[derive(Debug)]
pub struct Holdings<'a> {
    by_instance: HashMap<&'a Instance, Vec<&'a Assignment>>,
}

impl<'a> Holdings<'a> {
    /// Builds the index of a map.
    #[must_use]
    pub fn new(map: &'a Map) -> Self {
        let mut by_instance: HashMap<&Instance, Vec<&Assignment>> =
            HashMap::with_capacity(map.holders.len());
        for assignment in &map.assignments {
            if let Some(holder) = map.holder(assignment) {
                by_instance.entry(&holder.instance).or_default().push(assignment);
            }
        }
        Self { by_instance }
    }

    /// Returns the assignments of an instance, ordered by their keys.
    #[must_use]
    pub fn of(&self, instance: &Instance) -> &[&'a Assignment] {
        self.by_instance.get(instance).map_or(&[], Vec::as_slice)
    }
}
