//! Which endpoints are suspended: those whose processes have ended, while no watch shows the list to be current.
//!
//! The list names processes. Once one has ended, a process that answers at its address may have been started for
//! something else, may be warming up, or may be draining; only a current list tells.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::id::EndpointId;
use super::time::Timestamp;
use std::time::Duration;

/// How long before the list was last current an end still counts: discovery lists an end some seconds after it.
const UNLISTED_END_LIFETIME: Duration = Duration::from_secs(15);

impl Balancer {
    /// Records that the process of an endpoint has ended, and suspends the endpoint if the list may be old.
    pub(super) fn process_ended(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoints.index_of(id) else {
            return;
        };
        self.endpoints[index].ended_at = Some(now);
        if self.update_suspension(index) {
            self.log_suspension(index, actions);
            actions.push(Action::CloseIdleConnections {
                endpoint: id.clone(),
            });
            self.repartition_endpoints(now);
        }
    }

    /// Records that the list is current. It says of each endpoint what to do, so none is suspended.
    pub(super) fn list_confirmed(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.list_unconfirmed_since = None;
        self.update_suspensions(now, actions);
    }

    /// Records that no watch shows the list to be current since a time.
    pub(super) fn list_unconfirmed(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.list_unconfirmed_since.get_or_insert(since);
        self.update_suspensions(now, actions);
    }

    fn update_suspensions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let indices: Vec<EndpointIndex> = self
            .endpoints
            .indices()
            .filter(|index| self.endpoints[*index].ended_at.is_some())
            .collect();
        let mut has_changed = false;
        for index in indices {
            if self.update_suspension(index) {
                has_changed = true;
                self.log_suspension(index, actions);
            }
        }
        if has_changed {
            self.repartition_endpoints(now);
        }
    }

    /// Updates whether an endpoint is suspended; returns whether that has changed.
    fn update_suspension(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &mut self.endpoints[index];
        let is_suspended = match (self.list_unconfirmed_since, endpoint.ended_at) {
            (Some(since), Some(ended_at)) => since.since(ended_at) < UNLISTED_END_LIFETIME,
            _ => false,
        };
        let has_changed =
            std::mem::replace(&mut endpoint.is_suspended, is_suspended) != is_suspended;
        self.update_availability(index);
        has_changed
    }

    fn log_suspension(&self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[index];
        actions.push(Action::Log(if endpoint.is_suspended {
            format!(
                "endpoint {}: suspended, its process has ended",
                endpoint.id.0
            )
        } else {
            format!("endpoint {}: no longer suspended", endpoint.id.0)
        }));
    }

    /// Returns whether an endpoint is suspended.
    #[must_use]
    pub fn is_suspended(&self, endpoint: &EndpointId) -> bool {
        let index = self.endpoints.index_of(endpoint);
        index.is_some_and(|index| self.endpoints[index].is_suspended)
    }
}
