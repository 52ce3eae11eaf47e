//! What an instance keeps of each request and its attempts. No decision is made here.

use super::endpoint::{Endpoint, EndpointIndex};
use super::event::Request;
use super::id::{GroupId, ZoneId};
use super::time::Timestamp;

/// A request that is unanswered or has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// Its worth level.
    pub(super) level: usize,
    /// An answer after this earns nothing.
    pub(super) useful_until: Timestamp,
    /// It is refused if it has not been sent by then.
    pub(super) queue_deadline: Timestamp,
    pub(super) attempts: Vec<Attempt>,
    pub(super) is_answered: bool,
    /// Part of its body was sent on and is kept nowhere.
    pub(super) body_is_consumed: bool,
    /// The cold ramp's clock has counted its next send already.
    pub(super) has_advanced_slow_start: bool,
}

impl PendingRequest {
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
            body_is_consumed: false,
            has_advanced_slow_start: false,
        }
    }

    /// Its attempts that may have run, oldest first.
    pub(super) fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.state != AttemptState::NotRun)
    }

    pub(super) fn has_attempts_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.state == AttemptState::InFlight)
    }
}

/// One send of a request to an endpoint.
pub(super) struct Attempt {
    pub(super) endpoint: EndpointIndex,
    pub(super) sent_at: Timestamp,
    pub(super) state: AttemptState,
}

/// How far an attempt is, and whether it may have run.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    NotRun,
    MayHaveRun,
}

/// The endpoints that a further attempt may go to.
pub(super) enum RetryScope {
    Anywhere,
    Zone(ZoneId),
    Group(GroupId),
}

impl RetryScope {
    pub(super) fn allows(&self, endpoint: &Endpoint) -> bool {
        match self {
            RetryScope::Anywhere => true,
            RetryScope::Zone(zone) => endpoint.zone == *zone,
            RetryScope::Group(group) => endpoint.group == *group,
        }
    }
}
