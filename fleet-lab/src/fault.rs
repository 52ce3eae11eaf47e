//! Faults of the operators' plan: machines, racks and zones that are lost and come back, restarts in waves, regions
//! that are cut from each other.

use crate::topology::{EndpointName, Placement, RackName, RegionName, Topology, ZoneName};
use rand::SeedableRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

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
    pub partitioned_zones: Vec<ZoneName>,
    /// The rack that was hit, if it was one.
    pub rack: Option<RackName>,
    /// The region that was hit, if it was one.
    pub region: Option<RegionName>,
}

impl Fault {
    /// What it hits; the seed chooses which machines, rack, zone or region. Machines that are restarted come in the
    /// order of their restarts. No more is hit than there is.
    #[must_use]
    pub fn impact(&self, topology: &Topology, seed: u64) -> Impact {
        let mut random = Pcg64::seed_from_u64(seed);
        match self {
            Fault::Machines { count } | Fault::Restarts { count, .. } => {
                machines_impact(topology, *count, &mut random)
            }
            Fault::Rack => rack_impact(topology, &mut random),
            Fault::Zone => zone_impact(topology, &mut random),
            Fault::RegionCut => region_impact(topology, &mut random),
            Fault::DiscoveryOutage => Impact::default(),
        }
    }
}

fn machines_impact(topology: &Topology, count: u32, random: &mut Pcg64) -> Impact {
    let hit = topology.placements.sample(random, count as usize);
    Impact {
        endpoints: hit.map(|placement| placement.endpoint.clone()).collect(),
        ..Impact::default()
    }
}

fn rack_impact(topology: &Topology, random: &mut Pcg64) -> Impact {
    let Some(rack) = choose(
        topology.placements.iter().map(|placement| &placement.rack),
        random,
    ) else {
        return Impact::default();
    };
    let endpoints = endpoints_where(topology, |placement| placement.rack == rack);
    Impact {
        endpoints,
        rack: Some(rack),
        ..Impact::default()
    }
}

fn zone_impact(topology: &Topology, random: &mut Pcg64) -> Impact {
    let Some(zone) = choose(topology.zones.iter(), random) else {
        return Impact::default();
    };
    let endpoints = endpoints_where(topology, |placement| placement.zone == zone);
    Impact {
        endpoints,
        partitioned_zones: vec![zone],
        ..Impact::default()
    }
}

fn region_impact(topology: &Topology, random: &mut Pcg64) -> Impact {
    let Some(region) = choose(
        topology
            .placements
            .iter()
            .map(|placement| &placement.region),
        random,
    ) else {
        return Impact::default();
    };
    let in_region = topology
        .placements
        .iter()
        .filter(|placement| placement.region == region);
    let zones: BTreeSet<&ZoneName> = in_region.map(|placement| &placement.zone).collect();
    let partitioned_zones = zones.into_iter().cloned().collect();
    Impact {
        partitioned_zones,
        region: Some(region),
        ..Impact::default()
    }
}

/// One of these, each with the same chance however often it occurs.
fn choose<'a, T: Clone + Ord + 'a>(
    from: impl Iterator<Item = &'a T>,
    random: &mut Pcg64,
) -> Option<T> {
    let distinct: BTreeSet<&T> = from.collect();
    distinct.into_iter().choose(random).cloned()
}

fn endpoints_where(topology: &Topology, is_hit: impl Fn(&Placement) -> bool) -> Vec<EndpointName> {
    let hit = topology
        .placements
        .iter()
        .filter(|placement| is_hit(placement));
    hit.map(|placement| placement.endpoint.clone()).collect()
}
