//! Requests from their arrival to their one final answer.

use super::open_request::{FinalAnswer, SubmitError};
use super::state::{Node, NodeHandle};
use crate::policy::{Event, Request, RequestId, Timestamp};
use crate::sidecar::endpoint::ForwardedRequest;
use std::time::Duration;
use tokio::sync::oneshot;

impl NodeHandle {
    /// Submits a request to the balancer. Its final answer comes once, over the channel returned, unless
    /// [`NodeHandle::client_disconnected`] or [`NodeHandle::deadline_exceeded`] is called first.
    ///
    /// # Errors
    /// A limit is reached, or a request with this id is open; the request has then not run.
    pub fn submit(
        &self,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalAnswer>, SubmitError> {
        let mut node = self.borrow();
        let settings = node.configuration.settings();
        let max_open = settings.limits.max_open;
        // Parsed under the settings before a reload, it may name a tenant that the settings in force lack.
        request
            .tenant
            .take_if(|tenant| tenant.0 >= settings.tenants.len());
        let answer = node.requests.insert(&request, forwarded, max_open)?;
        node.counters.request_received();
        drop(node);
        self.handle(Event::Request(request));
        Ok(answer)
    }

    /// The client has closed its connection: the request needs no answer any more.
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

    /// The deadline was exceeded without an answer of the balancer, which is a bug; the caller answers by itself.
    pub fn deadline_exceeded(&self, request: &RequestId) {
        log!("request {} was still open at its deadline", request.0);
        self.client_disconnected(request);
    }
}

impl Node {
    /// Gives a request its final answer, unless it has one or its client has disconnected.
    pub fn answer(&mut self, request: &RequestId, answer: FinalAnswer) {
        self.requests.answer(request, answer);
    }

    /// Counts a request that is rejected before the balancer sees it; returns its Retry-After.
    pub fn reject_early(&mut self) -> Option<Duration> {
        self.counters.request_rejected_early();
        self.balancer.retry_after()
    }

    /// Returns the deadline of a request that has just been received whole, of which its client waits for so long. During
    /// a graceful shutdown it is no later than the shutdown's.
    pub fn request_deadline(&self, time_left: Duration) -> Timestamp {
        self.requests.limit_deadline(self.clock.now() + time_left)
    }
}
