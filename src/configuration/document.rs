//! The types of the configuration file. Their doc comments are the descriptions in the published JSON Schema.

use super::settings_document::SettingsDocument;
use crate::discovery::EndpointList;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::num::ParseIntError;

/// The configuration of a sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ConfigurationDocument {
    /// The name of the sidecar, which stays the same across restarts.
    pub name: String,
    /// The IP address and port on which callers connect.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The IP address and port of the discovery service.
    #[schemars(with = "String")]
    pub discovery: SocketAddr,
    /// The IP address and port on which operators connect. Absent: there is none. The environment variable
    /// `ROUTER_ADMIN_ADDR` takes precedence.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub admin_addr: Option<SocketAddr>,
    /// The seed of the random numbers, which differs at each start.
    pub seed: Seed,
    /// The resource limits of the process.
    pub limits: ProcessLimitsDocument,
    /// The endpoint list that was cached before the start, which may be out of date.
    #[serde(rename = "known", skip_serializing_if = "Option::is_none")]
    pub cached_list: Option<EndpointList>,
    /// The settings of the load balancer.
    pub settings: SettingsDocument,
}

/// The resource limits of the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ProcessLimitsDocument {
    /// The maximum number of file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// The maximum memory, in MB.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: usize,
    /// The number of processor cores. It has no effect.
    // The field exists because a reload has to detect that the key is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
}

/// A seed of 64 bits, in hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String", extend("pattern" = "^[0-9a-fA-F]{1,16}$"))]
pub struct Seed(pub u64);

/// The error for the text of a seed that is not a hexadecimal number of 64 bits.
#[derive(Debug, thiserror::Error)]
#[error("seed {text}: {source}")]
pub struct SeedError {
    text: String,
    source: ParseIntError,
}

impl TryFrom<String> for Seed {
    type Error = SeedError;

    fn try_from(text: String) -> Result<Self, SeedError> {
        u64::from_str_radix(&text, 16)
            .map(Seed)
            .map_err(|source| SeedError { text, source })
    }
}

impl From<Seed> for String {
    fn from(seed: Seed) -> String {
        format!("{:x}", seed.0)
    }
}
