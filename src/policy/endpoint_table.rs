//! The table of endpoints: the place of each, and which places are free. No decision is made here.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::{Endpoint, EndpointIndex};
use super::event::{EndpointEntry, Readiness};
use super::id::EndpointId;
use std::collections::HashSet;

impl Balancer {
    /// Takes over one line of a list.
    pub(super) fn update_endpoint(&mut self, entry: &EndpointEntry, actions: &mut Vec<Action>) {
        let Some(index) = self.index_of(entry) else {
            return;
        };
        let is_remote = self.is_remote(index);
        let is_disabled = self.disabled.contains(&entry.endpoint);
        let endpoint = &mut self.endpoints[index];
        endpoint.is_listed = entry.readiness != Readiness::Removed;
        endpoint.size = if entry.size > 0.0 { entry.size } else { 1.0 };
        endpoint.is_remote = is_remote;
        endpoint.is_serving = entry.readiness == Readiness::Serving;
        endpoint.is_available = endpoint.is_serving && !is_disabled;
        // One that has left the list may finish what it drained with all the same.
        let was_draining = endpoint.is_draining || entry.readiness == Readiness::Draining;
        endpoint.is_draining = !endpoint.is_serving && was_draining;
        if endpoint.started_at != entry.started_at {
            endpoint.restart(entry.started_at);
        }
        self.close_idle_if_draining(index, actions);
    }

    /// The place of a listed endpoint, a new one where it is not known yet.
    fn index_of(&mut self, entry: &EndpointEntry) -> Option<EndpointIndex> {
        if let Some(index) = self.indices_by_id.get(&entry.endpoint) {
            return Some(*index);
        }
        if entry.readiness == Readiness::Removed {
            return None;
        }
        let new = Endpoint::new(entry, self.classes.len());
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.endpoints[index] = new;
                index
            }
            None => {
                self.endpoints.push(new);
                self.endpoints.len() - 1
            }
        };
        self.indices_by_id.insert(entry.endpoint.clone(), index);
        Some(index)
    }

    /// Frees the places of endpoints that have left the list, for new ones: where endpoints are replaced all
    /// day, they would add up. A place stays for as long as an attempt names it.
    pub(super) fn forget_unlisted(&mut self) {
        if self.indices_by_id.len()
            == self
                .endpoints
                .iter()
                .filter(|index| index.is_listed)
                .count()
        {
            return;
        }
        let in_flight = self
            .requests
            .values()
            .flat_map(|p| &p.attempts)
            .map(|a| a.endpoint);
        let deadline_exceeded = self.timed_out_attempts.iter().map(|(_, index)| *index);
        let in_use: HashSet<EndpointIndex> = in_flight.chain(deadline_exceeded).collect();
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            let is_forgotten = self.indices_by_id.get(&endpoint.id) != Some(&index);
            if endpoint.is_listed || in_use.contains(&index) || is_forgotten {
                continue;
            }
            self.indices_by_id.remove(&endpoint.id);
            self.free_indices.push(index);
        }
    }

    /// Whether the operators have disabled an endpoint.
    #[must_use]
    pub fn is_disabled(&self, endpoint: &EndpointId) -> bool {
        self.disabled.contains(endpoint)
    }

    /// Whether an endpoint is listed, or disabled by the operators.
    #[must_use]
    pub fn is_listed_or_disabled(&self, endpoint: &EndpointId) -> bool {
        let place = self.indices_by_id.get(endpoint);
        place.is_some_and(|index| self.endpoints[*index].is_listed) || self.is_disabled(endpoint)
    }

    /// The endpoints that the operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.disabled.iter()
    }
}

#[cfg(test)]
#[path = "endpoint_table_tests.rs"]
mod tests;
