//! The state that a balancer keeps for each request and its attempts. No decision is made here.

use super::endpoint::{Endpoint, EndpointIndex};
use super::event::{Outcome, Request};
use super::id::{GroupId, ZoneId};
use super::time::Timestamp;

/// A request that is unanswered or has attempts in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// Its priority level.
    pub(super) level: usize,
    /// The time after which an answer has no value.
    pub(super) useful_until: Timestamp,
    /// The time at which it gets its final answer if it is still queued.
    pub(super) queue_deadline: Timestamp,
    pub(super) attempts: Vec<Attempt>,
    pub(super) is_answered: bool,
    /// A part of its body was forwarded and not retained. It cannot be sent again.
    pub(super) is_body_consumed: bool,
    /// The slow start clock has already counted its next send.
    pub(super) has_advanced_slow_start: bool,
}

impl PendingRequest {
    /// Creates a request without attempts.
    pub(super) fn new(
        request: Request,
        level: usize,
        useful_until: Timestamp,
        queue_deadline: Timestamp,
    ) -> Self {
        PendingRequest {
            request,
            level,
            useful_until,
            queue_deadline,
            attempts: Vec::new(),
            is_answered: false,
            is_body_consumed: false,
            has_advanced_slow_start: false,
        }
    }

    /// Returns the attempts that may have run, the oldest first.
    pub(super) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.state != AttemptState::NotRun)
    }

    /// Returns whether any attempt has not ended.
    pub(super) fn has_attempts_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }
}

/// One send of a request to one endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointIndex,
    pub(super) sent_at: Timestamp,
    pub(super) state: AttemptState,
}

/// The state of an attempt, which tells whether it has ended and whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    NotRun,
    MayHaveRun,
}

impl AttemptState {
    /// Returns the state of an attempt that ended with an outcome.
    pub(super) fn after(outcome: Outcome) -> Self {
        if outcome.proves_not_run() {
            AttemptState::NotRun
        } else {
            AttemptState::MayHaveRun
        }
    }
}

/// The endpoints that the next attempt of a request may go to.
#[derive(Debug)]
pub(super) enum RetryScope {
    Anywhere,
    Zone(ZoneId),
    Group(GroupId),
}

impl RetryScope {
    /// Returns whether an endpoint is in the scope.
    pub(super) fn contains(&self, endpoint: &Endpoint) -> bool {
        match self {
            RetryScope::Anywhere => true,
            RetryScope::Zone(zone) => endpoint.zone == *zone,
            RetryScope::Group(group) => endpoint.group == *group,
        }
    }
}
