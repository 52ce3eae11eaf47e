//! The types of the settings document. Their doc comments are the descriptions in the published JSON Schema.
//!
//! The variants of enums have ordinary comments. Doc comments would give each variant a schema of its own, and the
//! error for an invalid value would no longer list the allowed ones.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The settings of the load balancer.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct SettingsDocument {
    /// The number of sidecars of this tier.
    pub(super) balancers: u32,
    /// The limits that the platform sets.
    #[serde(rename = "bounds")]
    pub(super) limits: LimitsDocument,
    /// The classes of requests.
    #[serde(rename = "categories")]
    pub(super) classes: Vec<ClassDocument>,
    /// The behaviour of clients.
    #[serde(default, rename = "clientHabits")]
    pub(super) clients: ClientsDocument,
    /// The tenants of requests. The list may be empty.
    #[serde(default, rename = "customers")]
    pub(super) tenants: Vec<TenantDocument>,
    /// The names of the zones.
    #[serde(default, rename = "dcs")]
    pub(super) zones: Vec<String>,
    /// The delivery of endpoint lists: `automatic` (pushed by discovery) or `subscribe` (only on request).
    pub(super) discovery: DiscoveryModeDocument,
    /// Properties of the service.
    #[serde(default, rename = "familyInfo")]
    pub(super) service: ServiceDocument,
    /// The prices of the resources that the balancer uses, as fractions of the result.
    #[serde(default, rename = "fees")]
    pub(super) prices: PricesDocument,
    /// The minimum time between two batches of events, in nanoseconds.
    #[serde(default, rename = "granularityNs")]
    pub(super) tick_ns: u64,
    /// The number of this sidecar in its tier, counted from 0.
    #[serde(rename = "myNumber")]
    pub(super) peer_id: u32,
    /// The value of a request beyond its tenant's quota share, as a fraction of its ordinary value, from 0 to 1.
    #[serde(default, rename = "overShareWorth")]
    pub(super) over_share_value: f64,
    /// The load reports of endpoints.
    #[serde(rename = "report")]
    pub(super) reporting: ReportingDocument,
    /// Times and multiples that the platform's rules set.
    pub(super) rules: RulesDocument,
    /// The names of the tiers.
    #[serde(default, rename = "stages")]
    pub(super) tiers: Vec<String>,
    /// The number of the tier to which this sidecar sends requests, counted from 0.
    #[serde(default)]
    pub(super) tier: usize,
    /// The source of the endpoint weights in a list: `nominal` (the registered capacity), `rough` (approximately the
    /// registered capacity), `live` (the capacity under the present load) or `off` (no source; every weight is 1).
    /// Default: `off`.
    #[serde(rename = "weightSource")]
    pub(super) weight_source: Option<WeightSourceDocument>,
    /// The basis of a request's value: `request` (the same value for all requests of a class) or `work` (a value that
    /// grows with the request's work). Default: `request`.
    #[serde(rename = "worthBy")]
    pub(super) value_basis: Option<ValueBasisDocument>,
    /// The zone of this sidecar.
    pub(super) zone: String,
}

/// The delivery of endpoint lists.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub(super) enum DiscoveryModeDocument {
    // Discovery pushes them.
    #[serde(rename = "automatic")]
    Pushed,
    // Only on request.
    #[serde(rename = "subscribe")]
    OnRequest,
}

/// The source of the endpoint weights in a list.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "SizeMeaningDocument")]
pub(super) enum WeightSourceDocument {
    // No source: every weight is 1.
    #[default]
    #[serde(rename = "off")]
    None,
    // The registered capacity.
    Nominal,
    // Approximately the registered capacity.
    Rough,
    // The capacity under the present load.
    Live,
}

/// The basis of a request's value.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(super) enum ValueBasisDocument {
    #[default]
    Request,
    Work,
}

