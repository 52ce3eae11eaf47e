//! Faults that experiments inject: failed machines, racks and zones, rolling restarts, regions that are partitioned
//! from discovery, and outages of discovery.

use crate::topology::{EndpointName, Placement, RackName, RegionName, Topology, ZoneName};
use rand::SeedableRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A fault that an experiment injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Machines fail.
    Machines {
        /// The number of machines.
        count: u32,
    },
    /// Machines are restarted or replaced in waves.
    #[serde(rename = "restarts")]
    RollingRestart {
        /// The number of machines in all waves.
        count: u32,
        /// The number of machines in a wave.
        wave: u32,
    },
    /// All machines of a rack fail.
    Rack,
    /// All machines of a zone fail, and the zone is partitioned from discovery.
    Zone,
    /// A region is partitioned from discovery. The connections of its sidecars to discovery stay open without traffic.
    #[serde(rename = "region-cut")]
    RegionPartition,
    /// Discovery is down.
    DiscoveryOutage,
}

/// The parts of a topology that a fault affects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Impact {
    /// Endpoints whose machines fail or restart.
    pub endpoints: Vec<EndpointName>,
    /// Zones that are partitioned from discovery.
    pub partitioned_zones: Vec<ZoneName>,
    /// The affected rack, if the fault affects one.
    pub rack: Option<RackName>,
    /// The affected region, if the fault affects one.
    pub region: Option<RegionName>,
}

impl Fault {
    /// Returns the parts of a topology that the fault affects. The choice depends on the seed. Machines that are
    /// restarted are in the order of their restarts. A count above the number of machines affects all of them.
    #[must_use]
    pub fn impact(&self, topology: &Topology, seed: u64) -> Impact {
        let mut random = Pcg64::seed_from_u64(seed);
        match self {
            Fault::Machines { count } | Fault::RollingRestart { count, .. } => {
                machine_impact(topology, *count, &mut random)
            }
            Fault::Rack => rack_impact(topology, &mut random),
            Fault::Zone => zone_impact(topology, &mut random),
            Fault::RegionPartition => region_impact(topology, &mut random),
            Fault::DiscoveryOutage => Impact::default(),
        }
    }
}

fn machine_impact(topology: &Topology, count: u32, random: &mut Pcg64) -> Impact {
    let affected = topology.placements.sample(random, count as usize);
    Impact {
        endpoints: affected
            .map(|placement| placement.endpoint.clone())
            .collect(),
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

/// Chooses one of the distinct items, each with the same probability.
fn choose<'a, T: Clone + Ord + 'a>(
    items: impl Iterator<Item = &'a T>,
    random: &mut Pcg64,
) -> Option<T> {
    let distinct: BTreeSet<&T> = items.collect();
    distinct.into_iter().choose(random).cloned()
}

fn endpoints_where(
    topology: &Topology,
    is_affected: impl Fn(&Placement) -> bool,
) -> Vec<EndpointName> {
    let affected = topology
        .placements
        .iter()
        .filter(|placement| is_affected(placement));
    affected
        .map(|placement| placement.endpoint.clone())
        .collect()
}
