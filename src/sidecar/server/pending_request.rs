//! Requests that the node has accepted, and the wait for their final answers.

use super::caller_connection::CallerConnection;
use super::reply::{Reply, final_reply};
use super::request_error::RequestError;
use crate::policy::{Request as PolicyRequest, RequestId};
use crate::sidecar::body::Upload;
use crate::sidecar::endpoint::ForwardedRequest;
use crate::sidecar::metrics::RequestTracker;
use crate::sidecar::node::{FinalAnswer, NodeHandle, SubmitError};
use std::pin::pin;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// A request that waits for its final answer.
///
/// If it is dropped before the answer, as when its connection ends, it reports to the node that the client has
/// disconnected. After the answer it does not, because another request may then use the same id.
pub struct PendingRequest<'a> {
    node: &'a NodeHandle,
    id: RequestId,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<FinalAnswer>,
}

impl<'a> PendingRequest<'a> {
    /// Submits a request to the node.
    ///
    /// # Errors
    /// The node does not accept the request.
    pub fn begin(
        node: &'a NodeHandle,
        request: PolicyRequest,
        forwarded: ForwardedRequest,
    ) -> Result<Self, SubmitError> {
        let id = request.id.clone();
        let answer = node.submit(request, forwarded)?;
        Ok(PendingRequest { node, id, answer })
    }

    /// Returns the response for the answer. Without an answer, reports to the node that the deadline has passed, and
    /// returns the response for the answer that the node then gives.
    pub async fn reply(&mut self, answer: Option<FinalAnswer>) -> Reply {
        if let Some(answer) = answer {
            return final_reply(answer);
        }
        // Attempts end at the deadline too. Their tasks may be behind this one.
        yield_now().await;
        let answer = self.answer.try_recv();
        final_reply(answer.unwrap_or_else(|_| self.node.deadline_exceeded(&self.id)))
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self
            .answer
            .try_recv()
            .is_err_and(|error| error == TryRecvError::Empty)
        {
            self.node.client_disconnected(&self.id);
        }
    }
}

/// The time to wait for a final answer.
pub struct ResponseTimeout {
    /// The end of the wait for a request that was received completely before it was submitted.
    pub answer_deadline: Instant,
    /// The time for which the client waits after the last byte of an upload.
    pub time_left: Duration,
    /// The time after the deadline for which the answer is still awaited.
    pub slack: Duration,
}

impl ResponseTimeout {
    /// Waits for the answer to a completely received request. Returns `None` if there is none in time.
    pub async fn wait(&self, answer: &mut oneshot::Receiver<FinalAnswer>) -> Option<FinalAnswer> {
        timeout_at(self.answer_deadline, answer).await.ok()?.ok()
    }

    /// Waits for the answer while the request's body is still being received. Returns `None` if there is none in time.
    ///
    /// # Errors
    /// The body could not be received.
    pub async fn wait_during_upload(
        &self,
        caller: &CallerConnection,
        upload: &Upload,
        answer: &mut oneshot::Receiver<FinalAnswer>,
        tracker: &mut RequestTracker,
    ) -> Result<Option<FinalAnswer>, RequestError> {
        // After an early response, the start of the next request is not known, because the body was not read to its
        // end.
        caller.state.set_unread_upload(true);
        let answer = pin!(
            upload
                .deadline()
                .timeout(self.time_left, self.slack, answer)
        );
        let upload_failure = async {
            if let Err(error) = upload.wait_until_finished().await {
                return error;
            }
            caller.state.set_unread_upload(false);
            tracker.mark_received();
            std::future::pending().await
        };
        let answer = tokio::select! {
            biased;
            error = upload_failure => return Err(error.into()),
            answer = answer => answer,
        };
        tracker.mark_received();
        Ok(answer.and_then(Result::ok))
    }
}

#[cfg(test)]
#[path = "pending_request_tests.rs"]
mod tests;
