//! Cost and duration of faults in a fleet. The experiment lists the faults that the operators plan for.
//!
//! There is one simulated sidecar for each endpoint. The model has two simplifications:
//!
//! - Sidecars on failed machines continue to call until they are restarted with their machines. A lost zone therefore
//!   costs more calls than the operators expect in production.
//! - All sidecars reach the same endpoints. A partitioned region therefore loses discovery, but not the endpoints of
//!   the other region.

mod cost;
mod injection;

use super::fleet::{CachedList, FleetPlan, RunningFleet, endpoint_entry};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::experiment::Failures;
use crate::fault::{Fault, Impact};
use crate::topology::Topology;
use balancer_sidecar::policy::DiscoveryMode;
use cost::{CONVERGENCE_TIMEOUT, FaultCost, add_fault_cost};
use injection::FaultInjector;
use std::thread;
use std::time::{Duration, Instant};

/// The unit of the metrics' sizes. A size is the number of a fault, and 0 is the measurement without a fault.
const SIZE_UNIT: &str = "fault";

pub(super) fn run(plan: &Failures, seed: u64) -> Result<ScenarioOutcome, ScenarioError> {
    let topology = Topology::generate(&plan.topology, seed);
    let fleet_plan = fleet_plan(plan, &topology, seed);
    let endpoints = fleet_plan.endpoints.clone();
    let fleet = fleet_plan.start()?;
    let injector = FaultInjector {
        fleet: &fleet,
        endpoints: &endpoints,
        duration: Duration::from_secs_f64(plan.fault_seconds),
    };
    let pause = Duration::from_secs_f64(plan.pause_seconds);

    let mut table = MetricTable::with_size_unit(SIZE_UNIT);
    let mut descriptions = vec!["0: none".to_owned()];
    add_fault_cost(&mut table, 0, &measure_idle(&fleet, pause));
    for (number, fault) in (1..).zip(&plan.faults) {
        let impact = fault.impact(&topology, seed.wrapping_add(number));
        add_fault_cost(
            &mut table,
            number,
            &measure_fault(&injector, fault, &impact, pause),
        );
        descriptions.push(format!("{number}: {}", describe_fault(fault, &impact)));
    }
    table.add_note_to_all(&format!("{}.", descriptions.join("; ")));
    Ok(ScenarioOutcome {
        metrics: table.without_slopes(),
        problems: Vec::new(),
    })
}

/// Plans a fleet with one sidecar for each endpoint of the topology, in the endpoint's zone.
fn fleet_plan(plan: &Failures, topology: &Topology, seed: u64) -> FleetPlan {
    let placements = &topology.placements;
    let entries = (0..).zip(placements).map(|(number, placement)| {
        endpoint_entry(
            placement.endpoint.to_string(),
            placement.zone.clone(),
            number,
        )
    });
    FleetPlan {
        zones: topology.zones.clone(),
        endpoints: entries.collect(),
        sidecar_zones: placements
            .iter()
            .map(|placement| placement.zone.clone())
            .collect(),
        cached_list: CachedList::Full,
        calls_per_second: plan.calls_per_second,
        discovery_mode: DiscoveryMode::Pushed,
        capacity: plan.discovery,
        seed,
    }
}

/// Measures the fleet without a fault.
fn measure_idle(fleet: &RunningFleet, pause: Duration) -> FaultCost {
    let from = fleet.current_second();
    thread::sleep(pause);
    FaultCost::from_seconds(&fleet.seconds_since(from))
}

/// Measures the cost of a fault from its start until all sidecars have the current list and the pause has passed.
fn measure_fault(
    injector: &FaultInjector<'_>,
    fault: &Fault,
    impact: &Impact,
    pause: Duration,
) -> FaultCost {
    let fleet = injector.fleet;
    let from = fleet.current_second();
    let last_version = injector.inject(fault, impact);
    let ended = Instant::now();
    let convergence_times =
        fleet
            .sidecars
            .wait_for_version(last_version, ended, CONVERGENCE_TIMEOUT);
    thread::sleep(pause.saturating_sub(ended.elapsed()));
    FaultCost {
        convergence_times: Some(convergence_times),
        ..FaultCost::from_seconds(&fleet.seconds_since(from))
    }
}

/// Describes a fault for the notes in the report.
fn describe_fault(fault: &Fault, impact: &Impact) -> String {
    let machines = impact.endpoints.len();
    match fault {
        Fault::Machines { .. } => format!("{machines} machines vanish"),
        Fault::RollingRestart { wave, .. } => {
            format!("{machines} machines restart, {wave} at once")
        }
        Fault::Rack => format!("a rack with {machines} machines vanishes"),
        Fault::Zone => {
            format!(
                "a zone with {machines} machines vanishes, and it is partitioned from discovery"
            )
        }
        Fault::RegionPartition => format!(
            "a region of {} zones is partitioned from discovery, but not from the other region's endpoints",
            impact.partitioned_zones.len()
        ),
        Fault::DiscoveryOutage => "discovery is down".to_owned(),
    }
}
