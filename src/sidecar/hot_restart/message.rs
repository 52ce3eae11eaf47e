//! The messages that the processes of one sidecar exchange.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A message to another process of this sidecar, serialized as one line of JSON.
///
/// The other process may be of another release, so the serialized names must not change.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessMessage {
    /// Reports the number of connections that the sender has open.
    #[serde(rename = "holds")]
    OpenConnections(usize),
    /// Announces that the sender, a new process, accepts callers from now on.
    Serving,
    /// Announces that the sender is shutting down and will soon stop accepting callers.
    #[serde(rename = "stopping")]
    ShuttingDown,
    /// Reports requests that must not run twice and of which the sender has begun an attempt. The receiver does not send
    /// them again.
    #[serde(rename = "sent")]
    SentRequests(Vec<String>),
    /// Reports a part of the endpoints that the sender's list names as serving.
    #[serde(rename = "listed")]
    ServingEndpoints(ServingEndpoints),
    /// Reports that operators have disabled or enabled an endpoint.
    #[serde(rename = "disabled")]
    AdminState {
        /// The endpoint's id.
        endpoint: String,
        /// True if the endpoint is now disabled, false if it is now enabled.
        disabled: bool,
    },
}

/// A part of the endpoints that a process's list names as serving. Parts may be lost; the list is known once all have come.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServingEndpoints {
    /// The discovery service that the list comes from. Versions of different services are not comparable.
    pub discovery: SocketAddr,
    /// The version of the list.
    pub version: u64,
    /// The endpoints' names, each with the time of its last start in Unix time, in milliseconds; 0 if it started long ago.
    pub serving: Vec<(String, u64)>,
    /// The number of serving endpoints in all parts.
    pub total: usize,
}
