//! Which endpoints take work: by discovery's lists and by the operators.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{EndpointEntry, ListKind};
use super::id::EndpointId;
use super::settings::DiscoveryMode;
use super::time::Timestamp;

/// Price of a crossing between zones from which an instance keeps to its own: zones have uneven numbers of
/// instances for their endpoints, and an even deal over the whole tier is worth about two crossings of this
/// price.
const COSTLY_CROSSING_PRICE: f64 = 0.01;

impl Balancer {
    /// Takes over a list, or the changes in it.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        self.discovery_schedule.succeeded();
        if kind == ListKind::Cached && self.settings.discovery == DiscoveryMode::OnRequest {
            self.check_cached_list(now);
        }
        if kind != ListKind::Changes {
            // What a whole list does not name has left it.
            for endpoint in &mut self.endpoints {
                endpoint.is_available = false;
                endpoint.is_serving = false;
                endpoint.is_listed = false;
            }
        }
        for entry in entries {
            self.update_endpoint(entry, actions);
        }
        self.repartition_endpoints(now);
        self.forget_unlisted();
    }

    /// Closes idle connections to a draining endpoint, which waits for them: at the notice, and after each
    /// attempt there.
    pub(super) fn close_idle_if_draining(&self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[index];
        if endpoint.is_draining && self.settings.rules.drain_close.is_some() {
            actions.push(Action::CloseIdleConnections {
                endpoint: endpoint.id.clone(),
            });
        }
    }

    /// Takes an endpoint out for the operators, which holds whatever lists say until they enable it.
    /// What is in flight there goes on; held requests and retries find other places.
    pub(super) fn disable(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(index) = self.indices_by_id.get(&endpoint) {
            self.endpoints[*index].is_available = false;
        }
        actions.push(Action::CloseIdleConnections {
            endpoint: endpoint.clone(),
        });
        self.disabled.insert(endpoint);
        self.repartition_endpoints(now);
    }

    /// Uses an endpoint again. It may have restarted, which the list tells of later, so it counts as cold.
    /// Its first send is due at once: a quiet instance's own sends would bring its turn late.
    pub(super) fn enable(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if !self.disabled.remove(endpoint) {
            return;
        }
        if let Some(index) = self.indices_by_id.get(endpoint) {
            let endpoint = &mut self.endpoints[*index];
            endpoint.restart(endpoint.started_at);
            endpoint.enabled_at = Some(now);
            endpoint.awaits_first_send = true;
            endpoint.is_available = endpoint.is_serving;
        }
        self.repartition_endpoints(now);
    }

    /// Sorts the endpoints that take work into local and remote ones, and draws the subset anew.
    pub(super) fn repartition_endpoints(&mut self, now: Timestamp) {
        let available =
            (0..self.endpoints.len()).filter(|index| self.endpoints[*index].is_available);
        (self.local, self.remote) = available.partition(|index| !self.endpoints[*index].is_remote);
        if self.local.is_empty() {
            std::mem::swap(&mut self.local, &mut self.remote);
        }
        self.select_subset(now);
    }

    /// Tells local and remote endpoints apart anew, by prices that have changed.
    pub(super) fn update_localities(&mut self) {
        for index in 0..self.endpoints.len() {
            self.endpoints[index].is_remote = self.is_remote(index);
        }
    }

    /// Whether an endpoint is in another zone, where crossings are dear.
    pub(super) fn is_remote(&self, index: EndpointIndex) -> bool {
        let is_costly = self.settings.prices.cross_zone >= COSTLY_CROSSING_PRICE;
        is_costly && self.endpoints[index].zone != self.settings.zone
    }
}
