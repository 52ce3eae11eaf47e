//! Experiment files: what is measured, at which sizes, and how the systems around the sidecars behave.

mod check;

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
    /// Its name, as reports give it.
    pub name: String,
    /// What it is for, in a sentence.
    pub purpose: String,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// What is measured.
    pub measure: Measurement,
}

/// What an experiment measures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Measurement {
    /// Latency through one sidecar less latency straight to an endpoint, and processor time a call, by rate.
    AddedLatency(AddedLatency),
    /// Latency through chains of sidecars less that through the same chains without them, by depth.
    AddedLatencyByDepth(AddedLatencyByDepth),
    /// Attempts at the last tier for each call of the first, by depth, while the last tier fails a share.
    RetryAmplification(RetryAmplification),
    /// A real sidecar's memory by listed endpoints, open requests and callers' connections.
    Memory(Memory),
    /// A real sidecar's processor time by changes of the list, probes and reloads, and the bytes of its watch.
    ControlCost(ControlCost),
    /// Time until a change is known everywhere, by fleet size.
    Propagation(Propagation),
    /// Time until the list is current everywhere after discovery was down, by fleet size.
    Outage(Outage),
    /// Time until all are ready that restart at once, by fleet size.
    FleetRestart(FleetRestart),
    /// What each failure of the operators' plan costs, and for how long.
    Failures(Failures),
}

/// See [`Measurement::AddedLatency`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedLatency {
    /// Endpoints that the sidecar knows.
    pub endpoints: u32,
    /// Calls a second, one measurement each.
    pub rates: Vec<f64>,
    /// Changes of the list a second meanwhile.
    pub changes_per_second: f64,
    /// Share of the calls that are unsafe to repeat.
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
    /// Tiers of sidecars and endpoints, one measurement each.
    pub depths: Vec<u32>,
    /// Endpoints in each tier.
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
    /// Tiers, one measurement each.
    pub depths: Vec<u32>,
    /// Endpoints in each tier.
    pub endpoints_per_tier: u32,
    /// Calls a second at the first tier.
    pub calls_per_second: f64,
    /// Share of the requests that the last tier answers 500.
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
    /// Numbers of requests open at once.
    pub open_requests: Vec<u32>,
    /// Numbers of idle connections that callers hold.
    pub caller_connections: Vec<u32>,
}

/// See [`Measurement::ControlCost`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlCost {
    /// Endpoints that the sidecar knows.
    pub endpoints: u32,
    /// Numbers of changes of the list, each published within the seconds below.
    pub changes: Vec<u32>,
    /// Numbers of reloads.
    pub reloads: Vec<u32>,
    /// Rates of calls at which probes are counted, where load reports come with probes alone.
    #[serde(rename = "probing_rates")]
    pub health_check_rates: Vec<f64>,
    /// Seconds of each measurement.
    pub seconds: f64,
}

/// How discovery behaves in an experiment with a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryCapacity {
    /// Calls that it answers a second.
    pub calls_per_second: f64,
    /// A call that has waited longer is answered 503.
    #[serde(rename = "longest_wait_seconds")]
    pub queue_timeout_seconds: f64,
}

/// What a fleet of hollow sidecars is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Numbers of sidecars, one measurement each.
    pub sizes: Vec<u32>,
    /// Endpoints in the list.
    pub endpoints: u32,
    /// Mean calls a second of each sidecar.
    pub calls_per_second: f64,
    /// Whether lists are pushed, or watched through calls that the decision module asks for.
    pub lists_are_pushed: bool,
    /// How discovery behaves.
    pub discovery: DiscoveryCapacity,
}

/// See [`Measurement::Propagation`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propagation {
    /// The fleet.
    pub fleet: Fleet,
    /// Changes, one after another.
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
    /// Seconds that discovery is down.
    pub outage_seconds: f64,
    /// Seconds after its return at which a sidecar without the change counts as missing.
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

/// See [`Measurement::Failures`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Regions, zones, racks, services and endpoints.
    pub topology: TopologySize,
    /// Mean calls a second of each sidecar.
    pub calls_per_second: f64,
    /// How discovery behaves.
    pub discovery: DiscoveryCapacity,
    /// The failures, one after another.
    pub faults: Vec<Fault>,
    /// Seconds that each lasts.
    pub fault_seconds: f64,
    /// Seconds between the end of one and the start of the next.
    #[serde(rename = "rest_seconds")]
    pub pause_seconds: f64,
}

/// Why an experiment file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It is no experiment.
    #[error("{}: {}", path.display(), one_line(source))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong with it, and where.
        source: Box<toml::de::Error>,
    },
    /// Values make no sense.
    #[error("{}", value_lines(path, faults))]
    Values {
        /// The file.
        path: PathBuf,
        /// All that is wrong with its values.
        faults: Vec<ValueFault>,
    },
}

/// What is wrong with one value of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct ValueFault {
    /// The field, as a path.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// What the parser says, without its excerpt of the file.
fn one_line(error: &toml::de::Error) -> String {
    error.message().trim().replace('\n', "; ")
}

/// One line for each fault, each with the file's path.
fn value_lines(path: &Path, faults: &[ValueFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It cannot be read or is no experiment, or values make no sense.
    pub fn load(path: &Path) -> Result<Self, ExperimentError> {
        let text = fs::read_to_string(path).map_err(|source| read_error(path, source))?;
        let experiment: Experiment =
            toml::from_str(&text).map_err(|source| ExperimentError::Parse {
                path: path.into(),
                source: Box::new(source),
            })?;
        let faults = check::faults(&experiment);
        if faults.is_empty() {
            Ok(experiment)
        } else {
            Err(ExperimentError::Values {
                path: path.into(),
                faults,
            })
        }
    }

    /// Reads all `.toml` files of a folder, by name.
    ///
    /// # Errors
    /// As [`Experiment::load`].
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
