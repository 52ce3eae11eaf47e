//! The state of one instance. No decision is made here.

use super::arrival_rate::ArrivalRate;
use super::class::ClassState;
use super::discovery_schedule::DiscoverySchedule;
use super::endpoint::{Endpoint, EndpointIndex};
use super::id::{EndpointId, RequestId};
use super::key_order::KeyOrder;
use super::mean_queue_lengths::MeanQueueLengths;
use super::pending::PendingRequest;
use super::queued_requests::QueuedRequests;
use super::random::SeededRandom;
use super::settings::Settings;
use super::thresholds::Thresholds;
use super::time::Timestamp;
use super::token_budget::TokenBudget;
use std::collections::{HashMap, HashSet, VecDeque};

/// One instance of the balancer.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) random: SeededRandom,
    pub(super) endpoints: Vec<Endpoint>,
    pub(super) indices_by_id: HashMap<EndpointId, EndpointIndex>,
    /// Places of endpoints that are forgotten, to be given again.
    pub(super) free_indices: Vec<EndpointIndex>,
    /// Endpoints that the operators have disabled; some may not be listed now.
    pub(super) disabled: HashSet<EndpointId>,
    /// Endpoints that take work, in the own zone and in others where crossings are dear.
    pub(super) local: Vec<EndpointIndex>,
    pub(super) remote: Vec<EndpointIndex>,
    /// The parts of both that this instance sends to.
    pub(super) subset: Vec<EndpointIndex>,
    pub(super) remote_subset: Vec<EndpointIndex>,
    pub(super) thresholds: Thresholds,
    pub(super) mean_queue_lengths: MeanQueueLengths,
    /// The tier's mean answer time over the unloaded one.
    pub(super) mean_slowdown: f64,
    /// By class, also those that have left the settings.
    pub(super) classes: Vec<ClassState>,
    /// Requests of each tenant, fading with the arrival rate.
    pub(super) tenant_rates: Vec<f64>,
    pub(super) arrival_rate: ArrivalRate,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) queued: QueuedRequests,
    pub(super) key_order: KeyOrder,
    /// Attempts in flight, and those timed out that may run on.
    pub(super) attempts_in_flight: u32,
    /// Attempts that timed out, by their deadlines.
    pub(super) timed_out_attempts: VecDeque<(Timestamp, EndpointIndex)>,
    pub(super) retry_budget: TokenBudget,
    pub(super) health_check_budget: TokenBudget,
    /// Own sends, counted ahead for requests that no sound endpoint can take: the clock of the cold ramp.
    pub(super) slow_start_clock: f64,
    /// When a request that must not run twice was last lost.
    pub(super) last_unsafe_loss: Option<Timestamp>,
    pub(super) discovery_schedule: DiscoverySchedule,
    /// When the timer that the host was last asked for expires.
    pub(super) timer_expires_at: Option<Timestamp>,
}

/// What requests have paid for.
pub(super) struct Budgets {
    pub(super) retries: TokenBudget,
    pub(super) health_checks: TokenBudget,
}

impl Balancer {
    /// An instance that knows of no endpoint yet, and has no worth level.
    pub(super) fn blank(
        settings: Settings,
        seed: u64,
        classes: Vec<ClassState>,
        budgets: Budgets,
    ) -> Self {
        Balancer {
            random: SeededRandom::new(seed),
            endpoints: Vec::new(),
            indices_by_id: HashMap::new(),
            free_indices: Vec::new(),
            disabled: HashSet::new(),
            local: Vec::new(),
            remote: Vec::new(),
            subset: Vec::new(),
            remote_subset: Vec::new(),
            thresholds: Thresholds::default(),
            mean_queue_lengths: MeanQueueLengths::default(),
            mean_slowdown: 1.0,
            classes,
            tenant_rates: vec![0.0; settings.tenants.len()],
            arrival_rate: ArrivalRate::default(),
            requests: HashMap::new(),
            queued: QueuedRequests::default(),
            key_order: KeyOrder::default(),
            attempts_in_flight: 0,
            timed_out_attempts: VecDeque::new(),
            retry_budget: budgets.retries,
            health_check_budget: budgets.health_checks,
            slow_start_clock: 0.0,
            last_unsafe_loss: None,
            discovery_schedule: DiscoverySchedule::default(),
            timer_expires_at: None,
            settings,
        }
    }
}
