//! A deterministic simulation of balancers and endpoints on a simulated clock.

use super::scenario::*;
use crate::host::{at, class, default_settings, endpoint_entries, endpoint_entry, ms};
use balancer_sidecar::policy::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// An attempt that was sent to an endpoint.
#[derive(Clone)]
pub struct Attempt {
    pub balancer_number: usize,
    pub request: RequestId,
    pub number: AttemptNumber,
    pub endpoint: usize,
    pub sent_at: Timestamp,
}

/// A scheduled step of the simulation.
pub enum Step {
    Arrival {
        balancer_number: usize,
    },
    ReachesEndpoint(Attempt),
    EndpointFinishes(Attempt),
    AttemptEnds {
        attempt: Attempt,
        outcome: Outcome,
        queue_length: Option<f64>,
    },
    Timer {
        balancer_number: usize,
        token: u64,
    },
    BalancerStarts {
        balancer_number: usize,
    },
    ListArrives {
        balancer_number: usize,
    },
    EndpointDisabled {
        balancer_number: usize,
    },
    EndpointEnabled {
        balancer_number: usize,
    },
}

/// A request without a final answer. Only its latest attempt can be in flight.
pub struct UnansweredRequest {
    pub deadline: Timestamp,
    pub attempt_count: usize,
    pub is_in_flight: bool,
}

/// The queue length of an endpoint since a point in time.
pub struct QueueLength {
    pub since: Timestamp,
    pub waiting: usize,
}

/// The server of an endpoint. It serves several requests concurrently, in order of arrival.
#[derive(Default)]
pub struct Server {
    pub busy_workers: usize,
    pub queue: VecDeque<Attempt>,
    /// The recent queue lengths, oldest first.
    pub queue_length_history: VecDeque<QueueLength>,
}

impl Server {
    /// Records the current queue length.
    pub fn record_queue_length(&mut self, now: Timestamp) {
        self.queue_length_history.push_back(QueueLength {
            since: now,
            waiting: self.queue.len(),
        });
    }

    /// Returns the reported queue length, which is [`REPORT_DELAY`] old.
    pub fn reported_queue_length(&mut self, now: Timestamp) -> usize {
        while self
            .queue_length_history
            .get(1)
            .is_some_and(|next| next.since + REPORT_DELAY <= now)
        {
            self.queue_length_history.pop_front();
        }
        let oldest = self
            .queue_length_history
            .front()
            .filter(|first| first.since + REPORT_DELAY <= now);
        oldest.map_or(0, |first| first.waiting)
    }
}

/// The state of a simulation.
pub struct Fleet<'a> {
    pub scenario: &'a Scenario,
    pub random: Pcg64Mcg,
    pub now: Timestamp,
    pub balancers: Vec<Option<Balancer>>,
    pub unanswered: HashMap<RequestId, UnansweredRequest>,
    pub servers: Vec<Server>,
    /// The times and numbers of future steps. Steps with the same time are in order of their numbers.
    pub schedule: BinaryHeap<Reverse<(Timestamp, usize)>>,
    pub steps: HashMap<usize, Step>,
    pub next_step_number: usize,
    pub next_request_number: usize,
    pub observations: Observations,
}

/// The observations of a run.
#[derive(Default)]
pub struct Observations {
    /// The times at which requests reached the warming endpoint during its warm-up.
    pub arrivals_at_warming: Vec<Timestamp>,
    /// The number of requests that balancers rejected or failed.
    pub rejected: usize,
}

/// Returns when the warm-up begins.
pub fn warm_up_start() -> Timestamp {
    at(0) + LEAD_TIME
}

impl<'a> Fleet<'a> {
    /// Runs a scenario to the end of the warm-up.
    pub fn run(scenario: &'a Scenario) -> Observations {
        let mut fleet = Fleet {
            scenario,
            random: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: at(0),
            balancers: (0..BALANCERS).map(|_| None).collect(),
            unanswered: HashMap::new(),
            servers: (0..=WARM_ENDPOINTS).map(|_| Server::default()).collect(),
            schedule: BinaryHeap::new(),
            steps: HashMap::new(),
            next_step_number: 0,
            next_request_number: 0,
            observations: Observations::default(),
        };
        fleet.schedule_starts();
        let end = warm_up_start() + scenario.rules.warm_up_time;
        while let Some(Reverse((now, number))) =
            fleet.schedule.pop().filter(|Reverse((now, _))| *now < end)
        {
            fleet.now = now;
            let step = fleet.steps.remove(&number).expect("a scheduled step");
            fleet.execute(step);
        }
        fleet.observations
    }

