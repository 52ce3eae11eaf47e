//! Errors of the discovery client.

use super::list_scanner::MalformedStreamError;
use hyper::StatusCode;
use std::io;

/// The error for a list whose version is older than that of the last list from the same source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the list is older than the previous one")]
pub struct StaleListError;

/// The kind of a discovery failure, which determines the schedule of the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// Discovery was reached and rejected the call.
    Rejected,
    /// An open watch fell silent, and its connection stayed open.
    Silent,
    /// Discovery could not be reached, or the connection of an open watch was lost.
    Lost,
}

/// The reason why a call of discovery failed or a watch ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or the peer does not speak HTTP.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// The response has a status other than 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// Nothing was received in time.
    #[error("timed out")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// Discovery ended the watch.
    #[error("closed by discovery")]
    Closed,
    /// A message is not a valid endpoint list.
    #[error("malformed list: {0}")]
    Json(#[from] serde_json::Error),
    /// The stream is not a sequence of JSON objects.
    #[error(transparent)]
    MalformedStream(#[from] MalformedStreamError),
    /// A message exceeds the maximum size of a list.
    #[error("the list exceeds the maximum size")]
    TooLong,
    /// A list is older than the previous one.
    #[error(transparent)]
    StaleList(#[from] StaleListError),
}

impl DiscoveryError {
    /// Returns the kind of a call's failure, which determines the schedule of the next call.
    ///
    /// An error status and a reset connection count as rejections, because an overloaded discovery service answers with
    /// them.
    pub(super) fn call_failure(&self) -> DiscoveryFailure {
        match self {
            DiscoveryError::Status(_) | DiscoveryError::Http(_) => DiscoveryFailure::Rejected,
            _ => DiscoveryFailure::Lost,
        }
    }
}
