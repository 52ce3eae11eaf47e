//! Processor time and bytes for changes of the list, probes and reloads of a real sidecar.

use super::{Findings, RunContext, ScenarioError};
use crate::experiment::ControlCost;

pub(super) fn run(_plan: &ControlCost, _seed: u64, _context: &RunContext) -> Result<Findings, ScenarioError> {
    todo!()
}
