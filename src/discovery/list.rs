//! Discovery's messages.

use crate::policy::{EndpointEntry, GroupId, Readiness, Timestamp};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message of discovery: the whole list, or what has changed.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// It is the whole list.
    pub snapshot: bool,
    /// The endpoints in it.
    pub endpoints: Vec<Entry>,
}

/// An endpoint in discovery's form.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct Entry {
    /// Its name, identical at every sidecar.
    pub name: String,
    /// Where it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What sort of machine it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// The group of endpoints that it belongs to.
    pub group: u64,
    /// Whether it takes work.
    pub status: Status,
    /// Its weight.
    pub weight: f64,
    /// Its last start in Unix time; 0 for long ago.
    pub since_ms: u64,
}

/// Whether an endpoint takes work, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is no more; among changes only.
    Deleted,
}

impl Entry {
    /// It does not serve again under the same start.
    pub fn go_on_draining(&mut self) {
        if self.status == Status::Serving {
            self.status = Status::Draining;
        }
    }

    /// The entry as the decision module knows it, on a clock that gives Unix time: starts need no mapping then.
    #[must_use]
    pub fn endpoint_entry(&self) -> EndpointEntry {
        EndpointEntry {
            endpoint: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            kind: self.kind.as_str().into(),
            group: GroupId(self.group),
            readiness: match self.status {
                Status::Serving => Readiness::Serving,
                Status::Draining => Readiness::Draining,
                Status::Deleted => Readiness::Removed,
            },
            size: self.weight,
            started_at: (self.since_ms > 0)
                .then(|| Timestamp::from_nanos(self.since_ms.saturating_mul(1_000_000))),
        }
    }
}
