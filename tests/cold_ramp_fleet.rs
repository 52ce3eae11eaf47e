//! Slow start under a whole fleet: thirty instances that share one cold endpoint and do not talk to each other keep
//! it, in sum, below the count at which it falls.
//!
//! The simulation is deterministic: seeded arrivals and service times on a simulated clock, no sockets. The cold
//! endpoint answers and reports as if it were warm, so that its load reports cannot stand in for the ramp.

mod common;

use common::{at, class, ms, settings};
use passproxy::api::*;
use passproxy::choice::Balancer;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

const INSTANCES: usize = 30;
const WARM_ENDPOINTS: usize = 10;
/// The cold endpoint's place in the list, behind the warm ones.
const COLD: usize = WARM_ENDPOINTS;
/// Requests that an endpoint works on at once, and how long one takes there in the mean when it is warm.
const WORKERS: usize = 8;
const MEAN_SERVICE_S: f64 = 0.2;
/// Requests a second that one warm endpoint serves.
const CAPACITY_PER_S: f64 = WORKERS as f64 / MEAN_SERVICE_S;
/// How old the queue length is that an endpoint reports.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Requests that wait at an endpoint before it refuses more.
const QUEUE_LIMIT: usize = 40;
/// Calls arrive for this long before the ramp begins.
const LEAD: Duration = Duration::from_secs(5);
/// One way on the network.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Discovery tells each instance of a change within this.
const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// The least part of what it could serve that the cold endpoint has to get over the ramp.
const LEAST_USE: f64 = 0.02;
/// How much more than the others the instances with a high rate get.
const HIGH_RATE: f64 = 20.0;
/// Places round the fleet at which the instances with a high rate begin.
const PLACES: [usize; 6] = [0, 5, 10, 15, 20, 25];

// ---- What is simulated -----------------------------------------------------------------------------------

/// How the endpoint comes to be cold at the start of the ramp.
#[derive(Clone, Copy, PartialEq)]
enum ColdBy {
    /// It joins the tier.
    Joining,
    /// It restarts, and the list tells of the new start.
    Restart,
    /// The operators take it out and back in; the list tells of no restart.
    Ban,
}

/// One run of the simulation.
struct Scenario {
    seed: u64,
    rules: Rules,
    cold_by: ColdBy,
    /// Calls a second over all instances, as a part of what all endpoints serve when warm.
    load: f64,
    /// Each instance's part of the calls, in any unit.
    weights: [f64; INSTANCES],
    /// How long after the start of the ramp each instance starts; `None` is before it.
    starts: [Option<Duration>; INSTANCES],
}

impl Scenario {
    fn new(seed: u64, rules: Rules) -> Self {
        Scenario {
            seed,
            rules,
            cold_by: ColdBy::Joining,
            load: 0.85,
            weights: [1.0; INSTANCES],
            starts: [None; INSTANCES],
        }
    }
}

/// A long ramp from a low start.
fn slow_rules() -> Rules {
    Rules {
        cold_from: 0.16,
        warm_within: Duration::from_secs(24),
        fall_multiple: 3.0,
        fall_time: Duration::from_secs(2),
        ..settings().rules
    }
}

/// A shorter ramp with a narrower window and less allowed in it.
fn narrow_rules() -> Rules {
    Rules {
        cold_from: 0.2,
        warm_within: Duration::from_secs(12),
        fall_multiple: 2.0,
        fall_time: Duration::from_secs(1),
        ..settings().rules
    }
}

/// The part of its capacity that the endpoint has so long after its start.
fn part_of_capacity(rules: &Rules, age: Duration) -> f64 {
    let warmth = age.as_secs_f64() / rules.warm_within.as_secs_f64();
    (rules.cold_from + (1.0 - rules.cold_from) * warmth).min(1.0)
}

/// What the settings allow in the window that begins at this age: N + 2 x root of N + 2 requests.
fn allowed_in_window(rules: &Rules, age: Duration) -> f64 {
    let mean_part = part_of_capacity(rules, age + rules.fall_time / 2);
    let n = rules.fall_multiple * CAPACITY_PER_S * mean_part * rules.fall_time.as_secs_f64();
    n + 2.0 * n.sqrt() + 2.0
}

