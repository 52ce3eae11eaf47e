//! The configuration document that a sidecar is given at its start.

use crate::discovery::EndpointEntry;
use crate::topology::ZoneName;
use std::net::SocketAddr;
use std::time::Duration;

/// A class of requests, as the settings of a sidecar name it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether it must never run twice.
    pub is_unsafe: bool,
    /// What one request is worth.
    pub worth: f64,
    /// How long its clients wait.
    pub deadline: Duration,
}

/// What differs between the sidecars of a fleet and between experiments.
#[derive(Clone, Debug)]
pub struct SidecarConfiguration {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// All zones.
    pub zones: Vec<ZoneName>,
    /// Its number among the sidecars of its tier.
    pub number: u32,
    /// How many sidecars its tier has.
    pub sidecars: u32,
    /// The tier that it sends into, from 0.
    pub tier: u32,
    /// How many tiers there are.
    pub tiers: u32,
    /// Discovery.
    pub discovery: SocketAddr,
    /// Whether lists are pushed by an agent, or watched through calls that the decision module asks for.
    pub lists_are_pushed: bool,
    /// The endpoints as it last had them, and their version.
    pub known: Option<(u64, Vec<EndpointEntry>)>,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Whether probes are allowed; load reports come with probes alone then, else with answers.
    pub probes: bool,
    /// For random numbers.
    pub seed: u64,
    /// Limits: memory in MB.
    pub memory_mb: u32,
    /// Limits: descriptors.
    pub descriptors: u32,
}

impl SidecarConfiguration {
    /// The settings object alone, with the names and units of the simulator's first message.
    pub fn settings(&self) -> serde_json::Value {
        todo!()
    }

    /// The whole document. It listens on a loopback port of the system's choice, and so does the operators' address.
    pub fn document(&self) -> serde_json::Value {
        todo!()
    }
}
