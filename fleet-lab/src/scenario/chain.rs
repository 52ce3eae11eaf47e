//! A chain of tiers: each endpoint but those of the last tier answers through a sidecar of its own, which balances over
//! the endpoints of the next tier.

use super::context::RunContext;
use super::outcome::ScenarioError;
use super::single_sidecar::{
    CALLER_DEADLINE, TierPosition, add_endpoint, configuration, start_discovery, start_host,
    start_sidecar, wait_until_ready,
};
use crate::discovery::DiscoveryServer;
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions};
use crate::sidecar::process::SidecarProcess;
use std::net::SocketAddr;

/// What a chain is.
pub(super) struct ChainOptions<'a> {
    /// Tiers of sidecars and endpoints.
    pub(super) depth: u32,
    /// Endpoints in each tier.
    pub(super) endpoints_per_tier: u32,
    /// How the endpoints of all tiers but the last behave.
    pub(super) endpoint: &'a EndpointOptions,
    /// How those of the last tier behave.
    pub(super) last_endpoint: &'a EndpointOptions,
    /// Seed of all random numbers.
    pub(super) seed: u64,
}

/// One tier, with the sidecars before it.
struct Tier {
    sidecars: Vec<SidecarProcess>,
    _discovery: DiscoveryServer,
    endpoints: Vec<EndpointHandle>,
}

/// A chain whose sidecars are all ready.
pub(super) struct Chain {
    /// From the last tier to the first.
    tiers: Vec<Tier>,
    /// Hosts the endpoints of all tiers.
    pub(super) host: EndpointHost,
}

impl Chain {
    /// Starts a chain from its last tier on, as an endpoint has to know its sidecar, and waits until it is ready.
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

    fn start_tier(
        &self,
        tier: u32,
        options: &ChainOptions<'_>,
        context: &RunContext,
    ) -> Result<Tier, ScenarioError> {
        let is_last = self.tiers.is_empty();
        let behaviour = if is_last {
            options.last_endpoint
        } else {
            options.endpoint
        };
        let next_sidecars = self.tiers.last().map_or(&[][..], |next| &next.sidecars);
        let endpoints = (0..options.endpoints_per_tier as usize)
            .map(|number| {
                let next = next_sidecars.get(number).map(SidecarProcess::address);
                add_endpoint(
                    &self.host,
                    &format!("endpoint-{tier}-{number}"),
                    behaviour,
                    next,
                )
            })
            .collect::<Result<Vec<_>, _>>()?;
        let discovery = start_discovery(&endpoints)?;
        let sidecars = if tier == 0 {
            1
        } else {
            options.endpoints_per_tier
        };
        let sidecars = (0..sidecars)
            .map(|number| {
                let place = TierPosition {
                    tier,
                    tiers: options.depth,
                    number,
                    sidecars,
                };
                start_sidecar(
                    &configuration(&discovery, place, CALLER_DEADLINE, options.seed),
                    context,
                )
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Tier {
            sidecars,
            _discovery: discovery,
            endpoints,
        })
    }

    /// Where callers of the first tier connect.
    pub(super) fn address(&self) -> SocketAddr {
        self.tiers[self.tiers.len() - 1].sidecars[0].address()
    }

    /// Requests that came to the endpoints of the last tier.
    pub(super) fn last_requests(&self) -> u64 {
        self.tiers[0]
            .endpoints
            .iter()
            .map(|endpoint| endpoint.usage().requests)
            .sum()
    }
}

/// Starts a chain without sidecars: one endpoint a tier, which calls that of the next. Where its first one listens.
pub(super) fn start_direct_chain(
    host: &EndpointHost,
    depth: u32,
    options: &EndpointOptions,
) -> Result<SocketAddr, ScenarioError> {
    let mut address = None;
    for tier in (0..depth).rev() {
        let endpoint = add_endpoint(host, &format!("straight-{tier}"), options, address)?;
        address = Some(endpoint.entry().address);
    }
    address.ok_or_else(|| ScenarioError::NotReached("a chain of at least one tier".into()))
}
