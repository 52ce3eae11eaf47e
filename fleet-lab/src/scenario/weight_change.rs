//! The list change that experiments publish: a changed weight of an endpoint.

use crate::discovery::EndpointEntry;

/// The weight of an endpoint at the start of an experiment.
pub(super) const INITIAL_WEIGHT: f64 = 1.0;
/// The weight that every second change gives an endpoint.
const CHANGED_WEIGHT: f64 = 0.9;

/// Sets an endpoint's weight to [`CHANGED_WEIGHT`], or back to [`INITIAL_WEIGHT`]. Returns a copy of the changed entry.
pub(super) fn toggle_weight(entry: &mut EndpointEntry) -> EndpointEntry {
    entry.weight = if entry.weight == CHANGED_WEIGHT {
        INITIAL_WEIGHT
    } else {
        CHANGED_WEIGHT
    };
    entry.clone()
}
