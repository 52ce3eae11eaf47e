//! What a hollow sidecar is started from and reloaded with.

use crate::discovery::{EndpointEntry, EndpointStatus, ListSnapshot};
use crate::sidecar::configuration::SidecarConfiguration;
use balancer_sidecar::configuration::settings_document::parse_settings;
use balancer_sidecar::discovery::{EndpointList, EntryStatus, ListEntry};
use balancer_sidecar::policy::Settings;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// A configuration in the decision module's form.
#[derive(Debug)]
pub(super) struct SidecarPlan {
    pub settings: Settings,
    /// The settings as the configuration has them, to tell whether a reload changes them.
    pub settings_document: Value,
    pub discovery: SocketAddr,
    pub cached_list: Option<EndpointList>,
    pub seed: u64,
}

impl SidecarPlan {
    /// # Errors
    /// Settings that the decision module turns down.
    pub fn from_configuration(configuration: &SidecarConfiguration) -> io::Result<Self> {
        let settings_document = configuration.settings();
        let settings = parse_settings(&settings_document.to_string());
        let settings = settings.map_err(|error| invalid(&configuration.name, error))?;
        settings
            .validate()
            .map_err(|error| invalid(&configuration.name, error))?;
        Ok(SidecarPlan {
            settings,
            settings_document,
            discovery: configuration.discovery,
            cached_list: configuration.cached_list.as_ref().map(endpoint_list),
            seed: configuration.seed,
        })
    }
}

/// Converts a snapshot into the form of the discovery client.
fn endpoint_list(snapshot: &ListSnapshot) -> EndpointList {
    EndpointList {
        index: snapshot.version,
        snapshot: true,
        endpoints: snapshot.endpoints.iter().map(list_entry).collect(),
    }
}

fn invalid(name: &str, error: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidInput,
        format!("settings of {name}: {error}"),
    )
}

/// Converts an entry into the form of the discovery client.
fn list_entry(entry: &EndpointEntry) -> ListEntry {
    ListEntry {
        name: entry.name.clone(),
        address: entry.address,
        zone: entry.zone.to_string(),
        kind: entry.kind.clone(),
        group: entry.group,
        status: match entry.status {
            EndpointStatus::Serving => EntryStatus::Serving,
            EndpointStatus::Draining => EntryStatus::Draining,
            EndpointStatus::Deleted => EntryStatus::Deleted,
        },
        weight: entry.weight,
        since_ms: entry.since_ms,
    }
}
