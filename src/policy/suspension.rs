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
use std::collections::HashSet;
use std::time::Duration;

/// How long before the list was last current an end still counts: discovery lists an end some seconds after it.
const MAX_PROCESS_END_AGE: Duration = Duration::from_secs(15);

/// How long after the list was last current its processes still count as running.
const RECENT_LIST_AGE: Duration = Duration::from_secs(2);
/// How much earlier than a change would have to be in force the list counts as overdue: attempts in between may be held up.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// How many endpoints a line of the log names.
const MAX_LOGGED_ENDPOINTS: usize = 8;

impl Balancer {
    /// Returns whether an endpoint that takes a connection now is the process that the list names, as far as any change that
    /// says otherwise will be in force before the list is overdue.
    #[must_use]
    pub fn list_names_running_processes(&self, now: Timestamp) -> bool {
        let schedule = &self.discovery_schedule;
        let is_recent = |since| now.since(since) < RECENT_LIST_AGE;
        self.list_unconfirmed_since.is_none()
            || !schedule.is_discovery_reached
            || schedule.stale_since.is_none_or(is_recent)
    }

    /// Returns whether the list is overdue.
    #[must_use]
    pub fn is_list_overdue(&self, now: Timestamp) -> bool {
        let in_force_after = CHANGE_PROPAGATION_DEADLINE + self.settings.rules.drain_grace;
        let overdue_after = in_force_after.saturating_sub(OVERDUE_MARGIN);
        let schedule = &self.discovery_schedule;
        let is_overdue = |since| now.since(since) >= overdue_after;
        self.list_unconfirmed_since.is_some()
            && schedule.is_discovery_reached
            && schedule.stale_since.is_some_and(is_overdue)
    }

    /// Records that the process of an endpoint has ended, and suspends the endpoint if the list may be old.
    pub(super) fn process_ended(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].process_ended_at = Some(now);
            self.update_suspensions(now, actions);
        }
    }

    /// Suspends the endpoints of which it is not known whether the process that the list names still runs, if the list may
    /// be old.
    pub(super) fn suspend_unknown_processes(
        &mut self,
        now: Timestamp,
        known: &HashSet<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        if self.list_unconfirmed_since.is_none() {
            return;
        }
        for endpoint in self.endpoints.iter_mut() {
            endpoint.is_process_unknown = !known.contains(&endpoint.id);
        }
        self.update_suspensions(now, actions);
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
            .filter(|index| {
                let endpoint = &self.endpoints[*index];
                endpoint.has_ended_or_unknown_process() || endpoint.is_suspended
            })
            .collect();
        let changed: Vec<EndpointIndex> = indices
            .into_iter()
            .filter(|index| self.update_suspension(*index))
            .collect();
        if changed.is_empty() {
            return;
        }
        for index in &changed {
            if self.endpoints[*index].is_suspended {
                actions.push(Action::CloseIdleConnections {
                    endpoint: self.endpoints[*index].id.clone(),
                });
            }
        }
        actions.push(Action::Log(self.suspension_log_line(&changed)));
        self.repartition_endpoints(now);
    }

    /// Updates whether an endpoint is suspended; returns whether that has changed.
    fn update_suspension(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &mut self.endpoints[index];
        let is_suspended = self.list_unconfirmed_since.is_some_and(|since| {
            let is_recent_end =
                |process_ended_at| since.since(process_ended_at) < MAX_PROCESS_END_AGE;
            endpoint.is_process_unknown || endpoint.process_ended_at.is_some_and(is_recent_end)
        });
        let has_changed =
            std::mem::replace(&mut endpoint.is_suspended, is_suspended) != is_suspended;
        self.update_availability(index);
        has_changed
    }

    /// Returns the line of the log for endpoints whose suspension has changed.
    fn suspension_log_line(&self, changed: &[EndpointIndex]) -> String {
        let (suspended, resumed): (Vec<EndpointIndex>, Vec<EndpointIndex>) = changed
            .iter()
            .partition(|index| self.endpoints[**index].is_suspended);
        let names = |indices: &[EndpointIndex]| {
            let ids = indices.iter().map(|index| &*self.endpoints[*index].id.0);
            let first: Vec<&str> = ids.take(MAX_LOGGED_ENDPOINTS).collect();
            format!("{} ({})", indices.len(), first.join(" "))
        };
        format!(
            "endpoints suspended: {}; no longer suspended: {}",
            names(&suspended),
            names(&resumed)
        )
    }

    /// Returns whether an endpoint is suspended.
    #[must_use]
    pub fn is_suspended(&self, endpoint: &EndpointId) -> bool {
        let index = self.endpoints.index_of(endpoint);
        index.is_some_and(|index| self.endpoints[index].is_suspended)
    }
}
