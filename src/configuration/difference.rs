//! What another configuration would change in a running sidecar.

use super::config::Config;
use super::flat::leaves;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// What a change needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// SIGHUP takes it over.
    Reload,
    /// Only a restart takes it over.
    Restart,
    /// SIGHUP turns the whole file down.
    TurnedDown,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Its path in the document.
    pub path: String,
    /// Before, if it was there.
    pub before: Option<Value>,
    /// After, if it is there.
    pub after: Option<Value>,
    /// What the change needs.
    pub effect: Effect,
}

/// What differs between the configuration that a sidecar runs with and another. A key that has gone for which the whole
/// file would be turned down is the only difference then.
#[must_use]
pub fn differences(running: &Config, next: &Config) -> Vec<Difference> {
    if let Some(path) = next.missing_key(&running.document) {
        return vec![Difference {
            path,
            before: None,
            after: None,
            effect: Effect::TurnedDown,
        }];
    }
    let (before, after) = (leaves(&running.value), leaves(&next.value));
    let paths: BTreeSet<&String> = before.iter().chain(&after).map(|(path, _)| path).collect();
    let value_of = |leaves: &[(String, Value)], path: &str| {
        leaves
            .iter()
            .find(|(other, _)| other == path)
            .map(|(_, value)| value.clone())
    };
    let differing = paths.into_iter().filter_map(|path| {
        let (before, after) = (value_of(&before, path), value_of(&after, path));
        let effect = effect(path)?;
        (before != after).then(|| Difference {
            path: path.clone(),
            before,
            after,
            effect,
        })
    });
    differing.collect()
}

/// None for what counts at a start alone (`known`, `seed`): a running sidecar knows better.
fn effect(path: &str) -> Option<Effect> {
    match path.split(['.', '[']).next() {
        Some("settings" | "discovery") => Some(Effect::Reload),
        Some("name" | "listen" | "admin_addr" | "limits") => Some(Effect::Restart),
        _ => None,
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown =
            |value: &Option<Value>| value.as_ref().map_or("absent".into(), Value::to_string);
        let effect = match self.effect {
            Effect::Reload => "SIGHUP changes",
            Effect::Restart => "only a restart changes",
            Effect::TurnedDown => {
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
            shown(&self.before),
            shown(&self.after)
        )
    }
}
