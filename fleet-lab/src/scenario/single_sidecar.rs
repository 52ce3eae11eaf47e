//! One real sidecar in front of one tier, and functions for all experiments with real sidecars.

use super::context::RunContext;
use super::load::{SAFE_CLASS, UNSAFE_CLASS};
use super::outcome::ScenarioError;
use crate::discovery::{DiscoveryOptions, ListChangeAction};
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions};
use crate::loopback_tier::{LoopbackTier, LoopbackTierOptions, start_endpoint};
use crate::measure::ProcessUsage;
use crate::sidecar::configuration::{
    LoadReports, RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use crate::sidecar::process::SidecarProcess;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of a sidecar. They are high enough for all open requests of an experiment.
pub(super) const SIDECAR_LIMITS: ResourceLimits = ResourceLimits {
    memory_mb: 192,
    descriptors: 4_096,
};
/// Options of a discovery service that has more capacity than the sidecars of one tier need.
pub(super) const DISCOVERY_OPTIONS: DiscoveryOptions = DiscoveryOptions {
    calls_per_second: 1_000.0,
    queue_timeout: Duration::from_secs(5),
    heartbeat: Duration::from_secs(2),
    entries_per_second: None,
    on_change: ListChangeAction::SendChange,
    retained_changes: 1_000,
};
/// The number of threads that run the endpoints.
const ENDPOINT_THREADS: usize = 2;
/// The longest time until a sidecar is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The options that differ between experiments with one sidecar.
pub(super) struct SingleSidecarOptions<'a> {
    /// The number of listed endpoints.
    pub(super) endpoints: u32,
    /// The behaviour of the endpoints.
    pub(super) endpoint: &'a EndpointOptions,
    /// The deadline of the calls.
    pub(super) deadline: Duration,
    /// The responses of endpoints that carry load reports.
    pub(super) load_reports: LoadReports,
    /// Seed of all random numbers.
    pub(super) seed: u64,
}

/// One sidecar that is ready, and the tier that it sends to. Its configuration gives the number of endpoints
/// as the number of sidecars. The sidecar therefore has a subset as small as in a fleet.
pub(super) struct SingleSidecar {
    pub(super) sidecar: SidecarProcess,
    pub(super) configuration: SidecarConfiguration,
    pub(super) tier: LoopbackTier,
    host: EndpointHost,
}

impl SingleSidecar {
    /// Starts the tier and the sidecar, and waits until the sidecar is ready.
    pub(super) fn start(
        options: &SingleSidecarOptions<'_>,
        context: &RunContext,
    ) -> Result<Self, ScenarioError> {
        let host = start_host(options.seed)?;
        let tier_options = LoopbackTierOptions {
            endpoints: options.endpoints,
            name_prefix: "endpoint",
            endpoint: options.endpoint,
            next_sidecars: &[],
            discovery: DISCOVERY_OPTIONS,
        };
        let tier = LoopbackTier::start(&host, &tier_options)?;
        let position = TierPosition {
            sidecars: options.endpoints,
            ..TierPosition::ONLY
        };
        let classes = request_classes(options.deadline);
        let configuration = SidecarConfiguration {
            load_reports: options.load_reports,
            ..tier.sidecar_configuration(position, classes, SIDECAR_LIMITS, options.seed)
        };
        let sidecar = start_sidecar(&configuration, context)?;
        wait_until_ready(&sidecar)?;
        Ok(SingleSidecar {
            sidecar,
            configuration,
            tier,
            host,
        })
    }

    /// Starts an endpoint that discovery does not list, and returns its address.
    pub(super) fn start_unlisted_endpoint(
        &self,
        options: &EndpointOptions,
    ) -> Result<SocketAddr, ScenarioError> {
        let endpoint = start_endpoint(&self.host, "unlisted", options, None)?;
        Ok(endpoint.entry().address)
    }

    /// Returns the resources that the sidecar uses.
    pub(super) fn usage(&self) -> Result<ProcessUsage, ScenarioError> {
        self.sidecar
            .usage()
            .map_err(ScenarioError::step("read the sidecar's resource usage"))
    }

    /// Returns one metric of the sidecar by its name without the `app_` prefix.
    pub(super) fn metric(&self, name: &str) -> Result<u64, ScenarioError> {
        let missing =
            || ScenarioError::Incomplete(format!("the sidecar did not return the metric {name}"));
        self.sidecar.metric(name).ok_or_else(missing)
    }

    /// Returns the number of connections that the listed endpoints have accepted.
    pub(super) fn endpoint_connections(&self) -> u64 {
        let connections = |endpoint: &EndpointHandle| endpoint.usage().connections;
        self.tier.endpoints.iter().map(connections).sum()
    }

    /// Returns the number of health checks that the listed endpoints have received.
    pub(super) fn endpoint_health_checks(&self) -> u64 {
        let health_checks = |endpoint: &EndpointHandle| endpoint.usage().health_checks;
        self.tier.endpoints.iter().map(health_checks).sum()
    }
}

/// Starts a host for endpoints.
pub(super) fn start_host(seed: u64) -> Result<EndpointHost, ScenarioError> {
    EndpointHost::start(ENDPOINT_THREADS, seed)
        .map_err(ScenarioError::step("start the endpoints' threads"))
}

/// Returns the request classes of the sidecars under test.
pub(super) fn request_classes(deadline: Duration) -> Vec<RequestClass> {
    let class = |name: &str, is_unsafe| RequestClass {
        name: name.into(),
        is_unsafe,
        priority_weight: 1.0,
        deadline,
    };
    vec![class(SAFE_CLASS, false), class(UNSAFE_CLASS, true)]
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
    let timed_out =
        || ScenarioError::Incomplete(format!("a sidecar was not ready after {START_TIMEOUT:?}"));
    sidecar
        .wait_until_ready(START_TIMEOUT)
        .map(drop)
        .ok_or_else(timed_out)
}
