//! One tier on loopback: its endpoints, the discovery service that lists them, and the configurations of the sidecars
//! that send requests to them.

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
    /// The behaviour of each endpoint.
    pub endpoint: &'a EndpointOptions,
    /// The sidecars through which the endpoints call the next tier, by the endpoints' numbers. Empty in the last tier.
    pub next_sidecars: &'a [SocketAddr],
    /// The capacity and timing of discovery.
    pub discovery: DiscoveryOptions,
}

/// A running tier. Dropping it stops the discovery service. The endpoints run until their host is dropped.
#[derive(Debug)]
pub struct LoopbackTier {
    /// The discovery service that lists the endpoints.
    pub discovery: DiscoveryServer,
    /// The endpoints, by number.
    pub endpoints: Vec<EndpointHandle>,
}

/// A failure to start a tier.
#[derive(Debug, thiserror::Error)]
pub enum TierError {
    /// An endpoint could not be started.
    #[error("could not start {name}: {source}")]
    Endpoint {
        /// The endpoint.
        name: EndpointName,
        /// The cause.
        source: io::Error,
    },
    /// The discovery service could not be started.
    #[error("could not start discovery: {0}")]
    Discovery(#[source] io::Error),
}

impl LoopbackTier {
    /// Starts endpoints on a host, and a discovery service that lists them.
    ///
    /// # Errors
    /// Returns an error if an endpoint or the discovery service cannot be started.
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

    /// Returns the configuration of a sidecar that sends requests to this tier. The sidecar has the full list cached.
    /// Its seed combines `seed` with its position; sidecars at other positions have other seeds.
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
            load_reports: LoadReports::WithResponses,
            seed: seed ^ (u64::from(position.tier) << 32) ^ u64::from(position.number),
            limits,
        }
    }
}

/// Starts an endpoint that no discovery service lists.
///
/// # Errors
/// Returns an error if the endpoint cannot be started.
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
