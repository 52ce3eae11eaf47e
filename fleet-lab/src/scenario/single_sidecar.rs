//! What experiments with one real sidecar share: its endpoints, a discovery service that lists them, and the sidecar.

use super::context::RunContext;
use super::outcome::ScenarioError;
use crate::caller::TargetResult;
use crate::discovery::{DiscoveryOptions, DiscoveryServer, EndpointEntry};
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions};
use crate::measure::ProcessUsage;
use crate::sidecar::configuration::{RequestClass, SidecarConfiguration};
use crate::sidecar::process::SidecarProcess;
use crate::topology::{EndpointName, ZoneName};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::Duration;

/// The class of requests that are safe to repeat.
pub(super) const SAFE_CLASS: &str = "read";
/// The class of requests that must never run twice.
pub(super) const UNSAFE_CLASS: &str = "write";
/// The zone of everything, where zones do not matter.
const ZONE: &str = "zone-1";
/// Threads that serve the endpoints.
const ENDPOINT_THREADS: usize = 2;
/// How long a sidecar may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Descriptors that a sidecar may hold.
const SIDECAR_DESCRIPTORS: u32 = 4_096;
/// Memory that a sidecar may take up, in MB.
const SIDECAR_MEMORY_MB: u32 = 192;

/// How long callers wait, where nothing else is said.
pub(super) const CALLER_DEADLINE: Duration = Duration::from_secs(1);

/// What differs between experiments with one sidecar.
pub(super) struct SingleSidecarOptions<'a> {
    /// Endpoints that are listed.
    pub(super) endpoints: u32,
    /// How they behave.
    pub(super) endpoint: &'a EndpointOptions,
    /// How long callers wait.
    pub(super) deadline: Duration,
    /// Whether load reports come with probes.
    pub(super) health_checks: bool,
    /// Seed of all random numbers.
    pub(super) seed: u64,
}

/// One sidecar that is ready, with all around it. It is told that each endpoint has a sidecar of its own, so that it
/// uses as small a subset of the endpoints as one of a fleet does.
pub(super) struct SingleSidecar {
    pub(super) sidecar: SidecarProcess,
    pub(super) configuration: SidecarConfiguration,
    pub(super) discovery: DiscoveryServer,
    pub(super) endpoints: Vec<EndpointHandle>,
    host: EndpointHost,
}

impl SingleSidecar {
    /// Starts everything and waits until the sidecar is ready.
    pub(super) fn start(
        options: &SingleSidecarOptions<'_>,
        context: &RunContext,
    ) -> Result<Self, ScenarioError> {
        let host = start_host(options.seed)?;
        let endpoints = (0..options.endpoints)
            .map(|number| {
                add_endpoint(&host, &format!("endpoint-{number}"), options.endpoint, None)
            })
            .collect::<Result<Vec<_>, _>>()?;
        let discovery = start_discovery(&endpoints)?;
        let place = TierPosition {
            tier: 0,
            tiers: 1,
            number: 0,
            sidecars: options.endpoints,
        };
        let mut configuration = configuration(&discovery, place, options.deadline, options.seed);
        configuration.health_checks = options.health_checks;
        let sidecar = start_sidecar(&configuration, context)?;
        wait_until_ready(&sidecar)?;
        Ok(SingleSidecar {
            sidecar,
            configuration,
            discovery,
            endpoints,
            host,
        })
    }

    /// Starts an endpoint that discovery does not list.
    pub(super) fn start_unlisted_endpoint(
        &self,
        options: &EndpointOptions,
    ) -> Result<SocketAddr, ScenarioError> {
        Ok(add_endpoint(&self.host, "unlisted", options, None)?
            .entry()
            .address)
    }

    /// What the sidecar uses now.
    pub(super) fn usage(&self) -> Result<ProcessUsage, ScenarioError> {
        self.sidecar
            .usage()
            .map_err(ScenarioError::step("read what the sidecar uses"))
    }

    /// One figure of the sidecar.
    pub(super) fn metric(&self, name: &str) -> Result<u64, ScenarioError> {
        let missing = || ScenarioError::NotReached(format!("the sidecar tells no figure {name}"));
        self.sidecar.metric(name).ok_or_else(missing)
    }

    /// Connections that were opened to listed endpoints.
    pub(super) fn endpoint_connections(&self) -> u64 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.usage().connections)
            .sum()
    }

    /// Probes that listed endpoints got.
    pub(super) fn endpoint_health_checks(&self) -> u64 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.usage().health_checks)
            .sum()
    }
}