    /// Schedules the starts of the balancers, and the times at which they receive the change of the list.
    pub fn schedule_starts(&mut self) {
        for balancer_number in 0..BALANCERS {
            let start = self.scenario.starts[balancer_number]
                .map_or(at(0), |delay| warm_up_start() + delay);
            self.schedule_at(start, Step::BalancerStarts { balancer_number });
            let received_at = warm_up_start() + self.random_fraction_of(DISCOVERY_DELAY);
            if received_at <= start {
                continue;
            }
            if self.scenario.cause == WarmUpCause::Enabling {
                self.schedule_at(start, Step::EndpointDisabled { balancer_number });
                self.schedule_at(received_at, Step::EndpointEnabled { balancer_number });
            } else {
                self.schedule_at(received_at, Step::ListArrives { balancer_number });
            }
        }
    }

    /// Schedules a step.
    pub fn schedule_at(&mut self, when: Timestamp, step: Step) {
        self.schedule.push(Reverse((when, self.next_step_number)));
        self.steps.insert(self.next_step_number, step);
        self.next_step_number += 1;
    }

    /// Schedules a step after a delay.
    pub fn schedule_after(&mut self, delay: Duration, step: Step) {
        self.schedule_at(self.now + delay, step);
    }

    /// Returns a random number in the range from 0 to 1, excluding 1.
    pub fn random_unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random fraction of a duration.
    pub fn random_fraction_of(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(self.random_unit())
    }

