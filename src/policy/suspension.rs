//! Suspension: endpoints whose processes have ended or are unknown are sent nothing while no watch confirms that the
//! list is current.
//!
//! The list names processes. Once a process has ended, another process that answers at its address may serve a
//! different purpose, may be warming up, or may be draining. Only a current list tells which.
//!
//! A list is overdue if discovery has been reached and the list was last current so long ago that any change since then
//! would have to be in force. While it is overdue, only a connection that was opened while the list was current proves
//! that the listed process still runs.
//!
//! No connection proves that an endpoint does not drain. If the list is overdue because a watch fell silent, discovery
//! has had the drains since then, and they are in force. All endpoints are then suspended until a list arrives.

use super::action::Action;
use super::balancer::Balancer;
use super::discovery_calls::CHANGE_PROPAGATION_DEADLINE;
use super::endpoint::EndpointIndex;
use super::id::EndpointId;
use super::time::Timestamp;
use std::collections::HashSet;
use std::time::Duration;

/// The end of a process counts if it came at most this long before the list was last current. Discovery lists the end
/// of a process some seconds after it.
const MAX_PROCESS_END_AGE: Duration = Duration::from_secs(15);

/// The time after the list was last current for which a new connection still proves that the listed process runs.
const RECENT_LIST_AGE: Duration = Duration::from_secs(2);
/// The time from when a list counts as overdue until a change would have to be in force. Attempts that are sent within
/// this margin may be delayed.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// The highest number of endpoints that a log line names.
const MAX_LOGGED_ENDPOINTS: usize = 8;

/// The endpoints that may be sent requests under the present list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListValidity {
    /// All that the list names as serving.
    Usable,
    /// Those whose listed processes are known to be running, because the list is overdue.
    KnownProcesses,
    /// None, because the list is overdue and each endpoint may be draining.
    Unusable,
}

impl Balancer {
    /// Returns which endpoints may be sent requests under the present list.
    #[must_use]
    pub fn list_validity(&self, now: Timestamp) -> ListValidity {
        if !self.is_list_overdue(now) {
            ListValidity::Usable
        } else if self.discovery_schedule.missed_by_silence {
            ListValidity::Unusable
        } else {
            ListValidity::KnownProcesses
        }
    }

    /// Returns whether a connection that is accepted now proves that the listed process still runs. It does while the
    /// list is current or was so until recently, and while discovery is unreachable. A change that replaces the process
    /// will be in force before the list is overdue.
    #[must_use]
    pub fn new_connection_proves_listed_process(&self, now: Timestamp) -> bool {
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

    /// Records that the process of an endpoint has ended, and suspends the endpoint if the list may be outdated.
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

    /// Suspends the endpoints whose listed processes are not known to be running, if the list may be outdated.
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

    /// Records that the list is current. A current list is authoritative for each endpoint, and none stays suspended.
    pub(super) fn list_confirmed(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.list_unconfirmed_since = None;
        self.update_suspensions(now, actions);
        for endpoint in self.endpoints.iter_mut() {
            endpoint.is_process_unknown = false;
        }
    }

    /// Records that no watch has confirmed the list as current since a time.
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

    /// Returns the log line for endpoints whose suspension has changed.
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
