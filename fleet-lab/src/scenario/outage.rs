//! Time until all sidecars have the current list after an outage of discovery, by fleet size.

use super::fleet::{
    CachedList, FleetPlan, RunningFleet, add_convergence_times, add_discovery_calls,
};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::experiment::Outage;
use std::thread;
use std::time::{Duration, Instant};

/// The reported quantiles of the convergence times.
const QUANTILES: [(&str, f64); 3] = [("half", 0.5), ("9 in 10", 0.9), ("last", 1.0)];

pub(super) fn run(plan: &Outage, seed: u64) -> Result<ScenarioOutcome, ScenarioError> {
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

/// Publishes a change in the middle of an outage of discovery. Measures the time from the end of the outage until all
/// sidecars have received the change.
fn measure(plan: &Outage, fleet: &RunningFleet, table: &mut MetricTable) {
    let size = fleet.size as f64;
    let half_of_outage = Duration::from_secs_f64(plan.outage_seconds / 2.0);
    let timeout = Duration::from_secs_f64(plan.timeout_seconds);
    fleet.discovery.begin_outage();
    thread::sleep(half_of_outage);
    let version = fleet.publish_change(0);
    thread::sleep(half_of_outage);

    let start_usage = fleet.discovery.usage();
    let outage_ended = Instant::now();
    fleet.discovery.end_outage();
    let times = fleet
        .sidecars
        .wait_for_version(version, outage_ended, timeout);
    let end_usage = fleet.discovery.usage();

    add_convergence_times(
        table,
        "list current after the outage",
        &QUANTILES,
        size,
        &times,
        timeout,
    );
    add_discovery_calls(
        table,
        "until the last is current",
        size,
        &start_usage,
        &end_usage,
    );
    table.add(
        "longest queue until the last is current",
        "calls",
        size,
        end_usage.max_queue_length as f64,
    );
}
