//! The configuration of a simulated sidecar, in the types of the balancer and the discovery client.

use super::error::{FleetError, InvalidSettings};
use crate::discovery::{EndpointEntry, EndpointStatus, ListSnapshot};
use crate::sidecar::configuration::SidecarConfiguration;
use balancer_sidecar::configuration::settings_document::parse_settings;
use balancer_sidecar::discovery::{EndpointList, EntryStatus, ListEntry};
use balancer_sidecar::policy::Settings;
use serde_json::Value;
use std::net::SocketAddr;

/// The configuration of a simulated sidecar.
#[derive(Debug)]
pub(super) struct SidecarPlan {
    pub settings: Settings,
    /// The settings in their JSON form. A reload compares it to detect changed settings.
    pub settings_document: Value,
    pub discovery: SocketAddr,
    pub cached_list: Option<EndpointList>,
    pub seed: u64,
}

impl SidecarPlan {
    /// Converts a configuration and checks its settings.
    ///
    /// # Errors
    /// Fails if the balancer rejects the settings.
    pub fn from_configuration(configuration: &SidecarConfiguration) -> Result<Self, FleetError> {
        let settings_document = configuration.settings();
        let settings =
            checked_settings(&settings_document).map_err(|source| FleetError::Settings {
                sidecar: configuration.name.clone(),
                source,
            })?;
        Ok(SidecarPlan {
            settings,
            settings_document,
            discovery: configuration.discovery,
            cached_list: configuration.cached_list.as_ref().map(endpoint_list),
            seed: configuration.seed,
        })
    }
}

/// Parses and checks a settings object.
fn checked_settings(document: &Value) -> Result<Settings, InvalidSettings> {
    let settings = parse_settings(&document.to_string())?;
    settings.validate()?;
    Ok(settings)
}

/// Converts a snapshot into the type of the discovery client.
fn endpoint_list(snapshot: &ListSnapshot) -> EndpointList {
    EndpointList {
        version: snapshot.version,
        is_full: true,
        endpoints: snapshot.endpoints.iter().map(list_entry).collect(),
    }
}

/// Converts an entry into the type of the discovery client.
fn list_entry(entry: &EndpointEntry) -> ListEntry {
    ListEntry {
        name: entry.name.clone(),
        address: entry.address,
        zone: entry.zone.to_string(),
        machine_type: entry.machine_type.clone(),
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
