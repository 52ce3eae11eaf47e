//! A stand-in tier to try a sidecar on: endpoints, discovery, and the configuration of one sidecar.

use crate::discovery::{DiscoveryOptions, DiscoveryServer, EndpointEntry};
use crate::endpoint::{EndpointHandle, EndpointHost, EndpointOptions, ServiceTime};
use crate::sidecar::configuration::{RequestClass, SidecarConfiguration};
use crate::topology::{EndpointName, ZoneName};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The class of requests that are safe to repeat.
pub const SAFE_CLASS: &str = "browse";
/// The class of requests that must never run twice.
pub const UNSAFE_CLASS: &str = "order";

const ZONE: &str = "zone-1";
const ENDPOINT_THREADS: usize = 1;
const SEED: u64 = 1;
/// Requests that an endpoint works on at once, and those that may wait.
const CORES: u32 = 4;
const QUEUE: u32 = 32;
const MEAN_SERVICE_MILLISECONDS: f64 = 20.0;
const ANSWER_BYTES: usize = 64;
const DEADLINE: Duration = Duration::from_secs(2);
/// What an order is worth, beside 1 for looking around.
const ORDER_WORTH: f64 = 5.0;
const SIDECAR_MEMORY_MB: u32 = 128;
const SIDECAR_DESCRIPTORS: u32 = 1_024;

/// A running tier, ended when it is dropped.
pub struct LoopbackTier {
    discovery: DiscoveryServer,
    endpoints: Vec<EndpointHandle>,
    _host: EndpointHost,
}

/// Where a sidecar is to listen.
#[derive(Clone, Copy, Debug)]
pub struct SidecarAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl LoopbackTier {
    /// Starts so many endpoints, and a discovery service that lists them.
    ///
    /// # Errors
    /// No threads or addresses could be had.
    pub fn start(endpoints: u32) -> io::Result<Self> {
        let host = EndpointHost::start(ENDPOINT_THREADS, SEED)?;
        let add = |number| {
            let name = EndpointName::from(format!("endpoint-{number}"));
            host.add(name, ZoneName::from(ZONE), endpoint_options(), None)
        };
        let endpoints: Vec<EndpointHandle> = (0..endpoints).map(add).collect::<io::Result<_>>()?;
        let entries: Vec<EndpointEntry> = endpoints.iter().map(EndpointHandle::entry).collect();
        let discovery =
            DiscoveryServer::start(discovery_options(), &[ZoneName::from(ZONE)], entries)?;
        Ok(LoopbackTier {
            discovery,
            endpoints,
            _host: host,
        })
    }

    /// Where discovery listens.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery.address(&ZoneName::from(ZONE))
    }

    /// The endpoints, as discovery lists them.
    pub fn endpoints(&self) -> Vec<EndpointEntry> {
        self.endpoints.iter().map(EndpointHandle::entry).collect()
    }

    /// The configuration document of a sidecar that sends into this tier.
    pub fn sidecar_configuration(&self, addresses: SidecarAddresses) -> Value {
        let class = |name: &str, is_unsafe, priority_weight| RequestClass {
            name: name.into(),
            is_unsafe,
            priority_weight,
            deadline: DEADLINE,
        };
        let zone = ZoneName::from(ZONE);
        let configuration = SidecarConfiguration {
            name: "sidecar-0".into(),
            zone: zone.clone(),
            zones: vec![zone],
            number: 0,
            sidecars: 1,
            tier: 0,
            tiers: 1,
            discovery: self.discovery_address(),
            lists_are_pushed: true,
            known: Some(self.discovery.snapshot()),
            classes: vec![
                class(SAFE_CLASS, false, 1.0),
                class(UNSAFE_CLASS, true, ORDER_WORTH),
            ],
            health_checks: false,
            seed: SEED,
            memory_mb: SIDECAR_MEMORY_MB,
            descriptors: SIDECAR_DESCRIPTORS,
        };
        configuration.document_at(addresses.callers, addresses.operators)
    }
}

fn endpoint_options() -> EndpointOptions {
    EndpointOptions {
        cores: CORES,
        queue: QUEUE,
        service_time: ServiceTime::Exponential {
            mean_milliseconds: MEAN_SERVICE_MILLISECONDS,
        },
        slow_start: None,
        load_reports: true,
        answer_bytes: ANSWER_BYTES,
        error_share: 0.0,
    }
}

fn discovery_options() -> DiscoveryOptions {
    DiscoveryOptions {
        calls_per_second: 100.0,
        queue_timeout: Duration::from_secs(5),
        heartbeat: Duration::from_secs(2),
        retained_changes: 100,
    }
}
