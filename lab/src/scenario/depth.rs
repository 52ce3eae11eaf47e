//! Chains of tiers, each with its real sidecar: latency that they add, and attempts that retries multiply, by depth.

use super::{Findings, RunContext, ScenarioError};
use crate::experiment::{AddedLatencyByDepth, RetryAmplification};

pub(super) fn run_latency(
    _plan: &AddedLatencyByDepth,
    _seed: u64,
    _context: &RunContext,
) -> Result<Findings, ScenarioError> {
    todo!()
}

pub(super) fn run_amplification(
    _plan: &RetryAmplification,
    _seed: u64,
    _context: &RunContext,
) -> Result<Findings, ScenarioError> {
    todo!()
}
