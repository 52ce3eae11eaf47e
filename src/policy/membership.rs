//! Membership: the endpoints that take work, according to endpoint lists and operators.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::{EndpointIndex, Locality};
use super::event::{EndpointEntry, ListKind};
use super::id::EndpointId;
use super::settings::DiscoveryMode;
use super::time::Timestamp;
use std::collections::HashSet;

/// The lowest price of attempts across zones at which a balancer prefers its own zone. That preference makes the load
/// uneven, because the number of balancers per endpoint differs between zones. An even load over the whole tier is
/// worth about two attempts across zones at this price.
const COSTLY_CROSS_ZONE_PRICE: f64 = 0.01;

impl Balancer {
    /// Applies an endpoint list, or the changes in it.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        self.discovery_schedule.succeeded(now);
        if kind == ListKind::Cached {
            self.list_unconfirmed(now, now, actions);
            if self.settings.discovery == DiscoveryMode::OnRequest {
                self.check_cached_list(now);
            }
        }
        if kind != ListKind::Changes {
            for endpoint in self.endpoints.iter_mut() {
                endpoint.mark_unlisted();
            }
        }
        self.apply_entries(now, entries, actions);
    }

    /// Applies entries of a list.
    pub(super) fn apply_entries(
        &mut self,
        now: Timestamp,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        for entry in entries {
            self.update_endpoint(entry, actions);
        }
        self.repartition_endpoints(now);
        self.remove_unlisted();
    }

    fn update_endpoint(&mut self, entry: &EndpointEntry, actions: &mut Vec<Action>) {
        let Some(index) = self.endpoints.find_or_insert(entry, self.classes.len()) else {
            return;
        };
        let locality = self.locality(index);
        let endpoint = &mut self.endpoints[index];
        endpoint.locality = locality;
        endpoint.apply_entry(entry);
        self.update_availability(index);
        self.close_idle_if_draining(index, actions);
    }

    /// Removes endpoints that are no longer listed. They would accumulate if endpoints were replaced continually. An
    /// endpoint stays in the table while an attempt refers to it.
    fn remove_unlisted(&mut self) {
        if !self.endpoints.has_unlisted() {
            return;
        }
        let attempts = self.requests.values().flat_map(|p| &p.attempts);
        let of_requests = attempts.map(|attempt| attempt.endpoint);
        let in_use: HashSet<EndpointIndex> = of_requests
            .chain(self.in_flight.timed_out_endpoints())
            .collect();
        self.endpoints.remove_unlisted(&in_use);
    }

    /// Closes idle connections to a draining endpoint, which waits until they are closed. Called for each list entry of
    /// the endpoint and after each attempt there.
    pub(super) fn close_idle_if_draining(&self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[index];
        if endpoint.is_draining && self.settings.rules.drain_close.is_some() {
            actions.push(Action::CloseIdleConnections {
                endpoint: endpoint.id.clone(),
            });
        }
    }

    /// Disables an endpoint until the operators enable it, whatever lists say. Attempts in flight continue; queued
    /// requests and retries go to other endpoints.
    pub(super) fn disable(&mut self, now: Timestamp, id: EndpointId, actions: &mut Vec<Action>) {
        actions.push(Action::CloseIdleConnections {
            endpoint: id.clone(),
        });
        let index = self.endpoints.index_of(&id);
        self.endpoints.disable(id);
        if let Some(index) = index {
            self.update_availability(index);
        }
        self.repartition_endpoints(now);
    }

    /// Enables an endpoint. It counts as warming up, because it may have restarted and the list shows that only later.
    /// Its first request does not wait for a slow start slot, which would come late at a balancer with few requests.
    pub(super) fn enable(&mut self, now: Timestamp, id: &EndpointId) {
        if !self.endpoints.enable(id) {
            return;
        }
        if let Some(index) = self.endpoints.index_of(id) {
            let endpoint = &mut self.endpoints[index];
            endpoint.reset_process_state(endpoint.started_at);
            endpoint.enabled_at = Some(now);
            endpoint.awaits_first_send = true;
            self.update_availability(index);
        }
        self.repartition_endpoints(now);
    }

    /// Updates whether an endpoint takes work. It does if the list shows it as serving and it is neither disabled nor
    /// suspended.
    pub(super) fn update_availability(&mut self, index: EndpointIndex) {
        let is_disabled = self.endpoints.is_disabled(&self.endpoints[index].id);
        let endpoint = &mut self.endpoints[index];
        endpoint.is_available = endpoint.is_serving && !is_disabled && !endpoint.is_suspended;
    }

    /// Partitions the available endpoints into local and remote ones, and selects the subsets again.
    pub(super) fn repartition_endpoints(&mut self, now: Timestamp) {
        let endpoints = &self.endpoints;
        let available = endpoints
            .indices()
            .filter(|index| endpoints[*index].is_available);
        (self.endpoint_sets.local, self.endpoint_sets.remote) =
            available.partition(|index| endpoints[*index].locality == Locality::Local);
        if self.endpoint_sets.local.is_empty() {
            std::mem::swap(
                &mut self.endpoint_sets.local,
                &mut self.endpoint_sets.remote,
            );
        }
        self.select_subset(now);
    }

    /// Determines the locality of all endpoints again, after prices have changed.
    pub(super) fn update_localities(&mut self) {
        for index in self.endpoints.indices() {
            self.endpoints[index].locality = self.locality(index);
        }
    }

    fn locality(&self, index: EndpointIndex) -> Locality {
        let is_costly = self.settings.prices.cross_zone >= COSTLY_CROSS_ZONE_PRICE;
        if is_costly && self.endpoints[index].zone != self.settings.zone {
            Locality::Remote
        } else {
            Locality::Local
        }
    }

    /// Returns whether the operators have disabled an endpoint.
    #[must_use]
    pub fn is_disabled(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.is_disabled(endpoint)
    }

    /// Returns whether an endpoint is listed, or disabled by the operators.
    #[must_use]
    pub fn is_listed_or_disabled(&self, endpoint: &EndpointId) -> bool {
        let index = self.endpoints.index_of(endpoint);
        index.is_some_and(|index| self.endpoints[index].is_listed) || self.is_disabled(endpoint)
    }

    /// Returns the endpoints that the operators have disabled.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.disabled()
    }
}
