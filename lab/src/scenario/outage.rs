//! Time until the list is current everywhere after discovery was down, by fleet size.

use super::{Findings, ScenarioError};
use crate::experiment::Outage;

pub(super) fn run(_plan: &Outage, _seed: u64) -> Result<Findings, ScenarioError> {
    todo!()
}
