//! The state of one balancer. No decision is made here.

use super::arrival_rate::ArrivalRate;
use super::class::ClassState;
use super::discovery_schedule::DiscoverySchedule;
use super::endpoint_sets::EndpointSets;
use super::endpoint_table::EndpointTable;
use super::id::RequestId;
use super::in_flight::AttemptsInFlight;
use super::key_order::KeyOrder;
use super::mean_queue_lengths::MeanQueueLengths;
use super::pending::PendingRequest;
use super::queued_requests::QueuedRequests;
use super::random::SeededRandom;
use super::settings::Settings;
use super::settings_check::SettingsError;
use super::thresholds::Thresholds;
use super::time::Timestamp;
use super::token_budget::Budgets;
use std::collections::HashMap;

/// The load balancer of one caller.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) random: SeededRandom,
    pub(super) endpoints: EndpointTable,
    pub(super) endpoint_sets: EndpointSets,
    pub(super) thresholds: Thresholds,
    pub(super) mean_queue_lengths: MeanQueueLengths,
    /// The mean slowdown of the tier: answer times as a multiple of the unloaded answer time.
    pub(super) mean_slowdown: f64,
    /// The state of each class by its [`ClassId`](super::ClassId), including classes that the settings no longer have.
    pub(super) classes: Vec<ClassState>,
    /// The request count of each tenant, with the same exponential decay as the arrival rate.
    pub(super) tenant_rates: Vec<f64>,
    pub(super) arrival_rate: ArrivalRate,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) queued: QueuedRequests,
    pub(super) key_order: KeyOrder,
    pub(super) in_flight: AttemptsInFlight,
    pub(super) budgets: Budgets,
    /// The slow start clock, which counts sends. A request that no healthy endpoint can take is counted before it is
    /// sent.
    pub(super) slow_start_clock: f64,
    /// The time at which an unsafe request was last lost: its attempt failed and may have run.
    pub(super) last_unsafe_loss: Option<Timestamp>,
    pub(super) discovery_schedule: DiscoverySchedule,
    /// The time since which no watch confirms that the list is current; `None` while one does.
    pub(super) list_unconfirmed_since: Option<Timestamp>,
    /// The time at which the timer that was last set at the host expires.
    pub(super) timer_expires_at: Option<Timestamp>,
}

impl Balancer {
    /// Creates a balancer that knows no endpoint yet. The same settings, seed and events give the same actions.
    ///
    /// # Errors
    /// Returns the first invalid setting; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let mut balancer = Balancer {
            random: SeededRandom::new(seed),
            endpoints: EndpointTable::default(),
            endpoint_sets: EndpointSets::default(),
            thresholds: Thresholds::default(),
            mean_queue_lengths: MeanQueueLengths::default(),
            mean_slowdown: 1.0,
            classes: settings.classes.iter().map(ClassState::new).collect(),
            tenant_rates: vec![0.0; settings.tenants.len()],
            arrival_rate: ArrivalRate::default(),
            requests: HashMap::new(),
            queued: QueuedRequests::default(),
            key_order: KeyOrder::default(),
            in_flight: AttemptsInFlight::default(),
            budgets: Budgets::default(),
            slow_start_clock: 0.0,
            last_unsafe_loss: None,
            discovery_schedule: DiscoverySchedule::default(),
            list_unconfirmed_since: None,
            timer_expires_at: None,
            settings,
        };
        balancer.set_levels();
        Ok(balancer)
    }
}
