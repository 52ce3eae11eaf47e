//! Experiment files: what is measured, at which sizes, and how the systems around the sidecars behave.

mod check;

use crate::discovery::WatchOnChange;
use crate::endpoint::EndpointOptions;
use crate::fault::Fault;
use crate::topology::TopologySize;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// One experiment, as its file describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name in reports.
    pub name: String,
    /// Its purpose, in a sentence.
    pub purpose: String,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// What is measured.
    pub measure: Measurement,
}

/// The kind of an experiment's measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Measurement {
    /// Added latency of one sidecar and its processor time for each call, by rate.
    AddedLatency(AddedLatency),
    /// Added latency of chains of sidecars, by depth.
    AddedLatencyByDepth(AddedLatencyByDepth),
    /// Attempts at the last tier for each call of the first one, by depth, while the last tier fails a fraction of
    /// them.
    RetryAmplification(RetryAmplification),
    /// A real sidecar's memory by listed endpoints, pending requests and client connections.
    Memory(Memory),
    /// A real sidecar's processor time by list changes, health checks and reloads, and the bytes of its watch.
    ControlCost(ControlCost),
    /// Propagation delay of a change, by fleet size.
    Propagation(Propagation),
    /// Time until the list is current everywhere after an outage of discovery, by fleet size.
    Outage(Outage),
    /// Time until all sidecars are ready after a simultaneous restart, by fleet size.
    FleetRestart(FleetRestart),
    /// Time until each version of the list is known while discovery is crowded, and how many sidecars are late, by fleet
    /// size.
    CrowdedDiscovery(CrowdedDiscovery),
    /// The cost of each failure of the operators' plan, and its duration.
    Failures(Failures),
}

/// See [`Measurement::AddedLatency`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedLatency {
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Calls a second, one measurement each.
    pub rates: Vec<f64>,
    /// List changes a second during the measurements.
    pub changes_per_second: f64,
    /// The fraction of calls that are unsafe to repeat.
    #[serde(rename = "unsafe_share")]
    pub unsafe_fraction: f64,
    /// How the endpoints behave.
    pub endpoint: EndpointOptions,
    /// Seconds before each measurement.
    pub warm_up_seconds: f64,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// See [`Measurement::AddedLatencyByDepth`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedLatencyByDepth {
    /// Numbers of tiers, one measurement each.
    pub depths: Vec<u32>,
    /// The number of endpoints in each tier.
    pub endpoints_per_tier: u32,
    /// Calls a second at the first tier.
    pub calls_per_second: f64,
    /// How the endpoints behave.
    pub endpoint: EndpointOptions,
    /// Seconds before each measurement.
    pub warm_up_seconds: f64,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// See [`Measurement::RetryAmplification`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryAmplification {
    /// Numbers of tiers, one measurement each.
    pub depths: Vec<u32>,
    /// The number of endpoints in each tier.
    pub endpoints_per_tier: u32,
    /// Calls a second at the first tier.
    pub calls_per_second: f64,
    /// The fraction of requests that the last tier answers 500.
    #[serde(rename = "error_share")]
    pub error_rate: f64,
    /// How the endpoints behave.
    pub endpoint: EndpointOptions,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// See [`Measurement::Memory`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    /// Numbers of listed endpoints.
    pub endpoints: Vec<u32>,
    /// Numbers of pending requests.
    pub open_requests: Vec<u32>,
    /// Numbers of idle client connections.
    pub caller_connections: Vec<u32>,
}

/// See [`Measurement::ControlCost`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCost {
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Numbers of list changes, each published within the seconds below.
    pub changes: Vec<u32>,
    /// Numbers of reloads.
    pub reloads: Vec<u32>,
    /// Rates of calls at which health checks are counted, with load reports from health checks only.
    #[serde(rename = "probing_rates")]
    pub health_check_rates: Vec<f64>,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// The capacity of discovery in an experiment with a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryCapacity {
    /// Calls that it handles a second.
    pub calls_per_second: f64,
    /// Seconds that a call may be queued; then it is answered 503.
    #[serde(rename = "longest_wait_seconds")]
    pub queue_timeout_seconds: f64,
    /// List entries that it writes a second, beside its time for each call; without it entries cost no time.
    #[serde(default)]
    pub entries_per_second: Option<f64>,
    /// What becomes of an open watch when the list changes.
    #[serde(default)]
    pub on_change: WatchOnChange,
}

