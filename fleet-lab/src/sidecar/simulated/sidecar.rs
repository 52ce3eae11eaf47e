//! One simulated sidecar: a balancer with its pending calls, attempts and timers. Only this Rust module and its
//! submodules call the balancer.

mod actions;
mod discovery;

use super::attempts::{AttemptObserver, AttemptResult, HealthCheck};
use super::fleet_state::FleetState;
use super::pending_calls::{CallTarget, PendingCalls};
use super::sidecar_plan::SidecarPlan;
use balancer_sidecar::clock::Clock;
use balancer_sidecar::discovery::{SourceChange, Subscription};
use balancer_sidecar::policy::*;
use rand::{RngExt, SeedableRng};
use rand_distr::Exp1;
use rand_pcg::Pcg64;
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The difference between the seeds of two consecutive starts of a sidecar.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies one start of a sidecar of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incarnation {
    /// The sidecar's index in the configurations.
    pub index: usize,
    /// The number of restarts up to and including this start, which is 0 for the first start.
    pub restarts: u64,
}

struct SimulatedSidecar {
    incarnation: Incarnation,
    fleet: Arc<FleetState>,
    clock: Clock,
    settings: Settings,
    settings_document: serde_json::Value,
    /// The balancer's ids of the request classes, in the order of the settings.
    classes: Vec<ClassId>,
    balancer: Balancer,
    subscription: Subscription,
    pending_calls: PendingCalls,
    calls_started: u64,
    /// True if calls are generated, which starts when the sidecar first becomes ready.
    callers_started: bool,
    /// Seed of this incarnation's random numbers.
    seed: u64,
    random: Pcg64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// A shared handle of a sidecar. Its methods borrow the sidecar only for the duration of a call and never across an
/// `await`.
#[derive(Clone)]
pub(super) struct SidecarHandle(Rc<RefCell<SimulatedSidecar>>);

impl SidecarHandle {
    /// Starts a sidecar on the current set of local tasks. The sidecar applies its cached list. It starts a watch
    /// immediately if lists are pushed or there is no cached list, and otherwise when the balancer requests one.
    ///
    /// # Errors
    /// Fails if the balancer rejects the settings.
    pub fn start(
        incarnation: Incarnation,
        fleet: Arc<FleetState>,
        plan: &SidecarPlan,
    ) -> Result<Self, SettingsError> {
        let seed = plan
            .seed
            .wrapping_add(incarnation.restarts.wrapping_mul(SEED_STEP));
        let sidecar = SidecarHandle(Rc::new(RefCell::new(SimulatedSidecar {
            incarnation,
            fleet,
            clock: Clock::start(),
            settings: plan.settings.clone(),
            settings_document: plan.settings_document.clone(),
            classes: (0..plan.settings.classes.len()).map(ClassId).collect(),
            balancer: Balancer::new(plan.settings.clone(), seed)?,
            subscription: Subscription::new(plan.discovery),
            pending_calls: PendingCalls::default(),
            calls_started: 0,
            callers_started: false,
            seed,
            random: Pcg64::seed_from_u64(seed),
            events: VecDeque::new(),
            actions: Vec::new(),
        })));
        // The balancer requests a list once its present one is too old. Without any list it never requests one.
        let watches_immediately =
            plan.cached_list.is_none() || plan.settings.discovery == DiscoveryMode::Pushed;
        if let Some(cached_list) = &plan.cached_list {
            sidecar
                .borrow()
                .subscription
                .membership_mut()
                .set_cached_version(cached_list.version);
            sidecar.apply_list(cached_list, ListKind::Cached);
        }
        if watches_immediately {
            sidecar.borrow().start_watch(&sidecar);
        }
        Ok(sidecar)
    }

    /// Applies a new configuration: first its settings, then the address of discovery. The watch on the previous
    /// address continues until a list has arrived from the new one.
    pub fn reload(&self, plan: &SidecarPlan) {
        if let Err(error) = self.change_settings(plan) {
            let index = self.borrow().incarnation.index;
            tracing::warn!(index, %error, "new configuration rejected; the present one stays in use");
            return;
        }
        let mut sidecar = self.borrow();
        if sidecar.subscription.move_to(plan.discovery) == SourceChange::Moved {
            sidecar.start_watch(self);
        }
    }

