//! The places that attempts take at their endpoints. No decision is made here.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::Outcome;
use super::pending::PendingRequest;
use super::time::Timestamp;

impl Balancer {
    /// An attempt takes a place.
    pub(super) fn take_place(&mut self, e: EndpointIndex) {
        self.attempts_in_flight += 1;
        self.endpoints[e].in_flight += 1;
    }

    /// Frees the attempt's place at its endpoint. Most servers go on with one that timed out all the same, so
    /// that its place is free only at its deadline.
    pub(super) fn free_or_await(
        &mut self,
        e: EndpointIndex,
        pending: &PendingRequest,
        outcome: Outcome,
    ) {
        if outcome != Outcome::TimedOut {
            return self.free_place(e);
        }
        let until = pending.request.deadline;
        let position = self
            .overdue_attempts
            .partition_point(|(other, _)| *other <= until);
        self.overdue_attempts.insert(position, (until, e));
    }

    fn free_place(&mut self, e: EndpointIndex) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        self.endpoints[e].in_flight = self.endpoints[e].in_flight.saturating_sub(1);
    }

    /// Frees the places of attempts that timed out and are past their deadlines.
    pub(super) fn free_overdue(&mut self, now: Timestamp) {
        while let Some((_, e)) = self
            .overdue_attempts
            .pop_front_if(|(until, _)| *until <= now)
        {
            self.free_place(e);
        }
    }
}
