//! One hollow sidecar: a decision module with its open calls, attempts and timers, and the only place that calls it.

mod actions;
mod discovery;

use super::attempts::{AttemptOwner, Ending, HealthCheck};
use super::calls::{Callee, OpenCalls};
use super::clock::Clock;
use super::fleet_state::FleetState;
use super::plan::MemberPlan;
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

/// Parts the seeds of a sidecar's starts from each other.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Which sidecar of the fleet it is, and which of its starts.
#[derive(Clone, Copy)]
pub(super) struct Identity {
    /// Its place in the configurations.
    pub place: usize,
    /// How often it was started before.
    pub start: u64,
}

struct Member {
    identity: Identity,
    fleet: Arc<FleetState>,
    clock: Clock,
    settings: Settings,
    settings_document: serde_json::Value,
    /// The module's ids of the settings' classes, in their order.
    classes: Vec<ClassId>,
    balancer: Balancer,
    subscription: Subscription,
    calls: OpenCalls,
    calls_made: u64,
    /// Once callers have begun to call: when the sidecar is first ready, as they ask for that.
    has_callers: bool,
    /// Seed of this start's random numbers.
    seed: u64,
    random: Pcg64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// What tasks hold of a sidecar. Its methods borrow it, pass an event on, carry out the actions and let go.
#[derive(Clone)]
pub(super) struct MemberHandle(Rc<RefCell<Member>>);

impl MemberHandle {
    /// Starts a sidecar on the local tasks that the caller has entered. It is told the endpoints in the plan, and
    /// follows discovery as its module decides; at once where lists are pushed, and where it knows no endpoints.
    ///
    /// # Errors
    /// Settings that the decision module turns down.
    pub fn start(
        identity: Identity,
        fleet: Arc<FleetState>,
        plan: &MemberPlan,
    ) -> Result<Self, SettingsError> {
        let seed = plan
            .seed
            .wrapping_add(identity.start.wrapping_mul(SEED_STEP));
        let member = MemberHandle(Rc::new(RefCell::new(Member {
            identity,
            fleet,
            clock: Clock::start(),
            settings: plan.settings.clone(),
            settings_document: plan.settings_document.clone(),
            classes: (0..plan.settings.classes.len()).map(ClassId).collect(),
            balancer: Balancer::new(plan.settings.clone(), seed)?,
            subscription: Subscription::new(plan.discovery),
            calls: OpenCalls::default(),
            calls_made: 0,
            has_callers: false,
            seed,
            random: Pcg64::seed_from_u64(seed),
            events: VecDeque::new(),
            actions: Vec::new(),
        })));
        // The module asks once what it was told is old, which with nothing told never comes.
        let known = plan.known_list();
        let asks_at_once = known.is_none() || plan.settings.discovery == DiscoveryMode::Pushed;
        if let Some(known) = known {
            member
                .borrow()
                .subscription
                .membership_mut()
                .set_cached_version(known.index);
            member.learn(known, ListKind::Cached);
        }
        if asks_at_once {
            member.borrow().begin_watch(&member);
        }
        Ok(member)
    }

    /// Takes over what a configuration now says: settings first, then a discovery that has moved, which is asked at
    /// once; until it has spoken the one before is listened to.
    pub fn reload(&self, plan: &MemberPlan) {
        if let Err(problem) = self.retune(plan) {
            return tracing::warn!(
                place = self.borrow().identity.place,
                "configuration not taken: {problem}"
            );
        }
        let mut member = self.borrow();
        if member.subscription.move_to(plan.discovery) == SourceChange::Moved {
            member.begin_watch(self);
        }
    }

