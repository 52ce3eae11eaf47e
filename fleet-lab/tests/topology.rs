//! Topologies: counts, fractions and names, and the parts that faults affect.

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

fn topology() -> Topology {
    Topology::generate(&topology_size(), SEED)
}

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

fn placements_of<'a>(topology: &'a Topology, impact: &Impact) -> Vec<&'a Placement> {
    let is_hit = |placement: &&Placement| impact.endpoints.contains(&placement.endpoint);
    topology.placements.iter().filter(is_hit).collect()
}

#[test]
fn the_same_seed_gives_the_same_topology_and_another_one_does_not() {
    assert_eq!(topology(), topology());
    assert_ne!(topology(), Topology::generate(&topology_size(), SEED + 1));
}

#[test]
fn endpoints_are_spread_evenly_over_zones_and_racks_and_unevenly_over_services() {
    let topology = topology();
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
fn the_names_of_a_placement_are_consistent() {
    for placement in &topology().placements {
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
        topology().placements[122].endpoint.as_str(),
        "endpoint-0123"
    );
}

#[test]
fn small_and_empty_sizes_give_small_and_empty_topologies() {
    let few = TopologySize {
        endpoints: 3,
        ..topology_size()
    };
    assert_eq!(Topology::generate(&few, SEED).placements.len(), 3);
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
fn machine_faults_affect_their_number_of_distinct_endpoints() {
    let topology = topology();
    for fault in [
        Fault::Machines { count: 32 },
        Fault::RollingRestart { count: 32, wave: 4 },
    ] {
        let impact = fault.impact(&topology, SEED);
        assert_eq!(impact, fault.impact(&topology, SEED));
        assert_ne!(impact, fault.impact(&topology, SEED + 1));
        assert_eq!(impact.endpoints.iter().collect::<BTreeSet<_>>().len(), 32);
        assert_eq!(placements_of(&topology, &impact).len(), 32);
        assert!(impact.partitioned_zones.is_empty());
    }
    let all = Fault::Machines { count: 1_000 }.impact(&topology, SEED);
    assert_eq!(all.endpoints.len(), 500);
}

#[test]
fn a_rack_or_zone_fault_affects_exactly_its_endpoints_and_a_zone_fault_partitions_the_zone() {
    let topology = topology();
    let rack = Fault::Rack.impact(&topology, SEED);
    let in_rack = |placement: &&Placement| Some(&placement.rack) == rack.rack.as_ref();
    assert_eq!(
        placements_of(&topology, &rack),
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
        placements_of(&topology, &zone),
        topology
            .placements
            .iter()
            .filter(in_zone)
            .collect::<Vec<_>>()
    );
    assert!((62..=63).contains(&zone.endpoints.len()));
}

#[test]
fn a_region_partition_affects_no_endpoints_and_partitions_all_zones_of_the_region() {
    let topology = topology();
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
