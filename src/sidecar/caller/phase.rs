//! The phases of a caller's connection and the transitions between them.
//!
//! HTTP/1.1 lets a client send its next request before it has read the last response, so a phase covers both directions
//! of the connection: what is being received and what is being answered. Every transition is a method of [`Phase`]; an
//! event without an entry for a phase does not change it.
//!
//! | phase | receiving | answering | event → next phase |
//! | --- | --- | --- | --- |
//! | `AwaitingFirstHead` | nothing yet | nothing | head begins → `ReceivingRequest` (receiving) |
//! | `Idle` | nothing yet | nothing | head begins → `ReceivingRequest` (receiving) |
//! | `ReceivingRequest` (receiving) | a head | nothing | head forwarded → `ReceivingRequest` (forwarded); request begins, which is the replacement of a rejected head → `Answering` |
//! | `ReceivingRequest` (forwarded) | a body | nothing, hyper has the head | request begins → `Answering` |
//! | `Answering` | a body, or buffered bytes of the next request | a request | response ready, complete → `Idle`, or `AwaitingFirstHead` where no head was ever complete; response ready, streamed → `Streaming` (no head) |
//! | `Streaming` (no head) | nothing yet | the rest of a response body | head begins → `Streaming` (receiving); stream ends → `Idle` |
//! | `Streaming` (receiving) | the next head | the rest of a response body | head forwarded → `Streaming` (forwarded); stream ends → `ReceivingRequest` (receiving) |
//! | `Streaming` (forwarded) | the next body | the rest of a response body | stream ends → `ReceivingRequest` (forwarded) |

use tokio::time::Instant;

/// How far the head of the next request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadProgress {
    /// It is still being collected, or was rejected and is replaced.
    Receiving,
    /// hyper reads it; the service has not been called yet.
    Forwarded,
}

/// The head of a request that the service has not seen yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingHead {
    /// When its first byte came, or when the reader got to it where it had come behind an earlier request.
    pub since: Instant,
    /// How far it has come.
    pub progress: HeadProgress,
}

/// What a caller's connection does now. The module's table lists the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No complete head has come on the connection, and no byte of one is waiting.
    AwaitingFirstHead {
        /// When the connection was accepted, or an incomplete first head answered with an error.
        since: Instant,
    },
    /// Between requests.
    Idle {
        /// When the last response was ready, or its stream ended.
        since: Instant,
    },
    /// A request comes in, and no response is under way.
    ReceivingRequest {
        /// When the connection last became idle.
        idle_since: Instant,
        /// Its head.
        head: IncomingHead,
    },
    /// The service has a request, and no response to it yet.
    Answering,
    /// A response body is streamed.
    Streaming {
        /// The head of the next request, if it has begun.
        next: Option<IncomingHead>,
    },
}

impl Phase {
    /// The head of the next request, if a byte of it has come and the service has not seen it.
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

    /// The first byte of the next request has come.
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

    /// The head has been validated, and goes on to hyper.
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

    /// A complete response is ready, or the stream of one has ended. `idle_phase` is the phase between requests.
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
