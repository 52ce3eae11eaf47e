//! The model of `legal.rs`: random steps, a book of requests, attempts and endpoints, and the rules checked on it.

use crate::host::*;
use balancer_sidecar::policy::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// One step of a sequence: an event, or time that passes.
#[derive(Clone, Debug)]
pub enum Step {
    RequestArrives {
        class: usize,
        left: u64,
        hint: Option<u64>,
        key: Option<u8>,
    },
    AttemptEnds {
        pick: usize,
        outcome: usize,
        queue_length: u8,
    },
    ClientDisconnects {
        pick: usize,
    },
    ReadinessChanges {
        endpoint: usize,
        readiness: u8,
    },
    FullListArrives {
        missing: usize,
    },
    EndpointRestarts {
        endpoint: usize,
    },
    DiscoveryFails,
    BalancerRestarts,
    TimePasses {
        ms: u64,
    },
}

/// Sequences of up to 199 steps.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5usize, 1..2500u64, prop::option::of(0..200u64), prop::option::of(0..3u8))
            .prop_map(|(class, left, hint, key)| Step::RequestArrives { class, left, hint, key }),
        8 => (0..64usize, 0..8usize, 0..6u8).prop_map(|(pick, outcome, queue_length)| Step::AttemptEnds { pick, outcome, queue_length }),
        1 => (0..64usize).prop_map(|pick| Step::ClientDisconnects { pick }),
        1 => (0..6usize, 0..3u8).prop_map(|(endpoint, readiness)| Step::ReadinessChanges { endpoint, readiness }),
        1 => (0..6usize).prop_map(|missing| Step::FullListArrives { missing }),
        1 => (0..6usize).prop_map(|endpoint| Step::EndpointRestarts { endpoint }),
        1 => Just(Step::DiscoveryFails),
        1 => Just(Step::BalancerRestarts),
        5 => (0..300u64).prop_map(|ms| Step::TimePasses { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// The outcomes of attempts, as [`Step::AttemptEnds`] numbers them.
pub const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// An attempt of a request.
pub struct AttemptRecord {
    endpoint: usize,
    sent_at: Timestamp,
    until: Timestamp,
    ended: Option<(Outcome, Timestamp)>,
}

impl AttemptRecord {
    /// Whether it may have run, or may run yet.
    fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|(o, _)| !o.proves_not_run())
    }
}

/// The connections of this instance to one endpoint, as rule 6 sees them.
#[derive(Clone, Default)]
pub struct IdleConnections {
    idle: bool,
    drain_notified: bool,
    started_at: Timestamp,
}

/// A request that has come, and what has become of it.
pub struct RequestRecord {
    pub class: usize,
    pub key: Option<u8>,
    pub arrival_number: usize,
    pub deadline: Timestamp,
    pub attempts: Vec<AttemptRecord>,
    pub is_answered: bool,
}

/// The module under test, and a book of its surroundings against which each action is checked.
pub struct Model {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Timestamp,
    pub is_serving: Vec<bool>,
    pub started_at: Vec<Option<Timestamp>>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub set_timers: BTreeSet<(Timestamp, u64)>,
    pub idle_connections: Vec<IdleConnections>,
    pub parallel: bool,
    pub seed: u64,
}

/// Rule 5: nothing for a request while an earlier one of its key is unfinished, out or just given up.
fn check_key_order(
    settings: &Settings,
    requests: &BTreeMap<RequestId, RequestRecord>,
    ours: &RequestRecord,
    now: Timestamp,
) {
    let is_ordered =
        |k: &RequestRecord| settings.classes[k.class].is_key_ordered && k.key.is_some();
    if !is_ordered(ours) {
        return;
    }
    let earlier = |k: &&RequestRecord| {
        is_ordered(k) && k.key == ours.key && k.arrival_number < ours.arrival_number
    };
    for other in requests.values().filter(earlier) {
        assert!(
            other.is_answered,
            "rule 5: sent before an earlier one was over"
        );
        for t in &other.attempts {
            let (outcome, ended) = t.ended.expect("rule 5: sent while an earlier one was out");
            let runs_on = matches!(
                outcome,
                Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            );
            let pause = settings.rules.key_cooldown.unwrap_or_default();
            assert!(
                !runs_on || now.since(ended) >= pause || !ours.attempts.is_empty(),
                "rule 5: no rest"
            );
        }
    }
}

