//! The scenario of each kind of experiment: the steps that start the systems, load them, inject faults and measure.

mod chain;
mod client_connections;
mod context;
mod control_cost;
mod crowded_discovery;
mod depth;
mod failures;
mod fleet;
mod fleet_restart;
mod latency;
mod load;
mod memory;
mod metric_table;
mod outage;
mod outcome;
mod propagation;
mod single_sidecar;
mod weight_change;

pub use context::RunContext;
pub use outcome::{ScenarioError, ScenarioOutcome, StepError};

use crate::experiment::{Experiment, Measurement};
use crate::report::ExperimentReport;
use std::time::Instant;

/// Runs one experiment.
///
/// # Errors
/// Fails if the experiment cannot be run to its end.
pub fn run(
    experiment: &Experiment,
    context: &RunContext,
) -> Result<ExperimentReport, ScenarioError> {
    let started = Instant::now();
    let seed = experiment.seed;
    let outcome = match &experiment.measure {
        Measurement::AddedLatency(plan) => latency::run(plan, seed, context),
        Measurement::AddedLatencyByDepth(plan) => depth::run_latency(plan, seed, context),
        Measurement::RetryAmplification(plan) => depth::run_amplification(plan, seed, context),
        Measurement::Memory(plan) => memory::run(plan, seed, context),
        Measurement::ControlCost(plan) => control_cost::run(plan, seed, context),
        Measurement::Propagation(plan) => propagation::run(plan, seed),
        Measurement::Outage(plan) => outage::run(plan, seed),
        Measurement::FleetRestart(plan) => fleet_restart::run(plan, seed),
        Measurement::CrowdedDiscovery(plan) => crowded_discovery::run(plan, seed),
        Measurement::Failures(plan) => failures::run(plan, seed),
    }?;
    Ok(ExperimentReport {
        experiment: experiment.name.clone(),
        seed,
        seconds: started.elapsed().as_secs_f64(),
        metrics: outcome.metrics,
        problems: outcome.problems,
    })
}
