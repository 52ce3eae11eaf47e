//! The state that the sidecars of a fleet share.

use super::counters::Counters;
use super::endpoints::EndpointTable;
use super::load::SimulatedLoad;
use super::milestones::Milestones;

/// The state that the sidecars of a fleet share.
#[derive(Debug)]
pub(super) struct FleetState {
    pub(super) load: SimulatedLoad,
    /// The rate of calls of each sidecar, as a multiple of the rate of the load.
    pub(super) rate_multiples: Vec<f64>,
    pub(super) counters: Counters,
    pub(super) endpoints: EndpointTable,
    /// The milestones of each sidecar.
    pub(super) milestones: Vec<Milestones>,
}
