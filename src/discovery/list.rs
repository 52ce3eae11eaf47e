//! The messages of the discovery protocol in their JSON form.

use crate::policy::{EndpointEntry, GroupId, ListKind, Readiness, Timestamp};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message of discovery: the full endpoint list, or the entries that have changed since an earlier version.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct EndpointList {
    /// The version of the list, which grows with each change.
    #[serde(rename = "index")]
    pub version: u64,
    /// True if `endpoints` is the full list. Otherwise it contains only the entries that have changed.
    #[serde(rename = "snapshot")]
    pub is_full: bool,
    /// All endpoints, or only those that have changed.
    pub endpoints: Vec<ListEntry>,
}

impl EndpointList {
    /// Returns the kind of the list as the balancer's type.
    #[must_use]
    pub fn kind(&self) -> ListKind {
        if self.is_full {
            ListKind::Full
        } else {
            ListKind::Changes
        }
    }
}

/// One endpoint in a message of discovery.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub struct ListEntry {
    /// The endpoint's name, which is the same for all sidecars.
    pub name: String,
    /// The address at which the endpoint listens; it may differ between sidecars.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The zone in which the endpoint runs.
    pub zone: String,
    /// The machine type of the endpoint.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// The number of the endpoint's group.
    pub group: u64,
    /// The status of the endpoint.
    pub status: EntryStatus,
    /// The endpoint's weight relative to the others.
    pub weight: f64,
    /// The endpoint's last start in Unix time, in milliseconds; 0 if it started long ago.
    pub since_ms: u64,
}

/// The status of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum EntryStatus {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint finishes its requests and accepts no new ones.
    Draining,
    /// The endpoint has been removed. Only changes contain this status.
    Deleted,
}

impl From<EntryStatus> for Readiness {
    fn from(status: EntryStatus) -> Self {
        match status {
            EntryStatus::Serving => Readiness::Serving,
            EntryStatus::Draining => Readiness::Draining,
            EntryStatus::Deleted => Readiness::Removed,
        }
    }
}

impl ListEntry {
    /// Returns the time of the endpoint's last start, or `None` if it started long ago. The value needs no conversion,
    /// because the balancer's clock is in Unix time.
    #[must_use]
    pub fn started_at(&self) -> Option<Timestamp> {
        (self.since_ms > 0).then(|| Timestamp::from_nanos(self.since_ms.saturating_mul(1_000_000)))
    }
}

impl From<&ListEntry> for EndpointEntry {
    fn from(entry: &ListEntry) -> Self {
        EndpointEntry {
            endpoint: entry.name.as_str().into(),
            zone: entry.zone.as_str().into(),
            machine_type: entry.machine_type.as_str().into(),
            group: GroupId(entry.group),
            readiness: entry.status.into(),
            weight: entry.weight,
            started_at: entry.started_at(),
        }
    }
}
