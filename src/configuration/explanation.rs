//! The configuration in effect, value by value.

use super::config::ADMIN_VARIABLE;
use super::flat::leaves;
use super::parse::Parsed;
use serde_json::Value;
use std::fmt;
use std::time::Duration;

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The file has it.
    File,
    /// The file does not have it.
    Default,
    /// The environment has it.
    Environment,
}

/// One value in effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Explained {
    /// Its path in the document.
    pub path: String,
    /// The value.
    pub value: Value,
    /// Its unit, and for times how long that is.
    pub unit: Option<String>,
    /// Where it came from.
    pub origin: Origin,
}

/// Units by the ends of keys.
const UNITS: [(&str, &str); 6] = [
    ("memory_mb", "MB"),
    ("limits.sockets", "descriptors"),
    ("limits.cores", "cores"),
    ("quotaPerS", "requests/s"),
    ("sendCap", "attempts"),
    ("maxOpen", "requests"),
];
/// The list of known endpoints is told by its size alone.
const KNOWN: &str = "known";

/// All values in effect. An operators' address in the environment takes the place of the file's.
#[must_use]
pub fn explain(parsed: &Parsed, admin: Option<&str>) -> Vec<Explained> {
    let mut effective = serde_json::to_value(&parsed.document).unwrap_or_default();
    let from_file: Vec<String> = leaves(&parsed.value)
        .into_iter()
        .map(|(path, _)| path)
        .collect();
    if let Some(object) = effective.as_object_mut() {
        object.remove(KNOWN);
    }
    let mut explained: Vec<Explained> = leaves(&effective)
        .into_iter()
        .map(|(path, value)| {
            let origin = if from_file.contains(&path) {
                Origin::File
            } else {
                Origin::Default
            };
            Explained {
                unit: unit(&path, &value),
                path,
                value,
                origin,
            }
        })
        .collect();
    if let Some(address) = admin {
        explained.retain(|value| value.path != "admin_addr");
        let path = "admin_addr".to_owned();
        let value = Value::from(address);
        explained.push(Explained {
            path,
            value,
            unit: None,
            origin: Origin::Environment,
        });
    }
    if let Some(known) = &parsed.document.known {
        let value = Value::from(known.endpoints.len());
        let unit = Some(format!("endpoints, version {}", known.index));
        explained.push(Explained {
            path: KNOWN.into(),
            value,
            unit,
            origin: Origin::File,
        });
    }
    explained
}

fn unit(path: &str, value: &Value) -> Option<String> {
    if path.ends_with("Ns") {
        let time = value.as_u64().map(Duration::from_nanos)?;
        return Some(format!("ns, {time:?}"));
    }
    UNITS
        .iter()
        .find(|(end, _)| path.ends_with(end))
        .map(|(_, unit)| (*unit).to_owned())
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Origin::File => "file",
            Origin::Default => "default",
            Origin::Environment => ADMIN_VARIABLE,
        })
    }
}

impl fmt::Display for Explained {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.path, self.value)?;
        if let Some(unit) = &self.unit {
            write!(f, " {unit}")?;
        }
        write!(f, " ({})", self.origin)
    }
}
