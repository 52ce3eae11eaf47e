//! The simulation: a deterministic run of events on a simulated clock.

use super::scenario::*;
use crate::host::{at, class, default_settings, endpoint_entries, endpoint_entry, ms};
use balancer_sidecar::policy::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// An attempt on its way to an endpoint, or in it.
#[derive(Clone)]
pub struct Attempt {
    pub instance: usize,
    pub request: RequestId,
    pub number: AttemptNumber,
    pub endpoint: usize,
    pub sent_at: Timestamp,
}

/// What happens at a moment.
pub enum Step {
    Arrival {
        instance: usize,
    },
    Reaches(Attempt),
    Finishes(Attempt),
    Ends {
        attempt: Attempt,
        outcome: Outcome,
        queue_length: Option<f64>,
    },
    Timer {
        instance: usize,
        token: u64,
    },
    Starts {
        instance: usize,
    },
    Learns {
        instance: usize,
    },
    Bans {
        instance: usize,
        out: bool,
    },
}

/// A request that waits for its answer: attempts so far, and whether the newest has ended.
pub struct Open {
    pub deadline: Timestamp,
    pub attempts: usize,
    pub is_out: bool,
}

/// The queue length of an endpoint from a moment on.
pub struct QueueLength {
    pub since: Timestamp,
    pub waiting: usize,
}

/// An endpoint that works on several requests at once and takes them in order.
#[derive(Default)]
pub struct Server {
    pub busy: usize,
    pub queue: VecDeque<Attempt>,
    /// The queue lengths of the last while, oldest first.
    pub history: VecDeque<QueueLength>,
}

impl Server {
    pub fn note_queue(&mut self, now: Timestamp) {
        self.history.push_back(QueueLength {
            since: now,
            waiting: self.queue.len(),
        });
    }

    /// The queue length a while ago.
    pub fn reported_queue(&mut self, now: Timestamp) -> usize {
        while self
            .history
            .get(1)
            .is_some_and(|next| next.since + REPORT_DELAY <= now)
        {
            self.history.pop_front();
        }
        let oldest = self
            .history
            .front()
            .filter(|first| first.since + REPORT_DELAY <= now);
        oldest.map_or(0, |first| first.waiting)
    }
}

pub struct Fleet<'a> {
    pub scenario: &'a Scenario,
    pub random: Pcg64Mcg,
    pub now: Timestamp,
    pub balancers: Vec<Option<Balancer>>,
    pub open: HashMap<RequestId, Open>,
    pub servers: Vec<Server>,
    /// Steps to come in the order of their time; the number keeps those of one time in order.
    pub agenda: BinaryHeap<Reverse<(Timestamp, usize)>>,
    pub steps: HashMap<usize, Step>,
    pub next_step: usize,
    pub next_request: usize,
    pub seen: Seen,
}

/// What a run shows.
#[derive(Default)]
pub struct Seen {
    /// When requests reached the cold endpoint, during the ramp.
    pub reached_cold: Vec<Timestamp>,
    /// Requests that instances refused or failed.
    pub refused: usize,
}

pub fn ramp_start() -> Timestamp {
    at(0) + LEAD
}

impl<'a> Fleet<'a> {
    /// Runs a scenario to the end of the ramp.
    pub fn run(scenario: &'a Scenario) -> Seen {
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
        let end = ramp_start() + scenario.rules.warm_up_time;
        while let Some(Reverse((now, number))) =
            fleet.agenda.pop().filter(|Reverse((now, _))| *now < end)
        {
            fleet.now = now;
            let step = fleet.steps.remove(&number).expect("it is planned once");
            fleet.take(step);
        }
        fleet.seen
    }

    pub fn plan(&mut self) {
        for instance in 0..INSTANCES {
            let start = self.scenario.starts[instance].map_or(at(0), |delay| ramp_start() + delay);
            self.at(start, Step::Starts { instance });
            let told = ramp_start() + self.part_of(DISCOVERY_DELAY);
            if told <= start {
                continue;
            }
            if self.scenario.cold_by == ColdBy::Ban {
                self.at(
                    start,
                    Step::Bans {
                        instance,
                        out: true,
                    },
                );
                self.at(
                    told,
                    Step::Bans {
                        instance,
                        out: false,
                    },
                );
            } else {
                self.at(told, Step::Learns { instance });
            }
        }
    }

    pub fn at(&mut self, when: Timestamp, step: Step) {
        self.agenda.push(Reverse((when, self.next_step)));
        self.steps.insert(self.next_step, step);
        self.next_step += 1;
    }

    pub fn after(&mut self, wait: Duration, step: Step) {
        self.at(self.now + wait, step);
    }

