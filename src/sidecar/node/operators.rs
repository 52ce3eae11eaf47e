//! What the operators have the node do.

use super::state::NodeHandle;
use crate::policy::{EndpointId, Event};
use crate::sidecar::caller::DrainState;
use crate::sidecar::upgrade::ProcessMessage;
use crate::task::Task;
use std::time::Duration;
use tokio::time::sleep;

/// The front asks ten times a second whether to send callers here, and sends some for 0.2 s after a no.
const STILL_SENT: Duration = Duration::from_millis(600);
/// Then callers have so long to come back once more, and be told that their connection closes. 4 s after a drain began
/// none may be kept, and none have a request of the 2 s before that.
const LEAVING: Duration = Duration::from_millis(1_000);

/// No such endpoint is known.
#[derive(Debug)]
pub struct UnknownEndpoint;

impl NodeHandle {
    /// Disables an endpoint, or enables it again. It is kept for the next process, and told to the other ones.
    ///
    /// # Errors
    /// No such endpoint is listed or disabled.
    pub fn change_disabled(
        &self,
        endpoint: EndpointId,
        disabled: bool,
    ) -> Result<(), UnknownEndpoint> {
        let node = self.borrow();
        if !node.balancer.is_listed_or_disabled(&endpoint) {
            return Err(UnknownEndpoint);
        }
        let message = ProcessMessage::Disabled {
            endpoint: endpoint.0.to_string(),
            disabled,
        };
        node.other_processes.send(&message, None);
        drop(node);
        self.set_disabled(endpoint, disabled);
        Ok(())
    }

    /// An endpoint is disabled or enabled, here or by another process.
    pub fn set_disabled(&self, endpoint: EndpointId, disabled: bool) {
        log!(
            "endpoint {} is {} by hand",
            endpoint.0,
            if disabled { "disabled" } else { "enabled" }
        );
        let id = endpoint.clone();
        self.handle(if disabled {
            Event::EndpointDisabled(id)
        } else {
            Event::EndpointEnabled(id)
        });
        let node = self.borrow();
        if let Some(directory) = &node.directory {
            let known = node.disabled_endpoints().map(|id| &*id.0);
            directory.keep_disabled(&endpoint.0, disabled, known);
        }
    }

    /// Has the sidecar emptied of callers. Calling it twice is as calling it once.
    pub fn drain(&self) {
        if self.borrow().callers.drain_state().is_some() {
            return;
        }
        log!("drains by hand");
        let steps = Task::spawn(drain_steps(self.clone()));
        let mut node = self.borrow();
        node.callers.set_drain_state(Some(DrainState::NotReady));
        node.drain_steps = Some(steps);
    }

    /// Has callers back.
    pub fn undrain(&self) {
        let mut node = self.borrow();
        if node.callers.drain_state().is_some() {
            log!("is back from its drain");
        }
        node.drain_steps = None;
        node.callers.set_drain_state(None);
    }
}

/// Empties the sidecar of callers, in steps: those that the front still sends are served as ever, then each connection
/// closes with its next answer, and at last those that nobody uses.
async fn drain_steps(node: NodeHandle) {
    sleep(STILL_SENT).await;
    node.borrow()
        .callers
        .set_drain_state(Some(DrainState::ClosingAfterResponses));
    sleep(LEAVING).await;
    node.borrow()
        .callers
        .set_drain_state(Some(DrainState::ClosingIdle));
}