// ---- The simulation --------------------------------------------------------------------------------------

/// An attempt on its way to an endpoint, or in it.
#[derive(Clone)]
struct Attempt {
    instance: usize,
    request: RequestId,
    number: AttemptNo,
    endpoint: usize,
    sent: Moment,
}

/// What happens at a moment.
enum Step {
    Arrival { instance: usize },
    Reaches(Attempt),
    Finishes(Attempt),
    Ends { attempt: Attempt, outcome: Outcome, depth: Option<f64> },
    Timer { instance: usize, token: u64 },
    Starts { instance: usize },
    Learns { instance: usize },
    Bans { instance: usize, out: bool },
}

/// A request that waits for its answer: attempts so far, and whether the newest has ended.
struct Open {
    deadline: Moment,
    attempts: usize,
    is_out: bool,
}

/// The queue length of an endpoint from a moment on.
struct QueueLength {
    since: Moment,
    waiting: usize,
}

/// An endpoint that works on several requests at once and takes them in order.
#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<Attempt>,
    /// The queue lengths of the last while, oldest first.
    history: VecDeque<QueueLength>,
}

impl Server {
    fn note_queue(&mut self, now: Moment) {
        self.history.push_back(QueueLength { since: now, waiting: self.queue.len() });
    }

    /// The queue length a while ago.
    fn reported_queue(&mut self, now: Moment) -> usize {
        while self.history.get(1).is_some_and(|next| next.since + REPORT_DELAY <= now) {
            self.history.pop_front();
        }
        let oldest = self.history.front().filter(|first| first.since + REPORT_DELAY <= now);
        oldest.map_or(0, |first| first.waiting)
    }
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: Pcg64Mcg,
    now: Moment,
    balancers: Vec<Option<Balancer>>,
    open: HashMap<RequestId, Open>,
    servers: Vec<Server>,
    /// Steps to come in the order of their time; the number keeps those of one time in order.
    agenda: BinaryHeap<Reverse<(Moment, usize)>>,
    steps: HashMap<usize, Step>,
    next_step: usize,
    next_request: usize,
    seen: Seen,
}

/// What a run shows.
#[derive(Default)]
struct Seen {
    /// When requests reached the cold endpoint, during the ramp.
    reached_cold: Vec<Moment>,
    /// Requests that instances refused or failed.
    refused: usize,
}

fn ramp_start() -> Moment {
    at(0) + LEAD
}

impl<'a> Fleet<'a> {
    /// Runs a scenario to the end of the ramp.
    fn run(scenario: &'a Scenario) -> Seen {
        let mut fleet = Fleet {
            scenario,
            random: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: at(0),
            balancers: (0..INSTANCES).map(|_| None).collect(),
            open: HashMap::new(),
            servers: (0..=WARM_ENDPOINTS).map(|_| Server::default()).collect(),
            agenda: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step: 0,
            next_request: 0,
            seen: Seen::default(),
        };
        fleet.plan();
        let end = ramp_start() + scenario.rules.warm_within;
        while let Some(Reverse((now, number))) = fleet.agenda.pop().filter(|Reverse((now, _))| *now < end) {
            fleet.now = now;
            let step = fleet.steps.remove(&number).expect("it is planned once");
            fleet.take(step);
        }
        fleet.seen
    }

    fn plan(&mut self) {
        for instance in 0..INSTANCES {
            let start = self.scenario.starts[instance].map_or(at(0), |delay| ramp_start() + delay);
            self.at(start, Step::Starts { instance });
            let told = ramp_start() + self.part_of(DISCOVERY_DELAY);
            if told <= start {
                continue;
            }
            if self.scenario.cold_by == ColdBy::Ban {
                self.at(start, Step::Bans { instance, out: true });
                self.at(told, Step::Bans { instance, out: false });
            } else {
                self.at(told, Step::Learns { instance });
            }
        }
    }

    fn at(&mut self, when: Moment, step: Step) {
        self.agenda.push(Reverse((when, self.next_step)));
        self.steps.insert(self.next_step, step);
        self.next_step += 1;
    }

