//! Requests that are unanswered or have attempts in flight.

use crate::policy::{AttemptNumber, Timestamp};
use crate::sidecar::endpoint::{ForwardedRequest, ServedResponse};
use crate::task::Task;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The one final answer to a request.
pub enum FinalAnswer {
    /// An endpoint's.
    Served(ServedResponse),
    /// Trying again is harmless.
    Rejected {
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
pub enum RequestRejected {
    /// Its id is that of an open request.
    Repeated,
    /// So many are open already.
    TooMany,
}

/// An open request: unanswered, answered with attempts in flight, or over.
pub struct OpenRequest {
    pub forwarded: Rc<ForwardedRequest>,
    pub deadline: Timestamp,
    reply: Reply,
    attempts: Vec<OpenAttempt>,
    /// How the last attempt ended.
    pub has_timed_out: bool,
}

/// Whether a request still wants an answer.
enum Reply {
    /// Whoever takes the sender answers it.
    Awaited(oneshot::Sender<FinalAnswer>),
    /// It has its final answer, or its client has left.
    Given,
}

/// An attempt of an open request.
enum OpenAttempt {
    InFlight {
        sent: Timestamp,
        /// Ends the attempt when it is dropped.
        _task: Task,
    },
    /// It has ended, or never began.
    Ended,
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
            reply: Reply::Awaited(reply),
            attempts: Vec::new(),
            has_timed_out: false,
        }
    }

    /// Whether it still wants an answer.
    pub fn is_unanswered(&self) -> bool {
        matches!(self.reply, Reply::Awaited(_))
    }

    /// Takes its one reply, for its one answer.
    pub fn take_reply(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        match std::mem::replace(&mut self.reply, Reply::Given) {
            Reply::Awaited(reply) => Some(reply),
            Reply::Given => None,
        }
    }

    /// The number of its next attempt.
    pub fn next_attempt(&self) -> AttemptNumber {
        self.attempts.len()
    }

    /// Its next attempt begins.
    pub fn begin_attempt(&mut self, sent: Timestamp, task: Task) {
        self.attempts
            .push(OpenAttempt::InFlight { sent, _task: task });
    }

    /// Its next attempt ends before it has begun.
    pub fn skip_attempt(&mut self) {
        self.attempts.push(OpenAttempt::Ended);
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, attempt: AttemptNumber) -> bool {
        matches!(
            self.attempts.get(attempt),
            Some(OpenAttempt::InFlight { .. })
        )
    }

    /// Ends an attempt, with its task; returns when it was sent, or `None` where it was not in flight.
    pub fn end_attempt(&mut self, attempt: AttemptNumber) -> Option<Timestamp> {
        let attempt = self.attempts.get_mut(attempt)?;
        match std::mem::replace(attempt, OpenAttempt::Ended) {
            OpenAttempt::InFlight { sent, .. } => Some(sent),
            OpenAttempt::Ended => None,
        }
    }

    /// Whether the module keeps it no longer: it is answered and none of its attempts is in flight.
    pub fn is_over(&self) -> bool {
        let is_in_flight = |attempt: &OpenAttempt| matches!(attempt, OpenAttempt::InFlight { .. });
        !self.is_unanswered() && !self.attempts.iter().any(is_in_flight)
    }
}
