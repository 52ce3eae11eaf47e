//! Topologies: counts and names, and the impact of faults.

use fleet_lab::fault::{Fault, Impact};
use fleet_lab::topology::{Placement, Topology, TopologySize};
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 7;

fn topology_size() -> TopologySize {
    TopologySize {
        regions: 2,
        zones_per_region: 4,
        racks_per_zone: 5,
        services: 62,
        endpoints: 500,
    }
}

fn generate_topology() -> Topology {
    Topology::generate(&topology_size(), SEED)
}

/// Counts the placements by one of their names.
fn count_by<'a>(
    topology: &'a Topology,
    name: impl Fn(&'a Placement) -> &'a str,
) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for placement in &topology.placements {
        *counts.entry(name(placement)).or_default() += 1;
    }
    counts
}

/// Returns the placements of the endpoints that a fault affects.
fn affected_placements<'a>(topology: &'a Topology, impact: &Impact) -> Vec<&'a Placement> {
    let is_affected = |placement: &&Placement| impact.endpoints.contains(&placement.endpoint);
    topology.placements.iter().filter(is_affected).collect()
}

#[test]
fn topology_depends_on_seed() {
    assert_eq!(generate_topology(), generate_topology());
    assert_ne!(
        generate_topology(),
        Topology::generate(&topology_size(), SEED + 1)
    );
}

/// The distribution is even over zones and racks, and uneven over services.
#[test]
fn endpoints_are_distributed_over_zones_racks_and_services() {
    let topology = generate_topology();
    assert_eq!(topology.zones.len(), 8);
    assert_eq!(topology.zones[5].as_str(), "r2-z2");
    assert_eq!(
        count_by(&topology, |placement| placement.endpoint.as_str()).len(),
        500
    );

    let zones = count_by(&topology, |placement| placement.zone.as_str());
    assert_eq!(zones.len(), 8);
    assert!(
        zones.values().all(|count| (62..=63).contains(count)),
        "{zones:?}"
    );

    let racks = count_by(&topology, |placement| placement.rack.as_str());
    assert_eq!(racks.len(), 40);
    assert!(
        racks.values().all(|count| (12..=13).contains(count)),
        "{racks:?}"
    );

    let services = count_by(&topology, |placement| placement.service.as_str());
    assert_eq!(services.len(), 62);
    let smallest = services.values().min().unwrap();
    let largest = services.values().max().unwrap();
    assert!(largest >= &(4 * smallest), "{services:?}");
    assert!(
        services.contains_key("service-01") && services.contains_key("service-62"),
        "{services:?}"
    );
}

#[test]
fn placement_names_are_consistent() {
    for placement in &generate_topology().placements {
        assert!(
            placement
                .zone
                .as_str()
                .starts_with(&format!("{}-z", placement.region)),
            "{placement:?}"
        );
        assert!(
            placement
                .rack
                .as_str()
                .starts_with(&format!("{}-k", placement.zone)),
            "{placement:?}"
        );
    }
    assert_eq!(
        generate_topology().placements[122].endpoint.as_str(),
        "endpoint-0123"
    );
}

#[test]
fn small_and_empty_topologies_are_generated() {
    let few_endpoints = TopologySize {
        endpoints: 3,
        ..topology_size()
    };
    assert_eq!(Topology::generate(&few_endpoints, SEED).placements.len(), 3);
    let no_racks = TopologySize {
        racks_per_zone: 0,
        ..topology_size()
    };
    assert!(Topology::generate(&no_racks, SEED).placements.is_empty());
    let no_zones = TopologySize {
        zones_per_region: 0,
        ..topology_size()
    };
    let empty = Topology::generate(&no_zones, SEED);
    assert!(empty.placements.is_empty() && empty.zones.is_empty());
    for fault in [
        Fault::Machines { count: 2 },
        Fault::Rack,
        Fault::Zone,
        Fault::RegionPartition,
    ] {
        assert_eq!(fault.impact(&empty, SEED), Impact::default());
    }
}

#[test]
fn machine_faults_affect_distinct_endpoints() {
    let topology = generate_topology();
    for fault in [
        Fault::Machines { count: 32 },
        Fault::RollingRestart { count: 32, wave: 4 },
    ] {
        let impact = fault.impact(&topology, SEED);
        assert_eq!(impact, fault.impact(&topology, SEED));
        assert_ne!(impact, fault.impact(&topology, SEED + 1));
        assert_eq!(impact.endpoints.iter().collect::<BTreeSet<_>>().len(), 32);
        assert_eq!(affected_placements(&topology, &impact).len(), 32);
        assert!(impact.partitioned_zones.is_empty());
    }
    let all = Fault::Machines { count: 1_000 }.impact(&topology, SEED);
    assert_eq!(all.endpoints.len(), 500);
}

/// A zone fault also partitions the zone from discovery.
#[test]
fn rack_and_zone_faults_affect_all_their_endpoints() {
    let topology = generate_topology();
    let rack = Fault::Rack.impact(&topology, SEED);
    let in_rack = |placement: &&Placement| Some(&placement.rack) == rack.rack.as_ref();
    assert_eq!(
        affected_placements(&topology, &rack),
        topology
            .placements
            .iter()
            .filter(in_rack)
            .collect::<Vec<_>>()
    );
    assert!((12..=13).contains(&rack.endpoints.len()) && rack.partitioned_zones.is_empty());

    let zone = Fault::Zone.impact(&topology, SEED);
    let in_zone = |placement: &&Placement| zone.partitioned_zones == [placement.zone.clone()];
    assert_eq!(
        affected_placements(&topology, &zone),
        topology
            .placements
            .iter()
            .filter(in_zone)
            .collect::<Vec<_>>()
    );
    assert!((62..=63).contains(&zone.endpoints.len()));
}

#[test]
fn region_partition_affects_zones_but_no_endpoints() {
    let topology = generate_topology();
    let impact = Fault::RegionPartition.impact(&topology, SEED);
    let region = impact.region.clone().unwrap();
    assert!(impact.endpoints.is_empty());
    assert_eq!(impact.partitioned_zones.len(), 4);
    let prefix = format!("{region}-z");
    assert!(
        impact
            .partitioned_zones
            .iter()
            .all(|zone| zone.as_str().starts_with(&prefix))
    );
    assert_eq!(
        Fault::DiscoveryOutage.impact(&topology, SEED),
        Impact::default()
    );
}
