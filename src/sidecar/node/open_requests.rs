//! The table of open requests.

use super::open_request::{FinalAnswer, OpenRequest, SubmitError};
use crate::policy::{Request, RequestId};
use crate::sidecar::endpoint::ForwardedRequest;
use crate::sidecar::shutdown_deadline::ShutdownDeadline;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// All requests that are unanswered or have attempts in flight.
///
/// [`OpenRequests::answer`] gives a request its final answer. [`OpenRequests::disconnect`] records that its client has
/// disconnected. Only the first of these calls for a request has an effect.
#[derive(Default)]
pub struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    /// The number of unanswered requests. `requests` also holds answered ones with attempts in flight.
    unanswered: u64,
    shutdown_deadline: ShutdownDeadline,
}

impl OpenRequests {
    /// Adds a request. Its final answer arrives on the returned channel.
    ///
    /// # Errors
    /// `max_open_requests` requests are unanswered already, or a request with this id is open.
    pub fn insert(
        &mut self,
        request: &Request,
        forwarded: ForwardedRequest,
        max_open_requests: u64,
    ) -> Result<oneshot::Receiver<FinalAnswer>, SubmitError> {
        if self.unanswered >= max_open_requests {
            return Err(SubmitError::TooManyUnanswered);
        }
        if self.requests.contains_key(&request.id) {
            return Err(SubmitError::DuplicateId);
        }
        let (reply, answer) = oneshot::channel();
        let open_request = OpenRequest::new(forwarded, request.deadline, reply);
        self.requests.insert(request.id.clone(), open_request);
        self.unanswered += 1;
        Ok(answer)
    }

    /// Returns an open request.
    pub fn get(&self, request: &RequestId) -> Option<&OpenRequest> {
        self.requests.get(request)
    }

    /// Returns a mutable reference to an open request.
    pub fn get_mut(&mut self, request: &RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(request)
    }

    /// Returns whether a request waits for its final answer.
    pub fn is_unanswered(&self, request: &RequestId) -> bool {
        self.get(request).is_some_and(OpenRequest::is_unanswered)
    }

    /// Returns whether no attempt of a request has been started.
    pub fn is_unattempted(&self, request: &RequestId) -> bool {
        self.get(request)
            .is_some_and(|open_request| open_request.next_attempt() == 0)
    }

    /// Returns whether the last attempt of a request timed out.
    pub fn has_timed_out(&self, request: &RequestId) -> bool {
        self.get(request).is_some_and(OpenRequest::has_timed_out)
    }

    /// Gives a request its final answer, unless it has one or its client has disconnected.
    pub fn answer(&mut self, request: &RequestId, answer: FinalAnswer) {
        if let Some(reply) = self.take_reply(request) {
            // Sending fails if the receiver was just dropped. The request counts as answered either way.
            let _ = reply.send(answer);
            self.remove_if_finished(request);
        }
    }

    /// Records that a request's client has disconnected. Returns whether the request was still unanswered.
    pub fn disconnect(&mut self, request: &RequestId) -> bool {
        self.take_reply(request).is_some()
    }

    /// Removes a request if it is answered and has no attempts in flight. The balancer forgets it at the same time.
    pub fn remove_if_finished(&mut self, request: &RequestId) {
        if self.get(request).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(request);
        }
    }

    /// Returns the deadline of a graceful shutdown, by which every request that arrives during it is answered.
    pub fn shutdown_deadline(&self) -> &ShutdownDeadline {
        &self.shutdown_deadline
    }

    fn take_reply(&mut self, request: &RequestId) -> Option<oneshot::Sender<FinalAnswer>> {
        let reply = self.requests.get_mut(request)?.take_reply()?;
        self.unanswered -= 1;
        Some(reply)
    }
}
