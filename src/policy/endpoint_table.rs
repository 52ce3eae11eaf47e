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
        let Some(e) = self.index_of(entry) else {
            return;
        };
        let is_remote = self.is_remote(e);
        let is_disabled = self.disabled.contains(&entry.endpoint);
        let known = &mut self.endpoints[e];
        known.is_listed = entry.readiness != Readiness::Removed;
        known.size = if entry.size > 0.0 { entry.size } else { 1.0 };
        known.is_remote = is_remote;
        known.is_serving = entry.readiness == Readiness::Serving;
        known.is_available = known.is_serving && !is_disabled;
        // One that has left the list may finish what it drained with all the same.
        let was_draining = known.is_draining || entry.readiness == Readiness::Draining;
        known.is_draining = !known.is_serving && was_draining;
        if known.started_at != entry.started_at {
            known.restart(entry.started_at);
        }
        self.close_idle_if_draining(e, actions);
    }

    /// The place of a listed endpoint, a new one where it is not known yet.
    fn index_of(&mut self, entry: &EndpointEntry) -> Option<EndpointIndex> {
        if let Some(e) = self.endpoint_index.get(&entry.endpoint) {
            return Some(*e);
        }
        if entry.readiness == Readiness::Removed {
            return None;
        }
        let new = Endpoint::new(entry, self.classes.len());
        let e = match self.free_slots.pop() {
            Some(e) => {
                self.endpoints[e] = new;
                e
            }
            None => {
                self.endpoints.push(new);
                self.endpoints.len() - 1
            }
        };
        self.endpoint_index.insert(entry.endpoint.clone(), e);
        Some(e)
    }

    /// Frees the places of endpoints that have left the list, for new ones: where endpoints are replaced all
    /// day, they would add up. A place stays for as long as an attempt names it.
    pub(super) fn forget_unlisted(&mut self) {
        if self.endpoint_index.len() == self.endpoints.iter().filter(|e| e.is_listed).count() {
            return;
        }
        let in_flight = self
            .requests
            .values()
            .flat_map(|p| &p.attempts)
            .map(|a| a.endpoint);
        let deadline_exceeded = self.timed_out_attempts.iter().map(|(_, e)| *e);
        let in_use: HashSet<EndpointIndex> = in_flight.chain(deadline_exceeded).collect();
        for e in 0..self.endpoints.len() {
            let known = &self.endpoints[e];
            let is_forgotten = self.endpoint_index.get(&known.id) != Some(&e);
            if known.is_listed || in_use.contains(&e) || is_forgotten {
                continue;
            }
            self.endpoint_index.remove(&known.id);
            self.free_slots.push(e);
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
        let place = self.endpoint_index.get(endpoint);
        place.is_some_and(|e| self.endpoints[*e].is_listed) || self.is_disabled(endpoint)
    }

    /// The endpoints that the operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.disabled.iter()
    }
}

#[cfg(test)]
#[path = "endpoint_table_tests.rs"]
mod tests;
