//! The limits that the platform sets for a balancer and its host.

use std::time::Duration;

/// The limits that the platform sets for a balancer and its host.
#[derive(Clone, Debug)]
pub struct Limits {
    /// True if [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub cancel: bool,
    /// True if [`Action::HealthCheck`](super::Action::HealthCheck) is permitted.
    pub health_checks: bool,
    /// True if [`Action::SendPeerMessage`](super::Action::SendPeerMessage) is permitted.
    pub peer_messages: bool,
    /// True if a request may have two attempts in flight at once.
    pub parallel_attempts: bool,
    /// True if clients obey the Retry-After value of [`Action::Reject`](super::Action::Reject). They are sent one only
    /// then.
    pub retry_after: bool,
    /// The maximum Retry-After value that clients obey, which is also the one that they are sent.
    pub max_retry_after: Duration,
    /// The maximum number of attempts of a request.
    pub max_attempts: usize,
    /// The maximum number of unanswered requests at a host.
    pub max_open_requests: u64,
    /// The maximum number of concurrent attempts on one connection.
    pub streams_per_connection: u64,
    /// The idle time after which endpoints close a connection.
    pub idle_timeout: Duration,
    /// The maximum time to establish a connection. The attempt to connect fails after it.
    pub connect_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits of three attempts, one at a time. Cancellation and Retry-After are permitted; health checks and
    /// peer messages are not.
    fn default() -> Self {
        Limits {
            cancel: true,
            health_checks: false,
            peer_messages: false,
            parallel_attempts: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            max_attempts: 3,
            max_open_requests: 10_000,
            streams_per_connection: 1,
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(250),
        }
    }
}
