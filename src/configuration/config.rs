//! The configuration of a sidecar, which is loaded at the start and again on SIGHUP.

use super::error::ConfigError;
use super::parse::{ParsedConfiguration, parse};
use super::reload_baseline::ReloadBaseline;
use super::restart_values::RestartValues;
use super::validation::ValidationErrors;
use super::variables::{ADMIN_ADDRESS_VARIABLE, CONFIGURATION_FILE_VARIABLE};
use crate::discovery::EndpointList;
use crate::policy::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A loaded configuration. Its settings are converted to the types of the balancer.
#[derive(Debug)]
pub struct Config {
    /// The name of the sidecar.
    pub name: String,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The operators' address, if there is one.
    pub admin_address: Option<SocketAddr>,
    /// The seed of the random numbers, which differs at each start.
    pub seed: u64,
    /// The maximum number of file descriptors of this process.
    pub max_descriptors: usize,
    /// The maximum memory of this process, in MB.
    pub max_memory_mb: usize,
    /// The endpoint list that was cached before the start, which may be out of date.
    pub cached_list: Option<EndpointList>,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The values that only a restart changes.
    pub restart_values: RestartValues,
    /// The settings and limits of the file, for the comparison with the next file at a reload.
    pub reload_baseline: ReloadBaseline,
    /// The content of the file.
    pub file_content: Value,
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names. `ROUTER_ADMIN_ADDR` replaces its operators' address.
    ///
    /// # Errors
    /// Returns an error if no file is named, if the file cannot be read, if its content is invalid, or if
    /// `ROUTER_ADMIN_ADDR` is not an IP address and port.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = std::env::var_os(CONFIGURATION_FILE_VARIABLE)
            .map(PathBuf::from)
            .ok_or(ConfigError::NoFile)?;
        let mut config = Self::from_file(&path)?;
        config.admin_address = Self::admin_address_from_environment()?.or(config.admin_address);
        Ok(config)
    }

    /// Reads a configuration file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or if its content is invalid.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|source| ConfigError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    /// Returns the operators' address that the environment names, if there is one.
    ///
    /// It takes precedence over the file, because two processes may share one file during a hot restart.
    ///
    /// # Errors
    /// Returns an error if the value of `ROUTER_ADMIN_ADDR` is not an IP address and port.
    pub fn admin_address_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = std::env::var_os(ADMIN_ADDRESS_VARIABLE).filter(|text| !text.is_empty())
        else {
            return Ok(None);
        };
        match text.to_str().and_then(|text| text.parse().ok()) {
            Some(address) => Ok(Some(address)),
            None => Err(ConfigError::AdminAddress(text)),
        }
    }

    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// Returns every error in the text.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        let ParsedConfiguration {
            document,
            file_content,
            settings,
        } = parse(text)?;
        let restart_values = RestartValues::from_document(&document);
        let reload_baseline = ReloadBaseline::new(&file_content, &document.limits);
        Ok(Config {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            admin_address: document.admin_addr,
            seed: document.seed.0,
            max_descriptors: document.limits.max_descriptors,
            max_memory_mb: document.limits.max_memory_mb,
            cached_list: document.cached_list,
            settings,
            restart_values,
            reload_baseline,
            file_content,
        })
    }
}
