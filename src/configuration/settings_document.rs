//! The settings as JSON: the simulator's first message to an instance, and `settings` in a sidecar's
//! configuration.

use crate::policy::{
    Class, DiscoveryMode, Idempotency, KeyScope, Limits, PeerId, Prices, Reporting, Rules,
    Settings, SizeMeaning, Tenant, ValueBasis,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why a settings document cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsDocumentError {
    /// It is no JSON, or a value is missing or of the wrong kind.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Repeats of a keyed class are dropped by some group, which has to be named.
    #[error("class {class} has no keyScope")]
    NoKeyScope {
        /// The class's name.
        class: String,
    },
}

/// Reads a settings document.
///
/// # Errors
/// What is wrong with it. Whether an instance can work with the settings is another question, see
/// [`Settings::check`].
pub fn parse_settings(json: &str) -> Result<Settings, SettingsDocumentError> {
    let document: SettingsDocument = serde_json::from_str(json)?;
    document.settings()
}

impl SettingsDocument {
    /// The settings in the decision module's form.
    ///
    /// # Errors
    /// A keyed class has no key scope.
    pub fn settings(self) -> Result<Settings, SettingsDocumentError> {
        Ok(Settings {
            balancers: self.balancers,
            peer_id: PeerId(self.my_number),
            zone: self.zone.as_str().into(),
            zones: self.dcs.len(),
            tier: self.tier,
            tiers: self.stages.len(),
            propagates_deadline: self.family_info.passes_deadline,
            warm_keys: self.family_info.warm_keys,
            classes: self
                .categories
                .into_iter()
                .map(Category::class)
                .collect::<Result<_, _>>()?,
            tenants: self.customers.into_iter().map(Customer::tenant).collect(),
            over_share_value: self.over_share_worth,
            limits: self.bounds.limits(),
            rules: self.rules.rules(),
            prices: self.fees.prices(),
            discovery: match self.discovery {
                DiscoveryName::Automatic => DiscoveryMode::Pushed,
                DiscoveryName::Subscribe => DiscoveryMode::OnRequest,
            },
            sizes: match self.weight_source.unwrap_or_default() {
                WeightSource::Off => SizeMeaning::None,
                WeightSource::Nominal => SizeMeaning::Nominal,
                WeightSource::Rough => SizeMeaning::Rough,
                WeightSource::Live => SizeMeaning::Live,
            },
            reporting: match self.report.how {
                ReportName::Inline => Reporting::WithAnswers,
                ReportName::OnProbe => Reporting::WithHealthChecks,
                ReportName::Off => Reporting::Off,
            },
            value_basis: match self.worth_by.unwrap_or_default() {
                ValueBasisName::Request => ValueBasis::Request,
                ValueBasisName::Work => ValueBasis::Work,
            },
            marks_retry: self.client_habits.marks_retry,
            tick: Duration::from_nanos(self.granularity_ns),
        })
    }
}

/// The settings.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct SettingsDocument {
    /// Sidecars of this tier.
    balancers: u32,
    /// What the place permits.
    bounds: Bounds,
    /// Classes of requests.
    categories: Vec<Category>,
    /// What clients do.
    #[serde(default)]
    client_habits: ClientHabits,
    /// Tenants; may be empty.
    #[serde(default)]
    customers: Vec<Customer>,
    /// Names of the zones.
    #[serde(default)]
    dcs: Vec<String>,
    /// How lists of endpoints come.
    discovery: DiscoveryName,
    /// What the service passes on and keeps.
    #[serde(default)]
    family_info: FamilyInfo,
    /// Prices, in shares of the result.
    #[serde(default)]
    fees: Fees,
    /// The least time between two batches of events, in ns.
    #[serde(default)]
    granularity_ns: u64,
    /// This sidecar's number in its tier, from 0.
    my_number: u32,
    /// The worth of a request beyond its tenant's share, as a part of the usual, 0 to 1.
    #[serde(default)]
    over_share_worth: f64,
    /// Load reports.
    report: ReportInfo,
    /// The numbers behind the rules.
    rules: RuleInfo,
    /// Names of the tiers.
    #[serde(default)]
    stages: Vec<String>,
    /// The tier that this sidecar sends into, from 0.
    #[serde(default)]
    tier: usize,
    /// What an endpoint's weight means; off where absent.
    weight_source: Option<WeightSource>,
    /// Whether worth goes by request or by work; by request where absent.
    worth_by: Option<ValueBasisName>,
    /// This sidecar's zone.
    zone: String,
}

