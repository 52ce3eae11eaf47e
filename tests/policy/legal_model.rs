//! The model of `legal.rs`: random steps, a book of requests, attempts and endpoints, and the rules checked on it.

use crate::host::*;
use balancer_sidecar::policy::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// One step of a sequence: an event, or time that passes.
#[derive(Clone, Debug)]
pub enum Step {
    Arrive {
        class: usize,
        left: u64,
        hint: Option<u64>,
        key: Option<u8>,
    },
    End {
        pick: usize,
        outcome: usize,
        queue_length: u8,
    },
    Gone {
        pick: usize,
    },
    Ready {
        endpoint: usize,
        readiness: u8,
    },
    List {
        missing: usize,
    },
    Restart {
        endpoint: usize,
    },
    LostNews,
    Reborn,
    Wait {
        ms: u64,
    },
}

/// Sequences of up to 199 steps.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5usize, 1..2500u64, prop::option::of(0..200u64), prop::option::of(0..3u8))
            .prop_map(|(class, left, hint, key)| Step::Arrive { class, left, hint, key }),
        8 => (0..64usize, 0..8usize, 0..6u8).prop_map(|(pick, outcome, queue_length)| Step::End { pick, outcome, queue_length }),
        1 => (0..64usize).prop_map(|pick| Step::Gone { pick }),
        1 => (0..6usize, 0..3u8).prop_map(|(endpoint, readiness)| Step::Ready { endpoint, readiness }),
        1 => (0..6usize).prop_map(|missing| Step::List { missing }),
        1 => (0..6usize).prop_map(|endpoint| Step::Restart { endpoint }),
        1 => Just(Step::LostNews),
        1 => Just(Step::Reborn),
        5 => (0..300u64).prop_map(|ms| Step::Wait { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// The outcomes of attempts, as [`Step::End`] numbers them.
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
pub struct Try {
    endpoint: usize,
    sent: Timestamp,
    until: Timestamp,
    ended: Option<(Outcome, Timestamp)>,
}

impl Try {
    /// Whether it may have run, or may run yet.
    fn suspect(&self) -> bool {
        self.ended.is_none_or(|(o, _)| !o.proves_not_run())
    }
}

/// The connections of this instance to one endpoint, as rule 6 sees them.
#[derive(Clone, Default)]
pub struct Links {
    idle: bool,
    told: bool,
    since: Timestamp,
}

/// A request that has come, and what has become of it.
pub struct Known {
    pub class: usize,
    pub key: Option<u8>,
    pub taken: usize,
    pub deadline: Timestamp,
    pub tries: Vec<Try>,
    pub over: bool,
}

/// The module under test, and a book of its surroundings against which each action is checked.
pub struct World {
    pub set: Settings,
    pub balancer: Balancer,
    pub now: Timestamp,
    pub up: Vec<bool>,
    pub since: Vec<Option<Timestamp>>,
    pub requests: BTreeMap<RequestId, Known>,
    pub timers: BTreeSet<(Timestamp, u64)>,
    pub links: Vec<Links>,
    pub parallel: bool,
    pub seed: u64,
}

/// Rule 5: nothing for a request while an earlier one of its key is unfinished, out or just given up.
fn check_order(
    set: &Settings,
    requests: &BTreeMap<RequestId, Known>,
    ours: &Known,
    now: Timestamp,
) {
    let takes_turns = |k: &Known| set.classes[k.class].is_key_ordered && k.key.is_some();
    if !takes_turns(ours) {
        return;
    }
    let earlier = |k: &&Known| takes_turns(k) && k.key == ours.key && k.taken < ours.taken;
    for other in requests.values().filter(earlier) {
        assert!(other.over, "rule 5: sent before an earlier one was over");
        for t in &other.tries {
            let (outcome, ended) = t.ended.expect("rule 5: sent while an earlier one was out");
            let runs_on = matches!(
                outcome,
                Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            );
            let pause = set.rules.key_cooldown.unwrap_or_default();
            assert!(
                !runs_on || now.since(ended) >= pause || !ours.tries.is_empty(),
                "rule 5: no rest"
            );
        }
    }
}

impl World {
    /// The entry of an endpoint in a list.
    pub fn entry(&self, i: usize, readiness: Readiness) -> EndpointEntry {
        let zone = if i < 4 { "a" } else { "b" };
        let entry = listing(&format!("e{i}"), zone, (i / 2) as u64);
        EndpointEntry {
            readiness,
            started_at: self.since[i],
            ..entry
        }
    }

    /// Gives an event to the module, and checks its actions and what it says is in flight.
    pub fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
        // The book of what is out: attempts that have not ended, and those timed out, which run on until their deadline.
        // What reaches that at this very event may go with the next one.
        let now = self.now;
        let count = |also: fn(Timestamp, Timestamp, Timestamp) -> bool| {
            let is_out = |t: &&Try, deadline: Timestamp| {
                t.ended
                    .is_none_or(|(o, at)| o == Outcome::TimedOut && also(deadline, at, now))
            };
            let tries = |k: &Known| k.tries.iter().filter(|t| is_out(t, k.deadline)).count();
            self.requests.values().map(tries).sum::<usize>()
        };
        let due = count(|deadline, _, now| deadline > now);
        let most = count(|deadline, ended, now| deadline > now || ended == now);
        let in_flight = self.balancer.status(now).in_flight;
        assert!(
            due <= in_flight && in_flight <= most,
            "{in_flight} are in flight, for {due} to {most}"
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
                assert!(self.up[e], "rule 3: sent to an endpoint that is not up");
                let now = self.now;
                let (zone, cell) = (|i: usize| i < 4, |i: usize| i / 2);
                check_order(&self.set, &self.requests, &self.requests[&request], now);
                self.links[e].since = now;
                let known = self
                    .requests
                    .get_mut(&request)
                    .expect("a request that came");
                assert!(!known.over, "rule 1: sent after the final answer");
                assert!(known.tries.len() < self.set.limits.max_attempts);
                let mut suspects = known.tries.iter().filter(|t| t.suspect());
                if !self.parallel {
                    assert!(
                        known.tries.iter().all(|t| t.ended.is_some()),
                        "two attempts out together"
                    );
                }
                match self.set.classes[known.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::Unsafe => {
                        assert!(suspects.next().is_none(), "rule 2: unsafe sent again");
                    }
                    Idempotency::Keyed { scope, window } => {
                        for s in suspects {
                            assert!(now.since(s.sent) < window, "rule 2: past the window");
                            let same = match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => zone(s.endpoint) == zone(e),
                                KeyScope::Group => cell(s.endpoint) == cell(e),
                            };
                            assert!(same, "rule 2: outside the group");
                        }
                    }
                }
                let until = timeout.map_or(known.deadline, |t| (now + t).min(known.deadline));
                known.tries.push(Try {
                    endpoint: e,
                    sent: now,
                    until,
                    ended: None,
                });
            }
            Action::Cancel { request, attempt } => {
                assert!(self.set.limits.cancel);
                assert!(
                    attempt < self.requests[&request].tries.len(),
                    "an attempt that was made"
                );
            }
            Action::Reject { request, .. } => {
                let now = self.now;
                let known = self
                    .requests
                    .get_mut(&request)
                    .expect("a request that came");
                let mut suspects = known.tries.iter().filter(|t| t.suspect());
                match self.set.classes[known.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::Keyed {
                        scope: KeyScope::All,
                        window,
                    } => {
                        assert!(
                            suspects.all(|s| now.since(s.sent) < window),
                            "rule 2: refused past the window"
                        );
                    }
                    _ => assert!(
                        suspects.next().is_none(),
                        "rule 2: refused what may have run"
                    ),
                }
                self.answer(&request);
            }
            Action::Fail { request } => self.answer(&request),
            Action::SetTimer { at, token } => {
                assert!(at > self.now);
                self.timers.insert((at, token));
            }
            Action::HealthCheck { .. } => assert!(self.set.limits.health_checks),
            Action::SendPeerMessage { .. } => assert!(self.set.limits.peers),
            Action::CloseIdleConnections { endpoint } => {
                let e: usize = endpoint.0[1..]
                    .parse()
                    .expect("an endpoint that was listed");
                self.links[e].idle = false;
            }
            Action::Subscribe | Action::Unsubscribe | Action::FetchList | Action::Log(_) => {}
        }
    }

    /// Books the final answer of a request; rule 1: there is one, in time.
    fn answer(&mut self, request: &RequestId) {
        let known = self.requests.get_mut(request).expect("a request that came");
        assert!(!known.over, "rule 1: a second final answer");
        assert!(
            self.now <= known.deadline + self.set.rules.answer_slack,
            "rule 1: late"
        );
        known.over = true;
    }

    /// Ends an attempt with this outcome, and tells the module.
    pub fn end(&mut self, id: &RequestId, attempt: usize, outcome: Outcome, queue_length: f64) {
        let now = self.now;
        let known = self.requests.get_mut(id).expect("known");
        known.tries[attempt].ended = Some((outcome, now));
        let links = &mut self.links[known.tries[attempt].endpoint];
        (links.idle, links.since) = (true, now);
        let took = now.since(known.tries[attempt].sent);
        known.over |= outcome == Outcome::Served;
        let request_ended = known.over;
        let report = Some(LoadReport {
            queue_length: Some(queue_length),
            ..LoadReport::default()
        });
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: id.clone(),
            attempt,
            outcome,
            took,
            request_ended,
            report,
        }));
    }

    /// The attempts that have not ended, with when each times out, the earliest first.
    pub fn out(&self) -> Vec<(Timestamp, RequestId, usize)> {
        let mut out = Vec::new();
        for (id, known) in &self.requests {
            let open = known
                .tries
                .iter()
                .enumerate()
                .filter(|(_, t)| t.ended.is_none());
            out.extend(open.map(|(n, t)| (t.until, id.clone(), n)));
        }
        out.sort();
        out
    }

    /// Time-outs and timers up to a moment, in order.
    pub fn run_to(&mut self, end: Timestamp) {
        loop {
            let timeout = self.out().into_iter().next().filter(|(at, ..)| *at <= end);
            let timer = self.timers.first().copied().filter(|(at, _)| *at <= end);
            match (timeout, timer) {
                (Some((at, id, n)), t) if t.is_none_or(|(t, _)| at <= t) => {
                    self.now = self.now.max(at);
                    self.end(&id, n, Outcome::TimedOut, 0.0);
                }
                (_, Some((at, token))) => {
                    self.timers.remove(&(at, token));
                    self.now = self.now.max(at);
                    self.tell(Event::Timer { token });
                }
                _ => break,
            }
            self.check_links();
        }
        self.now = self.now.max(end);
        self.check_links();
    }

    /// Rule 6: an idle connection to a draining endpoint is closed in time.
    fn check_links(&self) {
        let within = self.set.rules.drain_close.expect("set here");
        for links in self.links.iter().filter(|l| l.idle && l.told) {
            assert!(
                self.now.since(links.since) <= within,
                "rule 6: an idle connection stays open"
            );
        }
    }

    /// Books what the module is about to be told of an endpoint.
    pub fn told(&mut self, endpoint: usize, readiness: Readiness) {
        let links = &mut self.links[endpoint];
        if readiness == Readiness::Draining && !links.told {
            links.since = self.now;
        }
        links.told =
            readiness == Readiness::Draining || links.told && readiness == Readiness::Removed;
    }

    /// The instance is killed and starts anew, knowing nothing.
    pub fn reborn(&mut self) {
        self.seed += 1;
        self.balancer =
            Balancer::new(self.set.clone(), self.seed).expect("settings that make sense");
        self.requests.retain(|_, k| k.over);
        self.requests.values_mut().for_each(|k| k.tries.clear());
        self.timers.clear();
        self.links = vec![Links::default(); 6];
        let all = (0..6)
            .filter(|i| self.up[*i])
            .map(|i| self.entry(i, Readiness::Serving))
            .collect();
        self.members(ListKind::Cached, all);
    }

    /// Tells the module that discovery is lost.
    pub fn discovery_failed(&mut self) {
        self.tell(Event::DiscoveryFailed);
    }

    /// Tells the module a list of endpoints, or changes to it.
    pub fn members(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.tell(Event::EndpointList {
            version: 1,
            kind,
            entries: entries.into(),
        });
    }
}