/// The limits that the platform sets.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub(super) struct LimitsDocument {
    /// True if attempts may be cancelled.
    pub(super) cancel: bool,
    /// The idle time after which endpoints close a connection, in nanoseconds.
    #[serde(rename = "connIdleNs")]
    pub(super) idle_timeout_ns: u64,
    /// The maximum time to establish a connection, in nanoseconds. The attempt to connect fails after it.
    pub(super) connect_timeout_ns: u64,
    /// The maximum number of unanswered requests at one sidecar.
    #[serde(rename = "maxOpen")]
    pub(super) max_open_requests: u64,
    /// The maximum Retry-After that clients obey, in nanoseconds.
    #[serde(default)]
    pub(super) max_retry_after_ns: u64,
    /// The maximum number of concurrent attempts on one connection.
    #[serde(rename = "maxStreams")]
    pub(super) streams_per_connection: u64,
    /// True if sidecars may send messages to each other.
    #[serde(rename = "mayTell")]
    pub(super) peer_messages: bool,
    /// True if a request may have two attempts in flight at once.
    #[serde(rename = "parallelTries")]
    pub(super) parallel_attempts: bool,
    /// True if the sidecar may send health checks to endpoints.
    #[serde(rename = "probes")]
    pub(super) health_checks: bool,
    /// True if clients obey the Retry-After of a rejection.
    pub(super) retry_after: bool,
    /// The maximum number of attempts of a request, above 0.
    #[serde(rename = "sendCap")]
    pub(super) max_attempts: usize,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassDocument {
    /// The name of the class.
    pub(super) name: String,
    /// The idempotency of requests: `free` (endpoints may run a request any number of times), `guarded` (endpoints drop
    /// repeats) or `single_shot` (endpoints must never run a request twice).
    #[serde(rename = "effect")]
    pub(super) idempotency: IdempotencyDocument,
    /// The time after which a client gives up, in nanoseconds, above 0.
    #[serde(rename = "hardLimitNs")]
    pub(super) deadline_ns: u64,
    /// The latency objective, in nanoseconds, above 0. An answer within this time has full value.
    pub(super) objective_ns: u64,
    /// The endpoints that drop each other's repeats of a guarded request: `all` endpoints, those of one `zone`, or
    /// those of one `cell` (group of endpoints). Required for guarded requests.
    pub(super) key_scope: Option<KeyScopeDocument>,
    /// The time for which endpoints drop repeats of a guarded request, in nanoseconds.
    #[serde(default, rename = "memorySpanNs")]
    pub(super) deduplication_window_ns: u64,
    /// The fraction of its value that an answer after the objective keeps, from 0 to 1.
    #[serde(default, rename = "lateShare")]
    pub(super) late_value: f64,
    /// The growth of the objective with a request's work, as a multiple of the work.
    #[serde(default, rename = "aimStretch")]
    pub(super) objective_per_work: f64,
    /// True if the answer is a stream.
    #[serde(default)]
    pub(super) stream: bool,
    /// True if requests with the same key are sent one at a time, in order of arrival.
    #[serde(default, rename = "byArrival")]
    pub(super) is_key_ordered: bool,
    /// The value of one request, which orders the classes by priority.
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
}

/// The idempotency of the requests of a class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub(super) enum IdempotencyDocument {
    // Endpoints may run a request any number of times.
    #[serde(rename = "free")]
    Idempotent,
    // Endpoints must never run a request twice.
    #[serde(rename = "single_shot")]
    Unsafe,
    // Endpoints drop repeats.
    #[serde(rename = "guarded")]
    Keyed,
}

/// The endpoints that drop each other's repeats.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(super) enum KeyScopeDocument {
    // All endpoints.
    All,
    // The endpoints of one zone.
    Zone,
    // The endpoints of one group.
    #[serde(rename = "cell")]
    Group,
}

