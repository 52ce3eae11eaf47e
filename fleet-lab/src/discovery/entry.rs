//! Endpoints in the form that discovery lists them.

use crate::topology::ZoneName;
use serde::Serialize;
use std::net::SocketAddr;

/// Whether an endpoint takes work, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointStatus {
    /// It takes requests.
    Serving,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It is gone; used in changes only.
    Deleted,
}

/// One endpoint in discovery's form.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Its name, identical at every sidecar.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// What sort of machine it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// The group of endpoints that it belongs to.
    pub group: u64,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Its weight.
    pub weight: f64,
    /// Its last start, in Unix time milliseconds; 0 is long ago.
    pub since_ms: u64,
}
