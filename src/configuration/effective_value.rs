//! The effective values of a configuration, each with its unit and origin.

use super::leaf_values::leaf_values;
use super::parse::ParsedConfiguration;
use super::variables::ADMIN_ADDRESS_VARIABLE;
use crate::discovery::EndpointList;
use serde_json::Value;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The origin of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The configuration file.
    File,
    /// The default, because the file does not have the key.
    Default,
    /// An environment variable.
    Environment,
}

/// One effective value.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The path of the value in the file, such as `settings.categories[0].worth`.
    pub path: String,
    /// The value.
    pub value: Value,
    /// The unit. For a time, it is followed by the time in a readable form, such as `ns, 5s`.
    pub unit: Option<String>,
    /// The origin of the value.
    pub origin: ValueOrigin,
}

/// The units of values other than times. Each unit applies to paths with a certain suffix.
const UNITS: [(&str, &str); 6] = [
    ("memory_mb", "MB"),
    ("limits.sockets", "descriptors"),
    ("limits.cores", "cores"),
    ("quotaPerS", "requests/s"),
    ("sendCap", "attempts"),
    ("maxOpen", "requests"),
];
/// The suffix of the keys of times in nanoseconds.
const NANOSECONDS_SUFFIX: &str = "Ns";
/// The key of the operators' address.
const ADMIN_KEY: &str = "admin_addr";
/// The key of the cached endpoint list. Only the list's size and version are shown.
const CACHED_LIST_KEY: &str = "known";

/// Returns all effective values. An operators' address from the environment replaces that in the file.
#[must_use]
pub fn effective_values(
    parsed: &ParsedConfiguration,
    admin_address_from_environment: Option<SocketAddr>,
) -> Vec<EffectiveValue> {
    let mut values = document_values(parsed);
    if let Some(address) = admin_address_from_environment {
        values.retain(|value| value.path != ADMIN_KEY);
        values.push(EffectiveValue {
            path: ADMIN_KEY.to_owned(),
            value: Value::from(address.to_string()),
            unit: None,
            origin: ValueOrigin::Environment,
        });
    }
    values.extend(parsed.document.cached_list.as_ref().map(cached_list_size));
    values
}

fn document_values(parsed: &ParsedConfiguration) -> Vec<EffectiveValue> {
    let mut document = serde_json::to_value(&parsed.document).unwrap_or_default();
    if let Some(object) = document.as_object_mut() {
        object.remove(CACHED_LIST_KEY);
    }
    let file_values = leaf_values(&parsed.file_content);
    let file_paths: HashSet<String> = file_values.into_iter().map(|(path, _)| path).collect();
    let effective = leaf_values(&document).into_iter();
    effective
        .map(|(path, value)| EffectiveValue {
            unit: unit(&path, &value),
            origin: if file_paths.contains(&path) {
                ValueOrigin::File
            } else {
                ValueOrigin::Default
            },
            path,
            value,
        })
        .collect()
}

fn cached_list_size(list: &EndpointList) -> EffectiveValue {
    EffectiveValue {
        path: CACHED_LIST_KEY.to_owned(),
        value: Value::from(list.endpoints.len()),
        unit: Some(format!("endpoints, version {}", list.version)),
        origin: ValueOrigin::File,
    }
}

fn unit(path: &str, value: &Value) -> Option<String> {
    if path.ends_with(NANOSECONDS_SUFFIX) {
        let time = value.as_u64().map(Duration::from_nanos)?;
        return Some(format!("ns, {time:?}"));
    }
    UNITS
        .iter()
        .find(|(suffix, _)| path.ends_with(suffix))
        .map(|(_, unit)| (*unit).to_owned())
}

impl fmt::Display for ValueOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueOrigin::File => "file",
            ValueOrigin::Default => "default",
            ValueOrigin::Environment => ADMIN_ADDRESS_VARIABLE,
        })
    }
}

impl fmt::Display for EffectiveValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.path, self.value)?;
        if let Some(unit) = &self.unit {
            write!(f, " {unit}")?;
        }
        write!(f, " ({})", self.origin)
    }
}