    /// From 0 up to, not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn part_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.unit())
    }

    /// A time with this rate's exponential distribution.
    pub fn exponential(&mut self, per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() / per_s)
    }

    pub fn take(&mut self, step: Step) {
        match step {
            Step::Starts { instance } => self.start(instance),
            Step::Learns { instance } => self.learn(instance, ListKind::Changes),
            Step::Bans { instance, out } => {
                let endpoint = name(COLD).as_str().into();
                let event = if out {
                    Event::EndpointDisabled(endpoint)
                } else {
                    Event::EndpointEnabled(endpoint)
                };
                self.handle(instance, event);
            }
            Step::Timer { instance, token } => self.handle(instance, Event::Timer { token }),
            Step::Arrival { instance } => self.arrive(instance),
            Step::Reaches(attempt) => self.reach(attempt),
            Step::Finishes(attempt) => self.finish(attempt),
            Step::Ends {
                attempt,
                outcome,
                queue_length,
            } => self.end(attempt, outcome, queue_length),
        }
    }

    // ---- Instances ---------------------------------------------------------------------------------------

    pub fn start(&mut self, instance: usize) {
        let settings = Settings {
            balancers: INSTANCES as u32,
            peer_id: PeerId(instance as u32),
            classes: vec![class("safe", 1.0, Idempotency::Idempotent)],
            rules: self.scenario.rules.clone(),
            ..default_settings()
        };
        let seed = self.random.next_u64();
        self.balancers[instance] =
            Some(Balancer::new(settings, seed).expect("settings that make sense"));
        self.learn(instance, ListKind::Cached);
        self.plan_arrival(instance);
    }

    pub fn learn(&mut self, instance: usize, kind: ListKind) {
        let entries = self.endpoint_entries();
        self.handle(
            instance,
            Event::EndpointList {
                version: 1,
                kind,
                entries: entries.into(),
            },
        );
    }

    /// The list as of now.
    pub fn endpoint_entries(&self) -> Vec<EndpointEntry> {
        let ramp_began = self.now >= ramp_start();
        let cold_by = self.scenario.cold_by;
        let mut entries = endpoint_entries(WARM_ENDPOINTS);
        let mut cold = endpoint_entry(&name(COLD), "a", 0);
        cold.started_at = (ramp_began && cold_by != ColdBy::Ban).then_some(ramp_start());
        if ramp_began || cold_by != ColdBy::Joining {
            entries.push(cold);
        }
        entries
    }

    pub fn plan_arrival(&mut self, instance: usize) {
        let all: f64 = self.scenario.weights.iter().sum();
        let capacity = CAPACITY_PER_S * self.servers.len() as f64;
        let per_s = self.scenario.load * capacity * self.scenario.weights[instance] / all;
        let wait = self.exponential(per_s);
        self.after(wait, Step::Arrival { instance });
    }

    pub fn arrive(&mut self, instance: usize) {
        self.plan_arrival(instance);
        self.next_request += 1;
        let id = RequestId::from(format!("r{}", self.next_request).as_str());
        let deadline = self.now + ms(2000);
        self.open.insert(
            id.clone(),
            Open {
                deadline,
                attempts: 0,
                is_out: false,
            },
        );
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
        self.handle(instance, Event::Request(request));
    }

    /// Tells an instance of an event and carries out what it decides.
    pub fn handle(&mut self, instance: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(balancer) = &mut self.balancers[instance] else {
            return;
        };
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                } => self.send(instance, request, &endpoint, timeout),
                Action::SetTimer { at, token } => self.at(at, Step::Timer { instance, token }),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.open.remove(&request);
                    self.seen.refused += 1;
                }
                _ => {}
            }
        }
    }

    pub fn send(
        &mut self,
        instance: usize,
        request: RequestId,
        endpoint: &EndpointId,
        timeout: Option<Duration>,
    ) {
        let open = self
            .open
            .get_mut(&request)
            .expect("only open requests are sent");
        let number = open.attempts;
        open.attempts += 1;
        open.is_out = true;
        let left = open.deadline.since(self.now);
        let endpoint = (0..self.servers.len())
            .find(|e| name(*e) == *endpoint.0)
            .expect("a listed endpoint");
        let attempt = Attempt {
            instance,
            request,
            number,
            endpoint,
            sent_at: self.now,
        };
        let wait = timeout.map_or(left, |timeout| timeout.min(left));
        self.after(
            wait,
            Step::Ends {
                attempt: attempt.clone(),
                outcome: Outcome::TimedOut,
                queue_length: None,
            },
        );
        self.after(NETWORK_DELAY, Step::Reaches(attempt));
    }

    /// Ends an attempt, unless it has ended before.
    pub fn end(&mut self, attempt: Attempt, outcome: Outcome, queue_length: Option<f64>) {
        let Some(open) = self.open.get_mut(&attempt.request) else {
            return;
        };
        if !open.is_out || open.attempts != attempt.number + 1 {
            return;
        }
        open.is_out = false;
        let request_ended = outcome == Outcome::Served;
        if request_ended {
            self.open.remove(&attempt.request);
        }
        let report = queue_length.map(|queue_length| LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        });
        let ended = AttemptEnd {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            took: self.now.since(attempt.sent_at),
            request_ended,
            report,
        };
        self.handle(attempt.instance, Event::AttemptEnded(ended));
    }

    // ---- Endpoints ---------------------------------------------------------------------------------------

    pub fn reach(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        if endpoint == COLD && self.now >= ramp_start() {
            self.seen.reached_cold.push(self.now);
        }
        if self.servers[endpoint].queue.len() >= QUEUE_LIMIT {
            self.answer(attempt, Outcome::Rejected);
            return;
        }
        self.servers[endpoint].queue.push_back(attempt);
        self.serve_next(endpoint);
    }

    pub fn serve_next(&mut self, endpoint: usize) {
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

    pub fn finish(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        self.servers[endpoint].busy -= 1;
        self.answer(attempt, Outcome::Served);
        self.serve_next(endpoint);
    }

    pub fn answer(&mut self, attempt: Attempt, outcome: Outcome) {
        let waiting = self.servers[attempt.endpoint].reported_queue(self.now);
        self.after(
            NETWORK_DELAY,
            Step::Ends {
                attempt,
                outcome,
                queue_length: Some(waiting as f64),
            },
        );
    }
}

pub fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}
