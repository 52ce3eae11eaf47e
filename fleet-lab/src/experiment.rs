//! Experiment files. Each defines a measurement, its sizes, and the behaviour of the systems around the sidecars.

mod check;

use crate::discovery::ListChangeAction;
use crate::endpoint::EndpointOptions;
use crate::fault::Fault;
use crate::topology::TopologySize;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// An experiment, as its file defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name in reports.
    pub name: String,
    /// The purpose, in one sentence.
    pub purpose: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The measurement and its parameters.
    pub measure: Measurement,
}

/// The kind of an experiment's measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Measurement {
    /// Added latency of one sidecar and its processor time for each call, by rate of calls.
    AddedLatency(AddedLatency),
    /// Added latency of chains of sidecars, by depth.
    AddedLatencyByDepth(AddedLatencyByDepth),
    /// Attempts at the last tier for each call of the first tier, by depth. The last tier fails a fraction of the
    /// attempts.
    RetryAmplification(RetryAmplification),
    /// Memory of a real sidecar, by the numbers of listed endpoints, pending requests and client connections.
    Memory(Memory),
    /// Processor time of a real sidecar for list changes, health checks and reloads, and the bytes of its watch.
    ControlCost(ControlCost),
    /// Propagation delay of a list change, by fleet size.
    Propagation(Propagation),
    /// Time until all sidecars have the current list after an outage of discovery, by fleet size.
    Outage(Outage),
    /// Time until all sidecars are ready after a simultaneous restart, by fleet size.
    FleetRestart(FleetRestart),
    /// Time until all sidecars have each version of the list while discovery is under heavy load, and the fraction
    /// of late versions, by fleet size.
    CrowdedDiscovery(CrowdedDiscovery),
    /// Cost and duration of each fault that the operators plan for.
    Failures(Failures),
}

/// Parameters of [`Measurement::AddedLatency`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedLatency {
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Rates in calls per second, one measurement each.
    pub rates: Vec<f64>,
    /// List changes per second during the measurements.
    pub changes_per_second: f64,
    /// The fraction of calls that are unsafe to repeat.
    #[serde(rename = "unsafe_share")]
    pub unsafe_fraction: f64,
    /// The behaviour of the endpoints.
    pub endpoint: EndpointOptions,
    /// Seconds before each measurement.
    pub warm_up_seconds: f64,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// Parameters of [`Measurement::AddedLatencyByDepth`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedLatencyByDepth {
    /// Numbers of tiers, one measurement each.
    pub depths: Vec<u32>,
    /// The number of endpoints in each tier.
    pub endpoints_per_tier: u32,
    /// Calls per second at the first tier.
    pub calls_per_second: f64,
    /// The behaviour of the endpoints.
    pub endpoint: EndpointOptions,
    /// Seconds before each measurement.
    pub warm_up_seconds: f64,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// Parameters of [`Measurement::RetryAmplification`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryAmplification {
    /// Numbers of tiers, one measurement each.
    pub depths: Vec<u32>,
    /// The number of endpoints in each tier.
    pub endpoints_per_tier: u32,
    /// Calls per second at the first tier.
    pub calls_per_second: f64,
    /// The fraction of requests that the last tier answers with status 500.
    #[serde(rename = "error_share")]
    pub error_rate: f64,
    /// The behaviour of the endpoints.
    pub endpoint: EndpointOptions,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// Parameters of [`Measurement::Memory`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    /// Numbers of listed endpoints, one measurement each.
    pub endpoints: Vec<u32>,
    /// Numbers of pending requests, one measurement each.
    pub open_requests: Vec<u32>,
    /// Numbers of idle client connections, one measurement each.
    pub caller_connections: Vec<u32>,
}

/// Parameters of [`Measurement::ControlCost`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCost {
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Numbers of list changes, one measurement each. The changes are spread evenly over the measurement.
    pub changes: Vec<u32>,
    /// Numbers of reloads, one measurement each. The reloads are spread evenly over the measurement.
    pub reloads: Vec<u32>,
    /// Rates in calls per second. Each is measured with a sidecar whose load reports come from health checks, and with
    /// one whose load reports come with responses.
    #[serde(rename = "probing_rates")]
    pub health_check_rates: Vec<f64>,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// The capacity of discovery in an experiment with a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryCapacity {
    /// Calls that discovery handles per second.
    pub calls_per_second: f64,
    /// Seconds that a call may be queued before it gets status 503.
    #[serde(rename = "longest_wait_seconds")]
    pub queue_timeout_seconds: f64,
    /// List entries that discovery writes per second, in addition to the time for each call. `None` means that entries
    /// take no time.
    #[serde(default)]
    pub entries_per_second: Option<f64>,
    /// The action on open watches when the list changes.
    #[serde(default)]
    pub on_change: ListChangeAction,
}

