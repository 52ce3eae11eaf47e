//! The places that attempts take at their endpoints. No decision is made here.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::Outcome;
use super::pending::PendingRequest;
use super::time::Timestamp;

impl Balancer {
    /// An attempt takes a place.
    pub(super) fn add_in_flight(&mut self, index: EndpointIndex) {
        self.attempts_in_flight += 1;
        self.endpoints[index].in_flight += 1;
    }

    /// Frees the attempt's place at its endpoint. Most servers go on with one that timed out all the same, so
    /// that its place is free only at its deadline.
    pub(super) fn end_in_flight(
        &mut self,
        index: EndpointIndex,
        pending: &PendingRequest,
        outcome: Outcome,
    ) {
        if outcome != Outcome::TimedOut {
            return self.remove_in_flight(index);
        }
        let until = pending.request.deadline;
        let position = self
            .timed_out_attempts
            .partition_point(|(other, _)| *other <= until);
        self.timed_out_attempts.insert(position, (until, index));
    }

    fn remove_in_flight(&mut self, index: EndpointIndex) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        self.endpoints[index].in_flight = self.endpoints[index].in_flight.saturating_sub(1);
    }

    /// Frees the places of attempts that timed out and are past their deadlines.
    pub(super) fn remove_timed_out(&mut self, now: Timestamp) {
        while let Some((_, index)) = self
            .timed_out_attempts
            .pop_front_if(|(until, _)| *until <= now)
        {
            self.remove_in_flight(index);
        }
    }
}
