//! The event loop of a load. It sends requests that are due, receives responses, and expires requests after their
//! deadline.

use super::connection::{Connection, ConnectionError};
use super::connection_table::{ConnectionTable, PendingRequest, Token};
use super::plan::LoadPlan;
use super::poller::{Poller, Readiness};
use super::request::{RequestIds, RequestTemplate};
use super::response::Response;
use super::result::TargetResult;
use super::schedule::{Arrival, Schedule};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::time::{Duration, Instant};

/// The time after its deadline at which a request without a response expires.
const EXPIRY_GRACE: Duration = Duration::from_millis(500);
/// The size of the buffer for one read from a socket.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Served,
    Rejected,
    Failed,
    Unanswered,
}

/// The expiry of a request, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Duration,
    /// The connection that carries the request.
    token: Token,
    /// The request's number.
    number: u64,
}

/// A running load. All times are counted from its start.
pub(super) struct EventLoop<'a> {
    plan: &'a LoadPlan,
    started: Instant,
    schedule: Schedule,
    poller: Poller,
    connections: ConnectionTable,
    /// The expiries, earliest first. An entry stays after its request has ended and is skipped later.
    expiries: BinaryHeap<Reverse<Expiry>>,
    ids: RequestIds,
    templates: Vec<RequestTemplate>,
    /// The number of requests that were due so far, with those of the warm-up.
    requests_started: u64,
    measured_in_flight: usize,
    results: Vec<TargetResult>,
    buffer: Box<[u8]>,
}

impl<'a> EventLoop<'a> {
    pub fn new(plan: &'a LoadPlan) -> io::Result<Self> {
        let rates = plan.targets.iter().map(|target| target.calls_per_second);
        Ok(EventLoop {
            plan,
            started: Instant::now(),
            schedule: Schedule::new(rates, plan.warm_up + plan.duration, plan.seed),
            poller: Poller::new()?,
            connections: ConnectionTable::new(plan.targets.len()),
            expiries: BinaryHeap::new(),
            ids: RequestIds::new(plan.seed),
            templates: plan.targets.iter().map(RequestTemplate::new).collect(),
            requests_started: 0,
            measured_in_flight: 0,
            results: plan.targets.iter().map(|_| TargetResult::new()).collect(),
            buffer: vec![0; READ_BUFFER_BYTES].into(),
        })
    }

