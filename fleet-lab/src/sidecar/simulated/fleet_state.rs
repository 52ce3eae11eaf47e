//! What the sidecars of a fleet share.

use super::counters::Counters;
use super::endpoints::EndpointTable;
use super::load::SimulatedLoad;
use super::milestones::Milestones;

/// What the sidecars of a fleet share: counters, and the endpoints that answer them.
#[derive(Debug)]
pub(super) struct FleetState {
    pub(super) load: SimulatedLoad,
    /// What the mean rate of calls is multiplied by, for each sidecar.
    pub(super) rate_multiples: Vec<f64>,
    pub(super) counters: Counters,
    pub(super) endpoints: EndpointTable,
    /// One for each sidecar.
    pub(super) milestones: Vec<Milestones>,
}
