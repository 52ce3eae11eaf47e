//! A real sidecar's memory by listed endpoints, open requests and callers' connections.

use super::{Findings, RunContext, ScenarioError};
use crate::experiment::Memory;

pub(super) fn run(_plan: &Memory, _seed: u64, _context: &RunContext) -> Result<Findings, ScenarioError> {
    todo!()
}
