//! A chain of tiers. Each endpoint calls the next tier through its own sidecar, except the endpoints of the last tier.

use super::context::RunContext;
use super::load::CALLER_DEADLINE;
use super::outcome::ScenarioError;
use super::single_sidecar::{
    DISCOVERY_OPTIONS, SIDECAR_LIMITS, request_classes, start_host, start_sidecar, wait_until_ready,
};
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions};
use crate::loopback_tier::{LoopbackTier, LoopbackTierOptions, start_endpoint};
use crate::sidecar::configuration::TierPosition;
use crate::sidecar::process::SidecarProcess;
use std::net::SocketAddr;

/// The size and behaviour of a chain.
pub(super) struct ChainOptions<'a> {
    /// The number of tiers.
    pub(super) depth: u32,
    /// The number of endpoints in each tier.
    pub(super) endpoints_per_tier: u32,
    /// The behaviour of the endpoints in all tiers except the last.
    pub(super) endpoint: &'a EndpointOptions,
    /// The behaviour of the endpoints in the last tier.
    pub(super) last_endpoint: &'a EndpointOptions,
    /// Seed of all random numbers.
    pub(super) seed: u64,
}

/// A tier and the sidecars that send to it.
struct ChainTier {
    sidecars: Vec<SidecarProcess>,
    tier: LoopbackTier,
}

/// A chain whose sidecars are all ready.
pub(super) struct Chain {
    /// The tiers, from the last to the first.
    tiers: Vec<ChainTier>,
    /// The host of the endpoints of all tiers.
    pub(super) host: EndpointHost,
}

impl Chain {
    /// Starts a chain and waits until all its sidecars are ready. The tiers are started from the last to the first
    /// because an endpoint needs the address of its sidecar.
    pub(super) fn start(
        options: &ChainOptions<'_>,
        context: &RunContext,
    ) -> Result<Self, ScenarioError> {
        let mut chain = Chain {
            tiers: Vec::new(),
            host: start_host(options.seed)?,
        };
        for tier in (0..options.depth).rev() {
            let tier = chain.start_tier(tier, options, context)?;
            chain.tiers.push(tier);
        }
        chain
            .tiers
            .iter()
            .flat_map(|tier| &tier.sidecars)
            .try_for_each(wait_until_ready)?;
        Ok(chain)
    }

    /// Starts the tier that comes before those already started, and its sidecars. Does not wait until they are ready.
    fn start_tier(
        &self,
        tier_number: u32,
        options: &ChainOptions<'_>,
        context: &RunContext,
    ) -> Result<ChainTier, ScenarioError> {
        let is_last = self.tiers.is_empty();
        let endpoint = if is_last {
            options.last_endpoint
        } else {
            options.endpoint
        };
        let tier_options = LoopbackTierOptions {
            endpoints: options.endpoints_per_tier,
            name_prefix: &format!("endpoint-{tier_number}"),
            endpoint,
            next_sidecars: &self.next_sidecars(),
            discovery: DISCOVERY_OPTIONS,
        };
        let tier = LoopbackTier::start(&self.host, &tier_options)?;
        let sidecars = if tier_number == 0 {
            1
        } else {
            options.endpoints_per_tier
        };
        let sidecars = (0..sidecars)
            .map(|number| {
                let position = TierPosition {
                    tier: tier_number,
                    tiers: options.depth,
                    number,
                    sidecars,
                };
                let classes = request_classes(CALLER_DEADLINE);
                let configuration =
                    tier.sidecar_configuration(position, classes, SIDECAR_LIMITS, options.seed);
                start_sidecar(&configuration, context)
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ChainTier { sidecars, tier })
    }

    /// Returns the addresses of the sidecars of the tier that was started last.
    fn next_sidecars(&self) -> Vec<SocketAddr> {
        let next_tier = self.tiers.last();
        next_tier.map_or_else(Vec::new, |next| {
            next.sidecars.iter().map(SidecarProcess::address).collect()
        })
    }

    /// Returns the address that callers of the first tier connect to.
    pub(super) fn address(&self) -> SocketAddr {
        self.tiers[self.tiers.len() - 1].sidecars[0].address()
    }

    /// Returns the number of requests that the endpoints of the last tier have received.
    pub(super) fn last_tier_requests(&self) -> u64 {
        let endpoints = &self.tiers[0].tier.endpoints;
        let requests = |endpoint: &EndpointHandle| endpoint.usage().requests;
        endpoints.iter().map(requests).sum()
    }
}

/// Starts a chain without sidecars. It has one endpoint in each tier, which calls the endpoint of the next tier.
/// Returns the address of the endpoint of the first tier.
pub(super) fn start_direct_chain(
    host: &EndpointHost,
    depth: u32,
    options: &EndpointOptions,
) -> Result<SocketAddr, ScenarioError> {
    let mut address = None;
    for tier in (0..depth).rev() {
        let endpoint = start_endpoint(host, &format!("straight-{tier}"), options, address)?;
        address = Some(endpoint.entry().address);
    }
    address.ok_or_else(|| ScenarioError::Incomplete("a chain needs at least one tier".into()))
}
