//! Latency that one real sidecar adds, and its processor time a call, by rate.

use super::{Findings, RunContext, ScenarioError};
use crate::experiment::AddedLatency;

pub(super) fn run(
    _plan: &AddedLatency,
    _seed: u64,
    _context: &RunContext,
) -> Result<Findings, ScenarioError> {
    todo!()
}
