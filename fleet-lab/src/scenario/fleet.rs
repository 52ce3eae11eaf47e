//! A fleet of simulated sidecars with its discovery service, for the experiments that use one.

mod metrics;

pub(super) use metrics::{add_convergence_times, add_discovery_calls};

use super::outcome::ScenarioError;
use super::weight_change::{INITIAL_WEIGHT, toggle_weight};
use crate::discovery::{DiscoveryOptions, DiscoveryServer, EndpointEntry, EndpointStatus};
use crate::experiment::{DiscoveryCapacity, Fleet};
use crate::sidecar::configuration::{
    LoadReports, RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use crate::sidecar::simulated::{SecondCounts, SimulatedFleet, SimulatedLoad};
use crate::topology::ZoneName;
use balancer_sidecar::policy::DiscoveryMode;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Zones of a fleet whose experiment has no topology. The operators plan for the same number of zones.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Time between the empty lines on an idle watch, as in the discovery protocol.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// The number of past changes that discovery retains, which is more than any experiment publishes.
const RETAINED_CHANGES: usize = 1000;
/// The number of threads that host a fleet.
const FLEET_THREADS: usize = 2;
/// Mean service time of the endpoints.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(5);
/// A sidecar is busy if its number is a multiple of this value. Busy sidecars receive more calls than the others.
const BUSY_SIDECAR_INTERVAL: usize = 10;
/// The rate of calls of a busy sidecar, as a multiple of the mean rate.
const BUSY_RATE_MULTIPLE: f64 = 3.0;
/// The deadline of each call.
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// Resource limits of a sidecar, as the operators set them.
const SIDECAR_LIMITS: ResourceLimits = ResourceLimits {
    memory_mb: 128,
    descriptors: 1024,
};
/// Calls that discovery handles per second during the start. The experiment's capacity applies only afterwards,
/// because a start with that capacity would take minutes.
const START_CALLS_PER_SECOND: f64 = 1000.0;
/// The longest time until all sidecars have an open watch.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The port of all endpoints. Nothing listens at it because attempts are simulated in memory.
const ENDPOINT_PORT: u16 = 7070;

/// The cached list in the sidecars' configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CachedList {
    /// The full list as it is at the start of the fleet.
    Full,
    /// No list.
    Missing,
}

