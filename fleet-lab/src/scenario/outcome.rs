//! The outcome of an experiment, or the reason why it could not be run.

use crate::loopback_tier::TierError;
use crate::report::Metric;
use crate::sidecar::SidecarError;
use crate::sidecar::simulated::FleetError;
use std::io;

/// The outcome of an experiment that was run to its end.
#[derive(Clone, Debug, Default)]
pub struct ScenarioOutcome {
    /// The measured metrics.
    pub metrics: Vec<Metric>,
    /// Problems that did not end the experiment.
    pub problems: Vec<String>,
}

/// The reason why an experiment could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A step failed.
    #[error("could not {step}: {source}")]
    Step {
        /// The step as a verb phrase, such as `start discovery`.
        step: String,
        /// The cause.
        source: StepError,
    },
    /// A tier could not be started.
    #[error(transparent)]
    Tier(#[from] TierError),
    /// A simulated fleet could not be started.
    #[error("could not start the simulated sidecars: {0}")]
    Fleet(#[from] FleetError),
    /// A state was not reached, or a result or parameter that the experiment needs is missing.
    #[error("{0}")]
    Incomplete(String),
}

impl ScenarioError {
    /// Returns a function for `map_err` that wraps the cause of a failed step. The step is a verb phrase, such as
    /// `start discovery`.
    pub fn step<E: Into<StepError>>(step: impl Into<String>) -> impl FnOnce(E) -> Self {
        let step = step.into();
        move |source| ScenarioError::Step {
            step,
            source: source.into(),
        }
    }
}

/// The cause of a failed step.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// An operation on a file, a thread or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An operation on a real sidecar failed.
    #[error(transparent)]
    Sidecar(#[from] SidecarError),
}
