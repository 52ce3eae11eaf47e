//! The configuration, read at the start and again on SIGHUP: the file that `ROUTER_CONFIG` names.

use crate::discovery::EndpointList;
use crate::policy::{Settings, SettingsError};
use crate::settings_document::{SettingsDocumentError, parse_settings};
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};
use serde_json::value::{RawValue, Value};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Names the configuration's file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Names the operators' address, before the file does.
const ADMIN_VARIABLE: &str = "ROUTER_ADMIN_ADDR";
/// Settings that may be absent, where others may not once they have been there.
const MAY_BE_ABSENT: [&str; 5] = ["aimStretch", "passesDeadline", "warmKeys", "drainCloseNs", "orderPauseNs"];

/// What is wrong with a configuration; it fits on one line.
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
    #[error("{path}: {error}", path = path.display())]
    Document {
        /// Its path.
        path: PathBuf,
        /// What is wrong with it.
        error: DocumentError,
    },
    /// The operators' address in the environment is none.
    #[error("{ADMIN_VARIABLE} is no address: {text}", text = .0.display())]
    AdminAddress(OsString),
}

/// What is wrong with a configuration's text.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// It is no JSON, or a value is missing or of the wrong kind.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Its settings cannot be read.
    #[error("settings: {0}")]
    SettingsDocument(#[from] SettingsDocumentError),
    /// Its settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
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
}

/// What a reload cannot take over, by name: the sockets and the budgets were made with it. The seed is none of it: it is
/// new with each start, and only then of use.
#[derive(PartialEq)]
pub struct FixedValues([(&'static str, Value); 4]);

impl FixedValues {
    /// The names of what differs.
    pub fn differences(&self, other: &FixedValues) -> Vec<&'static str> {
        self.0.iter().zip(&other.0).filter(|(a, b)| a != b).map(|((name, _), _)| *name).collect()
    }
}

#[derive(Deserialize)]
struct Document {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin_addr: Option<SocketAddr>,
    #[serde(deserialize_with = "hexadecimal")]
    seed: u64,
    limits: Limits,
    known: Option<EndpointList>,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Serialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
    /// Read for its absence to be seen.
    #[serde(skip_serializing_if = "Option::is_none")]
    cores: Option<f64>,
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(|e| D::Error::custom(format!("seed {text}: {e}")))
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = std::env::var_os(FILE_VARIABLE).map(PathBuf::from).ok_or(ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(failure) => return Err(ConfigError::Read { path, failure }),
        };
        let mut config =
            Self::parse(&text).map_err(|error| ConfigError::Document { path: path.clone(), error })?;
        config.admin = Self::admin_from_environment()?.or(config.admin);
        Ok(config)
    }

    /// The environment is this process's own, where a file may serve two of them during an upgrade: it goes first.
    fn admin_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
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
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let document: Document = serde_json::from_str(text)?;
        let settings = parse_settings(document.settings.get())?;
        settings.check()?;
        let settings_value: Value = serde_json::from_str(document.settings.get())?;
        let fixed = FixedValues([
            ("name", document.name.as_str().into()),
            ("listen", document.listen.to_string().into()),
            ("admin_addr", document.admin_addr.map(|a| a.to_string()).into()),
            ("limits", serde_json::to_value(&document.limits)?),
        ]);
        Ok(Config {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            admin: document.admin_addr,
            seed: document.seed,
            sockets: document.limits.sockets,
            memory_mb: document.limits.memory_mb,
            known: document.known,
            settings,
            document: serde_json::json!({"settings": settings_value, "limits": document.limits}),
            fixed,
        })
    }

    /// The first setting or limit that an earlier document has and this one lacks.
    pub fn missing_key(&self, earlier: &Value) -> Option<String> {
        missing_key(earlier, &self.document)
    }

    /// The settings, by their first names, that differ from an earlier document's.
    pub fn changed_settings(&self, earlier: &Value) -> Vec<String> {
        let before = earlier["settings"].as_object();
        let after = self.document["settings"].as_object();
        let (Some(before), Some(after)) = (before, after) else { return Vec::new() };
        let added = after.keys().filter(|key| !before.contains_key(*key));
        let names = before.keys().chain(added);
        names.filter(|key| before.get(*key) != after.get(*key)).cloned().collect()
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
            let Some(next) = after.get(key) else { return Some(key.clone()) };
            missing_key(value, next).map(|rest| format!("{key}.{rest}"))
        }),
        (Value::Array(before), Value::Array(after)) => {
            let common = common_keys(before)?;
            let missing = |value: &Value| missing_key(&common, value);
            after.iter().enumerate().find_map(|(n, value)| Some(format!("{n}.{}", missing(value)?)))
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
