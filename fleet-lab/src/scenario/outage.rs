//! Time until the list is current everywhere after discovery was down, by fleet size.

use super::findings::{Findings, ScenarioError};
use super::fleet::{
    FleetPlan, KnownEndpoints, RunningFleet, add_convergence_times, add_discovery_calls,
};
use super::series::Series;
use crate::experiment::Outage;
use std::thread;
use std::time::{Duration, Instant};

/// The shares of a fleet whose arrival is reported.
const SHARES: [(&str, f64); 3] = [("half", 0.5), ("9 in 10", 0.9), ("last", 1.0)];

pub(super) fn run(plan: &Outage, seed: u64) -> Result<Findings, ScenarioError> {
    let mut series = Series::over("sidecars");
    for &size in &plan.fleet.sizes {
        let fleet = FleetPlan::new(&plan.fleet, size, KnownEndpoints::All, seed).start()?;
        measure(plan, &fleet, &mut series);
    }
    Ok(Findings {
        metrics: series.with_slopes(),
        problems: Vec::new(),
    })
}

/// Has discovery go down, publishes a change meanwhile, and waits until all have it after discovery's return.
fn measure(plan: &Outage, fleet: &RunningFleet, series: &mut Series) {
    let size = fleet.size as f64;
    let half_of_outage = Duration::from_secs_f64(plan.outage_seconds / 2.0);
    let longest = Duration::from_secs_f64(plan.longest_seconds);
    fleet.discovery.begin_outage();
    thread::sleep(half_of_outage);
    let version = fleet.publish_change(0);
    thread::sleep(half_of_outage);

    let before = fleet.discovery.usage();
    let returned = Instant::now();
    fleet.discovery.end_outage();
    let times = fleet.sidecars.wait_for_version(version, returned, longest);
    let after = fleet.discovery.usage();

    add_convergence_times(
        series,
        "list current after the outage",
        &SHARES,
        size,
        &times,
        longest,
    );
    add_discovery_calls(series, "until the last is current", size, &before, &after);
    series.add(
        "longest queue until the last is current",
        "calls",
        size,
        after.max_queue_length as f64,
    );
}
