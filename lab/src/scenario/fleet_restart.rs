//! Time until all sidecars are ready that restart at once, by fleet size.

use super::{Findings, ScenarioError};
use crate::experiment::FleetRestart;

pub(super) fn run(_plan: &FleetRestart, _seed: u64) -> Result<Findings, ScenarioError> {
    todo!()
}