/// A fleet of simulated sidecars.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Numbers of sidecars, one measurement each.
    pub sizes: Vec<u32>,
    /// The number of listed endpoints.
    pub endpoints: u32,
    /// Mean calls per second of each sidecar.
    pub calls_per_second: f64,
    /// True if an agent pushes lists. Otherwise the balancer requests them.
    pub lists_are_pushed: bool,
    /// The capacity of discovery.
    pub discovery: DiscoveryCapacity,
}

/// Parameters of [`Measurement::Propagation`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propagation {
    /// The fleet.
    pub fleet: Fleet,
    /// The number of list changes, which are published one after another.
    pub changes: u32,
    /// Seconds after which a sidecar without the change counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// Parameters of [`Measurement::Outage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// The fleet.
    pub fleet: Fleet,
    /// Seconds of the outage.
    pub outage_seconds: f64,
    /// Seconds after the end of the outage at which a sidecar without the change counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// Parameters of [`Measurement::FleetRestart`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRestart {
    /// The fleet.
    pub fleet: Fleet,
    /// Seconds after which a sidecar that is not ready counts as missing.
    #[serde(rename = "longest_seconds")]
    pub timeout_seconds: f64,
}

/// Parameters of [`Measurement::CrowdedDiscovery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrowdedDiscovery {
    /// The fleet.
    pub fleet: Fleet,
    /// The fraction of the sidecars that are killed and started again just before the first version.
    pub restarted_fraction: f64,
    /// The number of list versions, which are published one after another.
    pub versions: u32,
    /// Seconds between two versions.
    pub interval_seconds: f64,
    /// Seconds after a version's publication at which a sidecar without it counts as late.
    pub late_after_seconds: f64,
}

/// Parameters of [`Measurement::Failures`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// The size of the topology.
    pub topology: TopologySize,
    /// Mean calls per second of each sidecar.
    pub calls_per_second: f64,
    /// The capacity of discovery.
    pub discovery: DiscoveryCapacity,
    /// The faults, which are injected one after another.
    pub faults: Vec<Fault>,
    /// Seconds that each fault lasts.
    pub fault_seconds: f64,
    /// Seconds between two faults.
    #[serde(rename = "rest_seconds")]
    pub pause_seconds: f64,
}

/// The reason why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not a valid TOML document of an experiment.
    #[error("{}: {}", path.display(), single_line_message(source))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error, with its position.
        source: Box<toml::de::Error>,
    },
    /// Some values of the file are invalid.
    #[error("{}", invalid_value_lines(path, errors))]
    Values {
        /// The file.
        path: PathBuf,
        /// All invalid values.
        errors: Vec<InvalidValue>,
    },
}

/// An invalid value of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct InvalidValue {
    /// The path of the field, such as `measure.endpoints`.
    pub field: String,
    /// The reason why the value is invalid.
    pub problem: String,
}

/// Returns the parser's message without its excerpt of the file.
fn single_line_message(error: &toml::de::Error) -> String {
    error.message().trim().replace('\n', "; ")
}

/// Returns one line for each invalid value, each with the file's path.
fn invalid_value_lines(path: &Path, errors: &[InvalidValue]) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|invalid_value| format!("{}: {invalid_value}", path.display()))
        .collect();
    lines.join("\n")
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is not an experiment, or has invalid values.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = fs::read_to_string(path).map_err(|source| read_error(path, source))?;
        let experiment: Experiment =
            toml::from_str(&text).map_err(|source| ExperimentError::Parse {
                path: path.into(),
                source: Box::new(source),
            })?;
        let errors = check::find_invalid_values(&experiment);
        if errors.is_empty() {
            Ok(experiment)
        } else {
            Err(ExperimentError::Values {
                path: path.into(),
                errors,
            })
        }
    }

    /// Reads and checks all `.toml` files of a folder, ordered by name.
    ///
    /// # Errors
    /// Fails if the folder cannot be read or [`Experiment::load`] fails for a file.
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