impl Model {
    /// The entry of an endpoint in a list.
    pub fn entry(&self, i: usize, readiness: Readiness) -> EndpointEntry {
        let zone = if i < 4 { "a" } else { "b" };
        let entry = endpoint_entry(&format!("e{i}"), zone, (i / 2) as u64);
        EndpointEntry {
            readiness,
            started_at: self.started_at[i],
            ..entry
        }
    }

    /// Gives an event to the module, and checks its actions and what it says is in flight.
    pub fn handle(&mut self, event: Event) {
        let mut in_flight = Vec::new();
        self.balancer.handle(self.now, event, &mut in_flight);
        for action in in_flight {
            self.check(action);
        }
        // The book of what is out: attempts that have not ended, and those timed out, which run on until their deadline.
        // What reaches that at this very event may go with the next one.
        let now = self.now;
        let count = |also: fn(Timestamp, Timestamp, Timestamp) -> bool| {
            let is_out = |t: &&AttemptRecord, deadline: Timestamp| {
                t.ended
                    .is_none_or(|(o, at)| o == Outcome::TimedOut && also(deadline, at, now))
            };
            let attempts =
                |k: &RequestRecord| k.attempts.iter().filter(|t| is_out(t, k.deadline)).count();
            self.requests.values().map(attempts).sum::<usize>()
        };
        let due = count(|deadline, _, now| deadline > now);
        let max_seen = count(|deadline, ended, now| deadline > now || ended == now);
        let in_flight = self.balancer.status(now).in_flight;
        assert!(
            due <= in_flight && in_flight <= max_seen,
            "{in_flight} are in flight, for {due} to {max_seen}"
        );
    }

