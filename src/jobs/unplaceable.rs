//! Needs that found no worker in a placement pass.

use crate::jobs::types::ResourceVector;

/// Maximum number of needs that are kept; further ones are searched for again.
const MAX_NEEDS: usize = 8;

/// Needs that found no worker, none of which includes another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnplaceableNeeds {
    needs: Vec<ResourceVector>,
}

impl UnplaceableNeeds {
    /// Adds a need that found no worker.
    pub fn insert(&mut self, need: ResourceVector) {
        if self.includes(&need) {
            return;
        }
        self.needs.retain(|other| !other.covers(&need));
        if self.needs.len() < MAX_NEEDS {
            self.needs.push(need);
        }
    }

    /// Removes all needs.
    pub fn clear(&mut self) {
        self.needs.clear();
    }

    /// Returns whether a need finds no worker either, as it is at least as large in each
    /// resource as one that found none.
    #[must_use]
    pub fn includes(&self, need: &ResourceVector) -> bool {
        self.needs.iter().any(|other| need.covers(other))
    }
}
