//! The settings as JSON: the simulator's first message to an instance, and `settings` in a sidecar's
//! configuration.

use crate::policy::{
    Class, DiscoveryMode, Idempotency, KeyScope, Limits, PeerId, Prices, Reporting, Rules, Settings,
    SizeMeaning, Tenant, WorthBy,
};
use serde::Deserialize;
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
    let document: Document = serde_json::from_str(json)?;
    Ok(Settings {
        balancers: document.balancers,
        instance: PeerId(document.my_number),
        zone: document.zone.as_str().into(),
        zones: document.dcs.len(),
        tier: document.tier,
        tiers: document.stages.len(),
        passes_deadline: document.family_info.passes_deadline,
        warm_keys: document.family_info.warm_keys,
        classes: document.categories.into_iter().map(Category::class).collect::<Result<_, _>>()?,
        tenants: document.customers.into_iter().map(Customer::tenant).collect(),
        over_share_worth: document.over_share_worth,
        limits: document.bounds.limits(),
        rules: document.rules.rules(),
        prices: document.fees.prices(),
        discovery: match document.discovery {
            DiscoveryName::Automatic => DiscoveryMode::Pushed,
            DiscoveryName::Subscribe => DiscoveryMode::OnRequest,
        },
        sizes: match document.weight_source {
            WeightSource::Off => SizeMeaning::None,
            WeightSource::Nominal => SizeMeaning::Nominal,
            WeightSource::Rough => SizeMeaning::Rough,
            WeightSource::Live => SizeMeaning::Live,
        },
        reporting: match document.report.how {
            ReportName::Inline => Reporting::WithAnswers,
            ReportName::OnProbe => Reporting::WithProbes,
            ReportName::Off => Reporting::Off,
        },
        worth_by: match document.worth_by {
            WorthName::Request => WorthBy::Request,
            WorthName::Work => WorthBy::Work,
        },
        marks_retry: document.client_habits.marks_retry,
        tick: Duration::from_nanos(document.granularity_ns),
    })
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Document {
    balancers: u32,
    bounds: Bounds,
    categories: Vec<Category>,
    #[serde(default)]
    client_habits: ClientHabits,
    #[serde(default)]
    customers: Vec<Customer>,
    #[serde(default)]
    dcs: Vec<String>,
    discovery: DiscoveryName,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    fees: Fees,
    #[serde(default)]
    granularity_ns: u64,
    my_number: u32,
    #[serde(default)]
    over_share_worth: f64,
    report: ReportInfo,
    rules: RuleInfo,
    #[serde(default)]
    stages: Vec<String>,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    weight_source: WeightSource,
    #[serde(default)]
    worth_by: WorthName,
    zone: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiscoveryName {
    Automatic,
    Subscribe,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum WeightSource {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum WorthName {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    cancel: bool,
    conn_idle_ns: u64,
    connect_timeout_ns: u64,
    max_open: u64,
    #[serde(default)]
    max_retry_after_ns: u64,
    max_streams: u64,
    may_tell: bool,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
    send_cap: usize,
}

impl Bounds {
    fn limits(self) -> Limits {
        Limits {
            cancel: self.cancel,
            probes: self.probes,
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    effect: EffectName,
    hard_limit_ns: u64,
    objective_ns: u64,
    key_scope: Option<KeyScopeName>,
    #[serde(default)]
    memory_span_ns: u64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    by_arrival: bool,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectName {
    Free,
    SingleShot,
    Guarded,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum KeyScopeName {
    All,
    Zone,
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
            (EffectName::Guarded, Some(scope)) => {
                Idempotency::Keyed { scope, window: Duration::from_nanos(self.memory_span_ns) }
            }
            (EffectName::Guarded, None) => {
                return Err(SettingsDocumentError::NoKeyScope { class: self.name });
            }
        };
        Ok(Class {
            name: self.name,
            objective: Duration::from_nanos(self.objective_ns),
            objective_stretch: self.aim_stretch,
            deadline: Duration::from_nanos(self.hard_limit_ns),
            worth: self.worth,
            late_share: self.late_share,
            idempotency,
            stream: self.stream,
            by_arrival: self.by_arrival,
        })
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct ClientHabits {
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Customer {
    name: String,
    portion: f64,
    #[serde(default)]
    quota_per_s: f64,
}

impl Customer {
    fn tenant(self) -> Tenant {
        Tenant { name: self.name, share: self.portion, quota_per_s: self.quota_per_s }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    passes_deadline: bool,
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Fees {
    connection: f64,
    cross_zone: f64,
    discovery: f64,
    handshake: f64,
    late_fail: f64,
    peer: f64,
    probe: f64,
    waste: f64,
}

impl Fees {
    fn prices(self) -> Prices {
        Prices {
            cross_zone: self.cross_zone,
            waste: self.waste,
            probe: self.probe,
            peer: self.peer,
            handshake: self.handshake,
            connection: self.connection,
            late_fail: self.late_fail,
            discovery: self.discovery,
        }
    }
}

#[derive(Deserialize)]
struct ReportInfo {
    how: ReportName,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportName {
    Inline,
    OnProbe,
    Off,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RuleInfo {
    answer_slack_ns: u64,
    #[serde(default)]
    ask_within_ns: u64,
    cold_from: f64,
    drain_close_ns: Option<u64>,
    drain_grace_ns: u64,
    fall_multiple: f64,
    fall_ns: u64,
    order_pause_ns: Option<u64>,
    warm_within_ns: u64,
}

impl RuleInfo {
    fn rules(self) -> Rules {
        Rules {
            answer_slack: Duration::from_nanos(self.answer_slack_ns),
            drain_grace: Duration::from_nanos(self.drain_grace_ns),
            ask_within: Duration::from_nanos(self.ask_within_ns),
            cold_from: self.cold_from,
            warm_within: Duration::from_nanos(self.warm_within_ns),
            fall_multiple: self.fall_multiple,
            fall_time: Duration::from_nanos(self.fall_ns),
            drain_close: self.drain_close_ns.map(Duration::from_nanos),
            order_pause: self.order_pause_ns.map(Duration::from_nanos),
        }
    }
}
