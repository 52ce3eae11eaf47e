//! Time until a change is known everywhere, and what it costs discovery, by fleet size.

use super::{Findings, ScenarioError};
use crate::experiment::Propagation;

pub(super) fn run(_plan: &Propagation, _seed: u64) -> Result<Findings, ScenarioError> {
    todo!()
}
