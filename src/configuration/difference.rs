//! The differences between a running configuration and the next one.

use super::config::Config;
use super::leaf_values::leaf_values;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The way in which a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    /// A reload on SIGHUP applies the change.
    Reload,
    /// Only a restart applies the change.
    Restart,
    /// Neither applies the change, because a reload rejects the whole file.
    Rejected,
}

/// One value that differs between the configurations.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The path of the value in the file, such as `settings.categories[0].worth`.
    pub path: String,
    /// The value in the running configuration, if any.
    pub running: Option<Value>,
    /// The value in the next configuration, if any.
    pub next: Option<Value>,
    /// The way in which the change takes effect.
    pub effect: ChangeEffect,
}

/// Returns the differences between a sidecar's running configuration and the next one.
///
/// If a reload would reject the next one because a key is missing, only this key is returned.
#[must_use]
pub fn differences(running: &Config, next: &Config) -> Vec<Difference> {
    if let Some(path) = running.reload_baseline.missing_key(&next.reload_baseline) {
        return vec![Difference {
            path,
            running: None,
            next: None,
            effect: ChangeEffect::Rejected,
        }];
    }
    let running = values_by_path(&running.file_content);
    let next = values_by_path(&next.file_content);
    let paths: BTreeSet<&String> = running.keys().chain(next.keys()).collect();
    let changed_paths = paths
        .into_iter()
        .filter(|path| running.get(*path) != next.get(*path));
    changed_paths
        .filter_map(|path| {
            Some(Difference {
                path: path.clone(),
                running: running.get(path).cloned(),
                next: next.get(path).cloned(),
                effect: effect(path)?,
            })
        })
        .collect()
}

fn values_by_path(document: &Value) -> BTreeMap<String, Value> {
    leaf_values(document).into_iter().collect()
}

/// Returns the effect of a change of the value at a path. Returns `None` for `known` and `seed`, which a process uses
/// only at its start, and for unknown keys.
fn effect(path: &str) -> Option<ChangeEffect> {
    match path.split(['.', '[']).next() {
        Some("settings" | "discovery") => Some(ChangeEffect::Reload),
        Some("name" | "listen" | "admin_addr" | "limits") => Some(ChangeEffect::Restart),
        _ => None,
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.effect {
            ChangeEffect::Reload => "SIGHUP changes",
            ChangeEffect::Restart => "only a restart changes",
            ChangeEffect::Rejected => {
                return write!(
                    f,
                    "turned down: {} is missing, which was there before",
                    self.path
                );
            }
        };
        write!(
            f,
            "{effect} {}: {} to {}",
            self.path,
            format_value(self.running.as_ref()),
            format_value(self.next.as_ref())
        )
    }
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| "absent".to_owned(), Value::to_string)
}
