//! The topology of a fleet: regions, zones, racks and machines, and the services whose endpoints run on them.

use rand::SeedableRng;
use rand::distr::Distribution;
use rand_distr::LogNormal;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The standard deviation of the logarithm of a service's size. With this value, the largest of 62 services has about
/// ten times as many endpoints as the median one.
const SERVICE_SIZE_SIGMA: f64 = 1.0;

/// Defines a type of name that is cheap to clone, because clones share the text.
macro_rules! name {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text.into())
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }
        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().into()
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name!(
    /// The name of a region.
    RegionName
);
name!(
    /// The name of an availability zone, unique over all regions.
    ZoneName
);
name!(
    /// The name of a rack, unique over all zones.
    RackName
);
name!(
    /// The name of a service.
    ServiceName
);
name!(
    /// The name of an endpoint, identical at every sidecar.
    EndpointName
);

/// The size of a topology.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologySize {
    /// The number of regions.
    pub regions: u32,
    /// The number of zones in each region.
    pub zones_per_region: u32,
    /// The number of racks in each zone.
    pub racks_per_zone: u32,
    /// The number of services.
    pub services: u32,
    /// The number of endpoints of all services together. Each has its own machine and sidecar.
    pub endpoints: u32,
}

/// The location of one endpoint's machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The rack of its machine.
    pub rack: RackName,
    /// The zone of the rack.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
}

/// The locations of all endpoints of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// All zones, region by region.
    pub zones: Vec<ZoneName>,
    /// The location of each endpoint.
    pub placements: Vec<Placement>,
}

/// A zone and its racks.
struct ZoneLayout {
    name: ZoneName,
    region: RegionName,
    racks: Vec<RackName>,
}

impl Topology {
    /// Generates a topology. The same size and seed give the same topology.
    ///
    /// Services have different numbers of endpoints, and each has at least one if there are enough endpoints. The
    /// endpoints of a service are spread evenly over zones, in alternating regions, and over racks. Endpoints are
    /// numbered service by service. If a number in `size` is zero, there are no placements.
    #[must_use]
    pub fn generate(size: &TopologySize, seed: u64) -> Topology {
        let layouts = zone_layouts(size);
        let zones = layouts.iter().map(|zone| zone.name.clone()).collect();
        let assignment_order = alternate_regions(&layouts, size);
        let sizes = service_sizes(size, &mut Pcg64::seed_from_u64(seed));
        let services = sizes.iter().enumerate().flat_map(|(index, &endpoints)| {
            (0..endpoints).map(move |_| numbered_name("service", index, 2))
        });
        let placements = services
            .enumerate()
            .filter_map(|(index, service)| {
                let zone = assignment_order.get(index % assignment_order.len().max(1))?;
                let round = index / assignment_order.len();
                let rack = zone.racks.get(round % zone.racks.len().max(1))?;
                Some(Placement {
                    endpoint: numbered_name("endpoint", index, 4).into(),
                    service: service.into(),
                    rack: rack.clone(),
                    zone: zone.name.clone(),
                    region: zone.region.clone(),
                })
            })
            .collect();
        Topology { zones, placements }
    }
}

/// Returns a name such as `service-07`. `index` is counted from 0, the number in the name from 1.
fn numbered_name(kind: &str, index: usize, digits: usize) -> String {
    format!("{kind}-{:0digits$}", index + 1)
}

/// Returns all zones with their racks, region by region.
fn zone_layouts(size: &TopologySize) -> Vec<ZoneLayout> {
    let mut zones = Vec::new();
    for region in 1..=size.regions {
        for zone in 1..=size.zones_per_region {
            let racks = (1..=size.racks_per_zone)
                .map(|rack| format!("r{region}-z{zone}-k{rack}").into())
                .collect();
            zones.push(ZoneLayout {
                name: format!("r{region}-z{zone}").into(),
                region: format!("r{region}").into(),
                racks,
            });
        }
    }
    zones
}

/// Returns the first zone of each region, then the second zone of each, and so on. With this order, a small service
/// runs in several regions.
fn alternate_regions<'a>(zones: &'a [ZoneLayout], size: &TopologySize) -> Vec<&'a ZoneLayout> {
    let zones_per_region = size.zones_per_region as usize;
    (0..zones_per_region)
        .flat_map(|zone| zones.iter().skip(zone).step_by(zones_per_region))
        .collect()
}

/// Returns the number of endpoints of each service. Each has one, and a log-normally distributed share of the rest.
fn service_sizes(size: &TopologySize, random: &mut Pcg64) -> Vec<u32> {
    let services = size.services.min(size.endpoints);
    let remaining = size.endpoints - services;
    let distribution = LogNormal::new(0.0, SERVICE_SIZE_SIGMA).expect("the deviation is finite");
    let weights: Vec<f64> = (0..services).map(|_| distribution.sample(random)).collect();
    let total: f64 = weights.iter().sum();
    // The running sum is rounded instead of each share. The rounded shares then add up to `remaining`.
    let mut running_weight = 0.0;
    let mut assigned = 0;
    let mut sizes = Vec::with_capacity(weights.len());
    for weight in weights {
        running_weight += weight;
        let assigned_so_far = ((running_weight / total) * f64::from(remaining)).round() as u32;
        sizes.push(1 + assigned_so_far - assigned);
        assigned = assigned_so_far;
    }
    sizes
}