/// A sidecar's place in a chain of tiers.
#[derive(Clone, Copy)]
pub(super) struct TierPosition {
    /// The tier that it sends into.
    pub(super) tier: u32,
    /// Tiers of the chain.
    pub(super) tiers: u32,
    /// Its number among the sidecars of its tier.
    pub(super) number: u32,
    /// Sidecars of its tier.
    pub(super) sidecars: u32,
}

/// Starts a host for endpoints.
pub(super) fn start_host(seed: u64) -> Result<EndpointHost, ScenarioError> {
    EndpointHost::start(ENDPOINT_THREADS, seed)
        .map_err(ScenarioError::step("start the endpoints' threads"))
}

/// Starts an endpoint.
pub(super) fn add_endpoint(
    host: &EndpointHost,
    name: &str,
    options: &EndpointOptions,
    next: Option<SocketAddr>,
) -> Result<EndpointHandle, ScenarioError> {
    host.add(
        EndpointName::from(name),
        ZoneName::from(ZONE),
        options.clone(),
        next,
    )
    .map_err(ScenarioError::step(format!("start {name}")))
}

/// Starts a discovery service, of more capacity than one tier's sidecars need, that lists these endpoints.
pub(super) fn start_discovery(
    endpoints: &[EndpointHandle],
) -> Result<DiscoveryServer, ScenarioError> {
    let options = DiscoveryOptions {
        calls_per_second: 1_000.0,
        queue_timeout: Duration::from_secs(5),
        heartbeat: Duration::from_secs(2),
        retained_changes: 1_000,
    };
    let entries: Vec<EndpointEntry> = endpoints.iter().map(EndpointHandle::entry).collect();
    DiscoveryServer::start(options, &[ZoneName::from(ZONE)], entries)
        .map_err(ScenarioError::step("start discovery"))
}

/// The configuration of a sidecar that knows the whole list.
pub(super) fn configuration(
    discovery: &DiscoveryServer,
    place: TierPosition,
    deadline: Duration,
    seed: u64,
) -> SidecarConfiguration {
    let zone = ZoneName::from(ZONE);
    let class = |name: &str, is_unsafe| RequestClass {
        name: name.into(),
        is_unsafe,
        priority_weight: 1.0,
        deadline,
    };
    SidecarConfiguration {
        name: format!("sidecar-{}-{}", place.tier, place.number),
        zone: zone.clone(),
        zones: vec![zone.clone()],
        number: place.number,
        sidecars: place.sidecars,
        tier: place.tier,
        tiers: place.tiers,
        discovery: discovery.address(&zone),
        lists_are_pushed: true,
        known: Some(discovery.snapshot()),
        classes: vec![class(SAFE_CLASS, false), class(UNSAFE_CLASS, true)],
        health_checks: false,
        seed: seed ^ (u64::from(place.tier) << 32) ^ u64::from(place.number),
        memory_mb: SIDECAR_MEMORY_MB,
        descriptors: SIDECAR_DESCRIPTORS,
    }
}

/// Starts a sidecar, without waiting until it is ready.
pub(super) fn start_sidecar(
    configuration: &SidecarConfiguration,
    context: &RunContext,
) -> Result<SidecarProcess, ScenarioError> {
    SidecarProcess::start(&context.program, configuration)
        .map_err(ScenarioError::step(format!("start {}", configuration.name)))
}

/// Waits until a sidecar is ready.
pub(super) fn wait_until_ready(sidecar: &SidecarProcess) -> Result<(), ScenarioError> {
    let late =
        || ScenarioError::NotReached(format!("a sidecar was not ready after {START_TIMEOUT:?}"));
    sidecar
        .wait_until_ready(START_TIMEOUT)
        .map(drop)
        .ok_or_else(late)
}

/// A quantile of latencies, in milliseconds.
pub(super) fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e6
}

/// Tells of calls of a measurement that were not served.
pub(super) fn describe_unserved(what: &str, result: &TargetResult) -> Option<String> {
    let TargetResult {
        sent,
        served,
        refused,
        failed,
        unanswered,
        ..
    } = result;
    (served < sent).then(|| {
        format!(
            "{what}: of {sent} calls {refused} refused, {failed} failed, {unanswered} unanswered"
        )
    })
}
