//! The settings of a balancer, which may change while it runs.

use super::class_settings::{Class, Tenant};
use super::id::{PeerId, ZoneId};
use super::limits::Limits;
use super::prices::Prices;
use super::rules::Rules;
use std::time::Duration;

/// The delivery of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent pushes lists without a request.
    Pushed,
    /// Lists arrive only after [`Action::Subscribe`](super::Action::Subscribe) or
    /// [`Action::FetchList`](super::Action::FetchList).
    OnRequest,
}

/// The source of the endpoint weights in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// No source: every weight is 1.
    None,
    /// The registered capacity.
    Nominal,
    /// Approximately the registered capacity.
    Rough,
    /// The capacity divided by 1 + the requests in flight per core, as measured some time ago.
    Live,
}

/// The responses of endpoints that carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// Responses to requests and to health checks.
    WithResponses,
    /// Only responses to health checks.
    WithHealthChecks,
    /// No responses.
    Off,
}

/// The basis on which the value of requests is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueBasis {
    /// All requests of a class have the same value.
    Request,
    /// The value of a request grows with its work.
    Work,
}

/// All settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of balancers in this tier.
    pub balancers: u32,
    /// The number of this balancer in its tier, counted from 0.
    pub peer_id: PeerId,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The number of zones.
    pub zones: usize,
    /// The tier that this balancer sends to; 0 is the first.
    pub tier: usize,
    /// The number of tiers.
    pub tiers: usize,
    /// True if requests from the previous tier carry the time left until the deadline. Otherwise they carry the whole
    /// deadline of their class.
    pub propagates_deadline: bool,
    /// True if a request takes less work at an endpoint that has recently served a request with the same key.
    pub endpoints_cache_by_key: bool,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request beyond its tenant's quota share keeps.
    pub over_share_value: f64,
    /// The limits that the platform sets.
    pub limits: Limits,
    /// The parameters of the rules that the balancer must follow.
    pub rules: Rules,
    /// The prices of the resources that the balancer uses.
    pub prices: Prices,
    /// The delivery of endpoint lists.
    pub discovery: DiscoveryMode,
    /// The source of the endpoint weights in a list.
    pub weight_source: WeightSource,
    /// The responses of endpoints that carry load reports.
    pub reporting: Reporting,
    /// The basis on which the value of requests is counted.
    pub value_basis: ValueBasis,
    /// True if clients mark their retries.
    pub clients_mark_retries: bool,
    /// The minimum time between two batches of events.
    pub tick: Duration,
}

impl Settings {
    /// Creates the settings of a single balancer with pushed lists, load reports in responses and no prices; set the
    /// other fields as needed.
    #[must_use]
    pub fn new(zone: ZoneId, classes: Vec<Class>) -> Self {
        Settings {
            balancers: 1,
            peer_id: PeerId(0),
            zone,
            zones: 1,
            tier: 0,
            tiers: 1,
            propagates_deadline: true,
            endpoints_cache_by_key: false,
            classes,
            tenants: Vec::new(),
            over_share_value: 0.0,
            limits: Limits::default(),
            rules: Rules::default(),
            prices: Prices::default(),
            discovery: DiscoveryMode::Pushed,
            weight_source: WeightSource::None,
            reporting: Reporting::WithResponses,
            value_basis: ValueBasis::Request,
            clients_mark_retries: false,
            tick: Duration::from_millis(1),
        }
    }
}
