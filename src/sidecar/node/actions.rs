//! The execution of the balancer's actions.

use super::open_request::FinalAnswer;
use super::state::{Node, NodeHandle};
use crate::discovery;
use crate::policy::{Action, DiscoveryMode, EndpointId, Event, Timestamp};
use crate::sidecar::endpoint;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

impl Node {
    /// Executes one action of the balancer. Events that it causes at once are queued.
    pub(super) fn execute(&mut self, handle: &NodeHandle, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => self.send_attempt(handle, request, &endpoint, timeout),
            Action::Cancel { request, attempt } => self.cancel_attempt(&request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(&request, FinalAnswer::Rejected { retry_after }),
            Action::Fail { request } => {
                let timed_out = self.requests.has_timed_out(&request);
                self.answer(&request, FinalAnswer::Failed { timed_out });
            }
            Action::SetTimer { at, token } => self.set_timer(handle, at, token),
            // The watch on an agent that pushes lists stays open all the time.
            Action::Subscribe | Action::Unsubscribe
                if self.discovery_mode() == DiscoveryMode::Pushed => {}
            Action::Subscribe => {
                // A reload may have opened a watch already, and a second one would cost discovery a call.
                if !self.endpoints.is_watching() {
                    self.start_discovery_watch(handle);
                }
            }
            Action::Unsubscribe => self.endpoints.stop_watch(),
            Action::FetchList => self.fetch_list(handle),
            Action::CloseIdleConnections { endpoint } => self.connections.close_idle(&endpoint),
            Action::HealthCheck { endpoint } => self.check_health(handle, &endpoint),
            // A sidecar has no peers to exchange messages with.
            Action::SendPeerMessage { .. } => log!("peer message dropped: a sidecar has no peers"),
            Action::Log(text) => log!("{text}"),
        }
    }

    fn set_timer(&self, handle: &NodeHandle, at: Timestamp, token: u64) {
        let (handle, due) = (handle.clone(), self.clock.instant(at));
        spawn_local(async move {
            sleep_until(due).await;
            handle.handle(Event::Timer { token });
        });
    }

    fn fetch_list(&self, handle: &NodeHandle) {
        spawn_local(discovery::fetch(handle.clone(), self.endpoints.source()));
    }

    fn check_health(&self, handle: &NodeHandle, endpoint: &EndpointId) {
        if let Some(target) = self.endpoints.listed_process(endpoint) {
            spawn_local(endpoint::check_health(handle.clone(), target));
        }
    }
}