/// The size and behaviour of a fleet.
#[derive(Clone, Debug)]
pub(super) struct FleetPlan {
    /// All zones.
    pub zones: Vec<ZoneName>,
    /// The endpoints that discovery lists.
    pub endpoints: Vec<EndpointEntry>,
    /// The zone of each sidecar.
    pub sidecar_zones: Vec<ZoneName>,
    /// The cached list in the sidecars' configurations.
    pub cached_list: CachedList,
    /// Mean calls per second of each sidecar.
    pub calls_per_second: f64,
    /// The way in which sidecars get lists: an agent pushes them, or the balancer requests them.
    pub discovery_mode: DiscoveryMode,
    /// The capacity of discovery.
    pub capacity: DiscoveryCapacity,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl FleetPlan {
    /// Plans a fleet with this number of sidecars. Endpoints and sidecars are assigned to the zones in turn.
    pub fn new(fleet: &Fleet, sidecars: u32, cached_list: CachedList, seed: u64) -> Self {
        let zones = ZONES.map(ZoneName::from).to_vec();
        let zone_of = |number: u32| zones[number as usize % zones.len()].clone();
        FleetPlan {
            endpoints: (0..fleet.endpoints)
                .map(|number| endpoint_entry(format!("endpoint-{number}"), zone_of(number), number))
                .collect(),
            sidecar_zones: (0..sidecars).map(zone_of).collect(),
            zones,
            cached_list,
            calls_per_second: fleet.calls_per_second,
            discovery_mode: if fleet.lists_are_pushed {
                DiscoveryMode::Pushed
            } else {
                DiscoveryMode::OnRequest
            },
            capacity: fleet.discovery,
            seed,
        }
    }

    /// Starts discovery and the sidecars, waits until all sidecars have an open watch, and then limits discovery to its
    /// capacity.
    ///
    /// # Errors
    /// Fails if discovery or the sidecars cannot be started, or if a sidecar has no open watch before a timeout.
    pub fn start(self) -> Result<RunningFleet, ScenarioError> {
        let discovery = DiscoveryServer::start(
            self.discovery_options(),
            &self.zones,
            self.endpoints.clone(),
        )
        .map_err(ScenarioError::step("start discovery"))?;
        let started = Instant::now();
        let load = SimulatedLoad {
            calls_per_second: self.calls_per_second,
            mean_service_time: MEAN_SERVICE_TIME,
        };
        let sidecars = SimulatedFleet::start_with_rates(
            &self.configurations(&discovery),
            load,
            rate_multiple,
            FLEET_THREADS,
        )?;
        let watching = sidecars.wait_until_watching(started, START_TIMEOUT);
        let size = self.sidecar_zones.len();
        if watching.missing > 0 {
            let problem = format!(
                "{} of {size} sidecars had no open watch before the timeout of the start",
                watching.missing
            );
            return Err(ScenarioError::Incomplete(problem));
        }
        discovery
            .set_capacity(
                self.capacity.calls_per_second,
                self.capacity.entries_per_second,
            )
            .map_err(ScenarioError::step("set discovery's capacity"))?;
        Ok(RunningFleet {
            sidecars,
            discovery,
            size,
        })
    }

    fn discovery_options(&self) -> DiscoveryOptions {
        DiscoveryOptions {
            calls_per_second: START_CALLS_PER_SECOND,
            queue_timeout: Duration::from_secs_f64(self.capacity.queue_timeout_seconds),
            heartbeat: HEARTBEAT,
            entries_per_second: None,
            on_change: self.capacity.on_change,
            retained_changes: RETAINED_CHANGES,
        }
    }

    fn configurations(&self, discovery: &DiscoveryServer) -> Vec<SidecarConfiguration> {
        let cached_list = match self.cached_list {
            CachedList::Full => Some(discovery.snapshot()),
            CachedList::Missing => None,
        };
        let sidecars = self.sidecar_zones.len() as u32;
        (0..)
            .zip(&self.sidecar_zones)
            .map(|(number, zone)| SidecarConfiguration {
                name: format!("sidecar-{number}"),
                zone: zone.clone(),
                zones: self.zones.clone(),
                position: TierPosition {
                    number,
                    sidecars,
                    ..TierPosition::ONLY
                },
                discovery: discovery.address(zone),
                discovery_mode: self.discovery_mode,
                cached_list: cached_list.clone(),
                classes: vec![request_class()],
                load_reports: LoadReports::WithResponses,
                seed: self.seed.wrapping_add(u64::from(number)),
                limits: SIDECAR_LIMITS,
            })
            .collect()
    }
}

/// A running fleet. When it is dropped, the sidecars are stopped before discovery.
pub(super) struct RunningFleet {
    /// The sidecars.
    pub sidecars: SimulatedFleet,
    /// The discovery service that they watch.
    pub discovery: DiscoveryServer,
    /// The number of sidecars.
    pub size: usize,
}

impl RunningFleet {
    /// Changes the weight of one endpoint, publishes the change, and returns the new version. The number selects the
    /// endpoint, modulo the number of endpoints.
    pub fn publish_change(&self, number: u32) -> u64 {
        let mut endpoints = self.discovery.snapshot().endpoints;
        let index = number as usize % endpoints.len();
        let change = toggle_weight(&mut endpoints[index]);
        self.discovery.publish(vec![change])
    }

    /// Returns the index of the current second in the sidecars' timeline.
    pub fn current_second(&self) -> usize {
        self.sidecars.timeline().len().saturating_sub(1)
    }

    /// Returns the counts of each second from `from` on, without the current second, which is incomplete.
    pub fn seconds_since(&self, from: usize) -> Vec<SecondCounts> {
        let mut seconds = self.sidecars.timeline();
        seconds.pop();
        seconds.split_off(from.min(seconds.len()))
    }
}

/// Returns the entry of a serving endpoint that started long ago. Each number gives another address, at which nothing
/// listens.
pub(super) fn endpoint_entry(name: String, zone: ZoneName, number: u32) -> EndpointEntry {
    let [_, _, high, low] = number.to_be_bytes();
    EndpointEntry {
        name,
        address: SocketAddr::from((Ipv4Addr::new(127, 1, high, low), ENDPOINT_PORT)),
        zone,
        machine_type: "m1".to_owned(),
        group: 0,
        status: EndpointStatus::Serving,
        weight: INITIAL_WEIGHT,
        since_ms: 0,
    }
}

fn request_class() -> RequestClass {
    RequestClass {
        name: "safe".to_owned(),
        is_unsafe: false,
        priority_weight: 1.0,
        deadline: CALL_DEADLINE,
    }
}

/// Returns the rate of calls of a sidecar as a multiple of the mean rate. The multiples of ten consecutive sidecars add
/// up to ten.
fn rate_multiple(sidecar: usize) -> f64 {
    if sidecar.is_multiple_of(BUSY_SIDECAR_INTERVAL) {
        return BUSY_RATE_MULTIPLE;
    }
    let interval = BUSY_SIDECAR_INTERVAL as f64;
    (interval - BUSY_RATE_MULTIPLE) / (interval - 1.0)
}
