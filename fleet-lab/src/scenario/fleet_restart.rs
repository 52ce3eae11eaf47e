//! Time until all sidecars are ready that restart at once, by fleet size.

use super::findings::{Findings, ScenarioError};
use super::fleet::{
    FleetPlan, KnownEndpoints, RunningFleet, add_convergence_times, add_discovery_calls,
};
use super::series::Series;
use crate::experiment::FleetRestart;
use std::time::{Duration, Instant};

/// The shares of a fleet whose arrival is reported.
const SHARES: [(&str, f64); 3] = [("half", 0.5), ("9 in 10", 0.9), ("last", 1.0)];
/// What the sidecars' configurations hold, and how figures call it.
const VARIANTS: [(KnownEndpoints, &str); 2] = [
    (KnownEndpoints::All, "endpoints known"),
    (KnownEndpoints::None, "none known"),
];
/// What keeps sidecars that know endpoints from being ready at once.
const READY_NOTE: &str = "All decision modules start on two threads of one process, and the time that takes is included.";

pub(super) fn run(plan: &FleetRestart, seed: u64) -> Result<Findings, ScenarioError> {
    let mut series = Series::over("sidecars");
    for (known, label) in VARIANTS {
        for &size in &plan.fleet.sizes {
            let fleet = FleetPlan::new(&plan.fleet, size, known, seed).start()?;
            measure(plan, &fleet, label, &mut series);
        }
    }
    for (label, _) in SHARES {
        series.note(&format!("ready, endpoints known: {label}"), READY_NOTE);
    }
    Ok(Findings {
        metrics: series.with_slopes(),
        problems: Vec::new(),
    })
}

/// Restarts all sidecars at once and waits until all are ready and watch.
fn measure(plan: &FleetRestart, fleet: &RunningFleet, label: &str, series: &mut Series) {
    let size = fleet.size as f64;
    let longest = Duration::from_secs_f64(plan.longest_seconds);
    let all: Vec<usize> = (0..fleet.size).collect();

    let before = fleet.discovery.usage();
    let restarted = Instant::now();
    fleet.sidecars.restart(&all);
    let ready = fleet.sidecars.wait_until_ready(restarted, longest);
    let watching = fleet.sidecars.wait_until_watching(restarted, longest);
    let after = fleet.discovery.usage();

    add_convergence_times(
        series,
        &format!("ready, {label}"),
        &SHARES,
        size,
        &ready,
        longest,
    );
    add_convergence_times(
        series,
        &format!("watching, {label}"),
        &SHARES,
        size,
        &watching,
        longest,
    );
    add_discovery_calls(
        series,
        &format!("until all watch, {label}"),
        size,
        &before,
        &after,
    );
}
