//! What each failure of the operators' plan costs a fleet, and for how long.

use super::{Findings, ScenarioError};
use crate::experiment::Failures;

pub(super) fn run(_plan: &Failures, _seed: u64) -> Result<Findings, ScenarioError> {
    todo!()
}
