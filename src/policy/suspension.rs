//! Which endpoints are suspended: those whose processes have ended, while no watch shows the list to be current.
//!
//! The list names processes. Once one has ended, a process that answers at its address may have been started for
//! something else, may be warming up, or may be draining; only a current list tells.
//!
//! A list is overdue once any change since it was current would have to be in force, although discovery was reached. From
//! then on only a connection that was opened while the list was current shows that the process that it names still runs.

use super::action::Action;
use super::balancer::Balancer;
use super::discovery_calls::CHANGE_PROPAGATION_DEADLINE;
use super::endpoint::EndpointIndex;
use super::id::EndpointId;
use super::time::Timestamp;
use std::time::Duration;

/// How long before the list was last current an end still counts: discovery lists an end some seconds after it.
const UNLISTED_END_LIFETIME: Duration = Duration::from_secs(15);

/// How long after the list was last current its processes still count as running: any end since then is in force later.
const RECENT_LIST_AGE: Duration = Duration::from_secs(2);
/// How much earlier than a change would have to be in force the list counts as overdue: attempts in between may be held up.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

impl Balancer {
    /// Returns whether the processes that the list names are running, as far as any change would be in force by now.
    #[must_use]
    pub fn list_names_running_processes(&self, now: Timestamp) -> bool {
        self.list_unconfirmed_since
            .is_none_or(|since| now.since(since) < RECENT_LIST_AGE)
    }

    /// Returns whether the list is overdue.
    #[must_use]
    pub fn is_list_overdue(&self, now: Timestamp) -> bool {
        let in_force_after = CHANGE_PROPAGATION_DEADLINE + self.settings.rules.drain_grace;
        let overdue_after = in_force_after.saturating_sub(OVERDUE_MARGIN);
        let schedule = &self.discovery_schedule;
        let is_behind = |since| now.since(since) >= overdue_after;
        self.list_unconfirmed_since.is_some()
            && schedule.is_reached
            && schedule.behind_since.is_some_and(is_behind)
    }

    /// Records that the process of an endpoint has ended, and suspends the endpoint if the list may be old.
    pub(super) fn process_ended(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].ended_at = Some(now);
            self.suspend_if_due(now, index, actions);
        }
    }

    /// Records that it is not known which process an endpoint's address reaches, and suspends the endpoint if the list may
    /// be old.
    pub(super) fn process_unknown(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].is_process_unknown = true;
            self.suspend_if_due(now, index, actions);
        }
    }

    fn suspend_if_due(&mut self, now: Timestamp, index: EndpointIndex, actions: &mut Vec<Action>) {
        if self.update_suspension(index) {
            self.log_suspension(index, actions);
            actions.push(Action::CloseIdleConnections {
                endpoint: self.endpoints[index].id.clone(),
            });
            self.repartition_endpoints(now);
        }
    }

    /// Records that the list is current. It says of each endpoint what to do, so none is suspended.
    pub(super) fn list_confirmed(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.list_unconfirmed_since = None;
        self.update_suspensions(now, actions);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.is_process_unknown = false;
        }
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
            .filter(|index| self.endpoints[*index].has_lost_process())
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
        let is_suspended = self.list_unconfirmed_since.is_some_and(|since| {
            let is_unlisted_end = |ended_at| since.since(ended_at) < UNLISTED_END_LIFETIME;
            endpoint.is_process_unknown || endpoint.ended_at.is_some_and(is_unlisted_end)
        });
        let has_changed =
            std::mem::replace(&mut endpoint.is_suspended, is_suspended) != is_suspended;
        self.update_availability(index);
        has_changed
    }

    fn log_suspension(&self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[index];
        actions.push(Action::Log(if endpoint.is_suspended {
            format!(
                "endpoint {}: suspended, its process has ended or is not known",
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
