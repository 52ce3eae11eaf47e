//! What the decision module has the node do.

use super::open_request::FinalAnswer;
use super::state::{Node, NodeHandle};
use crate::discovery;
use crate::policy::{Action, DiscoveryMode, EndpointId, Event, Timestamp};
use crate::sidecar::endpoint;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

impl Node {
    pub(super) fn carry_out(&mut self, handle: &NodeHandle, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => self.send(handle, request, endpoint, timeout),
            Action::Cancel { request, attempt } => self.cancel(&request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.answer(&request, FinalAnswer::Rejected { retry_after });
            }
            Action::Fail { request } => {
                let timed_out = self
                    .open
                    .get(&request)
                    .is_some_and(|open| open.has_timed_out);
                self.answer(&request, FinalAnswer::Failed { timed_out });
            }
            Action::SetTimer { at, token } => self.set_timer(handle, at, token),
            // An agent that pushes is followed unasked.
            Action::Subscribe | Action::Unsubscribe
                if self.settings.current().discovery == DiscoveryMode::Pushed => {}
            Action::Unsubscribe => self.subscription.unfollow(),
            Action::Subscribe => {
                // A reload may have asked already; a second watch would cost discovery a call for nothing.
                if !self.subscription.is_followed() {
                    self.begin_watch(handle);
                }
            }
            Action::FetchList => drop(spawn_local(discovery::fetch(
                handle.clone(),
                self.subscription.source(),
            ))),
            Action::CloseIdleConnections { endpoint } => self.pool.close_idle(&endpoint),
            Action::HealthCheck { endpoint } => self.check_health(handle, &endpoint),
            // The module sends none.
            Action::SendPeerMessage { .. } => log!("no peers here"),
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

    fn check_health(&self, handle: &NodeHandle, endpoint: &EndpointId) {
        if let Some(target) = self.target(endpoint) {
            spawn_local(endpoint::check_health(handle.clone(), target));
        }
    }
}
