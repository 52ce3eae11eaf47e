//! The phases of a caller's connection and the transitions between them.
//!
//! HTTP/1.1 lets a client send its next request before it has read the last response. A phase therefore covers both
//! directions of the connection: the bytes being received and the request being answered. Every transition is a method
//! of [`Phase`]. An event that the table does not list for a phase leaves the phase unchanged.
//!
//! | phase | receiving | answering | event → next phase |
//! | --- | --- | --- | --- |
//! | `AwaitingFirstHead` | nothing yet | nothing | head starts → `ReceivingRequest` (receiving) |
//! | `Idle` | nothing yet | nothing | head starts → `ReceivingRequest` (receiving) |
//! | `ReceivingRequest` (receiving) | a head | nothing | head forwarded → `ReceivingRequest` (forwarded); request starts (the replacement of a rejected head) → `Answering` |
//! | `ReceivingRequest` (forwarded) | a body | nothing; hyper has the head | request starts → `Answering` |
//! | `Answering` | a body, or buffered bytes of the next request | a request | complete response ready → `Idle`, or `AwaitingFirstHead` if no head was ever complete; streamed response ready → `Streaming` (no head) |
//! | `Streaming` (no head) | nothing yet | the rest of a response body | head starts → `Streaming` (receiving); stream ends → `Idle` |
//! | `Streaming` (receiving) | the next head | the rest of a response body | head forwarded → `Streaming` (forwarded); stream ends → `ReceivingRequest` (receiving) |
//! | `Streaming` (forwarded) | the next body | the rest of a response body | stream ends → `ReceivingRequest` (forwarded) |

use tokio::time::Instant;

/// The progress of the head of the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadProgress {
    /// The reader is still collecting the head, or has rejected it and is forwarding a replacement.
    Receiving,
    /// hyper has the head, but has not called the service with the request yet.
    Forwarded,
}

/// The head of a request with which hyper has not called the service yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingHead {
    /// The time at which its first byte arrived. For a pipelined request, whose bytes arrived before the response to
    /// the previous one, the time at which the reader reached them.
    pub since: Instant,
    /// Its progress.
    pub progress: HeadProgress,
}

/// The phase of a caller's connection. The table in the module's documentation lists the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No complete head has arrived on the connection, and no byte of a head is waiting.
    AwaitingFirstHead {
        /// The time at which the connection was accepted, or at which an incomplete first head was answered with an
        /// error.
        since: Instant,
    },
    /// The last response has ended, and no byte of the next request has arrived.
    Idle {
        /// The time at which the last complete response was ready, or the last stream ended.
        since: Instant,
    },
    /// A request is being received, and no response is being sent.
    ReceivingRequest {
        /// The time at which the connection last became idle.
        idle_since: Instant,
        /// The head of the request.
        head: IncomingHead,
    },
    /// The service has a request and has not returned its response yet.
    Answering,
    /// A response body is being streamed.
    Streaming {
        /// The head of the next request, if a byte of it has arrived.
        next: Option<IncomingHead>,
    },
}

impl Phase {
    /// Returns the head of the next request, if a byte of it has arrived and the service has not been called with it.
    pub fn incoming_head(self) -> Option<IncomingHead> {
        match self {
            Phase::ReceivingRequest { head, .. } => Some(head),
            Phase::Streaming { next } => next,
            Phase::AwaitingFirstHead { .. } | Phase::Idle { .. } | Phase::Answering => None,
        }
    }

    /// Returns whether a forwarded request has no response yet.
    pub fn is_awaiting_response(self) -> bool {
        let is_forwarded = self
            .incoming_head()
            .is_some_and(|head| head.progress == HeadProgress::Forwarded);
        self == Phase::Answering || is_forwarded
    }

    /// Handles the arrival of the first byte of the next request.
    #[must_use]
    pub fn head_started(self, now: Instant) -> Self {
        let head = IncomingHead {
            since: now,
            progress: HeadProgress::Receiving,
        };
        match self {
            Phase::AwaitingFirstHead { since } | Phase::Idle { since } => Phase::ReceivingRequest {
                idle_since: since,
                head,
            },
            Phase::Streaming { next: None } => Phase::Streaming { next: Some(head) },
            Phase::ReceivingRequest { .. } | Phase::Answering | Phase::Streaming { .. } => self,
        }
    }

    /// Handles the forwarding of a validated head to hyper.
    #[must_use]
    pub fn head_forwarded(self) -> Self {
        let forward = |head: IncomingHead| IncomingHead {
            progress: HeadProgress::Forwarded,
            ..head
        };
        match self {
            Phase::ReceivingRequest { idle_since, head } => Phase::ReceivingRequest {
                idle_since,
                head: forward(head),
            },
            Phase::Streaming { next } => Phase::Streaming {
                next: next.map(forward),
            },
            Phase::AwaitingFirstHead { .. } | Phase::Idle { .. } | Phase::Answering => self,
        }
    }

    /// Handles the end of a response: it is complete, or its stream has ended. `idle_phase` makes the phase that
    /// follows if no byte of the next request has arrived.
    #[must_use]
    pub fn response_ended(self, now: Instant, idle_phase: impl FnOnce(Instant) -> Self) -> Self {
        match self {
            Phase::Answering | Phase::Streaming { next: None } => idle_phase(now),
            Phase::Streaming { next: Some(head) } => Phase::ReceivingRequest {
                idle_since: now,
                head,
            },
            Phase::AwaitingFirstHead { .. }
            | Phase::Idle { .. }
            | Phase::ReceivingRequest { .. } => self,
        }
    }
}
