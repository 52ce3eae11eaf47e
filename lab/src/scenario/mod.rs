//! How each kind of experiment is run: what is started, loaded, broken and measured, in which order.

mod chain;
mod control_cost;
mod depth;
mod failures;
mod fleet;
mod fleet_restart;
mod held;
mod latency;
mod memory;
mod outage;
mod propagation;
mod series;
mod single;

use crate::experiment::{Experiment, Measurement};
use crate::report::{ExperimentReport, Figure};
use std::io;
use std::path::PathBuf;
use std::time::Instant;

/// What all experiments of a run share.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// The built sidecar program.
    pub program: PathBuf,
}

/// What an experiment has found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Its figures.
    pub figures: Vec<Figure>,
    /// What went wrong without ending it.
    pub problems: Vec<String>,
}

/// Why an experiment could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Something could not be started, or ended too early.
    #[error("{step}: {source}")]
    Step {
        /// What was being done.
        step: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A state that the experiment needs was not reached.
    #[error("{0}")]
    NotReached(String),
}

impl ScenarioError {
    /// A step that failed, for `map_err`.
    pub fn step(step: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let step = step.into();
        move |source| ScenarioError::Step { step, source }
    }
}

/// Runs one experiment.
///
/// # Errors
/// It could not be run to its end.
pub fn run(experiment: &Experiment, context: &RunContext) -> Result<ExperimentReport, ScenarioError> {
    let started = Instant::now();
    let seed = experiment.seed;
    let findings = match &experiment.measure {
        Measurement::AddedLatency(plan) => latency::run(plan, seed, context),
        Measurement::AddedLatencyByDepth(plan) => depth::run_latency(plan, seed, context),
        Measurement::RetryAmplification(plan) => depth::run_amplification(plan, seed, context),
        Measurement::Memory(plan) => memory::run(plan, seed, context),
        Measurement::ControlCost(plan) => control_cost::run(plan, seed, context),
        Measurement::Propagation(plan) => propagation::run(plan, seed),
        Measurement::Outage(plan) => outage::run(plan, seed),
        Measurement::FleetRestart(plan) => fleet_restart::run(plan, seed),
        Measurement::Failures(plan) => failures::run(plan, seed),
    }?;
    Ok(ExperimentReport {
        experiment: experiment.name.clone(),
        seed,
        seconds: started.elapsed().as_secs_f64(),
        figures: findings.figures,
        problems: findings.problems,
    })
}
