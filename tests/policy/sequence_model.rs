//! The model of `random_sequences.rs`: it records requests, attempts and endpoints, and checks every action against
//! them.

use crate::host::*;
use crate::sequence_rules::{
    AttemptEnding, AttemptRecord, RequestRecord, RuleCheck, group_of, zone_of,
};
use crate::sequence_step::{OUTCOMES, Step};
use balancer_sidecar::policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of endpoints.
const ENDPOINT_COUNT: usize = 6;

/// Returns the index of an endpoint.
fn endpoint_index(endpoint: &EndpointId) -> usize {
    endpoint.0[1..]
        .parse()
        .expect("an endpoint that was listed")
}

/// The host's connections to one endpoint, for rule 6.
#[derive(Clone, Default)]
struct Connections {
    is_idle: bool,
    is_draining: bool,
    /// The latest time at which an attempt was sent or ended, or draining began.
    idle_since: Timestamp,
}

/// The balancer under test, and the state of its environment.
pub struct Model {
    settings: Settings,
    pub balancer: Balancer,
    pub now: Timestamp,
    is_serving: Vec<bool>,
    started_at: Vec<Option<Timestamp>>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    arrival_count: usize,
    timers: BTreeSet<(Timestamp, u64)>,
    connections: Vec<Connections>,
    seed: u64,
}

