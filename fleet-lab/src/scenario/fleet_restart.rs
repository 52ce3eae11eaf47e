//! Time until all sidecars are ready after a simultaneous restart, by fleet size.

use super::fleet::{
    CachedList, FleetPlan, RunningFleet, add_convergence_times, add_discovery_calls,
};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::experiment::FleetRestart;
use std::time::{Duration, Instant};

/// The reported quantiles of the convergence times.
const QUANTILES: [(&str, f64); 3] = [("half", 0.5), ("9 in 10", 0.9), ("last", 1.0)];
/// The cached lists to measure with, and their names in the metrics.
const VARIANTS: [(CachedList, &str); 2] = [
    (CachedList::Full, "endpoints known"),
    (CachedList::Missing, "none known"),
];
/// The note on the time until sidecars with a cached list are ready. It explains why that time is not zero.
const READY_NOTE: &str =
    "Includes the time in which all balancers start, on two threads of one process.";

pub(super) fn run(plan: &FleetRestart, seed: u64) -> Result<ScenarioOutcome, ScenarioError> {
    let mut table = MetricTable::with_size_unit("sidecars");
    for (cached_list, label) in VARIANTS {
        for &size in &plan.fleet.sizes {
            let fleet = FleetPlan::new(&plan.fleet, size, cached_list, seed).start()?;
            measure(plan, &fleet, label, &mut table);
        }
    }
    for (label, _) in QUANTILES {
        table.add_note(&format!("ready, endpoints known: {label}"), READY_NOTE);
    }
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems: Vec::new(),
    })
}

/// Restarts all sidecars at the same time and waits until all are ready and have an open watch.
fn measure(plan: &FleetRestart, fleet: &RunningFleet, label: &str, table: &mut MetricTable) {
    let size = fleet.size as f64;
    let timeout = Duration::from_secs_f64(plan.timeout_seconds);
    let all: Vec<usize> = (0..fleet.size).collect();

    let start_usage = fleet.discovery.usage();
    let restarted = Instant::now();
    fleet.sidecars.restart(&all);
    let ready = fleet.sidecars.wait_until_ready(restarted, timeout);
    let watching = fleet.sidecars.wait_until_watching(restarted, timeout);
    let end_usage = fleet.discovery.usage();

    add_convergence_times(
        table,
        &format!("ready, {label}"),
        &QUANTILES,
        size,
        &ready,
        timeout,
    );
    add_convergence_times(
        table,
        &format!("watching, {label}"),
        &QUANTILES,
        size,
        &watching,
        timeout,
    );
    add_discovery_calls(
        table,
        &format!("until all watch, {label}"),
        size,
        &start_usage,
        &end_usage,
    );
}