    /// Returns a random duration with an exponential distribution of the given rate.
    pub fn random_exponential(&mut self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.random_unit()).ln() / rate_per_s)
    }

    /// Executes one step.
    pub fn execute(&mut self, step: Step) {
        match step {
            Step::BalancerStarts { balancer_number } => self.start_balancer(balancer_number),
            Step::ListArrives { balancer_number } => {
                self.receive_list(balancer_number, ListKind::Changes);
            }
            Step::EndpointDisabled { balancer_number } => {
                self.handle(balancer_number, Event::EndpointDisabled(warming_endpoint()));
            }
            Step::EndpointEnabled { balancer_number } => {
                self.handle(balancer_number, Event::EndpointEnabled(warming_endpoint()));
            }
            Step::Timer {
                balancer_number,
                token,
            } => self.handle(balancer_number, Event::Timer { token }),
            Step::Arrival { balancer_number } => self.receive_request(balancer_number),
            Step::ReachesEndpoint(attempt) => self.reach_endpoint(attempt),
            Step::EndpointFinishes(attempt) => self.finish_service(attempt),
            Step::AttemptEnds {
                attempt,
                outcome,
                queue_length,
            } => self.end_attempt(attempt, outcome, queue_length),
        }
    }

    // ---- Balancers

    pub fn start_balancer(&mut self, balancer_number: usize) {
        let settings = Settings {
            balancers: BALANCERS as u32,
            peer_id: PeerId(balancer_number as u32),
            classes: vec![class("safe", 1.0, Idempotency::Idempotent)],
            rules: self.scenario.rules.clone(),
            ..default_settings()
        };
        let seed = self.random.next_u64();
        self.balancers[balancer_number] =
            Some(Balancer::new(settings, seed).expect("valid settings"));
        self.receive_list(balancer_number, ListKind::Cached);
        self.schedule_arrival(balancer_number);
    }

    pub fn receive_list(&mut self, balancer_number: usize, kind: ListKind) {
        let entries = self.listed_entries();
        self.handle(
            balancer_number,
            Event::EndpointList {
                version: 1,
                kind,
                entries: entries.into(),
            },
        );
    }

    /// Returns the current list.
    pub fn listed_entries(&self) -> Vec<EndpointEntry> {
        let has_warm_up_begun = self.now >= warm_up_start();
        let cause = self.scenario.cause;
        let mut entries = endpoint_entries(WARM_ENDPOINTS);
        let mut warming = endpoint_entry(&endpoint_name(WARMING_ENDPOINT), "a", 0);
        warming.started_at =
            (has_warm_up_begun && cause != WarmUpCause::Enabling).then_some(warm_up_start());
        if has_warm_up_begun || cause != WarmUpCause::Joining {
            entries.push(warming);
        }
        entries
    }

    pub fn schedule_arrival(&mut self, balancer_number: usize) {
        let total_weight: f64 = self.scenario.weights.iter().sum();
        let capacity = CAPACITY_PER_S * self.servers.len() as f64;
        let rate_per_s =
            self.scenario.load * capacity * self.scenario.weights[balancer_number] / total_weight;
        let delay = self.random_exponential(rate_per_s);
        self.schedule_after(delay, Step::Arrival { balancer_number });
    }

    pub fn receive_request(&mut self, balancer_number: usize) {
        self.schedule_arrival(balancer_number);
        self.next_request_number += 1;
        let id = RequestId::from(format!("r{}", self.next_request_number).as_str());
        let deadline = self.now + ms(2000);
        self.unanswered.insert(
            id.clone(),
            UnansweredRequest {
                deadline,
                attempt_count: 0,
                is_in_flight: false,
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
        self.handle(balancer_number, Event::Request(request));
    }

    /// Has a balancer handle an event, and executes its actions.
    pub fn handle(&mut self, balancer_number: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(balancer) = &mut self.balancers[balancer_number] else {
            return;
        };
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                } => self.send_attempt(balancer_number, request, &endpoint, timeout),
                Action::SetTimer { at, token } => self.schedule_at(
                    at,
                    Step::Timer {
                        balancer_number,
                        token,
                    },
                ),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.unanswered.remove(&request);
                    self.observations.rejected += 1;
                }
                _ => {}
            }
        }
    }

    pub fn send_attempt(
        &mut self,
        balancer_number: usize,
        request: RequestId,
        endpoint: &EndpointId,
        timeout: Option<Duration>,
    ) {
        let request_state = self
            .unanswered
            .get_mut(&request)
            .expect("only unanswered requests are sent");
        let number = request_state.attempt_count;
        request_state.attempt_count += 1;
        request_state.is_in_flight = true;
        let time_to_deadline = request_state.deadline.since(self.now);
        let endpoint = (0..self.servers.len())
            .find(|e| endpoint_name(*e) == *endpoint.0)
            .expect("a listed endpoint");
        let attempt = Attempt {
            balancer_number,
            request,
            number,
            endpoint,
            sent_at: self.now,
        };
        let delay = timeout.map_or(time_to_deadline, |timeout| timeout.min(time_to_deadline));
        self.schedule_after(
            delay,
            Step::AttemptEnds {
                attempt: attempt.clone(),
                outcome: Outcome::TimedOut,
                queue_length: None,
            },
        );
        self.schedule_after(NETWORK_DELAY, Step::ReachesEndpoint(attempt));
    }

    /// Ends an attempt, unless it has already ended.
    pub fn end_attempt(&mut self, attempt: Attempt, outcome: Outcome, queue_length: Option<f64>) {
        let Some(request_state) = self.unanswered.get_mut(&attempt.request) else {
            return;
        };
        if !request_state.is_in_flight || request_state.attempt_count != attempt.number + 1 {
            return;
        }
        request_state.is_in_flight = false;
        let request_ended = outcome == Outcome::Served;
        if request_ended {
            self.unanswered.remove(&attempt.request);
        }
        let report = queue_length.map(|queue_length| LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        });
        let ended = AttemptEnd {
            request: attempt.request,
            attempt: attempt.number,
            outcome,
            elapsed: self.now.since(attempt.sent_at),
            request_ended,
            report,
        };
        self.handle(attempt.balancer_number, Event::AttemptEnded(ended));
    }

    // ---- Endpoints

    pub fn reach_endpoint(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        if endpoint == WARMING_ENDPOINT && self.now >= warm_up_start() {
            self.observations.arrivals_at_warming.push(self.now);
        }
        if self.servers[endpoint].queue.len() >= QUEUE_LIMIT {
            self.send_answer(attempt, Outcome::Rejected);
            return;
        }
        self.servers[endpoint].queue.push_back(attempt);
        self.serve_next(endpoint);
    }

    pub fn serve_next(&mut self, endpoint: usize) {
        let server = &mut self.servers[endpoint];
        if server.busy_workers < WORKERS
            && let Some(attempt) = server.queue.pop_front()
        {
            server.busy_workers += 1;
            let service_time = self.random_exponential(1.0 / MEAN_SERVICE_TIME_S);
            self.schedule_after(service_time, Step::EndpointFinishes(attempt));
        }
        self.servers[endpoint].record_queue_length(self.now);
    }

    pub fn finish_service(&mut self, attempt: Attempt) {
        let endpoint = attempt.endpoint;
        self.servers[endpoint].busy_workers -= 1;
        self.send_answer(attempt, Outcome::Served);
        self.serve_next(endpoint);
    }

    pub fn send_answer(&mut self, attempt: Attempt, outcome: Outcome) {
        let waiting = self.servers[attempt.endpoint].reported_queue_length(self.now);
        self.schedule_after(
            NETWORK_DELAY,
            Step::AttemptEnds {
                attempt,
                outcome,
                queue_length: Some(waiting as f64),
            },
        );
    }
}

fn warming_endpoint() -> EndpointId {
    endpoint_name(WARMING_ENDPOINT).as_str().into()
}

/// Returns the name of an endpoint.
pub fn endpoint_name(endpoint: usize) -> String {
    format!("e{endpoint}")
}