    /// Checks one action, and books it.
    fn check(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => {
                let e: usize = endpoint.0[1..]
                    .parse()
                    .expect("an endpoint that was listed");
                assert!(
                    self.is_serving[e],
                    "rule 3: sent to an endpoint that is not up"
                );
                let now = self.now;
                let (zone, cell) = (|i: usize| i < 4, |i: usize| i / 2);
                check_key_order(
                    &self.settings,
                    &self.requests,
                    &self.requests[&request],
                    now,
                );
                self.idle_connections[e].started_at = now;
                let record = self
                    .requests
                    .get_mut(&request)
                    .expect("a request that came");
                assert!(!record.is_answered, "rule 1: sent after the final answer");
                assert!(record.attempts.len() < self.settings.limits.max_attempts);
                let mut possible_runs = record.attempts.iter().filter(|t| t.may_have_run());
                if !self.parallel {
                    assert!(
                        record.attempts.iter().all(|t| t.ended.is_some()),
                        "two attempts out together"
                    );
                }
                match self.settings.classes[record.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::Unsafe => {
                        assert!(possible_runs.next().is_none(), "rule 2: unsafe sent again");
                    }
                    Idempotency::Keyed { scope, window } => {
                        for s in possible_runs {
                            assert!(now.since(s.sent_at) < window, "rule 2: past the window");
                            let same = match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => zone(s.endpoint) == zone(e),
                                KeyScope::Group => cell(s.endpoint) == cell(e),
                            };
                            assert!(same, "rule 2: outside the group");
                        }
                    }
                }
                let until = timeout.map_or(record.deadline, |t| (now + t).min(record.deadline));
                record.attempts.push(AttemptRecord {
                    endpoint: e,
                    sent_at: now,
                    until,
                    ended: None,
                });
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel);
                assert!(
                    attempt < self.requests[&request].attempts.len(),
                    "an attempt that was made"
                );
            }
            Action::Reject { request, .. } => {
                let now = self.now;
                let record = self
                    .requests
                    .get_mut(&request)
                    .expect("a request that came");
                let mut possible_runs = record.attempts.iter().filter(|t| t.may_have_run());
                match self.settings.classes[record.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::Keyed {
                        scope: KeyScope::All,
                        window,
                    } => {
                        assert!(
                            possible_runs.all(|s| now.since(s.sent_at) < window),
                            "rule 2: refused past the window"
                        );
                    }
                    _ => assert!(
                        possible_runs.next().is_none(),
                        "rule 2: refused what may have run"
                    ),
                }
                self.answer(&request);
            }
            Action::Fail { request } => self.answer(&request),
            Action::SetTimer { at, token } => {
                assert!(at > self.now);
                self.set_timers.insert((at, token));
            }
            Action::HealthCheck { .. } => assert!(self.settings.limits.health_checks),
            Action::SendPeerMessage { .. } => assert!(self.settings.limits.peers),
            Action::CloseIdleConnections { endpoint } => {
                let e: usize = endpoint.0[1..]
                    .parse()
                    .expect("an endpoint that was listed");
                self.idle_connections[e].idle = false;
            }
            Action::Subscribe | Action::Unsubscribe | Action::FetchList | Action::Log(_) => {}
        }
    }

    /// Books the final answer of a request; rule 1: there is one, in time.
    fn answer(&mut self, request: &RequestId) {
        let record = self.requests.get_mut(request).expect("a request that came");
        assert!(!record.is_answered, "rule 1: a second final answer");
        assert!(
            self.now <= record.deadline + self.settings.rules.answer_slack,
            "rule 1: late"
        );
        record.is_answered = true;
    }

    /// Ends an attempt with this outcome, and tells the module.
    pub fn end(&mut self, id: &RequestId, attempt: usize, outcome: Outcome, queue_length: f64) {
        let now = self.now;
        let record = self.requests.get_mut(id).expect("known");
        record.attempts[attempt].ended = Some((outcome, now));
        let idle_connections = &mut self.idle_connections[record.attempts[attempt].endpoint];
        (idle_connections.idle, idle_connections.started_at) = (true, now);
        let took = now.since(record.attempts[attempt].sent_at);
        record.is_answered |= outcome == Outcome::Served;
        let request_ended = record.is_answered;
        let report = Some(LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        });
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id.clone(),
            attempt,
            outcome,
            took,
            request_ended,
            report,
        }));
    }

    /// The attempts that have not ended, with when each times out, the earliest first.
    pub fn in_flight(&self) -> Vec<(Timestamp, RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (id, record) in &self.requests {
            let open = record
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.ended.is_none());
            in_flight.extend(open.map(|(n, t)| (t.until, id.clone(), n)));
        }
        in_flight.sort();
        in_flight
    }

    /// Time-outs and timers up to a moment, in order.
    pub fn run_to(&mut self, end: Timestamp) {
        loop {
            let timeout = self
                .in_flight()
                .into_iter()
                .next()
                .filter(|(at, ..)| *at <= end);
            let timer = self
                .set_timers
                .first()
                .copied()
                .filter(|(at, _)| *at <= end);
            match (timeout, timer) {
                (Some((at, id, n)), t) if t.is_none_or(|(t, _)| at <= t) => {
                    self.now = self.now.max(at);
                    self.end(&id, n, Outcome::TimedOut, 0.0);
                }
                (_, Some((at, token))) => {
                    self.set_timers.remove(&(at, token));
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

    /// Rule 6: an idle connection to a draining endpoint is closed in time.
    fn check_idle_connections(&self) {
        let within = self.settings.rules.drain_close.expect("set here");
        for idle_connections in self
            .idle_connections
            .iter()
            .filter(|l| l.idle && l.drain_notified)
        {
            assert!(
                self.now.since(idle_connections.started_at) <= within,
                "rule 6: an idle connection stays open"
            );
        }
    }

    /// Books what the module is about to be told of an endpoint.
    pub fn drain_notified(&mut self, endpoint: usize, readiness: Readiness) {
        let idle_connections = &mut self.idle_connections[endpoint];
        if readiness == Readiness::Draining && !idle_connections.drain_notified {
            idle_connections.started_at = self.now;
        }
        idle_connections.drain_notified = readiness == Readiness::Draining
            || idle_connections.drain_notified && readiness == Readiness::Removed;
    }

    /// The instance is killed and starts anew, knowing nothing.
    pub fn restart_balancer(&mut self) {
        self.seed += 1;
        self.balancer =
            Balancer::new(self.settings.clone(), self.seed).expect("settings that make sense");
        self.requests.retain(|_, k| k.is_answered);
        self.requests.values_mut().for_each(|k| k.attempts.clear());
        self.set_timers.clear();
        self.idle_connections = vec![IdleConnections::default(); 6];
        let all = (0..6)
            .filter(|i| self.is_serving[*i])
            .map(|i| self.entry(i, Readiness::Serving))
            .collect();
        self.apply_list(ListKind::Cached, all);
    }

    /// Tells the module that discovery is lost.
    pub fn discovery_failed(&mut self) {
        self.handle(Event::DiscoveryFailed);
    }

    /// Tells the module a list of endpoints, or changes to it.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointList {
            version: 1,
            kind,
            entries: entries.into(),
        });
    }
}
