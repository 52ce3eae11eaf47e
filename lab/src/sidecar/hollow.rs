//! Hollow sidecars: hundreds in one process, each with the real decision module and the real discovery client over
//! real loopback sockets, while its calls are answered in memory.

use crate::sidecar::configuration::SidecarConfiguration;
use crate::topology::EndpointName;
use serde::Serialize;
use std::io;
use std::time::Duration;

/// The load that each hollow sidecar's callers bring, and how its endpoints answer.
#[derive(Clone, Copy, Debug)]
pub struct HollowLoad {
    /// Mean calls a second; arrivals are a Poisson process.
    pub calls_per_second: f64,
    /// Mean of the exponentially distributed time that an endpoint takes.
    pub mean_service_time: Duration,
}

/// Counts of a hollow fleet since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct HollowUsage {
    /// Calls that callers made.
    pub calls: u64,
    /// Attempts that the modules started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were refused or failed.
    pub not_served: u64,
    /// Probes that the modules started.
    pub probes: u64,
    /// Calls of discovery that failed, and watches that were lost.
    pub discovery_failures: u64,
    /// The most attempts that one endpoint got within one second.
    pub most_attempts_at_an_endpoint: u64,
}

/// What a hollow fleet did within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct HollowSecond {
    /// Calls that callers made.
    pub calls: u64,
    /// Attempts that the modules started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were refused or failed.
    pub not_served: u64,
}

/// When each sidecar of a fleet reached a state, since the moment asked from.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// One duration for each sidecar that did, sorted.
    pub after: Vec<Duration>,
    /// Sidecars that did not before the wait ended.
    pub missing: usize,
}

/// A fleet of hollow sidecars on threads of its own, ended when it is dropped.
pub struct HollowFleet {}

impl HollowFleet {
    /// Starts one hollow sidecar for each configuration, all at once, spread over so many threads.
    ///
    /// # Errors
    /// No threads could be had, or settings that the decision module turns down.
    pub fn start(
        _configurations: Vec<SidecarConfiguration>,
        _load: HollowLoad,
        _threads: usize,
    ) -> io::Result<Self> {
        todo!()
    }

    /// Waits until every sidecar has been told this version or a later one, for `longest` at most. Times count from
    /// `since`; a sidecar that had it earlier counts as zero.
    pub fn wait_for_version(
        &self,
        _version: u64,
        _since: std::time::Instant,
        _longest: Duration,
    ) -> Arrivals {
        todo!()
    }

    /// Waits until every sidecar is ready: it knows an endpoint that takes work.
    pub fn wait_until_ready(&self, _since: std::time::Instant, _longest: Duration) -> Arrivals {
        todo!()
    }

    /// Waits until every sidecar has an open watch.
    pub fn wait_until_watching(&self, _since: std::time::Instant, _longest: Duration) -> Arrivals {
        todo!()
    }

    /// Ends these sidecars at once, by their place in the configurations, and starts them again from nothing
    /// but their configuration.
    pub fn restart(&self, _which: &[usize]) {
        todo!()
    }

    /// Points these sidecars at other configurations, as a reload by SIGHUP does.
    pub fn reload(&self, _which: &[usize], _configuration: impl Fn(usize) -> SidecarConfiguration) {
        todo!()
    }

    /// Has the machines of these endpoints vanish (attempts time out) or come back cold, for all sidecars.
    pub fn set_unreachable(&self, _endpoints: &[EndpointName], _unreachable: bool) {
        todo!()
    }

    /// What the fleet did in each second since its start.
    pub fn timeline(&self) -> Vec<HollowSecond> {
        todo!()
    }

    /// What the fleet has done so far.
    pub fn usage(&self) -> HollowUsage {
        todo!()
    }
}