    fn after(&mut self, wait: Duration, step: Step) {
        self.at(self.now + wait, step);
    }

    /// From 0 up to, not including, 1.
    fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn part_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.unit())
    }

    /// A time with this rate's exponential distribution.
    fn exponential(&mut self, per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() / per_s)
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Starts { instance } => self.start(instance),
            Step::Learns { instance } => self.learn(instance, News::Delta),
            Step::Bans { instance, out } => {
                self.tell(instance, Event::Banned { endpoint: name(COLD).as_str().into(), out });
            }
            Step::Timer { instance, token } => self.tell(instance, Event::Timer { token }),
            Step::Arrival { instance } => self.arrive(instance),
            Step::Reaches(attempt) => self.reach(attempt),
            Step::Finishes(attempt) => self.finish(attempt),
            Step::Ends { attempt, outcome, depth } => self.end(attempt, outcome, depth),
        }
    }

    // ---- Instances ---------------------------------------------------------------------------------------

    fn start(&mut self, instance: usize) {
        let set = Settings {
            balancers: INSTANCES as u32,
            me: PeerId(instance as u32),
            classes: vec![class("safe", 1.0, Effect::Safe)],
            rules: self.scenario.rules.clone(),
            ..settings()
        };
        let seed = self.random.next_u64();
        self.balancers[instance] = Some(Balancer::new(set, seed).expect("settings that make sense"));
        self.learn(instance, News::Stale);
        self.plan_arrival(instance);
    }

    fn learn(&mut self, instance: usize, news: News) {
        let entries = self.listings();
        self.tell(instance, Event::Members { version: 1, news, entries: entries.into() });
    }

    /// The list as of now.
    fn listings(&self) -> Vec<Listing> {
        let ramp_began = self.now >= ramp_start();
        let cold_by = self.scenario.cold_by;
        let mut entries = common::listings(WARM_ENDPOINTS);
        let mut cold = common::listing(&name(COLD), "a", 0);
        cold.up_since = (ramp_began && cold_by != ColdBy::Ban).then_some(ramp_start());
        if ramp_began || cold_by != ColdBy::Joining {
            entries.push(cold);
        }
        entries
    }

    fn plan_arrival(&mut self, instance: usize) {
        let all: f64 = self.scenario.weights.iter().sum();
        let capacity = CAPACITY_PER_S * self.servers.len() as f64;
        let per_s = self.scenario.load * capacity * self.scenario.weights[instance] / all;
        let wait = self.exponential(per_s);
        self.after(wait, Step::Arrival { instance });
    }

    fn arrive(&mut self, instance: usize) {
        self.plan_arrival(instance);
        self.next_request += 1;
        let id = RequestId::from(format!("r{}", self.next_request).as_str());
        let deadline = self.now + ms(2000);
        self.open.insert(id.clone(), Open { deadline, attempts: 0, is_out: false });
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            key: None,
            deadline,
            cost_hint: None,
            client_retry: false,
            write: false,
        };
        self.tell(instance, Event::Request(request));
    }

    /// Tells an instance of an event and carries out what it decides.
    fn tell(&mut self, instance: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(balancer) = &mut self.balancers[instance] else { return };
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint, timeout } => {
                    self.send(instance, request, &endpoint, timeout)
                }
                Action::SetTimer { at, token } => self.at(at, Step::Timer { instance, token }),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.open.remove(&request);
                    self.seen.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        instance: usize,
        request: RequestId,
        endpoint: &EndpointId,
        timeout: Option<Duration>,
    ) {
        let open = self.open.get_mut(&request).expect("only open requests are sent");
        let number = open.attempts;
        open.attempts += 1;
        open.is_out = true;
        let left = open.deadline.since(self.now);
        let endpoint = (0..self.servers.len()).find(|e| name(*e) == *endpoint.0).expect("a listed endpoint");
        let attempt = Attempt { instance, request, number, endpoint, sent: self.now };
        let wait = timeout.map_or(left, |timeout| timeout.min(left));
        self.after(wait, Step::Ends { attempt: attempt.clone(), outcome: Outcome::TimedOut, depth: None });
        self.after(NETWORK_DELAY, Step::Reaches(attempt));
    }

    /// Ends an attempt, unless it has ended before.
    fn end(&mut self, attempt: Attempt, outcome: Outcome, depth: Option<f64>) {
        let Some(open) = self.open.get_mut(&attempt.request) else { return };
        if !open.is_out || open.attempts != attempt.number + 1 {
            return;
        }
        open.is_out = false;
        let terminal = outcome == Outcome::Served;
        if terminal {
            self.open.remove(&attempt.request);
        }
        let report = depth.map(|depth| Report { depth: Some(depth), ..Report::default() });
        let ended = Ended {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            took: self.now.since(attempt.sent),
            terminal,
            report,
        };
        self.tell(attempt.instance, Event::Outcome(ended));
    }

    // ---- Endpoints ---------------------------------------------------------------------------------------

    fn reach(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        if endpoint == COLD && self.now >= ramp_start() {
            self.seen.reached_cold.push(self.now);
        }
        if self.servers[endpoint].queue.len() >= QUEUE_LIMIT {
            self.answer(attempt, Outcome::Full);
            return;
        }
        self.servers[endpoint].queue.push_back(attempt);
        self.serve_next(endpoint);
    }

    fn serve_next(&mut self, endpoint: usize) {
        let server = &mut self.servers[endpoint];
        if server.busy < WORKERS
            && let Some(attempt) = server.queue.pop_front()
        {
            server.busy += 1;
            let service = self.exponential(1.0 / MEAN_SERVICE_S);
            self.after(service, Step::Finishes(attempt));
        }
        self.servers[endpoint].note_queue(self.now);
    }

    fn finish(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        self.servers[endpoint].busy -= 1;
        self.answer(attempt, Outcome::Served);
        self.serve_next(endpoint);
    }

    fn answer(&mut self, attempt: Attempt, outcome: Outcome) {
        let waiting = self.servers[attempt.endpoint].reported_queue(self.now);
        self.after(NETWORK_DELAY, Step::Ends { attempt, outcome, depth: Some(waiting as f64) });
    }
}

fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

// ---- What is asserted ------------------------------------------------------------------------------------

/// The fullest window of a run, as a part of what the settings allow in it.
fn fullest_window(rules: &Rules, reached: &[Moment]) -> f64 {
    let end = ramp_start() + rules.warm_within;
    let inside = |first: &usize| reached[*first] + rules.fall_time <= end;
    let windows = (0..reached.len()).filter(inside).map(|first| {
        let until = reached[first] + rules.fall_time;
        let count = reached.partition_point(|at| *at < until) - first;
        count as f64 / allowed_in_window(rules, reached[first].since(ramp_start()))
    });
    windows.fold(0.0, f64::max)
}

/// The requests that the endpoint could serve over the ramp.
fn servable(rules: &Rules) -> f64 {
    let mean_part = part_of_capacity(rules, rules.warm_within / 2);
    mean_part * CAPACITY_PER_S * rules.warm_within.as_secs_f64()
}

/// Runs a scenario; the cold endpoint may get neither more than it bears nor next to nothing.
fn check(scenario: &Scenario) -> Seen {
    let seen = Fleet::run(scenario);
    let fullest = fullest_window(&scenario.rules, &seen.reached_cold);
    let used = seen.reached_cold.len() as f64 / servable(&scenario.rules);
    println!("seed {}: fullest window {fullest:.2}, used {used:.2}", scenario.seed);
    assert!(fullest <= 1.0, "seed {}: {fullest:.2} times what it bears in a window", scenario.seed);
    assert!(used >= LEAST_USE, "seed {}: {used:.3} of what it could serve", scenario.seed);
    seen
}

/// Some instances next to each other, from this one on, get much more than the others.
fn unequal(first: usize, high: usize) -> [f64; INSTANCES] {
    let mut weights = [1.0; INSTANCES];
    for n in 0..high {
        weights[(first + n) % INSTANCES] = HIGH_RATE;
    }
    weights
}

