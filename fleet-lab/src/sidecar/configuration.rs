//! The configuration document that a sidecar is given at its start.

use crate::discovery::EndpointEntry;
use crate::topology::ZoneName;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Loopback, with a port of the system's choice.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// An idle connection to an endpoint is closed after this time.
const IDLE_CLOSE: Duration = Duration::from_secs(60);
/// A connection to an endpoint that is not up after this time has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest `Retry-After`.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Attempts for one request.
const MOST_ATTEMPTS: u32 = 3;
/// Requests that one sidecar may hold open.
const MOST_OPEN: u32 = 10_000;
/// Time after the deadline in which an answer still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(5);
/// A sidecar that has not asked discovery for so long counts as told of every change.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time within which a draining endpoint gets nothing new.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Part of its capacity with which an endpoint starts.
const INITIAL_CAPACITY: f64 = 0.3;
/// Time in which an endpoint warms up.
const WARM_WITHIN: Duration = Duration::from_secs(10);
/// A cold endpoint that is sent more than this multiple of its present capacity falls over,
const FALL_MULTIPLE: f64 = 2.5;
/// where that lasts for so long.
const FALL_TIME: Duration = Duration::from_secs(2);
/// The least time between two batches of events for the decision module.
const TICK: Duration = Duration::from_millis(1);

/// A class of requests, as the settings of a sidecar name it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether it must never run twice.
    pub is_unsafe: bool,
    /// What one request is worth.
    pub priority_weight: f64,
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
    pub health_checks: bool,
    /// For random numbers.
    pub seed: u64,
    /// Limits: memory in MB.
    pub memory_mb: u32,
    /// Limits: descriptors.
    pub descriptors: u32,
}

impl SidecarConfiguration {
    /// The settings object alone, with the names and units of the simulator's first message.
    pub fn settings(&self) -> Value {
        let zones: Vec<&str> = self.zones.iter().map(ZoneName::as_str).collect();
        let stages: Vec<String> = (0..self.tiers).map(|tier| format!("tier-{tier}")).collect();
        let categories: Vec<Value> = self.classes.iter().map(RequestClass::category).collect();
        json!({
            "balancers": self.sidecars,
            "myNumber": self.number,
            "zone": self.zone.as_str(),
            "dcs": zones,
            "tier": self.tier,
            "stages": stages,
            "granularityNs": nanoseconds(TICK),
            "discovery": if self.lists_are_pushed { "automatic" } else { "subscribe" },
            "weightSource": "off",
            "worthBy": "request",
            "overShareWorth": 0.0,
            "customers": [],
            "familyInfo": {"passesDeadline": true, "warmKeys": false},
            "clientHabits": {"marksRetry": false},
            "fees": {},
            "report": self.report(),
            "bounds": self.bounds(),
            "rules": rules(),
            "categories": categories,
        })
    }

    /// The whole document, of a sidecar that listens on loopback ports of the system's choice.
    #[must_use]
    pub fn document(&self) -> Value {
        self.document_at(ANY_LOOPBACK_PORT, ANY_LOOPBACK_PORT)
    }

    /// The whole document, of a sidecar that listens at these addresses.
    #[must_use]
    pub fn document_at(&self, callers: SocketAddr, operators: SocketAddr) -> Value {
        let mut document = json!({
            "name": self.name,
            "listen": callers.to_string(),
            "admin_addr": operators.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "settings": self.settings(),
        });
        if let Some((version, endpoints)) = &self.known {
            document["known"] = json!({"index": version, "snapshot": true, "endpoints": endpoints});
        }
        document
    }

    fn report(&self) -> Value {
        let how = if self.health_checks {
            "on_probe"
        } else {
            "inline"
        };
        json!({"fields": ["concurrent", "depth", "load_share"], "how": how})
    }

    fn bounds(&self) -> Value {
        json!({
            "cancel": true,
            "connIdleNs": nanoseconds(IDLE_CLOSE),
            "connectTimeoutNs": nanoseconds(CONNECT_TIMEOUT),
            "maxOpen": MOST_OPEN,
            "maxRetryAfterNs": nanoseconds(LONGEST_RETRY_AFTER),
            "maxStreams": 1,
            "mayTell": false,
            "parallelTries": true,
            "probes": self.health_checks,
            "retryAfter": true,
            "sendCap": MOST_ATTEMPTS,
        })
    }
}

impl RequestClass {
    /// The class in the form of the settings.
    fn category(&self) -> Value {
        let deadline = nanoseconds(self.deadline);
        json!({
            "name": self.name,
            "effect": if self.is_unsafe { "single_shot" } else { "free" },
            "worth": self.priority_weight,
            "objectiveNs": deadline,
            "hardLimitNs": deadline,
            "lateShare": 0.0,
            "stream": false,
        })
    }
}

fn rules() -> Value {
    json!({
        "answerSlackNs": nanoseconds(ANSWER_SLACK),
        "askWithinNs": nanoseconds(POLL_INTERVAL),
        "coldFrom": INITIAL_CAPACITY,
        "drainGraceNs": nanoseconds(DRAIN_GRACE),
        "fallMultiple": FALL_MULTIPLE,
        "fallNs": nanoseconds(FALL_TIME),
        "warmWithinNs": nanoseconds(WARM_WITHIN),
    })
}

/// A duration as the settings give it; one that is too long for them is cut to the longest.
fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
