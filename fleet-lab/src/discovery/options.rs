//! Options of a simulated discovery service.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Capacity and timing of a simulated discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// The number of calls (full lists and new watches) that the service handles per second, in order of arrival.
    pub calls_per_second: f64,
    /// The longest time for which a call is queued. A call that would wait longer gets status 503 after this time.
    pub queue_timeout: Duration,
    /// The time between the empty lines on a watch without changes.
    pub heartbeat: Duration,
    /// The number of list entries that the service writes per second, in addition to the time for each call. `None`
    /// means that entries take no time.
    pub entries_per_second: Option<f64>,
    /// The action on open watches when the list changes.
    pub on_change: ListChangeAction,
    /// The number of past versions from which a watch can resume. A watch from an older version gets the full list.
    pub retained_changes: usize,
}

/// The action on open watches when the list changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListChangeAction {
    /// The service sends the change on each watch.
    #[default]
    #[serde(rename = "sends")]
    SendChange,
    /// The service ends each watch. A new watch starts with the full list unless it names the current version.
    #[serde(rename = "ends")]
    EndWatch,
}
