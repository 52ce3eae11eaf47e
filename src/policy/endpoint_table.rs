//! The table of endpoints and their indices. No decision is made here.

use super::endpoint::{Endpoint, EndpointIndex};
use super::event::{EndpointEntry, Readiness};
use super::id::EndpointId;
use std::collections::{HashMap, HashSet};
use std::ops::{Index, IndexMut, Range};

/// Endpoints that are listed or have attempts in flight, and the endpoints that operators have disabled.
///
/// An index stays valid while its endpoint is in the table, and is reused after the endpoint's removal.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    indices_by_id: HashMap<EndpointId, EndpointIndex>,
    /// Indices of removed endpoints, to be reused.
    free_indices: Vec<EndpointIndex>,
    /// Disabled endpoints; some may not be listed now.
    disabled: HashSet<EndpointId>,
}

impl EndpointTable {
    /// Returns the index of an endpoint that is in the table.
    pub(super) fn index_of(&self, id: &EndpointId) -> Option<EndpointIndex> {
        self.indices_by_id.get(id).copied()
    }

    /// Returns the number of endpoints in the table.
    pub(super) fn len(&self) -> usize {
        self.indices_by_id.len()
    }

    /// Returns the index of a list entry's endpoint. Adds the endpoint if it is new, unless the entry marks it as
    /// removed.
    pub(super) fn find_or_insert(
        &mut self,
        entry: &EndpointEntry,
        class_count: usize,
    ) -> Option<EndpointIndex> {
        if let Some(index) = self.index_of(&entry.endpoint) {
            return Some(index);
        }
        if entry.readiness == Readiness::Removed {
            return None;
        }
        let index = self.insert(Endpoint::new(entry, class_count));
        self.indices_by_id.insert(entry.endpoint.clone(), index);
        Some(index)
    }

    fn insert(&mut self, endpoint: Endpoint) -> EndpointIndex {
        if let Some(index) = self.free_indices.pop() {
            self.endpoints[index] = endpoint;
            return index;
        }
        self.endpoints.push(endpoint);
        self.endpoints.len() - 1
    }

    /// Returns whether the table has an endpoint that the list no longer names.
    pub(super) fn has_unlisted(&self) -> bool {
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.is_listed);
        self.len() != listed.count()
    }

    /// Removes the endpoints that the list no longer names, unless an attempt still refers to them.
    pub(super) fn remove_unlisted(&mut self, in_use: &HashSet<EndpointIndex>) {
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let is_removed = self.indices_by_id.get(&endpoint.id) != Some(&index);
            if endpoint.is_listed || in_use.contains(&index) || is_removed {
                continue;
            }
            self.indices_by_id.remove(&endpoint.id);
            self.free_indices.push(index);
        }
    }

    /// Marks an endpoint as disabled, whether it is listed or not.
    pub(super) fn disable(&mut self, id: EndpointId) {
        self.disabled.insert(id);
    }

    /// Marks an endpoint as enabled; returns whether it was disabled.
    pub(super) fn enable(&mut self, id: &EndpointId) -> bool {
        self.disabled.remove(id)
    }

    /// Returns whether an endpoint is disabled.
    pub(super) fn is_disabled(&self, id: &EndpointId) -> bool {
        self.disabled.contains(id)
    }

    /// Returns the disabled endpoints, in no particular order.
    pub(super) fn disabled(&self) -> impl Iterator<Item = &EndpointId> {
        self.disabled.iter()
    }

    /// Returns all indices, including those that are free.
    pub(super) fn indices(&self) -> Range<EndpointIndex> {
        0..self.endpoints.len()
    }

    /// Returns all endpoints, including removed ones whose index is free.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    /// Returns mutable references to all endpoints, including removed ones whose index is free.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}

#[cfg(test)]
#[path = "endpoint_table_tests.rs"]
mod tests;
