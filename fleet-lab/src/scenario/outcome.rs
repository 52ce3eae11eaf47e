//! What an experiment has found, or why it could not be run.

use crate::report::Metric;
use std::io;

/// What an experiment has found.
#[derive(Clone, Debug, Default)]
pub struct ScenarioOutcome {
    /// Its figures.
    pub metrics: Vec<Metric>,
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
