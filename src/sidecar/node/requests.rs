//! Requests from their arrival to their one final answer.

use super::open_request::{FinalAnswer, SubmitError};
use super::state::{Node, NodeHandle};
use crate::policy::{Event, Request, RequestId, Timestamp};
use crate::sidecar::endpoint::ForwardedRequest;
use std::time::Duration;
use tokio::sync::oneshot;

impl NodeHandle {
    /// Submits a request to the balancer. Its final answer arrives once, on the returned channel, unless
    /// [`NodeHandle::client_disconnected`] or [`NodeHandle::deadline_exceeded`] is called first.
    ///
    /// # Errors
    /// The limit of unanswered requests is reached, or a request with this id is open. The request was then not run.
    pub fn submit(
        &self,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalAnswer>, SubmitError> {
        let mut node = self.borrow();
        let settings = node.configuration.settings();
        let max_open_requests = settings.limits.max_open_requests;
        // A request that was parsed under the settings before a reload may have a tenant that is not in the settings
        // in force.
        request
            .tenant
            .take_if(|tenant| tenant.0 >= settings.tenants.len());
        let answer = node
            .requests
            .insert(&request, forwarded, max_open_requests)?;
        node.counters.request_received();
        drop(node);
        self.handle(Event::Request(request));
        Ok(answer)
    }

    /// Withdraws a request whose client has disconnected. The request no longer needs an answer.
    pub fn client_disconnected(&self, request: &RequestId) {
        let mut node = self.borrow();
        if !node.requests.disconnect(request) {
            return;
        }
        node.counters.client_disconnected();
        drop(node);
        self.handle(Event::ClientDisconnected {
            request: request.clone(),
        });
        self.borrow().requests.remove_if_finished(request);
    }

    /// Handles a request that the balancer has not answered by its deadline, which is a bug. Withdraws the request from
    /// the balancer. The calling function gives the client an answer.
    pub fn deadline_exceeded(&self, request: &RequestId) {
        log!(
            "request {} was not answered by the balancer before its deadline",
            request.0
        );
        self.client_disconnected(request);
    }
}

impl Node {
    /// Gives a request its final answer, unless it has one or its client has disconnected.
    pub fn answer(&mut self, request: &RequestId, answer: FinalAnswer) {
        self.requests.answer(request, answer);
    }

    /// Counts a request that is rejected before the balancer receives it. Returns the time for its Retry-After header.
    pub fn reject_early(&mut self) -> Option<Duration> {
        self.counters.request_rejected_early();
        self.balancer.retry_after()
    }

    /// Returns the deadline of a request whose client waits for `time_left` from now. During a graceful shutdown, it is
    /// no later than the shutdown's deadline.
    pub fn request_deadline(&self, time_left: Duration) -> Timestamp {
        self.requests.limit_deadline(self.clock.now() + time_left)
    }
}
