//! The configuration, read at the start and again on SIGHUP: the file that `ROUTER_CONFIG` names.

use super::fault::Faults;
use super::parse::{Parsed, parse};
use crate::discovery::EndpointList;
use crate::policy::Settings;
use serde_json::{Value, json};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Names the configuration's file.
pub const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Names the operators' address, before the file does.
pub const ADMIN_VARIABLE: &str = "ROUTER_ADMIN_ADDR";
/// Settings that may be absent, where others may not once they have been there.
const MAY_BE_ABSENT: [&str; 5] = [
    "aimStretch",
    "passesDeadline",
    "warmKeys",
    "drainCloseNs",
    "orderPauseNs",
];

/// Why a configuration cannot be had; it fits on one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("{FILE_VARIABLE} is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {failure}", path = path.display())]
    Read {
        /// Its path.
        path: PathBuf,
        /// What went wrong.
        failure: io::Error,
    },
    /// What the file holds cannot be used.
    #[error("{path}: {faults}", path = path.display())]
    Faults {
        /// Its path.
        path: PathBuf,
        /// All that is wrong with it.
        faults: Faults,
    },
    /// The operators' address in the environment is none.
    #[error("{ADMIN_VARIABLE} is no address: {text}", text = .0.display())]
    AdminAddress(OsString),
}

/// The configuration, with its settings in the decision module's form.
pub struct Config {
    /// The sidecar's name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// Where the operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that this process may hold.
    pub sockets: usize,
    /// Memory that this process may hold.
    pub memory_mb: usize,
    /// The endpoints as this sidecar last had them; perhaps old.
    pub known: Option<EndpointList>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// What holds for as long as the process runs.
    pub fixed: FixedValues,
    /// Settings and limits as the file has them.
    pub document: Value,
    /// All that the file has.
    pub value: Value,
}

/// What a reload cannot take over, by name: the sockets and the budgets were made with it. The seed is none of it: it is
/// new with each start, and only then of use.
#[derive(PartialEq)]
pub struct FixedValues([(&'static str, Value); 4]);

impl FixedValues {
    /// The names of what differs.
    #[must_use]
    pub fn differences(&self, other: &FixedValues) -> Vec<&'static str> {
        self.0
            .iter()
            .zip(&other.0)
            .filter(|(a, b)| a != b)
            .map(|((name, _), _)| *name)
            .collect()
    }
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = std::env::var_os(FILE_VARIABLE)
            .map(PathBuf::from)
            .ok_or(ConfigError::NoFile)?;
        let mut config = Self::from_file(&path)?;
        config.admin = Self::admin_from_environment()?.or(config.admin);
        Ok(config)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|failure| ConfigError::Read {
            path: path.to_owned(),
            failure,
        })?;
        Self::parse(&text).map_err(|faults| ConfigError::Faults {
            path: path.to_owned(),
            faults,
        })
    }

    /// The environment is this process's own, where a file may serve two of them during an upgrade: it goes first.
    /// # Errors
    /// What the environment has is no address.
    pub fn admin_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = std::env::var_os(ADMIN_VARIABLE).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        match text.to_str().and_then(|text| text.parse().ok()) {
            Some(address) => Ok(Some(address)),
            None => Err(ConfigError::AdminAddress(text)),
        }
    }

    /// Reads a configuration's text.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let Parsed {
            document,
            value,
            settings,
        } = parse(text)?;
        let limits = serde_json::to_value(&document.limits).unwrap_or_default();
        let fixed = FixedValues([
            ("name", document.name.as_str().into()),
            ("listen", document.listen.to_string().into()),
            (
                "admin_addr",
                document
                    .admin_addr
                    .map(|address| address.to_string())
                    .into(),
            ),
            ("limits", limits.clone()),
        ]);
        Ok(Config {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            admin: document.admin_addr,
            seed: document.seed.0,
            sockets: document.limits.sockets,
            memory_mb: document.limits.memory_mb,
            known: document.known,
            settings,
            document: json!({"settings": value["settings"], "limits": limits}),
            value,
            fixed,
        })
    }

    /// The first setting or limit that an earlier document has and this one lacks.
    #[must_use]
    pub fn missing_key(&self, earlier: &Value) -> Option<String> {
        missing_key(earlier, &self.document)
    }

    /// The settings, by their first names, that differ from an earlier document's.
    #[must_use]
    pub fn changed_settings(&self, earlier: &Value) -> Vec<String> {
        let before = earlier["settings"].as_object();
        let after = self.document["settings"].as_object();
        let (Some(before), Some(after)) = (before, after) else {
            return Vec::new();
        };
        let added = after.keys().filter(|key| !before.contains_key(*key));
        let names = before.keys().chain(added);
        names
            .filter(|key| before.get(*key) != after.get(*key))
            .cloned()
            .collect()
    }
}

/// The first key that one document has and the next lacks, as a path. Many have a value that stands in for them at the
/// start, but a file that has lost one is broken. Of lists, each element has to have what all had.
fn missing_key(before: &Value, after: &Value) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            if MAY_BE_ABSENT.contains(&key.as_str()) {
                return None;
            }
            let Some(next) = after.get(key) else {
                return Some(key.clone());
            };
            missing_key(value, next).map(|rest| format!("{key}.{rest}"))
        }),
        (Value::Array(before), Value::Array(after)) => {
            let common = common_keys(before)?;
            let missing = |value: &Value| missing_key(&common, value);
            after
                .iter()
                .enumerate()
                .find_map(|(n, value)| Some(format!("{n}.{}", missing(value)?)))
        }
        _ => None,
    }
}

/// What all elements of a list have.
fn common_keys(elements: &[Value]) -> Option<Value> {
    elements.iter().cloned().reduce(|a, b| match (a, b) {
        (Value::Object(mut a), Value::Object(b)) => {
            a.retain(|key, _| b.contains_key(key));
            Value::Object(a)
        }
        _ => Value::Null,
    })
}
