//! Endpoints in the form in which discovery publishes them.

use crate::topology::ZoneName;
use serde::Serialize;
use std::net::SocketAddr;

/// Whether an endpoint takes requests, as discovery publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointStatus {
    /// It takes requests.
    Serving,
    /// It completes the requests that it has and takes no new ones.
    Draining,
    /// It is removed from the list; sent in changes only.
    Deleted,
}

/// All endpoints of one version of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    /// The version.
    pub version: u64,
    /// The endpoints, ordered by name.
    pub endpoints: Vec<EndpointEntry>,
}

/// One endpoint of the published list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Its name, identical at every sidecar.
    pub name: String,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its machine type.
    #[serde(rename = "type")]
    pub kind: String,
    /// The group of endpoints that it belongs to.
    pub group: u64,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its load balancing weight.
    pub weight: f64,
    /// Its last start in Unix time, in milliseconds; 0 is long ago.
    pub since_ms: u64,
}