/// A fleet of simulated sidecars.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Numbers of sidecars, one measurement each.
    pub sizes: Vec<u32>,
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Mean calls a second of each sidecar.
    pub calls_per_second: f64,
    /// Whether an agent pushes lists; otherwise the decision module requests them.
    pub lists_are_pushed: bool,
    /// The capacity of discovery.
    pub discovery: DiscoveryCapacity,
}

/// See [`Measurement::Propagation`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propagation {
    /// The fleet.
    pub fleet: Fleet,
    /// The number of changes, which are published one after another.
    pub changes: u32,
    /// Seconds after which a sidecar without the change counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// See [`Measurement::Outage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// The fleet.
    pub fleet: Fleet,
    /// Seconds of the outage.
    pub outage_seconds: f64,
    /// Seconds after the outage at which a sidecar without the change counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// See [`Measurement::FleetRestart`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRestart {
    /// The fleet.
    pub fleet: Fleet,
    /// Seconds after which a sidecar that is not ready counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// See [`Measurement::CrowdedDiscovery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrowdedDiscovery {
    /// The fleet.
    pub fleet: Fleet,
    /// The fraction of the sidecars that are killed and started again at the first version.
    pub restarted_fraction: f64,
    /// The number of versions, which are published one after another.
    pub versions: u32,
    /// Seconds between two versions.
    pub interval_seconds: f64,
    /// Seconds after a version's publication at which a sidecar without it is late.
    pub late_after_seconds: f64,
}

/// See [`Measurement::Failures`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// The size of the topology.
    pub topology: TopologySize,
    /// Mean calls a second of each sidecar.
    pub calls_per_second: f64,
    /// The capacity of discovery.
    pub discovery: DiscoveryCapacity,
    /// The failures, one after another.
    pub faults: Vec<Fault>,
    /// Seconds that each failure lasts.
    pub fault_seconds: f64,
    /// Seconds between two failures.
    #[serde(rename = "rest_seconds")]
    pub pause_seconds: f64,
}

/// Why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// It is not an experiment.
    #[error("{}: {}", path.display(), single_line_message(source))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error, with its position.
        source: Box<toml::de::Error>,
    },
    /// Some of its values are invalid.
    #[error("{}", invalid_value_lines(path, invalid_values))]
    Values {
        /// The file.
        path: PathBuf,
        /// All invalid values.
        invalid_values: Vec<InvalidValue>,
    },
}

/// An invalid value of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct InvalidValue {
    /// The path of the field.
    pub field: String,
    /// Why the value is invalid.
    pub problem: String,
}

/// Returns the parser's message without its excerpt of the file.
fn single_line_message(error: &toml::de::Error) -> String {
    error.message().trim().replace('\n', "; ")
}

/// Formats one line for each invalid value, with the file's path.
fn invalid_value_lines(path: &Path, invalid_values: &[InvalidValue]) -> String {
    let lines: Vec<String> = invalid_values
        .iter()
        .map(|invalid_value| format!("{}: {invalid_value}", path.display()))
        .collect();
    lines.join("\n")
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Fails where the file cannot be read, is not an experiment, or has invalid values.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = fs::read_to_string(path).map_err(|source| read_error(path, source))?;
        let experiment: Experiment =
            toml::from_str(&text).map_err(|source| ExperimentError::Parse {
                path: path.into(),
                source: Box::new(source),
            })?;
        let invalid_values = check::find_invalid_values(&experiment);
        if invalid_values.is_empty() {
            Ok(experiment)
        } else {
            Err(ExperimentError::Values {
                path: path.into(),
                invalid_values,
            })
        }
    }

    /// Reads all `.toml` files of a folder, ordered by name.
    ///
    /// # Errors
    /// Fails as [`Experiment::load`] does.
    pub fn load_folder(folder: &Path) -> Result<Vec<Self>, ExperimentError> {
        let mut paths = Vec::new();
        for entry in fs::read_dir(folder).map_err(|source| read_error(folder, source))? {
            let path = entry.map_err(|source| read_error(folder, source))?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "toml")
            {
                paths.push(path);
            }
        }
        paths.sort();
        paths.iter().map(|path| Experiment::load(path)).collect()
    }
}

fn read_error(path: &Path, source: io::Error) -> ExperimentError {
    ExperimentError::Read {
        path: path.into(),
        source,
    }
}
