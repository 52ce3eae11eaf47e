//! The endpoints that take work, and those among them that the balancer sends to. No decision is made here.

use super::endpoint::EndpointIndex;

/// Available endpoints by locality, and the subset of each.
#[derive(Debug, Default)]
pub(super) struct EndpointSets {
    /// Available endpoints of the balancer's own zone, or of all zones if requests across zones cost little.
    pub(super) local: Vec<EndpointIndex>,
    /// Available endpoints of other zones, if requests across zones are costly.
    pub(super) remote: Vec<EndpointIndex>,
    /// The local endpoints that the balancer sends to.
    pub(super) subset: Vec<EndpointIndex>,
    /// The remote endpoints that the balancer sends to while the local endpoints throttle requests.
    pub(super) remote_subset: Vec<EndpointIndex>,
}
