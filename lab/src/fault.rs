//! Faults of the operators' plan: machines, racks and zones that are lost and come back, restarts in waves, regions
//! that are cut from each other.

use crate::topology::{EndpointName, RackName, RegionName, Topology, ZoneName};
use serde::{Deserialize, Serialize};

/// What fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// So many machines vanish.
    Machines {
        /// How many.
        count: u32,
    },
    /// So many machines are restarted or replaced, a wave at a time.
    Restarts {
        /// How many in all.
        count: u32,
        /// How many at once.
        wave: u32,
    },
    /// All machines of a rack vanish.
    Rack,
    /// All machines of a zone vanish, and the zone's discovery address falls silent.
    Zone,
    /// A region is cut off from discovery: its sidecars' connections stay open and quiet.
    RegionCut,
    /// Discovery itself is down.
    DiscoveryOutage,
}

/// What a fault hits in a topology.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Impact {
    /// Endpoints whose machines vanish or restart.
    pub endpoints: Vec<EndpointName>,
    /// Zones that are cut off from discovery.
    pub silent_zones: Vec<ZoneName>,
    /// The rack that was hit, if it was one.
    pub rack: Option<RackName>,
    /// The region that was hit, if it was one.
    pub region: Option<RegionName>,
}

impl Fault {
    /// What it hits; the seed chooses which machines, rack, zone or region.
    pub fn impact(&self, _topology: &Topology, _seed: u64) -> Impact {
        todo!()
    }
}
