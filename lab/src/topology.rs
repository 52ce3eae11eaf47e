//! Where everything stands: regions, zones, racks and machines, and the services whose endpoints run on them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A shared name; cheap to copy.
macro_rules! name {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// The name of an availability zone; unique over all regions.
    ZoneName
);
name!(
    /// The name of a rack; unique over all zones.
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

/// How large a topology is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologySize {
    /// Regions.
    pub regions: u32,
    /// Zones in each region.
    pub zones_per_region: u32,
    /// Racks in each zone.
    pub racks_per_zone: u32,
    /// Services.
    pub services: u32,
    /// Endpoints over all services, each with a machine and a sidecar of its own.
    pub endpoints: u32,
}

/// One endpoint's place: a machine in a rack.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The rack that holds its machine.
    pub rack: RackName,
    /// The zone of the rack.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
}

/// Where each endpoint of a fleet stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// All zones, region by region.
    pub zones: Vec<ZoneName>,
    /// One entry for each endpoint.
    pub placements: Vec<Placement>,
}
