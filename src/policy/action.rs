//! The actions that a balancer requests from its host.

use super::id::{AttemptNumber, EndpointId, PeerId, RequestId};
use super::time::Timestamp;
use std::time::Duration;

/// An action that a balancer requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint that it is sent to.
        endpoint: EndpointId,
        /// The maximum time to wait for the answer; `None` means until the request's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Give the final answer to a request that was not served and can safely be retried by the client.
    Reject {
        /// The request.
        request: RequestId,
        /// The least time after which the client may retry; `None` if the client is not told one.
        retry_after: Option<Duration>,
    },
    /// Give the final answer to a request that was not served and may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Report an [`Event::Timer`](super::Event::Timer) at or after a point in time.
    SetTimer {
        /// The time at which the timer expires.
        at: Timestamp,
        /// The token that the event carries.
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
        /// The receiver; `None` means all other balancers of the tier.
        to: Option<PeerId>,
        /// The message.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
