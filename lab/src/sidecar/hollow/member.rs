//! One hollow sidecar: a decision module with its open calls, attempts and timers, and the only place that calls it.

use super::attempts::{self, Attempt, AttemptOwner, Ending, Probe};
use super::calls::{self, Callee, NextAttempt, OpenCalls};
use super::clock::Clock;
use super::fleet_state::FleetState;
use super::plan::MemberPlan;
use super::task::Task;
use pipittray::discovery::{
    self, DiscoveryError, EndpointList, ListConsumer, Membership, OlderList, Source,
};
use pipittray::policy::*;
use rand::{RngExt, SeedableRng};
use rand_distr::Exp1;
use rand_pcg::Pcg64;
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

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
    membership: Membership,
    source: Source,
    watch: Option<Task>,
    /// The watch on the discovery before, which is followed until the present one has spoken.
    watch_before: Option<Task>,
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
            membership: Membership::default(),
            source: Source {
                address: plan.discovery,
                generation: 0,
            },
            watch: None,
            watch_before: None,
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
            member.borrow().membership.assume_version(known.index);
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
        if plan.discovery != member.source.address {
            let generation = member.source.generation + 1;
            member.source = Source {
                address: plan.discovery,
                generation,
            };
            let has_spoken = member.membership.forget_version();
            let watch = member.watch.take();
            if has_spoken {
                member.watch_before = watch;
            }
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

    fn learn(&self, list: EndpointList, kind: ListKind) {
        let mut member = self.borrow();
        let entries = member.membership.update(&list, kind).entries.into();
        let Identity { place, start } = member.identity;
        let milestones = &member.fleet.milestones[place];
        milestones.has_version(start, list.index);
        let is_ready = member.membership.serving().next().is_some();
        milestones.is_ready(start, is_ready);
        if is_ready && !member.has_callers {
            member.has_callers = true;
            spawn_local(calls::arrivals(self.clone()));
        }
        drop(member);
        self.tell(Event::EndpointList {
            version: list.index,
            kind,
            entries,
        });
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
    fn probe_ended(&self, probe: &Probe, took: Duration, ending: Ending) {
        if self.borrow().started_at(&probe.endpoint) != Some(probe.started_at) {
            return;
        }
        let (endpoint, Ending { outcome, report }) = (probe.endpoint.clone(), ending);
        self.tell(Event::ProbeEnded {
            endpoint,
            outcome,
            took,
            report,
        });
    }
}

impl ListConsumer for MemberHandle {
    fn held_version(&self, source: Source) -> Option<u64> {
        let member = self.borrow();
        member
            .membership
            .version()
            .filter(|_| source == member.source)
    }

    fn list_received(&self, source: Source, mut list: EndpointList) -> Result<(), OlderList> {
        let mut member = self.borrow();
        if source == member.source {
            member.membership.accept(&mut list)?;
            member.watch_before = None;
        } else if member.membership.version().is_some() {
            return Ok(()); // the present one has spoken
        }
        drop(member);
        let kind = if list.snapshot {
            ListKind::Snapshot
        } else {
            ListKind::Changes
        };
        self.learn(list, kind);
        Ok(())
    }

    /// That is no less than word that nothing has changed, which may not come before the first change.
    fn watch_opened(&self, source: Source) {
        let member = self.borrow();
        member.fleet.milestones[member.identity.place]
            .watches(member.identity.start, source.generation);
        drop(member);
        if let Some(version) = self.held_version(source) {
            self.tell(Event::EndpointList {
                version,
                kind: ListKind::Changes,
                entries: Arc::from([]),
            });
        }
    }

    /// That of a discovery that is no longer asked was to be.
    fn discovery_failed(&self, source: Source) {
        let mut member = self.borrow();
        if source == member.source {
            member.watch = None;
            drop(member);
            self.tell(Event::DiscoveryFailed);
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        tracing::debug!(place = self.borrow().identity.place, "{line}");
    }

    fn watch_ended(&self, source: Source, _failure: &DiscoveryError) {
        let member = self.borrow();
        member.fleet.counters.discovery_failure();
        member.fleet.milestones[member.identity.place]
            .lost_watch(member.identity.start, source.generation);
    }

    fn fetch_failed(&self, _source: Source, _failure: &DiscoveryError) {
        self.borrow().fleet.counters.discovery_failure();
    }
}

impl Member {
    /// When an endpoint last started; none where it is not listed. Answers in memory have no addresses, so an endpoint that
    /// starts at another's address does not replace it here.
    fn started_at(&self, endpoint: &EndpointId) -> Option<Option<Timestamp>> {
        self.membership
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

    fn carry_out(&mut self, handle: &MemberHandle, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => self.send(handle, request, endpoint, timeout),
            Action::Cancel { request, attempt } => self.abandon(&request, attempt),
            Action::Refuse { request, .. } | Action::Fail { request } => self.not_served(&request),
            Action::SetTimer { at, token } => self.set_timer(handle, at, token),
            // An agent that pushes is followed unasked.
            Action::Subscribe(_) if self.settings.discovery == DiscoveryMode::Pushed => {}
            Action::Subscribe(false) => self.end_watch(),
            Action::Subscribe(true) => {
                // A reload may have asked already; a second watch would cost discovery a call for nothing.
                if self.watch.as_ref().is_none_or(Task::is_over) {
                    self.begin_watch(handle);
                }
            }
            Action::FetchList => drop(spawn_local(discovery::fetch(handle.clone(), self.source))),
            Action::Probe { endpoint } => self.probe(handle, endpoint),
            Action::Log(text) => tracing::debug!(place = self.identity.place, "{text}"),
            // There are no connections, and no peers.
            Action::CloseIdleConnections { .. } | Action::SendPeerMessage { .. } => {}
        }
    }

    fn set_timer(&self, handle: &MemberHandle, at: Timestamp, token: u64) {
        let (handle, due) = (handle.clone(), self.clock.instant(at));
        spawn_local(async move {
            sleep_until(due).await;
            handle.tell(Event::Timer { token });
        });
    }

    fn begin_watch(&mut self, handle: &MemberHandle) {
        let (consumer, source) = (handle.clone(), self.source);
        self.watch = Some(match self.settings.discovery {
            DiscoveryMode::Pushed => Task::spawn(discovery::follow_agent(consumer, source)),
            DiscoveryMode::OnRequest => Task::spawn(discovery::watch(
                consumer,
                source,
                self.membership.version(),
            )),
        });
    }

    fn end_watch(&mut self) {
        self.watch = None;
        let Identity { place, start } = self.identity;
        self.fleet.milestones[place].lost_watch(start, self.source.generation);
    }

    fn send(
        &mut self,
        handle: &MemberHandle,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let Some(next) = self.calls.next_attempt(&request) else {
            return;
        };
        if next.call_is_answered || self.membership.get(&endpoint).is_none() {
            self.calls.begin_attempt(&request, now, None);
            self.events.push_back(unsent(request, next));
            return;
        }
        self.fleet.counters.attempt();
        let until = timeout.map_or(next.deadline, |timeout| next.deadline.min(now + timeout));
        let unit_time: f64 = self.random.sample(Exp1);
        let attempt = Attempt {
            request: request.clone(),
            number: next.number,
            endpoint: self.fleet.endpoints.get(&endpoint),
            until: self.clock.instant(until),
            connect_timeout: self.settings.limits.connect_timeout,
            service_time: self.fleet.load.mean_service_time.mul_f64(unit_time),
            reporting: self.settings.reporting,
        };
        let task = Task::spawn(attempts::attempt(
            handle.clone(),
            self.fleet.clone(),
            attempt,
        ));
        self.calls.begin_attempt(&request, now, Some(task));
    }

    fn abandon(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Some(ended) = self.calls.end_attempt(request, attempt, false) else {
            return;
        };
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome: Outcome::Cancelled,
            took: self.clock.now().since(ended.sent),
            request_ended: ended.call_is_answered,
            report: None,
        }));
        self.calls.forget_if_over(request);
    }

    fn not_served(&mut self, request: &RequestId) {
        if self.calls.answer(request) {
            self.fleet.counters.not_served(1);
            self.calls.forget_if_over(request);
        }
    }

    fn probe(&mut self, handle: &MemberHandle, endpoint: EndpointId) {
        let Some(started_at) = self.started_at(&endpoint) else {
            return;
        };
        self.fleet.counters.probe();
        let probe = Probe {
            simulated: self.fleet.endpoints.get(&endpoint),
            endpoint,
            started_at,
            connect_timeout: self.settings.limits.connect_timeout,
            reporting: self.settings.reporting,
        };
        spawn_local(attempts::probe(handle.clone(), probe));
    }
}

impl Drop for Member {
    /// What a sidecar has open when it ends is lost.
    fn drop(&mut self) {
        self.fleet.counters.not_served(self.calls.unanswered());
    }
}

/// The end of an attempt that has nowhere to go, or comes too late.
fn unsent(request: RequestId, attempt: NextAttempt) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt: attempt.number,
        outcome: Outcome::NotSent,
        took: Duration::ZERO,
        request_ended: attempt.call_is_answered,
        report: None,
    })
}
