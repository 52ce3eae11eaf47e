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
const DEAR_CROSSING: f64 = 0.01;

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
            for known in &mut self.endpoints {
                known.is_available = false;
                known.is_serving = false;
                known.is_listed = false;
            }
        }
        for entry in entries {
            self.update_endpoint(entry, actions);
        }
        self.regroup(now);
        self.forget_unlisted();
    }

    /// Closes idle connections to a draining endpoint, which waits for them: at the notice, and after each
    /// attempt there.
    pub(super) fn close_idle_if_draining(&self, e: EndpointIndex, actions: &mut Vec<Action>) {
        let known = &self.endpoints[e];
        if known.is_draining && self.settings.rules.drain_close.is_some() {
            actions.push(Action::CloseIdleConnections {
                endpoint: known.id.clone(),
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
        if let Some(e) = self.endpoint_index.get(&endpoint) {
            self.endpoints[*e].is_available = false;
        }
        actions.push(Action::CloseIdleConnections {
            endpoint: endpoint.clone(),
        });
        self.disabled.insert(endpoint);
        self.regroup(now);
    }

    /// Uses an endpoint again. It may have restarted, which the list tells of later, so it counts as cold.
    /// Its first send is due at once: a quiet instance's own sends would bring its turn late.
    pub(super) fn enable(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if !self.disabled.remove(endpoint) {
            return;
        }
        if let Some(e) = self.endpoint_index.get(endpoint) {
            let known = &mut self.endpoints[*e];
            known.restart(known.started_at);
            known.enabled_at = Some(now);
            known.awaits_first_send = true;
            known.is_available = known.is_serving;
        }
        self.regroup(now);
    }

    /// Sorts the endpoints that take work into local and remote ones, and draws the subset anew.
    pub(super) fn regroup(&mut self, now: Timestamp) {
        let available = (0..self.endpoints.len()).filter(|e| self.endpoints[*e].is_available);
        (self.local, self.remote) = available.partition(|e| !self.endpoints[*e].is_remote);
        if self.local.is_empty() {
            std::mem::swap(&mut self.local, &mut self.remote);
        }
        self.draw_subset(now);
    }

    /// Tells local and remote endpoints apart anew, by prices that have changed.
    pub(super) fn set_localities(&mut self) {
        for e in 0..self.endpoints.len() {
            self.endpoints[e].is_remote = self.is_remote(e);
        }
    }

    /// Whether an endpoint is in another zone, where crossings are dear.
    pub(super) fn is_remote(&self, e: EndpointIndex) -> bool {
        let is_dear = self.settings.prices.cross_zone >= DEAR_CROSSING;
        is_dear && self.endpoints[e].zone != self.settings.zone
    }
}