/// How lists of endpoints come.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum DiscoveryName {
    // They are pushed.
    Automatic,
    // Only on request.
    Subscribe,
}

/// What an endpoint's weight means.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum WeightSource {
    // Nothing.
    #[default]
    Off,
    // As registered.
    Nominal,
    // As registered, roughly.
    Rough,
    // By its present load.
    Live,
}

/// Whether worth goes by request or by work.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum ValueBasisName {
    // By request.
    #[default]
    Request,
    // By work.
    Work,
}

/// What the place permits.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    /// Attempts may be cancelled.
    cancel: bool,
    /// Endpoints close a connection that stood idle so long, in ns.
    conn_idle_ns: u64,
    /// A connection that is not up by then has failed, in ns.
    connect_timeout_ns: u64,
    /// Requests that may be open at once.
    max_open: u64,
    /// The longest pause that a client keeps, in ns.
    #[serde(default)]
    max_retry_after_ns: u64,
    /// Attempts that one connection carries at once.
    max_streams: u64,
    /// Sidecars may send messages to each other.
    may_tell: bool,
    /// A request may have two attempts in flight.
    parallel_tries: bool,
    /// Endpoints may be probed.
    probes: bool,
    /// Clients keep the pause of a refusal.
    retry_after: bool,
    /// Attempts that a request may have, above 0.
    send_cap: usize,
}

