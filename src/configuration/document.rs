//! The configuration as its file has it.

use super::settings_document::SettingsDocument;
use crate::discovery::EndpointList;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A sidecar's configuration.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ConfigurationDocument {
    /// The sidecar's name, the same after a restart.
    pub name: String,
    /// Where callers connect: address and port.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Discovery: address and port.
    #[schemars(with = "String")]
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere: address and port. `ROUTER_ADMIN_ADDR` goes first.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub admin_addr: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: Seed,
    /// What the process may hold.
    pub limits: LimitsDocument,
    /// The endpoints as this sidecar last had them; perhaps old.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known: Option<EndpointList>,
    /// What the decision module goes by.
    pub settings: SettingsDocument,
}

/// What the process may hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct LimitsDocument {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Processor cores. Read for its absence to be seen.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
}

/// A seed of 64 bits, in hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String", extend("pattern" = "^[0-9a-fA-F]{1,16}$"))]
pub struct Seed(pub u64);

/// The text is no number of 64 bits in hexadecimal digits.
#[derive(Debug, thiserror::Error)]
#[error("seed {text}: {problem}")]
pub struct SeedError {
    text: String,
    problem: std::num::ParseIntError,
}

impl TryFrom<String> for Seed {
    type Error = SeedError;

    fn try_from(text: String) -> Result<Self, SeedError> {
        u64::from_str_radix(&text, 16)
            .map(Seed)
            .map_err(|problem| SeedError { text, problem })
    }
}

impl From<Seed> for String {
    fn from(seed: Seed) -> String {
        format!("{:x}", seed.0)
    }
}
