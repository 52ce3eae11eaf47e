//! One open request, with its attempts and its reply.

use crate::policy::{AttemptNumber, Outcome, Timestamp};
use crate::sidecar::endpoint::{ForwardedRequest, ServedResponse};
use crate::task::Task;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The one final answer to a request.
pub enum FinalAnswer {
    /// An endpoint has served it.
    Served(ServedResponse),
    /// It was rejected without being run. Trying again is harmless.
    Rejected {
        /// The time for which the client should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// It has failed, and may have run.
    Failed {
        /// True if the last attempt timed out.
        timed_out: bool,
    },
}

/// The reason why a request is not submitted to the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Another request with the same id is open.
    #[error("a request with this id is open")]
    DuplicateId,
    /// The request must not run twice, and an attempt of a request with the same id has begun before.
    #[error("a request with this id was sent to an endpoint before")]
    AlreadySent,
    /// The limit of unanswered requests is reached.
    #[error("too many requests are unanswered")]
    TooManyUnanswered,
}

/// A request that is unanswered or has attempts in flight.
pub struct OpenRequest {
    forwarded: Rc<ForwardedRequest>,
    deadline: Timestamp,
    reply: ReplyState,
    /// Indexed by attempt number.
    attempts: Vec<OpenAttempt>,
    last_outcome: Option<Outcome>,
}

/// The state of a request's final answer.
enum ReplyState {
    /// The request waits for its final answer, which is sent through this channel.
    Pending(oneshot::Sender<FinalAnswer>),
    /// The request has its final answer, or its client has disconnected.
    Taken,
}

/// An attempt of an open request.
enum OpenAttempt {
    InFlight {
        sent_at: Timestamp,
        /// Aborts the attempt when it is dropped.
        _task: Task,
    },
    /// It has ended, or was never sent.
    Ended,
}

impl OpenRequest {
    /// Creates an unanswered request without attempts.
    pub fn new(
        forwarded: ForwardedRequest,
        deadline: Timestamp,
        reply: oneshot::Sender<FinalAnswer>,
    ) -> Self {
        OpenRequest {
            forwarded: Rc::new(forwarded),
            deadline,
            reply: ReplyState::Pending(reply),
            attempts: Vec::new(),
            last_outcome: None,
        }
    }

    /// Returns the part of the request that is sent to endpoints.
    pub fn forwarded(&self) -> &Rc<ForwardedRequest> {
        &self.forwarded
    }

    /// Returns the deadline by which the client must have its answer.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns whether the request waits for its final answer.
    pub fn is_unanswered(&self) -> bool {
        matches!(self.reply, ReplyState::Pending(_))
    }

    /// Takes the sender of the final answer. Returns `None` once the sender has been taken.
    pub fn take_reply(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        match std::mem::replace(&mut self.reply, ReplyState::Taken) {
            ReplyState::Pending(reply) => Some(reply),
            ReplyState::Taken => None,
        }
    }

    /// Returns the number of the next attempt.
    pub fn next_attempt(&self) -> AttemptNumber {
        self.attempts.len()
    }

    /// Adds the next attempt, which `task` runs.
    pub fn begin_attempt(&mut self, sent_at: Timestamp, task: Task) {
        self.attempts.push(OpenAttempt::InFlight {
            sent_at,
            _task: task,
        });
    }

    /// Adds the next attempt as one that has ended without being sent.
    pub fn add_unsent_attempt(&mut self) {
        self.attempts.push(OpenAttempt::Ended);
    }

    /// Returns whether an attempt is in flight.
    pub fn is_in_flight(&self, attempt: AttemptNumber) -> bool {
        matches!(
            self.attempts.get(attempt),
            Some(OpenAttempt::InFlight { .. })
        )
    }

    /// Ends an attempt and its task. Returns the time at which it was sent, or `None` if it was not in flight.
    pub fn end_attempt(&mut self, attempt: AttemptNumber) -> Option<Timestamp> {
        let attempt = self.attempts.get_mut(attempt)?;
        match std::mem::replace(attempt, OpenAttempt::Ended) {
            OpenAttempt::InFlight { sent_at, .. } => Some(sent_at),
            OpenAttempt::Ended => None,
        }
    }

    /// Records the outcome of an attempt that ended without being cancelled.
    pub fn set_last_outcome(&mut self, outcome: Outcome) {
        self.last_outcome = Some(outcome);
    }

    /// Returns whether the last attempt that ended without being cancelled timed out.
    pub fn has_timed_out(&self) -> bool {
        self.last_outcome == Some(Outcome::TimedOut)
    }

    /// Returns whether the request is answered and has no attempts in flight. The balancer has then forgotten it too.
    pub fn is_finished(&self) -> bool {
        let is_in_flight = |attempt: &OpenAttempt| matches!(attempt, OpenAttempt::InFlight { .. });
        !self.is_unanswered() && !self.attempts.iter().any(is_in_flight)
    }
}
