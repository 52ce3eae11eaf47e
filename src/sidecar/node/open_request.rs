//! Requests that are unanswered or have attempts in flight.

use crate::policy::Timestamp;
use crate::sidecar::endpoint::{ForwardedRequest, ServedAnswer};
use crate::sidecar::task::Task;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The one final answer to a request.
pub enum FinalAnswer {
    /// An endpoint's.
    Served(ServedAnswer),
    /// Trying again is harmless.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Not served, with no promise.
    Failed {
        /// The last attempt was not answered in time.
        timed_out: bool,
    },
}

/// Why a request is not taken; it has then not run.
pub enum NotTaken {
    /// Its id is that of an open request.
    Repeated,
    /// So many are open already.
    TooMany,
}

/// An open request. Whoever takes its reply sender answers it.
pub struct OpenRequest {
    pub forwarded: Rc<ForwardedRequest>,
    pub deadline: Timestamp,
    /// None once the request has its final answer, or its client has left.
    pub reply: Option<oneshot::Sender<FinalAnswer>>,
    pub attempts: Vec<OpenAttempt>,
    /// How the last attempt ended.
    pub has_timed_out: bool,
}

/// An attempt of an open request.
pub struct OpenAttempt {
    pub sent: Timestamp,
    /// None once the attempt has ended.
    pub task: Option<Task>,
}

impl OpenRequest {
    /// A request that was just taken.
    pub fn new(
        forwarded: ForwardedRequest,
        deadline: Timestamp,
        reply: oneshot::Sender<FinalAnswer>,
    ) -> Self {
        OpenRequest {
            forwarded: Rc::new(forwarded),
            deadline,
            reply: Some(reply),
            attempts: Vec::new(),
            has_timed_out: false,
        }
    }

    /// Whether it still wants an answer.
    pub fn is_unanswered(&self) -> bool {
        self.reply.is_some()
    }

    /// Whether the module keeps it no longer: it is answered and none of its attempts is in flight.
    pub fn is_over(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }
}
