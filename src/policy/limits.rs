//! The limits that the environment sets for a balancer and its host.

use std::time::Duration;

/// The limits that the environment sets for a balancer and its host.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub cancel: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) is permitted.
    pub health_checks: bool,
    /// Whether [`Action::SendPeerMessage`](super::Action::SendPeerMessage) is permitted.
    pub peer_messages: bool,
    /// Whether a request may have two attempts in flight.
    pub parallel_attempts: bool,
    /// Whether clients are sent the Retry-After value of [`Action::Reject`](super::Action::Reject).
    pub retry_after: bool,
    /// The longest Retry-After value that clients obey, which is also the one that they are sent.
    pub max_retry_after: Duration,
    /// The highest number of attempts of a request.
    pub max_attempts: usize,
    /// The highest number of unanswered requests at a host.
    pub max_open_requests: u64,
    /// The highest number of concurrent attempts on one connection.
    pub streams_per_connection: u64,
    /// The time after which idle connections close.
    pub idle_timeout: Duration,
    /// The time after which an attempt to connect fails.
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