impl Bounds {
    fn limits(self) -> Limits {
        Limits {
            cancel: self.cancel,
            health_checks: self.probes,
            peers: self.may_tell,
            parallel_attempts: self.parallel_tries,
            retry_after: self.retry_after,
            max_retry_after: Duration::from_nanos(self.max_retry_after_ns),
            max_attempts: self.send_cap,
            max_open: self.max_open,
            streams_per_connection: self.max_streams,
            idle_timeout: Duration::from_nanos(self.conn_idle_ns),
            connect_timeout: Duration::from_nanos(self.connect_timeout_ns),
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Category {
    /// Its name.
    name: String,
    /// Whether a request may run more than once.
    effect: EffectName,
    /// How long a client waits in all, in ns, above 0.
    hard_limit_ns: u64,
    /// An answer within this time earns all, in ns, above 0.
    objective_ns: u64,
    /// Which endpoints drop repeats of a guarded request.
    key_scope: Option<KeyScopeName>,
    /// For how long they do, in ns.
    #[serde(default)]
    memory_span_ns: u64,
    /// The share of the worth that a later answer earns, 0 to 1.
    #[serde(default)]
    late_share: f64,
    /// The objective grows by this multiple of the request's work.
    #[serde(default)]
    aim_stretch: f64,
    /// The answer comes as a stream.
    #[serde(default)]
    stream: bool,
    /// Requests with one key take turns in order of arrival.
    #[serde(default)]
    by_arrival: bool,
    /// What one is worth.
    worth: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum EffectName {
    // Any number of times.
    Free,
    // Never twice.
    SingleShot,
    // Repeats are dropped.
    Guarded,
}

/// The endpoints that drop repeats.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum KeyScopeName {
    // All endpoints.
    All,
    // Those of one zone.
    Zone,
    // Those of one group.
    Cell,
}

impl Category {
    fn class(self) -> Result<Class, SettingsDocumentError> {
        let scope = self.key_scope.map(|name| match name {
            KeyScopeName::All => KeyScope::All,
            KeyScopeName::Zone => KeyScope::Zone,
            KeyScopeName::Cell => KeyScope::Group,
        });
        let idempotency = match (self.effect, scope) {
            (EffectName::Free, _) => Idempotency::Idempotent,
            (EffectName::SingleShot, _) => Idempotency::Unsafe,
            (EffectName::Guarded, Some(scope)) => Idempotency::Keyed {
                scope,
                window: Duration::from_nanos(self.memory_span_ns),
            },
            (EffectName::Guarded, None) => {
                return Err(SettingsDocumentError::NoKeyScope { class: self.name });
            }
        };
        Ok(Class {
            name: self.name,
            objective: Duration::from_nanos(self.objective_ns),
            objective_per_work: self.aim_stretch,
            deadline: Duration::from_nanos(self.hard_limit_ns),
            priority_weight: self.worth,
            late_value: self.late_share,
            idempotency,
            stream: self.stream,
            is_key_ordered: self.by_arrival,
        })
    }
}

/// What clients do.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
struct ClientHabits {
    /// Clients mark their retries.
    marks_retry: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct Customer {
    /// Its name.
    name: String,
    /// Its part of the whole, 0 to 1.
    portion: f64,
    /// Requests a second within that part.
    #[serde(default)]
    quota_per_s: f64,
}

impl Customer {
    fn tenant(self) -> Tenant {
        Tenant {
            name: self.name,
            quota_share: self.portion,
            quota_per_s: self.quota_per_s,
        }
    }
}

/// What the service passes on and keeps.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    /// Calls carry what is left of the time.
    passes_deadline: bool,
    /// Endpoints do less work for keys that they met lately.
    warm_keys: bool,
}

/// Prices, in shares of the result.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase", default)]
struct Fees {
    /// For 100 open connections an endpoint.
    connection: f64,
    /// For each first attempt that crosses zones.
    cross_zone: f64,
    /// For 100 lines of lists, for each first attempt.
    discovery: f64,
    /// For each new connection.
    handshake: f64,
    /// For worth left unserved after its objective.
    late_fail: f64,
    /// For each message between sidecars.
    peer: f64,
    /// For each probe.
    probe: f64,
    /// For endpoint work that served no answer.
    waste: f64,
}

impl Fees {
    fn prices(self) -> Prices {
        Prices {
            cross_zone: self.cross_zone,
            waste: self.waste,
            health_check: self.probe,
            peer: self.peer,
            handshake: self.handshake,
            connection: self.connection,
            late_fail: self.late_fail,
            discovery: self.discovery,
        }
    }
}

/// Load reports.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
struct ReportInfo {
    /// With which answers load reports come.
    how: ReportName,
}

/// With which answers load reports come.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum ReportName {
    // With all answers.
    Inline,
    // With those to probes.
    OnProbe,
    // Nothing.
    Off,
}

/// The numbers behind the rules.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
struct RuleInfo {
    /// A final answer is in time until this long after the client's deadline, in ns.
    answer_slack_ns: u64,
    /// A sidecar that has not asked discovery for so long counts as told, in ns.
    #[serde(default)]
    ask_within_ns: u64,
    /// The part of its capacity with which an endpoint starts, 0 to 1.
    cold_from: f64,
    /// Idle connections to a draining endpoint close within this, in ns; no rule where absent.
    drain_close_ns: Option<u64>,
    /// Sends to a draining endpoint end within this, in ns.
    drain_grace_ns: u64,
    /// A cold endpoint falls over that is sent more than this multiple of its capacity,
    fall_multiple: f64,
    /// for so long, in ns.
    fall_ns: u64,
    /// How long a key rests after an attempt that may run on, in ns; not at all where absent.
    order_pause_ns: Option<u64>,
    /// An endpoint is warm after this, in ns.
    warm_within_ns: u64,
}

impl RuleInfo {
    fn rules(self) -> Rules {
        Rules {
            answer_slack: Duration::from_nanos(self.answer_slack_ns),
            drain_grace: Duration::from_nanos(self.drain_grace_ns),
            poll_interval: Duration::from_nanos(self.ask_within_ns),
            initial_capacity: self.cold_from,
            warm_up_time: Duration::from_nanos(self.warm_within_ns),
            overload_multiple: self.fall_multiple,
            overload_window: Duration::from_nanos(self.fall_ns),
            drain_close: self.drain_close_ns.map(Duration::from_nanos),
            key_cooldown: self.order_pause_ns.map(Duration::from_nanos),
        }
    }
}