/// The behaviour of clients.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ClientsDocument {
    /// True if clients mark their retries.
    #[serde(rename = "marksRetry")]
    pub(super) mark_retries: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantDocument {
    /// The name of the tenant.
    pub(super) name: String,
    /// The quota share: the fraction of the service that is agreed with the tenant, from 0 to 1.
    #[serde(rename = "portion")]
    pub(super) quota_share: f64,
    /// The rate of requests within the quota share, per second, summed over all sidecars of the tier.
    #[serde(default)]
    pub(super) quota_per_s: f64,
}

/// Properties of the service.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct ServiceDocument {
    /// True if requests from the previous tier carry the time left until the deadline.
    #[serde(rename = "passesDeadline")]
    pub(super) propagates_deadline: bool,
    /// True if a request takes less work at an endpoint that has recently served a request with the same key.
    #[serde(rename = "warmKeys")]
    pub(super) endpoints_cache_by_key: bool,
}

/// The prices of the resources that the balancer uses, as fractions of the result.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct PricesDocument {
    /// The price of 100 open connections per endpoint.
    pub(super) connection: f64,
    /// The price of attempts that cross zones, per first attempt.
    pub(super) cross_zone: f64,
    /// The price of 100 entries of endpoint lists, per first attempt.
    pub(super) discovery: f64,
    /// The price of new connections, per first attempt.
    pub(super) handshake: f64,
    /// The price of the value of requests that are not served and fail after their objective.
    pub(super) late_fail: f64,
    /// The price of messages between sidecars, per first attempt.
    pub(super) peer: f64,
    /// The price of health checks, per first attempt.
    #[serde(rename = "probe")]
    pub(super) health_check: f64,
    /// The price of endpoint work that led to no answer.
    pub(super) waste: f64,
}

/// The load reports of endpoints.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub(super) struct ReportingDocument {
    /// The responses that carry load reports: `inline` (responses to requests and to health checks), `on_probe` (only
    /// responses to health checks) or `off` (none).
    #[serde(rename = "how")]
    pub(super) mode: ReportingModeDocument,
}

/// The responses that carry load reports.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
pub(super) enum ReportingModeDocument {
    // Responses to requests and to health checks.
    #[serde(rename = "inline")]
    WithResponses,
    // Only responses to health checks.
    #[serde(rename = "on_probe")]
    WithHealthChecks,
    // None.
    #[serde(rename = "off")]
    Off,
}

/// Times and multiples that the platform's rules set.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub(super) struct RulesDocument {
    /// The time after a client's deadline within which a final answer still counts as in time, in nanoseconds.
    pub(super) answer_slack_ns: u64,
    /// The maximum time between two calls of discovery, in nanoseconds. If a sidecar has made no call for longer, it
    /// counts as notified of all changes.
    #[serde(default, rename = "askWithinNs")]
    pub(super) poll_interval_ns: u64,
    /// The fraction of its full capacity with which an endpoint starts, from 0 to 1.
    #[serde(rename = "coldFrom")]
    pub(super) initial_capacity: f64,
    /// The time within which a sidecar must close its idle connections to a draining endpoint, in nanoseconds. Absent:
    /// there is no such rule.
    pub(super) drain_close_ns: Option<u64>,
    /// The time within which a sidecar must stop sending requests to an endpoint after the notice of its drain or
    /// removal, in nanoseconds.
    pub(super) drain_grace_ns: u64,
    /// The load beyond which an endpoint that is warming up fails, as a multiple of its present capacity. The endpoint
    /// fails if the load exceeds this for `fallNs`.
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: f64,
    /// The time for which the load must exceed `fallMultiple` before an endpoint that is warming up fails, in
    /// nanoseconds.
    #[serde(rename = "fallNs")]
    pub(super) overload_window_ns: u64,
    /// The time for which no request with the same key is sent after an attempt that may still be running, in
    /// nanoseconds. Absent: there is no such rule.
    #[serde(rename = "orderPauseNs")]
    pub(super) key_cooldown_ns: Option<u64>,
    /// The time after its start within which an endpoint reaches its full capacity, in nanoseconds.
    #[serde(rename = "warmWithinNs")]
    pub(super) warm_up_time_ns: u64,
}
