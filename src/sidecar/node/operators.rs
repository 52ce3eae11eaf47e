//! Operators' calls that change the node.

use super::state::NodeHandle;
use crate::policy::{EndpointId, Event};
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::caller::DrainState;
use crate::task::Task;
use std::time::Duration;
use tokio::time::sleep;

/// The time after the start of a drain for which new callers may still arrive. The front end, which sends callers to
/// the sidecars that are ready, polls readiness ten times per second. It still sends some callers for 0.2 s after a
/// negative answer.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(600);
/// The time that callers then have for one more request, whose response closes their connection. A drain must have
/// closed all connections after 4 s, and must not interrupt requests of the 2 s before that.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// No endpoint with this id is listed or disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no such endpoint is listed")]
pub struct UnknownEndpoint;

impl NodeHandle {
    /// Disables or enables an endpoint, in this process and the other processes of this sidecar.
    ///
    /// # Errors
    /// No endpoint with this id is listed or disabled.
    pub fn set_admin_state(
        &self,
        endpoint: &EndpointId,
        state: AdminState,
    ) -> Result<(), UnknownEndpoint> {
        let node = self.borrow();
        if !node.balancer.is_listed_or_disabled(endpoint) {
            return Err(UnknownEndpoint);
        }
        node.hot_restart
            .broadcast_admin_state(endpoint, state, None);
        drop(node);
        self.apply_admin_state(endpoint, state);
        Ok(())
    }

    /// Applies an endpoint's administrative state, set by the operators or another process, and stores it for the next
    /// process.
    pub(super) fn apply_admin_state(&self, endpoint: &EndpointId, state: AdminState) {
        log!("endpoint {} is {state} by the operators", endpoint.0);
        self.handle(match state {
            AdminState::Disabled => Event::EndpointDisabled(endpoint.clone()),
            AdminState::Enabled => Event::EndpointEnabled(endpoint.clone()),
        });
        let node = self.borrow();
        node.hot_restart
            .store_admin_state(endpoint, state, node.disabled_endpoints());
    }

    /// Begins a drain, in which all callers move to other sidecars. Does nothing if a drain is in progress.
    pub fn drain(&self) {
        if self.borrow().callers().drain_state().is_some() {
            return;
        }
        log!("drain: begun by the operators");
        let task = Task::spawn(advance_drain(self.clone()));
        self.borrow().connections.begin_drain(task);
    }

    /// Ends a drain, if one is in progress. Callers may then be sent to this sidecar again.
    pub fn undrain(&self) {
        let mut node = self.borrow();
        if node.callers().drain_state().is_some() {
            log!("drain: ended by the operators");
        }
        node.connections.end_drain();
    }
}

/// Advances a drain through its states. At first, callers are served as before. Then each connection closes after its
/// next response. Finally, idle connections close too.
async fn advance_drain(node: NodeHandle) {
    sleep(READINESS_PROPAGATION_TIME).await;
    node.borrow()
        .callers_mut()
        .set_drain_state(Some(DrainState::ClosingAfterResponses));
    sleep(LAST_REQUEST_TIME).await;
    node.borrow()
        .callers_mut()
        .set_drain_state(Some(DrainState::ClosingIdle));
}
