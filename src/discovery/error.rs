//! What can go wrong with a call of discovery.

use hyper::StatusCode;
use std::io;

/// A list that is older than its source's last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it tells what is older than what it told before")]
pub struct OlderList;

/// Why a call of discovery failed, or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection could be made.
    #[error(transparent)]
    Connect(io::Error),
    /// The request could not be formed.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or did not speak HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// It answered with another status than 200.
    #[error("discovery answered {0}")]
    Status(StatusCode),
    /// Nothing came for as long as [`DISCOVERY_TIMEOUT`](crate::policy::DISCOVERY_TIMEOUT).
    #[error("deadline has elapsed")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// It ended the watch.
    #[error("discovery closed it")]
    Closed,
    /// What came is no list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A list is longer than any fleet needs.
    #[error("a list is too long")]
    TooLong,
    /// A list is older than the one before.
    #[error(transparent)]
    OlderList(#[from] OlderList),
}
