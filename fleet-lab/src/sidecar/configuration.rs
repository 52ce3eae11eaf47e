//! The configuration document of a sidecar under test.

use crate::discovery::ListSnapshot;
use crate::topology::ZoneName;
use balancer_sidecar::policy::DiscoveryMode;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The loopback address with a port that the system chooses.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The time after which an idle connection to an endpoint is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum Retry-After that clients obey.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// The maximum number of unanswered requests at one sidecar.
const MAX_OPEN_REQUESTS: u32 = 10_000;
/// A response that arrives within this time after the deadline still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(5);
/// The maximum time between two calls of discovery.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The time within which a sidecar must stop sending new requests to a draining endpoint.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The fraction of its full capacity that an endpoint has at its start.
const INITIAL_CAPACITY: f64 = 0.3;
/// The time after its start within which an endpoint reaches its full capacity.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// An endpoint fails during its warm-up if its load exceeds this multiple of its present capacity for
/// [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// The time for which the load must exceed [`OVERLOAD_MULTIPLE`] until the endpoint fails.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// The minimum time between two batches of events for the balancer.
const TICK: Duration = Duration::from_millis(1);

/// A request class of a sidecar's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class.
    pub name: String,
    /// True if requests of the class must never run twice.
    pub is_unsafe: bool,
    /// The priority weight of each request.
    pub priority_weight: f64,
    /// The deadline of each request.
    pub deadline: Duration,
}

/// The position of a sidecar within its tier, and the position of the tier in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierPosition {
    /// The sidecar's number within its tier, from 0.
    pub number: u32,
    /// The number of sidecars in the tier.
    pub sidecars: u32,
    /// The number of the tier that the sidecar sends to, from 0.
    pub tier: u32,
    /// The number of tiers in the chain.
    pub tiers: u32,
}

impl TierPosition {
    /// The position of the only sidecar of the only tier.
    pub const ONLY: TierPosition = TierPosition {
        number: 0,
        sidecars: 1,
        tier: 0,
        tiers: 1,
    };
}

/// The limits on a sidecar's resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub memory_mb: u32,
    /// The number of file descriptors.
    pub descriptors: u32,
}

/// The responses of endpoints that carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// All responses. The sidecar may not make health checks.
    WithResponses,
    /// Only responses to health checks.
    WithHealthChecks,
}

/// The settings that differ between the sidecars of a fleet and between experiments.
#[derive(Clone, Debug)]
pub struct SidecarConfiguration {
    /// The sidecar's name.
    pub name: String,
    /// The sidecar's zone.
    pub zone: ZoneName,
    /// All zones.
    pub zones: Vec<ZoneName>,
    /// The sidecar's position in the chain of tiers.
    pub position: TierPosition,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The way in which the sidecar gets lists: an agent pushes them, or the balancer requests them.
    pub discovery_mode: DiscoveryMode,
    /// The list that the sidecar uses until discovery has sent one.
    pub cached_list: Option<ListSnapshot>,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The responses of endpoints that carry load reports.
    pub load_reports: LoadReports,
    /// Seed of the sidecar's random numbers.
    pub seed: u64,
    /// The limits on the sidecar's resources.
    pub limits: ResourceLimits,
}

impl SidecarConfiguration {
    /// Returns the settings object. It has the key names and units of the first message that the simulator sends.
    pub fn settings(&self) -> Value {
        let zones: Vec<&str> = self.zones.iter().map(ZoneName::as_str).collect();
        let stages: Vec<String> = (0..self.position.tiers)
            .map(|tier| format!("tier-{tier}"))
            .collect();
        let categories: Vec<Value> = self.classes.iter().map(RequestClass::category).collect();
        json!({
            "balancers": self.position.sidecars,
            "myNumber": self.position.number,
            "zone": self.zone.as_str(),
            "dcs": zones,
            "tier": self.position.tier,
            "stages": stages,
            "granularityNs": nanoseconds(TICK),
            "discovery": discovery_mode_name(self.discovery_mode),
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

    /// Returns the configuration document of a sidecar that listens on loopback, on ports that the system chooses.
    #[must_use]
    pub fn document(&self) -> Value {
        self.document_at(ANY_LOOPBACK_PORT, ANY_LOOPBACK_PORT)
    }

    /// Returns the configuration document of a sidecar that listens at these addresses.
    #[must_use]
    pub fn document_at(&self, callers: SocketAddr, operators: SocketAddr) -> Value {
        let mut document = json!({
            "name": self.name,
            "listen": callers.to_string(),
            "admin_addr": operators.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": format!("{:016x}", self.seed),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.limits.memory_mb,
                "sockets": self.limits.descriptors,
            },
            "settings": self.settings(),
        });
        if let Some(ListSnapshot { version, endpoints }) = &self.cached_list {
            document["known"] = json!({"index": version, "snapshot": true, "endpoints": endpoints});
        }
        document
    }

    /// Returns the settings of load reports.
    fn report(&self) -> Value {
        let how = match self.load_reports {
            LoadReports::WithResponses => "inline",
            LoadReports::WithHealthChecks => "on_probe",
        };
        json!({"fields": ["concurrent", "depth", "load_share"], "how": how})
    }

    /// Returns the settings of limits and permissions.
    fn bounds(&self) -> Value {
        json!({
            "cancel": true,
            "connIdleNs": nanoseconds(IDLE_TIMEOUT),
            "connectTimeoutNs": nanoseconds(CONNECT_TIMEOUT),
            "maxOpen": MAX_OPEN_REQUESTS,
            "maxRetryAfterNs": nanoseconds(MAX_RETRY_AFTER),
            "maxStreams": 1,
            "mayTell": false,
            "parallelTries": true,
            "probes": self.load_reports == LoadReports::WithHealthChecks,
            "retryAfter": true,
            "sendCap": MAX_ATTEMPTS,
        })
    }
}

impl RequestClass {
    /// Returns the settings of the class.
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

/// Returns the name of a discovery mode in the settings.
fn discovery_mode_name(mode: DiscoveryMode) -> &'static str {
    match mode {
        DiscoveryMode::Pushed => "automatic",
        DiscoveryMode::OnRequest => "subscribe",
    }
}

/// Returns the settings of the timing rules.
fn rules() -> Value {
    json!({
        "answerSlackNs": nanoseconds(ANSWER_SLACK),
        "askWithinNs": nanoseconds(POLL_INTERVAL),
        "coldFrom": INITIAL_CAPACITY,
        "drainGraceNs": nanoseconds(DRAIN_GRACE),
        "fallMultiple": OVERLOAD_MULTIPLE,
        "fallNs": nanoseconds(OVERLOAD_WINDOW),
        "warmWithinNs": nanoseconds(WARM_UP_TIME),
    })
}

/// Converts a duration to nanoseconds, limited to the largest `u64`.
fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
