//! What a balancer has its host do.

use super::id::{AttemptNumber, EndpointId, PeerId, RequestId};
use super::time::Timestamp;
use std::time::Duration;

/// What a balancer has its host do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint that it is sent to.
        endpoint: EndpointId,
        /// How long to wait for the answer; `None` is until the request's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Give the final answer to a request that was not served, where trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client is to come back at the earliest.
        retry_after: Option<Duration>,
    },
    /// Give the final answer to a request that was not served and may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Return an [`Event::Timer`](super::Event::Timer) at or after a point in time.
    SetTimer {
        /// When the timer expires.
        at: Timestamp,
        /// The token that the event is to carry.
        token: u64,
    },
    /// Open a watch on the endpoint list, unless one is open.
    Subscribe,
    /// End the watch on the endpoint list.
    Unsubscribe,
    /// Fetch the full endpoint list once.
    FetchList,
    /// Send a health check.
    HealthCheck {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Close idle connections.
    CloseIdleConnections {
        /// The endpoint of the connections.
        endpoint: EndpointId,
    },
    /// Send at most 256 bytes to other balancers of the tier.
    SendPeerMessage {
        /// The receiver; `None` is all balancers.
        to: Option<PeerId>,
        /// The message.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