impl Model {
    /// Creates a model in which all endpoints serve and no request has arrived.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Model {
            balancer: Balancer::new(settings.clone(), seed).expect("valid settings"),
            settings,
            now: at(0),
            is_serving: vec![true; ENDPOINT_COUNT],
            started_at: vec![None; ENDPOINT_COUNT],
            requests: BTreeMap::new(),
            arrival_count: 0,
            timers: BTreeSet::new(),
            connections: vec![Connections::default(); ENDPOINT_COUNT],
            seed,
        }
    }

    /// Executes one step.
    pub fn execute(&mut self, step: Step) {
        match step {
            Step::RequestArrives {
                class,
                time_left_ms,
                hint_ms,
                key,
            } => self.request_arrives(class, ms(time_left_ms), hint_ms.map(ms), key),
            Step::AttemptEnds {
                choice,
                outcome,
                queue_length,
            } => {
                let in_flight = self.attempts_in_flight();
                if let Some(attempt) = in_flight.get(choice % in_flight.len().max(1)) {
                    let queue_length = f64::from(queue_length);
                    self.end_attempt(
                        &attempt.request,
                        attempt.number,
                        OUTCOMES[outcome],
                        queue_length,
                    );
                }
            }
            Step::ClientDisconnects { choice } => self.client_disconnects(choice),
            Step::ReadinessChanges {
                endpoint,
                readiness,
            } => {
                let readiness = [Readiness::Serving, Readiness::Draining, Readiness::Removed]
                    [usize::from(readiness)];
                self.readiness_changes(endpoint, readiness);
            }
            Step::FullListArrives { missing } => self.full_list_arrives(missing),
            Step::EndpointRestarts { endpoint } => {
                self.started_at[endpoint] = Some(self.now);
                self.readiness_changes(endpoint, Readiness::Serving);
            }
            Step::DiscoveryFails => self.handle(Event::DiscoveryFailed),
            Step::ListIsConfirmed => self.handle(Event::ListConfirmed),
            Step::ListIsUnconfirmed => self.handle(Event::ListUnconfirmed { since: self.now }),
            Step::ProcessEnds { endpoint } => self.handle(Event::ProcessEnded {
                endpoint: format!("e{endpoint}").as_str().into(),
            }),
            Step::BalancerRestarts => self.restart_balancer(),
            Step::TimePasses { ms: passed } => self.run_to(self.now + ms(passed)),
        }
    }

    fn request_arrives(
        &mut self,
        class: usize,
        time_to_deadline: Duration,
        cost_hint: Option<Duration>,
        key: Option<u8>,
    ) {
        self.arrival_count += 1;
        let id = RequestId::from(format!("r{}", self.arrival_count).as_str());
        let deadline = self.now + time_to_deadline;
        let record = RequestRecord {
            class,
            key,
            arrival_number: self.arrival_count,
            deadline,
            attempts: Vec::new(),
            is_answered: false,
        };
        self.requests.insert(id.clone(), record);
        self.handle(Event::Request(Request {
            id,
            class: ClassId(class),
            tenant: None,
            key: key.map(|key| Key::from(format!("k{key}").as_str())),
            deadline,
            cost_hint,
            client_retry: false,
            write: false,
        }));
    }

    fn client_disconnects(&mut self, choice: usize) {
        let unanswered: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, record)| !record.is_answered)
            .map(|(id, _)| id.clone())
            .collect();
        if let Some(id) = unanswered.get(choice % unanswered.len().max(1)).cloned() {
            self.record_mut(&id).is_answered = true;
            self.handle(Event::ClientDisconnected { request: id });
        }
    }

    fn readiness_changes(&mut self, endpoint: usize, readiness: Readiness) {
        self.is_serving[endpoint] = readiness == Readiness::Serving;
        self.record_readiness(endpoint, readiness);
        let entry = self.entry(endpoint, readiness);
        self.apply_list(ListKind::Changes, vec![entry]);
    }

    fn full_list_arrives(&mut self, missing: usize) {
        for endpoint in 0..ENDPOINT_COUNT {
            let is_listed = endpoint != missing;
            self.is_serving[endpoint] = is_listed;
            let readiness = if is_listed {
                Readiness::Serving
            } else {
                Readiness::Removed
            };
            self.record_readiness(endpoint, readiness);
        }
        let entries = self.serving_entries();
        self.apply_list(ListKind::Full, entries);
    }

    /// Replaces the balancer with a new one. Removes the unanswered requests and all records of attempts.
    fn restart_balancer(&mut self) {
        self.seed += 1;
        self.balancer = Balancer::new(self.settings.clone(), self.seed).expect("valid settings");
        self.requests.retain(|_, record| record.is_answered);
        for record in self.requests.values_mut() {
            record.attempts.clear();
        }
        self.timers.clear();
        self.connections = vec![Connections::default(); ENDPOINT_COUNT];
        self.apply_cached_list();
    }

    /// Has the balancer handle a cached list of the serving endpoints.
    pub fn apply_cached_list(&mut self) {
        let entries = self.serving_entries();
        self.apply_list(ListKind::Cached, entries);
    }

    fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointList {
            version: 1,
            kind,
            entries: entries.into(),
        });
    }

    fn serving_entries(&self) -> Vec<EndpointEntry> {
        (0..ENDPOINT_COUNT)
            .filter(|endpoint| self.is_serving[*endpoint])
            .map(|endpoint| self.entry(endpoint, Readiness::Serving))
            .collect()
    }

    fn entry(&self, endpoint: usize, readiness: Readiness) -> EndpointEntry {
        let name = format!("e{endpoint}");
        EndpointEntry {
            readiness,
            started_at: self.started_at[endpoint],
            ..endpoint_entry(&name, zone_of(endpoint), group_of(endpoint))
        }
    }

    /// Records the readiness that the next list has for an endpoint.
    fn record_readiness(&mut self, endpoint: usize, readiness: Readiness) {
        let connections = &mut self.connections[endpoint];
        if readiness == Readiness::Draining && !connections.is_draining {
            connections.idle_since = self.now;
        }
        connections.is_draining = readiness == Readiness::Draining
            || connections.is_draining && readiness == Readiness::Removed;
    }

    /// Has the balancer handle an event, and checks its actions and its count of attempts in flight.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
        self.check_in_flight_count();
    }

    /// Checks the balancer's count of attempts in flight. It includes attempts that have not ended, and timed-out
    /// attempts until the deadline of their request. An attempt that times out at or after that deadline may be counted
    /// until the next event.
    fn check_in_flight_count(&self) {
        let now = self.now;
        let count = |is_timed_out_counted: fn(Timestamp, Timestamp, Timestamp) -> bool| {
            let is_in_flight = |attempt: &&AttemptRecord, deadline: Timestamp| {
                attempt.ending.as_ref().is_none_or(|ending| {
                    ending.outcome == Outcome::TimedOut
                        && is_timed_out_counted(deadline, ending.at, now)
                })
            };
            let count_of_request = |record: &RequestRecord| {
                let attempts = record.attempts.iter();
                attempts
                    .filter(|attempt| is_in_flight(attempt, record.deadline))
                    .count()
            };
            self.requests.values().map(count_of_request).sum::<usize>()
        };
        let min = count(|deadline, _, now| deadline > now);
        let max = count(|deadline, ended_at, now| deadline > now || ended_at == now);
        let in_flight = self.balancer.status(now).in_flight;
        assert!(
            min <= in_flight && in_flight <= max,
            "{in_flight} in flight, expected {min} to {max}"
        );
    }

    /// Checks and records one action.
    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => self.check_send(&request, endpoint_index(&endpoint), timeout),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel);
                assert!(
                    attempt < self.requests[&request].attempts.len(),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::Reject { request, .. } => {
                self.rule_check().check_reject(&self.requests[&request]);
                self.record_final_answer(&request);
            }
            Action::Fail { request } => self.record_final_answer(&request),
            Action::SetTimer { at, token } => {
                assert!(at > self.now);
                self.timers.insert((at, token));
            }
            Action::HealthCheck { .. } => assert!(self.settings.limits.health_checks),
            Action::SendPeerMessage { .. } => assert!(self.settings.limits.peer_messages),
            Action::CloseIdleConnections { endpoint } => {
                self.connections[endpoint_index(&endpoint)].is_idle = false;
            }
            Action::Subscribe | Action::Unsubscribe | Action::FetchList | Action::Log(_) => {}
        }
    }

    fn check_send(&mut self, request: &RequestId, endpoint: usize, timeout: Option<Duration>) {
        assert!(
            self.is_serving[endpoint],
            "rule 3: sent to an endpoint that is not serving"
        );
        let now = self.now;
        let record = &self.requests[request];
        let rules = self.rule_check();
        rules.check_key_order(record, &self.requests);
        assert!(!record.is_answered, "rule 1: sent after the final answer");
        assert!(record.attempts.len() < self.settings.limits.max_attempts);
        if !self.settings.limits.parallel_attempts {
            assert!(
                record
                    .attempts
                    .iter()
                    .all(|attempt| attempt.ending.is_some()),
                "parallel attempts although the limits forbid them"
            );
        }
        rules.check_resend(record, endpoint);
        self.connections[endpoint].idle_since = now;
        let record = self.record_mut(request);
        let deadline = record.deadline;
        record.attempts.push(AttemptRecord {
            endpoint,
            sent_at: now,
            times_out_at: timeout.map_or(deadline, |timeout| (now + timeout).min(deadline)),
            ending: None,
        });
    }

    fn rule_check(&self) -> RuleCheck<'_> {
        RuleCheck {
            settings: &self.settings,
            now: self.now,
        }
    }

    /// Records the final answer of a request, and checks rule 1: there is exactly one, in time.
    fn record_final_answer(&mut self, request: &RequestId) {
        let latest = self.requests[request].deadline + self.settings.rules.answer_slack;
        assert!(self.now <= latest, "rule 1: the final answer is late");
        let record = self.record_mut(request);
        assert!(!record.is_answered, "rule 1: a second final answer");
        record.is_answered = true;
    }

    fn record_mut(&mut self, request: &RequestId) -> &mut RequestRecord {
        self.requests
            .get_mut(request)
            .expect("a request that arrived")
    }

    /// Ends an attempt with an outcome.
    fn end_attempt(&mut self, id: &RequestId, attempt: usize, outcome: Outcome, queue_length: f64) {
        let now = self.now;
        let record = self.record_mut(id);
        record.attempts[attempt].ending = Some(AttemptEnding { outcome, at: now });
        record.is_answered |= outcome == Outcome::Served;
        let request_ended = record.is_answered;
        let elapsed = now.since(record.attempts[attempt].sent_at);
        let endpoint = record.attempts[attempt].endpoint;
        let connections = &mut self.connections[endpoint];
        (connections.is_idle, connections.idle_since) = (true, now);
        let report = LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        };
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id.clone(),
            attempt,
            outcome,
            elapsed,
            request_ended,
            report: Some(report),
        }));
    }

    /// Returns the attempts that have not ended, in order of their timeouts.
    fn attempts_in_flight(&self) -> Vec<AttemptInFlight> {
        let mut in_flight = Vec::new();
        for (id, record) in &self.requests {
            let attempts = record.attempts.iter().enumerate();
            let not_ended = attempts.filter(|(_, attempt)| attempt.ending.is_none());
            in_flight.extend(not_ended.map(|(number, attempt)| AttemptInFlight {
                times_out_at: attempt.times_out_at,
                request: id.clone(),
                number,
            }));
        }
        in_flight.sort();
        in_flight
    }

    /// Advances the clock, and processes timeouts and timers in order.
    pub fn run_to(&mut self, end: Timestamp) {
        loop {
            let timed_out = self.attempts_in_flight().into_iter().next();
            let timed_out = timed_out.filter(|attempt| attempt.times_out_at <= end);
            let timer = self.timers.first().copied().filter(|(at, _)| *at <= end);
            match (timed_out, timer) {
                (Some(attempt), timer)
                    if timer.is_none_or(|(timer_at, _)| attempt.times_out_at <= timer_at) =>
                {
                    self.now = self.now.max(attempt.times_out_at);
                    self.end_attempt(&attempt.request, attempt.number, Outcome::TimedOut, 0.0);
                }
                (_, Some((at, token))) => {
                    self.timers.remove(&(at, token));
                    self.now = self.now.max(at);
                    self.handle(Event::Timer { token });
                }
                _ => break,
            }
            self.check_idle_connections();
        }
        self.now = self.now.max(end);
        self.check_idle_connections();
    }

    /// Checks rule 6: an idle connection to a draining endpoint is closed in time.
    fn check_idle_connections(&self) {
        let limit = self
            .settings
            .rules
            .drain_close
            .expect("a limit on idle connections");
        let connections = self.connections.iter();
        for endpoint_connections in connections.filter(|c| c.is_idle && c.is_draining) {
            assert!(
                self.now.since(endpoint_connections.idle_since) <= limit,
                "rule 6: an idle connection to a draining endpoint stays open"
            );
        }
    }
}

/// An attempt that has not ended. Attempts are ordered by timeout, request and number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptInFlight {
    times_out_at: Timestamp,
    request: RequestId,
    number: AttemptNumber,
}
