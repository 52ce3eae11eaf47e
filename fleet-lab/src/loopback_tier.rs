//! One tier on loopback: endpoints, the discovery service that lists them, and the configurations of sidecars that send
//! to them.

use crate::discovery::{DiscoveryOptions, DiscoveryServer, EndpointEntry};
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions};
use crate::sidecar::configuration::{
    LoadReports, RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use crate::topology::{EndpointName, ZoneName};
use balancer_sidecar::policy::DiscoveryMode;
use std::io;
use std::net::SocketAddr;

/// The only zone of a tier.
const ZONE: &str = "zone-1";

/// The size and behaviour of a tier.
#[derive(Clone, Debug)]
pub struct LoopbackTierOptions<'a> {
    /// The number of endpoints.
    pub endpoints: u32,
    /// The prefix of the endpoints' names, to which their number is added.
    pub name_prefix: &'a str,
    /// How the endpoints behave.
    pub endpoint: &'a EndpointOptions,
    /// The sidecars through which the endpoints call the next tier, by the endpoints' number; none in the last tier.
    pub next_sidecars: &'a [SocketAddr],
    /// How discovery behaves.
    pub discovery: DiscoveryOptions,
}

/// A running tier. Its endpoints end with their host, and its discovery service when the tier is dropped.
#[derive(Debug)]
pub struct LoopbackTier {
    /// The discovery service that lists the endpoints.
    pub discovery: DiscoveryServer,
    /// The endpoints, by number.
    pub endpoints: Vec<EndpointHandle>,
}

/// Why a tier could not be started.
#[derive(Debug, thiserror::Error)]
pub enum TierError {
    /// An endpoint could not be started.
    #[error("start {name}: {source}")]
    Endpoint {
        /// The endpoint.
        name: EndpointName,
        /// The cause.
        source: io::Error,
    },
    /// The discovery service could not be started.
    #[error("start discovery: {0}")]
    Discovery(#[source] io::Error),
}

impl LoopbackTier {
    /// Starts endpoints on a host, and a discovery service that lists them.
    ///
    /// # Errors
    /// Fails where an endpoint or the discovery service cannot be started.
    pub fn start(
        host: &EndpointHost,
        options: &LoopbackTierOptions<'_>,
    ) -> Result<Self, TierError> {
        let endpoints = (0..options.endpoints)
            .map(|number| {
                let next_sidecar = options.next_sidecars.get(number as usize).copied();
                let name = format!("{}-{number}", options.name_prefix);
                start_endpoint(host, &name, options.endpoint, next_sidecar)
            })
            .collect::<Result<Vec<_>, _>>()?;
        let entries = endpoints.iter().map(EndpointHandle::entry).collect();
        let zones = [ZoneName::from(ZONE)];
        let discovery = DiscoveryServer::start(options.discovery.clone(), &zones, entries)
            .map_err(TierError::Discovery)?;
        Ok(LoopbackTier {
            discovery,
            endpoints,
        })
    }

    /// Returns the address of the discovery service.
    #[must_use]
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery.address(&ZoneName::from(ZONE))
    }

    /// Returns the endpoints as discovery lists them.
    #[must_use]
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.endpoints.iter().map(EndpointHandle::entry).collect()
    }

    /// Returns the configuration of a sidecar that sends to this tier. It has the full list cached, and its seed
    /// differs from those of other sidecars with the same `seed`.
    #[must_use]
    pub fn sidecar_configuration(
        &self,
        position: TierPosition,
        classes: Vec<RequestClass>,
        limits: ResourceLimits,
        seed: u64,
    ) -> SidecarConfiguration {
        let zone = ZoneName::from(ZONE);
        SidecarConfiguration {
            name: format!("sidecar-{}-{}", position.tier, position.number),
            zone: zone.clone(),
            zones: vec![zone],
            position,
            discovery: self.discovery_address(),
            discovery_mode: DiscoveryMode::Pushed,
            cached_list: Some(self.discovery.snapshot()),
            classes,
            load_reports: LoadReports::WithAnswers,
            seed: seed ^ (u64::from(position.tier) << 32) ^ u64::from(position.number),
            limits,
        }
    }
}

/// Starts an endpoint that no discovery service lists.
///
/// # Errors
/// Fails where the endpoint cannot be started.
pub fn start_endpoint(
    host: &EndpointHost,
    name: &str,
    options: &EndpointOptions,
    next_sidecar: Option<SocketAddr>,
) -> Result<EndpointHandle, TierError> {
    let name = EndpointName::from(name);
    host.add(
        name.clone(),
        ZoneName::from(ZONE),
        options.clone(),
        next_sidecar,
    )
    .map_err(|source| TierError::Endpoint { name, source })
}
