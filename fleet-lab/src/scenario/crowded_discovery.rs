//! Time until all sidecars have each version of the list while discovery is under heavy load, by fleet size.

use super::fleet::{
    CachedList, FleetPlan, RunningFleet, add_convergence_times, add_discovery_calls,
};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::experiment::CrowdedDiscovery;
use crate::sidecar::simulated::ConvergenceTimes;
use std::thread;
use std::time::{Duration, Instant};

/// The reported quantiles of the delays, over all versions and sidecars.
const QUANTILES: [(&str, f64); 4] = [
    ("half", 0.5),
    ("9 in 10", 0.9),
    ("99 in 100", 0.99),
    ("last", 1.0),
];

pub(super) fn run(plan: &CrowdedDiscovery, seed: u64) -> Result<ScenarioOutcome, ScenarioError> {
    let mut table = MetricTable::with_size_unit("sidecars");
    for &size in &plan.fleet.sizes {
        let fleet = FleetPlan::new(&plan.fleet, size, CachedList::Full, seed).start()?;
        measure(plan, &fleet, &mut table);
    }
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems: Vec::new(),
    })
}

/// A version and the time of its publication.
struct PublishedVersion {
    version: u64,
    at: Instant,
}

/// Restarts some sidecars, publishes one version after another, and measures the delay of each version at each sidecar.
fn measure(plan: &CrowdedDiscovery, fleet: &RunningFleet, table: &mut MetricTable) {
    let size = fleet.size as f64;
    let late_after = Duration::from_secs_f64(plan.late_after_seconds);
    let start_usage = fleet.discovery.usage();
    let restarted = (size * plan.restarted_fraction).round() as usize;
    fleet.sidecars.restart(&(0..restarted).collect::<Vec<_>>());
    let published = publish_versions(plan, fleet);
    thread::sleep(late_after);

    let mut times = ConvergenceTimes::default();
    for PublishedVersion { version, at } in published {
        times.merge(fleet.sidecars.wait_for_version(version, at, Duration::ZERO));
    }
    let end_usage = fleet.discovery.usage();
    let late = times
        .reached_after
        .iter()
        .filter(|time| **time > late_after);
    let late = late.count() + times.missing;
    let observations = size * f64::from(plan.versions);
    table.add(
        "versions that are late",
        "fraction",
        size,
        late as f64 / observations,
    );
    add_convergence_times(table, "version known", &QUANTILES, size, &times, late_after);
    add_discovery_calls(table, "until the end", size, &start_usage, &end_usage);
}

fn publish_versions(plan: &CrowdedDiscovery, fleet: &RunningFleet) -> Vec<PublishedVersion> {
    let interval = Duration::from_secs_f64(plan.interval_seconds);
    let versions = (0..plan.versions).map(|number| {
        let version = fleet.publish_change(number);
        let at = Instant::now();
        thread::sleep(interval);
        PublishedVersion { version, at }
    });
    versions.collect()
}
