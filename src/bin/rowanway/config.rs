//! What this sidecar is told at its start, and again on SIGHUP: the file that `ROUTER_CONFIG` names.

use passproxy::api::Settings;
use passproxy::discovery::EndpointList;
use passproxy::wire;
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};
use serde_json::value::{RawValue, Value};
use std::net::SocketAddr;

/// The configuration, with its settings in the decision module's form.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where the operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that this process may hold.
    pub sockets: usize,
    pub memory_mb: usize,
    /// The endpoints as this sidecar last had them; perhaps old.
    pub known: Option<EndpointList>,
    pub settings: Settings,
    /// What holds for as long as the process runs.
    pub fixed: Fixed,
    /// Settings and limits as the file has them.
    pub document: Value,
}

/// Settings that may be absent, where others may not once they have been there.
const MAY_BE_ABSENT: [&str; 5] = ["aimStretch", "passesDeadline", "warmKeys", "drainCloseNs", "orderPauseNs"];

/// What a reload cannot take over, by name: the sockets and the budgets were made with it. The seed is none of it: it is
/// new with each start, and only then of use.
#[derive(PartialEq)]
pub struct Fixed([(&'static str, Value); 4]);

impl Fixed {
    /// The names of what differs.
    pub fn differs(&self, other: &Fixed) -> Vec<&'static str> {
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

/// The first key that one document has and the next lacks, as a path. Many have a value that stands in for them at the
/// start, but a file that has lost one is broken. Of lists, each element has to have what all had.
fn lost(before: &Value, after: &Value) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            if MAY_BE_ABSENT.contains(&key.as_str()) {
                return None;
            }
            let Some(next) = after.get(key) else { return Some(key.clone()) };
            lost(value, next).map(|rest| format!("{key}.{rest}"))
        }),
        (Value::Array(before), Value::Array(after)) => {
            let mut common = before.iter().cloned().reduce(|a, b| match (a, b) {
                (Value::Object(mut a), Value::Object(b)) => {
                    a.retain(|key, _| b.contains_key(key));
                    Value::Object(a)
                }
                _ => Value::Null,
            });
            let common = common.take()?;
            after.iter().enumerate().find_map(|(n, v)| Some(format!("{n}.{}", lost(&common, v)?)))
        }
        _ => None,
    }
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(|e| D::Error::custom(format!("seed {text}: {e}")))
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; what is wrong with it fits on one line.
    pub fn from_environment() -> Result<Self, String> {
        let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut config = Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        config.admin = Self::admin_from_environment()?.or(config.admin);
        Ok(config)
    }

    /// The environment is this process's own, where a file may serve two of them during an upgrade: it goes first.
    fn admin_from_environment() -> Result<Option<SocketAddr>, String> {
        let Some(text) = std::env::var_os("ROUTER_ADMIN_ADDR").filter(|t| !t.is_empty()) else {
            return Ok(None);
        };
        let address = text.to_str().and_then(|t| t.parse().ok());
        address.map(Some).ok_or_else(|| format!("ROUTER_ADMIN_ADDR is no address: {}", text.display()))
    }

    /// The first setting or limit that another has and this one lacks.
    pub fn lacks(&self, document: &Value) -> Option<String> {
        lost(document, &self.document)
    }

    /// The settings, by their first names, that differ from another's.
    pub fn changes(&self, document: &Value) -> Vec<String> {
        let (Some(before), Some(after)) =
            (document["settings"].as_object(), self.document["settings"].as_object())
        else {
            return Vec::new();
        };
        let names = before.keys().chain(after.keys().filter(|k| !before.contains_key(*k)));
        names.filter(|k| before.get(*k) != after.get(*k)).cloned().collect()
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let document: Document = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let settings = wire::parse_settings(document.settings.get()).map_err(|e| e.to_string())?;
        settings.check().map_err(|e| format!("settings: {e}"))?;
        let fixed = Fixed([
            ("name", document.name.as_str().into()),
            ("listen", document.listen.to_string().into()),
            ("admin_addr", document.admin_addr.map(|a| a.to_string()).into()),
            ("limits", serde_json::to_value(&document.limits).map_err(|e| e.to_string())?),
        ]);
        let settings_text: Value =
            serde_json::from_str(document.settings.get()).map_err(|e| e.to_string())?;
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
            document: serde_json::json!({"settings": settings_text, "limits": document.limits}),
            fixed,
        })
    }
}
