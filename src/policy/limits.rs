//! The limits of the environment: what a balancer and its host may do.

use std::time::Duration;

/// What a balancer and its host may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub cancel: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) is permitted.
    pub health_checks: bool,
    /// Whether [`Action::SendPeerMessage`](super::Action::SendPeerMessage) is permitted.
    pub peers: bool,
    /// Whether a request may have two attempts in flight.
    pub parallel_attempts: bool,
    /// Whether clients are given the Retry-After of [`Action::Reject`](super::Action::Reject).
    pub retry_after: bool,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Duration,
    /// The number of attempts that a request may have.
    pub max_attempts: usize,
    /// The number of requests that a host may have open.
    pub max_open: u64,
    /// The number of concurrent attempts on one connection.
    pub streams_per_connection: u64,
    /// The time after which idle connections close.
    pub idle_timeout: Duration,
    /// The time after which an attempt to connect fails.
    pub connect_timeout: Duration,
}

impl Default for Limits {
    /// Three attempts, one at a time. Cancellation and Retry-After are permitted, health checks and peers are not.
    fn default() -> Self {
        Limits {
            cancel: true,
            health_checks: false,
            peers: false,
            parallel_attempts: false,
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            max_attempts: 3,
            max_open: 10_000,
            streams_per_connection: 1,
            idle_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(250),
        }
    }
}