    /// Runs the load until no more requests are due and all measured ones have ended.
    pub fn run(mut self) -> io::Result<Vec<TargetResult>> {
        let mut ready = Vec::new();
        self.started = Instant::now();
        loop {
            self.send_due();
            self.expire_requests();
            if self.schedule.next_due().is_none() && self.measured_in_flight == 0 {
                return Ok(self.results);
            }
            let timeout = self.next_wake().saturating_sub(self.now());
            self.poller.wait(timeout, &mut ready)?;
            for readiness in &ready {
                self.advance(*readiness);
                self.send_due(); // handling many responses must not delay requests that become due meanwhile
            }
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the time at which the next request is due or expires.
    fn next_wake(&mut self) -> Duration {
        let connections = &self.connections;
        while self
            .expiries
            .peek()
            .is_some_and(|Reverse(expiry)| !connections.carries(expiry.token, expiry.number))
        {
            self.expiries.pop();
        }
        let expiry = self.expiries.peek().map(|Reverse(expiry)| expiry.at);
        let due = self.schedule.next_due();
        due.into_iter().chain(expiry).min().unwrap_or(Duration::MAX)
    }

    fn send_due(&mut self) {
        loop {
            let now = self.now();
            let Some(arrival) = self.schedule.take_due(now) else {
                return;
            };
            self.start_request(arrival, now);
        }
    }

    fn start_request(&mut self, arrival: Arrival, now: Duration) {
        let is_measured = arrival.due >= self.plan.warm_up;
        if is_measured {
            let result = &mut self.results[arrival.target];
            result.requests += 1;
            result.max_send_delay = result.max_send_delay.max(now - arrival.due);
            self.measured_in_flight += 1;
        }
        self.requests_started += 1;
        let pending = PendingRequest {
            number: self.requests_started,
            target: arrival.target,
            due: arrival.due,
            is_measured,
            is_resent: false,
        };
        match self.connections.take_idle(arrival.target) {
            Some(token) => self.send(token, pending),
            None => self.send_on_new_connection(pending),
        }
    }

    fn send_on_new_connection(&mut self, pending: PendingRequest) {
        match self.open(pending.target) {
            Ok(token) => self.send(token, pending),
            Err(_) => self.record_outcome(pending, Outcome::Failed),
        }
    }

    fn open(&mut self, target: usize) -> io::Result<Token> {
        let connection = Connection::open(self.plan.targets[target].address)?;
        self.results[target].connections += 1;
        let token = self.connections.insert(connection, target);
        let Some(open) = self.connections.get_mut(token) else {
            return Ok(token);
        };
        if let Err(error) = self.poller.watch(&open.connection, token) {
            self.connections.remove(token);
            return Err(error);
        }
        Ok(token)
    }

    fn send(&mut self, token: Token, pending: PendingRequest) {
        let Some(open) = self.connections.get_mut(token) else {
            return;
        };
        open.pending = Some(pending);
        let id = self.ids.id(pending.number);
        let request = self.templates[pending.target].render(&id);
        let sent = open.connection.send(request);
        let at = pending.due + self.plan.targets[pending.target].deadline + EXPIRY_GRACE;
        self.expiries.push(Reverse(Expiry {
            at,
            token,
            number: pending.number,
        }));
        if let Err(error) = sent {
            self.lose_connection(token, &error);
        }
    }

    fn advance(&mut self, readiness: Readiness) {
        let token = readiness.token;
        let Some(open) = self.connections.get_mut(token) else {
            return;
        };
        match open
            .connection
            .advance(&mut self.buffer, readiness.has_hung_up)
        {
            Ok(None) => {}
            Ok(Some(response)) => self.handle_response(token, response),
            Err(error) => self.lose_connection(token, &error),
        }
    }

    fn handle_response(&mut self, token: Token, response: Response) {
        let pending = self
            .connections
            .get_mut(token)
            .and_then(|open| open.pending);
        if pending.is_some() && response.keep_alive {
            self.connections.mark_idle(token);
        } else {
            self.connections.remove(token); // also if no request was in flight
        }
        let Some(pending) = pending else { return };
        let outcome = match response.status {
            200 => Outcome::Served,
            429 | 503 => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        self.record_outcome(pending, outcome);
    }

    /// Handles the loss of a connection. Its request is sent again, once, if the connection was a reused one and was
    /// closed before the first byte of the response: the peer may have closed it as idle.
    fn lose_connection(&mut self, token: Token, error: &ConnectionError) {
        let Some(lost) = self.connections.remove(token) else {
            return;
        };
        let Some(pending) = lost.pending else {
            return;
        };
        let was_idle_close =
            matches!(error, ConnectionError::ClosedBeforeResponse) && lost.connection.is_reused();
        if was_idle_close && !pending.is_resent {
            self.send_on_new_connection(PendingRequest {
                is_resent: true,
                ..pending
            });
        } else {
            self.record_outcome(pending, Outcome::Failed);
        }
    }

    fn expire_requests(&mut self) {
        let now = self.now();
        while let Some(Reverse(expiry)) = self
            .expiries
            .peek()
            .copied()
            .filter(|Reverse(expiry)| expiry.at <= now)
        {
            self.expiries.pop();
            if !self.connections.carries(expiry.token, expiry.number) {
                continue;
            }
            let expired = self.connections.remove(expiry.token);
            if let Some(pending) = expired.and_then(|open| open.pending) {
                self.record_outcome(pending, Outcome::Unanswered);
            }
        }
    }

    fn record_outcome(&mut self, pending: PendingRequest, outcome: Outcome) {
        if !pending.is_measured {
            return;
        }
        self.measured_in_flight -= 1;
        let latency = self.now().saturating_sub(pending.due);
        let result = &mut self.results[pending.target];
        match outcome {
            Outcome::Served => result.record_served(latency),
            Outcome::Rejected => result.rejected += 1,
            Outcome::Failed => result.failed += 1,
            Outcome::Unanswered => result.unanswered += 1,
        }
    }
}