/// A third of the instances start one after another over the first half of the ramp.
fn late_starts(rules: &Rules) -> [Option<Duration>; INSTANCES] {
    let mut starts = [None; INSTANCES];
    for (n, start) in starts.iter_mut().step_by(3).enumerate() {
        let part_of_ramp = (n + 1) as f64 / INSTANCES as f64;
        *start = Some(rules.warm_within.mul_f64(part_of_ramp * 1.5));
    }
    starts
}

/// Guards the sum over instances that all get as much.
#[test]
fn instances_with_equal_rates_spare_a_cold_endpoint() {
    for seed in 1..=4 {
        check(&Scenario::new(seed, slow_rules()));
    }
}

/// Guards the sum where six neighbours, whose subsets overlap, carry four fifths of the calls.
#[test]
fn instances_with_very_unequal_rates_spare_a_cold_endpoint() {
    for (seed, first) in (1..).zip(PLACES) {
        let weights = unequal(first, 6);
        check(&Scenario { weights, ..Scenario::new(seed, slow_rules()) });
        check(&Scenario { weights, load: 1.5, ..Scenario::new(seed, slow_rules()) });
        check(&Scenario { weights, load: 3.0, ..Scenario::new(seed, narrow_rules()) });
    }
}

/// Guards the sum where one instance carries two fifths of the calls, and more than its subset takes.
#[test]
fn one_instance_with_a_high_rate_spares_a_cold_endpoint() {
    for (seed, first) in (1..).zip(PLACES) {
        check(&Scenario { weights: unequal(first, 1), load: 1.5, ..Scenario::new(seed, slow_rules()) });
    }
}

/// Guards instances whose first list has the cold endpoint: none of them has a rate or a queue length to go by yet.
#[test]
fn instances_that_start_during_the_ramp_spare_a_cold_endpoint() {
    for seed in 1..=3 {
        for rules in [slow_rules(), narrow_rules()] {
            let starts = late_starts(&rules);
            check(&Scenario { starts, ..Scenario::new(seed, rules.clone()) });
            check(&Scenario { starts, load: 3.0, ..Scenario::new(seed, rules) });
        }
    }
}

/// Guards an endpoint that every instance knows already, and whose restart the list tells of.
#[test]
fn a_restarted_endpoint_is_spared() {
    for seed in 1..=3 {
        check(&Scenario { cold_by: ColdBy::Restart, ..Scenario::new(seed, slow_rules()) });
        let starts = late_starts(&slow_rules());
        check(&Scenario { cold_by: ColdBy::Restart, starts, ..Scenario::new(seed, slow_rules()) });
    }
}

/// Guards an endpoint that operators take back into use: every instance looks for it at once.
#[test]
fn an_endpoint_back_from_a_ban_is_spared() {
    for seed in 1..=3 {
        check(&Scenario { cold_by: ColdBy::Ban, ..Scenario::new(seed, slow_rules()) });
        check(&Scenario { cold_by: ColdBy::Ban, ..Scenario::new(seed, narrow_rules()) });
    }
}

/// Guards the one endpoint with no queue while the warm ones are throttled and calls wait for a place.
#[test]
fn an_overloaded_fleet_spares_a_cold_endpoint() {
    for (seed, load) in [(1, 1.5), (2, 2.0), (3, 3.0)] {
        let equal = Scenario { load, ..Scenario::new(seed, slow_rules()) };
        let unequal = Scenario { weights: unequal(10, 3), load, ..Scenario::new(seed, slow_rules()) };
        for scenario in [equal, unequal] {
            let seen = check(&scenario);
            assert!(seen.refused > 0, "seed {seed}: the warm endpoints are throttled");
        }
    }
}

/// Guards the ramp under other settings than the usual: it starts, ends and is bounded as they say.
#[test]
fn the_ramp_follows_its_settings() {
    for seed in 1..=3 {
        check(&Scenario::new(seed, narrow_rules()));
        check(&Scenario { load: 3.0, ..Scenario::new(seed, narrow_rules()) });
        check(&Scenario { weights: unequal(10, 1), load: 1.5, ..Scenario::new(seed, narrow_rules()) });
        let starts = late_starts(&narrow_rules());
        check(&Scenario { cold_by: ColdBy::Restart, starts, ..Scenario::new(seed, narrow_rules()) });
    }
}
