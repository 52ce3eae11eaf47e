//! The configuration document of a sidecar under test.

use crate::discovery::ListSnapshot;
use crate::topology::ZoneName;
use balancer_sidecar::policy::DiscoveryMode;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A loopback address with a port that the system chooses.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The time after which an idle connection to an endpoint is closed.
const IDLE_CLOSE: Duration = Duration::from_secs(60);
/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The largest number of attempts for a request.
const MAX_ATTEMPTS: u32 = 3;
/// The largest number of pending requests of a sidecar.
const MAX_PENDING: u32 = 10_000;
/// Time after the deadline within which an answer still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(5);
/// The poll interval: the longest time between two calls of discovery.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time within which a draining endpoint gets no new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The fraction of its capacity with which an endpoint starts.
const INITIAL_CAPACITY: f64 = 0.3;
/// How long an endpoint warms up.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// A warming endpoint fails if it is sent more than this multiple of its present capacity
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// for this time.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// The shortest time between two batches of events for the decision module.
const TICK: Duration = Duration::from_millis(1);

/// A request class, as the settings of a sidecar define it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether its requests must never run twice.
    pub is_unsafe: bool,
    /// The priority weight of a request.
    pub priority_weight: f64,
    /// How long its clients wait.
    pub deadline: Duration,
}

/// The position of a sidecar among the sidecars of its tier, and that of its tier in the chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierPosition {
    /// The sidecar's number within its tier, from 0.
    pub number: u32,
    /// The number of sidecars of its tier.
    pub sidecars: u32,
    /// The tier that it sends to, from 0.
    pub tier: u32,
    /// The number of tiers.
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

/// The resources that a sidecar may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub memory_mb: u32,
    /// File descriptors.
    pub descriptors: u32,
}

/// Where a sidecar's load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Endpoints send them with their answers, and health checks are not allowed.
    WithAnswers,
    /// Endpoints send them with the answers to health checks only.
    WithHealthChecks,
}

/// The settings that differ between the sidecars of a fleet and between experiments.
#[derive(Clone, Debug)]
pub struct SidecarConfiguration {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// All zones.
    pub zones: Vec<ZoneName>,
    /// Its position in the chain of tiers.
    pub position: TierPosition,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Whether an agent pushes lists, or the decision module requests them.
    pub discovery_mode: DiscoveryMode,
    /// The list that is used until discovery has sent one.
    pub cached_list: Option<ListSnapshot>,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Where load reports come from.
    pub load_reports: LoadReports,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The resources that it may use.
    pub limits: ResourceLimits,
}

impl SidecarConfiguration {
    /// Returns the settings object, with the names and units of the simulator's first message.
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

    /// Returns the configuration document of a sidecar that listens on loopback ports which the system chooses.
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

    fn report(&self) -> Value {
        let how = match self.load_reports {
            LoadReports::WithAnswers => "inline",
            LoadReports::WithHealthChecks => "on_probe",
        };
        json!({"fields": ["concurrent", "depth", "load_share"], "how": how})
    }

    fn bounds(&self) -> Value {
        json!({
            "cancel": true,
            "connIdleNs": nanoseconds(IDLE_CLOSE),
            "connectTimeoutNs": nanoseconds(CONNECT_TIMEOUT),
            "maxOpen": MAX_PENDING,
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
    /// Returns the class in the form of the settings.
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

fn rules() -> Value {
    json!({
        "answerSlackNs": nanoseconds(ANSWER_SLACK),
        "askWithinNs": nanoseconds(POLL_INTERVAL),
        "coldFrom": INITIAL_CAPACITY,
        "drainGraceNs": nanoseconds(DRAIN_GRACE),
        "fallMultiple": OVERLOAD_MULTIPLE,
        "fallNs": nanoseconds(OVERLOAD_TIME),
        "warmWithinNs": nanoseconds(WARM_UP_TIME),
    })
}

/// Converts a duration to nanoseconds, limited to the largest value of the settings.
fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