    fn retune(&self, plan: &MemberPlan) -> Result<(), SettingsError> {
        let mut member = self.borrow();
        if plan.settings_document == member.settings_document {
            return Ok(());
        }
        let now = member.clock.now();
        let mut actions = Vec::new();
        member.classes =
            member
                .balancer
                .change_settings(now, plan.settings.clone(), &mut actions)?;
        let asks = member.settings.discovery != plan.settings.discovery;
        member.settings = plan.settings.clone();
        member.settings_document = plan.settings_document.clone();
        for action in actions {
            member.carry_out(self, action);
        }
        if asks {
            member.begin_watch(self);
        }
        drop(member);
        self.tell(Event::Timer { token: 0 }); // what carrying out has brought goes on to the module
        Ok(())
    }

    fn borrow(&self) -> RefMut<'_, Member> {
        self.0.borrow_mut()
    }

    /// Passes an event on and carries out what comes of it, in order.
    fn tell(&self, event: Event) {
        let mut member = self.borrow();
        member.events.push_back(event);
        while let Some(event) = member.events.pop_front() {
            let now = member.clock.now();
            let mut actions = std::mem::take(&mut member.actions);
            member.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                member.carry_out(self, action);
            }
            member.actions = actions;
        }
    }
}

impl Callee for MemberHandle {
    /// The time between two calls; none where no calls come.
    fn time_to_next_call(&self) -> Option<Duration> {
        let mut member = self.borrow();
        let fleet = &member.fleet;
        let rate = fleet.load.calls_per_second * fleet.rate_multiples[member.identity.place];
        let unit_time: f64 = member.random.sample(Exp1);
        (rate > 0.0).then(|| Duration::try_from_secs_f64(unit_time / rate).unwrap_or(Duration::MAX))
    }

    /// A call arrives, of any class with the same chance.
    fn call(&self) {
        let mut member = self.borrow();
        member.fleet.counters.call();
        if member.calls.unanswered() >= member.settings.limits.max_open {
            return member.fleet.counters.not_served(1);
        }
        let request = member.new_request();
        member.calls.insert(request.id.clone(), request.deadline);
        drop(member);
        self.tell(Event::Request(request));
    }
}

impl AttemptOwner for MemberHandle {
    /// An attempt has ended. The first one served is its call's answer.
    fn attempt_ended(&self, request: &RequestId, attempt: AttemptNumber, ending: Ending) {
        let mut member = self.borrow();
        let served = ending.outcome == Outcome::Served;
        let Some(ended) = member.calls.end_attempt(request, attempt, served) else {
            return;
        };
        if served && member.calls.answer(request) {
            member.fleet.counters.served();
        }
        let event = Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome: ending.outcome,
            took: member.clock.now().since(ended.sent),
            request_ended: ended.call_is_answered,
            report: ending.report,
        });
        drop(member);
        self.tell(event);
        self.borrow().calls.forget_if_over(request);
    }

    /// A probe has ended. It says nothing of a process that has been started since.
    fn health_check_ended(&self, check_health: &HealthCheck, took: Duration, ending: Ending) {
        if self.borrow().started_at(&check_health.endpoint) != Some(check_health.started_at) {
            return;
        }
        let (endpoint, Ending { outcome, report }) = (check_health.endpoint.clone(), ending);
        self.tell(Event::HealthCheckEnded {
            endpoint,
            outcome,
            took,
            report,
        });
    }
}

impl Member {
    /// When an endpoint last started; none where it is not listed. Answers in memory have no addresses, so an endpoint that
    /// starts at another's address does not replace it here.
    fn started_at(&self, endpoint: &EndpointId) -> Option<Option<Timestamp>> {
        self.subscription
            .membership()
            .get(endpoint)
            .map(|member| member.started_at)
    }

    fn new_request(&mut self) -> Request {
        let class = self.random.random_range(0..self.classes.len());
        let Identity { place, start } = self.identity;
        let number = self.calls_made;
        self.calls_made += 1;
        Request {
            id: format!("{place}-{start}-{number}").as_str().into(),
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

impl Drop for Member {
    /// What a sidecar has open when it ends is lost.
    fn drop(&mut self) {
        self.fleet.counters.not_served(self.calls.unanswered());
    }
}
