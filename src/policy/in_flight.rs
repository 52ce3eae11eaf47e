//! The counts of attempts in flight.

use super::endpoint::EndpointIndex;
use super::endpoint_table::EndpointTable;
use super::event::Outcome;
use super::time::Timestamp;
use std::collections::VecDeque;

/// Counts attempts in flight, in total and at each endpoint. They include timed-out attempts that may still run.
#[derive(Debug, Default)]
pub(super) struct AttemptsInFlight {
    count: u32,
    /// Timed-out attempts in order of their deadlines.
    timed_out: VecDeque<TimedOutAttempt>,
}

#[derive(Debug)]
struct TimedOutAttempt {
    deadline: Timestamp,
    endpoint: EndpointIndex,
}

impl AttemptsInFlight {
    /// Returns the number of attempts in flight.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Counts an attempt that was sent.
    pub(super) fn add(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex) {
        self.count += 1;
        endpoints[endpoint].in_flight += 1;
    }

    /// Ends an attempt. A timed-out attempt stays in flight until the deadline of its request, because most servers
    /// continue to process it.
    pub(super) fn end(
        &mut self,
        endpoints: &mut EndpointTable,
        endpoint: EndpointIndex,
        outcome: Outcome,
        deadline: Timestamp,
    ) {
        if outcome != Outcome::TimedOut {
            return self.remove(endpoints, endpoint);
        }
        let position = self
            .timed_out
            .partition_point(|other| other.deadline <= deadline);
        self.timed_out
            .insert(position, TimedOutAttempt { deadline, endpoint });
    }

    /// Removes the timed-out attempts whose deadlines have passed.
    pub(super) fn remove_expired(&mut self, endpoints: &mut EndpointTable, now: Timestamp) {
        while let Some(expired) = self
            .timed_out
            .pop_front_if(|attempt| attempt.deadline <= now)
        {
            self.remove(endpoints, expired.endpoint);
        }
    }

    /// Returns the endpoints of timed-out attempts that still count as in flight.
    pub(super) fn timed_out_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.timed_out.iter().map(|attempt| attempt.endpoint)
    }

    fn remove(&mut self, endpoints: &mut EndpointTable, endpoint: EndpointIndex) {
        self.count = self.count.saturating_sub(1);
        let at_endpoint = &mut endpoints[endpoint].in_flight;
        *at_endpoint = at_endpoint.saturating_sub(1);
    }
}
