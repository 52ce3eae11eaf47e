//! Requests from their arrival to their one final answer.

use super::open_request::{FinalAnswer, SubmitError};
use super::state::{Node, NodeHandle};
use crate::clock::MAX_TIME_AHEAD;
use crate::policy::{Event, Request, RequestId, Timestamp};
use crate::sidecar::counters::{CallerClose, EarlyRejection};
use crate::sidecar::endpoint::ForwardedRequest;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl NodeHandle {
    /// Submits a request to the balancer. Its final answer arrives once, on the returned channel, unless
    /// [`NodeHandle::client_disconnected`] or [`NodeHandle::deadline_exceeded`] is called first.
    ///
    /// # Errors
    /// The limit of unanswered requests is reached, a request with this id is open, or one that must not run twice was
    /// sent before. The request was then not run.
    pub fn submit(
        &self,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalAnswer>, SubmitError> {
        let mut node = self.borrow();
        let now = node.clock.now();
        if !forwarded.is_repeatable && node.sent_requests.contains(now, &request.id) {
            return Err(SubmitError::AlreadySent);
        }
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

    /// Handles a request that the balancer has not answered by its deadline. Withdraws the request from the balancer and
    /// returns its final answer. This happens to queued uploads during a shutdown, which brings their deadlines forward.
    pub fn deadline_exceeded(&self, request: &RequestId) -> FinalAnswer {
        log!(
            "request {} was not answered by the balancer before its deadline",
            request.0
        );
        let node = self.borrow();
        let answer = if node.requests.is_unattempted(request) {
            FinalAnswer::Rejected {
                retry_after: node.balancer.retry_after(),
            }
        } else {
            FinalAnswer::Failed { timed_out: true }
        };
        drop(node);
        self.client_disconnected(request);
        answer
    }
}

impl Node {
    /// Gives a request its final answer, unless it has one or its client has disconnected.
    pub fn answer(&mut self, request: &RequestId, answer: FinalAnswer) {
        if matches!(answer, FinalAnswer::Rejected { .. }) {
            self.sent_requests.remove(request); // it has not run, and trying again is harmless
        }
        self.requests.answer(request, answer);
    }

    /// Remembers a request that must not run twice and of which an attempt begins, here and in the other processes of a
    /// hot restart.
    pub(super) fn remember_sent_request(&mut self, request: &RequestId) {
        let now = self.clock.now();
        self.sent_requests.insert(now, request);
        self.hot_restart.broadcast_sent_requests([request]);
    }

    /// Counts a request that is rejected before the balancer receives it. Returns the time for its Retry-After header.
    pub fn reject_early(&mut self, reason: EarlyRejection) -> Option<Duration> {
        self.counters.request_rejected_early(reason);
        self.balancer.retry_after()
    }

    /// Counts a caller's connection that the sidecar closes by itself.
    pub fn caller_closed(&mut self, reason: CallerClose) {
        self.counters.caller_closed(reason);
    }

    /// Returns the deadline of a request whose client waits for `time_left` from now. During a graceful shutdown, it is
    /// no later than the shutdown's deadline.
    pub fn request_deadline(&self, time_left: Duration) -> Timestamp {
        let deadline = Instant::now() + time_left.min(MAX_TIME_AHEAD);
        let shutdown = self.requests.shutdown_deadline();
        self.clock.timestamp(shutdown.limit(deadline))
    }
}
