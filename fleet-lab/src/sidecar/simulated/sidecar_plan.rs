//! What a hollow sidecar is started from and reloaded with.

use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::sidecar::configuration::SidecarConfiguration;
use balancer_sidecar::configuration::settings_document::parse_settings;
use balancer_sidecar::discovery::{EndpointList, EntryStatus, ListEntry};
use balancer_sidecar::policy::Settings;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

/// A configuration in the decision module's form.
pub(super) struct SidecarPlan {
    pub settings: Settings,
    /// The settings as the configuration has them, to tell whether a reload changes them.
    pub settings_document: Value,
    pub discovery: SocketAddr,
    pub known: Option<(u64, Vec<EndpointEntry>)>,
    pub seed: u64,
}

impl SidecarPlan {
    /// # Errors
    /// Settings that the decision module turns down.
    pub fn from_configuration(configuration: SidecarConfiguration) -> io::Result<Self> {
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
            known: configuration.known,
            seed: configuration.seed,
        })
    }

    /// The endpoints as the sidecar last had them, as a list from discovery.
    pub fn cached_list(&self) -> Option<EndpointList> {
        let (index, entries) = self.known.as_ref()?;
        Some(EndpointList {
            index: *index,
            snapshot: true,
            endpoints: entries.iter().map(client_entry).collect(),
        })
    }
}

fn invalid(name: &str, error: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidInput,
        format!("settings of {name}: {error}"),
    )
}

/// An entry in the form of the discovery client.
fn client_entry(entry: &EndpointEntry) -> ListEntry {
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
