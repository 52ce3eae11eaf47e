//! Endpoints in the form in which discovery publishes them.

use crate::topology::ZoneName;
use serde::Serialize;
use std::net::SocketAddr;

/// The status of an endpoint, as discovery publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointStatus {
    /// It accepts requests.
    Serving,
    /// It completes the requests in flight and accepts no new ones.
    Draining,
    /// It is removed from the list. This status occurs only in changes.
    Deleted,
}

/// All endpoints of one version of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    /// The version of the list.
    pub version: u64,
    /// The endpoints, ordered by name.
    pub endpoints: Vec<EndpointEntry>,
}

/// One endpoint of the published list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// The endpoint's name, identical at every sidecar.
    pub name: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// The group of endpoints that it belongs to.
    pub group: u64,
    /// Its status.
    pub status: EndpointStatus,
    /// Its load balancing weight.
    pub weight: f64,
    /// The time of its last start in Unix milliseconds. 0 means long ago.
    pub since_ms: u64,
}
