//! Requests from their taking to their one answer.

use super::open_request::{FinalAnswer, OpenRequest, RequestRejected};
use super::state::{Node, NodeHandle};
use crate::policy::{Event, Request, RequestId};
use crate::sidecar::endpoint::ForwardedRequest;
use tokio::sync::oneshot;

impl NodeHandle {
    /// Takes a request. The answer comes once; [`NodeHandle::client_disconnected`] and [`NodeHandle::deadline_exceeded`] say that it
    /// is no longer wanted.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn take(
        &self,
        mut request: Request,
        forwarded: ForwardedRequest,
    ) -> Result<oneshot::Receiver<FinalAnswer>, RequestRejected> {
        let (reply, answer) = oneshot::channel();
        let mut node = self.borrow();
        if node.unanswered >= node.settings.current().limits.max_open {
            return Err(RequestRejected::TooMany);
        }
        if node.open.contains_key(&request.id) {
            return Err(RequestRejected::Repeated);
        }
        // Read under the settings before, it may name a payer that there is no more.
        request
            .tenant
            .take_if(|tenant| tenant.0 >= node.settings.current().tenants.len());
        node.unanswered += 1;
        node.counters.taken += 1;
        let open = OpenRequest::new(forwarded, request.deadline, reply);
        node.open.insert(request.id.clone(), open);
        drop(node);
        self.handle(Event::Request(request));
        Ok(answer)
    }

    /// The client has closed its connection: nothing is owed any more.
    pub fn client_disconnected(&self, request: &RequestId) {
        if self.borrow().close(request).is_some() {
            self.borrow().counters.disconnected += 1;
            self.handle(Event::ClientDisconnected {
                request: request.clone(),
            });
            self.borrow().forget_if_over(request);
        }
    }

    /// The deadline has passed with no answer from the module, which ought not to happen; the caller answers.
    pub fn deadline_exceeded(&self, request: &RequestId) {
        log!("request {} was still open at its deadline", request.0);
        self.client_disconnected(request);
    }
}

impl Node {
    /// Gives a request its answer.
    pub fn answer(&mut self, request: &RequestId, answer: FinalAnswer) {
        if let Some(reply) = self.close(request) {
            // A client that has just left is no concern of the module's: the request is over either way.
            let _ = reply.send(answer);
            self.forget_if_over(request);
        }
    }

    /// Takes a request's one reply.
    fn close(&mut self, request: &RequestId) -> Option<oneshot::Sender<FinalAnswer>> {
        let reply = self.open.get_mut(request)?.take_reply()?;
        self.unanswered -= 1;
        Some(reply)
    }

    /// Forgets a request once the module has.
    pub(super) fn forget_if_over(&mut self, request: &RequestId) {
        if self.open.get(request).is_some_and(OpenRequest::is_over) {
            self.open.remove(request);
        }
    }
}