    /// Applies the settings of a new configuration, unless they are unchanged.
    fn change_settings(&self, plan: &SidecarPlan) -> Result<(), SettingsError> {
        let mut sidecar = self.borrow();
        if plan.settings_document == sidecar.settings_document {
            return Ok(());
        }
        let now = sidecar.clock.now();
        let mut actions = Vec::new();
        sidecar.classes =
            sidecar
                .balancer
                .change_settings(now, plan.settings.clone(), &mut actions)?;
        let mode_changed = sidecar.settings.discovery != plan.settings.discovery;
        sidecar.settings = plan.settings.clone();
        sidecar.settings_document = plan.settings_document.clone();
        for action in actions {
            sidecar.execute(self, action);
        }
        if mode_changed {
            sidecar.start_watch(self);
        }
        drop(sidecar);
        self.handle_event(Event::Timer { token: 0 }); // also handles the events that the actions have queued
        Ok(())
    }

    fn borrow(&self) -> RefMut<'_, SimulatedSidecar> {
        self.0.borrow_mut()
    }

    /// Passes an event to the balancer and executes the returned actions in order. Then does the same for the events
    /// that the actions have queued.
    fn handle_event(&self, event: Event) {
        let mut sidecar = self.borrow();
        sidecar.events.push_back(event);
        while let Some(event) = sidecar.events.pop_front() {
            let now = sidecar.clock.now();
            let mut actions = std::mem::take(&mut sidecar.actions);
            sidecar.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                sidecar.execute(self, action);
            }
            sidecar.actions = actions;
        }
    }
}

impl CallTarget for SidecarHandle {
    fn time_to_next_call(&self) -> Option<Duration> {
        let mut sidecar = self.borrow();
        let fleet = &sidecar.fleet;
        let rate = fleet.load.calls_per_second * fleet.rate_multiples[sidecar.incarnation.index];
        let unit_time: f64 = sidecar.random.sample(Exp1);
        (rate > 0.0).then(|| Duration::try_from_secs_f64(unit_time / rate).unwrap_or(Duration::MAX))
    }

    /// Receives a call of a random class, each with the same probability.
    fn call(&self) {
        let mut sidecar = self.borrow();
        sidecar.fleet.counters.count_call();
        if sidecar.pending_calls.unanswered_count() >= sidecar.settings.limits.max_open_requests {
            return sidecar.fleet.counters.count_unserved(1);
        }
        let request = sidecar.new_request();
        sidecar
            .pending_calls
            .insert(request.id.clone(), request.deadline);
        drop(sidecar);
        self.handle_event(Event::Request(request));
    }
}

impl AttemptObserver for SidecarHandle {
    /// Handles the end of an attempt. A call is answered by its first served attempt.
    fn attempt_ended(&self, request: &RequestId, attempt: AttemptNumber, result: AttemptResult) {
        let mut sidecar = self.borrow();
        let served = result.outcome == Outcome::Served;
        let Some(ended) = sidecar.pending_calls.end_attempt(request, attempt, served) else {
            return;
        };
        if served && sidecar.pending_calls.mark_answered(request) {
            sidecar.fleet.counters.count_served();
        }
        let event = Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome: result.outcome,
            elapsed: sidecar.clock.now().since(ended.sent),
            request_ended: ended.call_is_answered,
            report: result.report,
        });
        drop(sidecar);
        self.handle_event(event);
        self.borrow().pending_calls.remove_if_complete(request);
    }

    /// Handles the end of a health check, unless the endpoint has been restarted since.
    fn health_check_ended(
        &self,
        health_check: &HealthCheck,
        elapsed: Duration,
        result: AttemptResult,
    ) {
        if self.borrow().started_at(&health_check.endpoint) != Some(health_check.started_at) {
            return;
        }
        self.handle_event(Event::HealthCheckEnded {
            endpoint: health_check.endpoint.clone(),
            outcome: result.outcome,
            elapsed,
            report: result.report,
        });
    }
}

impl SimulatedSidecar {
    /// Returns the last start of an endpoint, or `None` if the endpoint is not listed. Unlike in the real sidecar, an
    /// endpoint is not replaced by another one at the same address because simulated endpoints have no addresses.
    fn started_at(&self, endpoint: &EndpointId) -> Option<Option<Timestamp>> {
        self.subscription
            .membership()
            .get(endpoint)
            .map(|endpoint| endpoint.started_at)
    }

    fn new_request(&mut self) -> Request {
        let class = self.random.random_range(0..self.classes.len());
        let Incarnation { index, restarts } = self.incarnation;
        let number = self.calls_started;
        self.calls_started += 1;
        Request {
            id: format!("{index}-{restarts}-{number}").as_str().into(),
            class: self.classes[class],
            tenant: None,
            key: None,
            deadline: self.clock.now() + self.settings.classes[class].deadline,
            cost_hint: None,
            client_retry: false,
            write: self.settings.classes[class].idempotency != Idempotency::Idempotent,
        }
    }
}

impl Drop for SimulatedSidecar {
    /// Counts the pending calls as unserved.
    fn drop(&mut self) {
        self.fleet
            .counters
            .count_unserved(self.pending_calls.unanswered_count());
    }
}
