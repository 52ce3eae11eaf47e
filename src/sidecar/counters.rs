//! Counters of events since the last counters line of the log.

use super::metrics::AnsweredRequests;
use crate::policy::{LoadReport, Outcome};
use std::fmt;

/// The outcomes of attempts and their names in the log.
const OUTCOME_NAMES: [(Outcome, &str); 8] = [
    (Outcome::Served, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "rejected"),
    (Outcome::TimedOut, "timeout"),
    (Outcome::ConnectFailed, "connect"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

/// Counters of events since the last counters line.
#[derive(Debug, Default, PartialEq)]
pub struct Counters {
    received: u64,
    rejected_early: u64,
    disconnected: u64,
    connections_opened: u64,
    health_checks: u64,
    load_reports: u64,
    /// The number of attempts by outcome, in the order of [`OUTCOME_NAMES`].
    outcomes: [u64; OUTCOME_NAMES.len()],
    /// The totals of answered requests at the last line.
    answered_before: AnsweredRequests,
}

/// The content of one counters line.
#[derive(Debug, PartialEq)]
pub struct CountersLine {
    counters: Counters,
    /// The totals of answered requests at this line.
    answered: AnsweredRequests,
}

impl Counters {
    /// Counts a request that was submitted to the balancer.
    pub fn request_received(&mut self) {
        self.received += 1;
    }

    /// Counts a request that was rejected before it reached the balancer, because the limit of unanswered requests, of
    /// connections or of buffered bytes was reached.
    pub fn request_rejected_early(&mut self) {
        self.rejected_early += 1;
    }

    /// Counts a client that disconnected before its request was answered.
    pub fn client_disconnected(&mut self) {
        self.disconnected += 1;
    }

    /// Counts a connection opened to an endpoint.
    pub fn connection_opened(&mut self) {
        self.connections_opened += 1;
    }

    /// Counts a health check that has ended.
    pub fn health_check_ended(&mut self, report: Option<&LoadReport>) {
        self.health_checks += 1;
        self.load_reports += u64::from(report.is_some());
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome, report: Option<&LoadReport>) {
        self.load_reports += u64::from(report.is_some());
        let position = OUTCOME_NAMES
            .iter()
            .position(|(named, _)| *named == outcome);
        if let Some(position) = position {
            self.outcomes[position] += 1;
        }
    }

    /// Returns the counters since the last line and resets them. `answered` are the current totals.
    pub fn take(&mut self, answered: AnsweredRequests) -> CountersLine {
        let next = Counters {
            answered_before: answered,
            ..Counters::default()
        };
        CountersLine {
            counters: std::mem::replace(self, next),
            answered,
        }
    }

    /// Returns how many clients disconnected since the last line.
    #[cfg(test)]
    pub fn disconnected(&self) -> u64 {
        self.disconnected
    }
}

impl CountersLine {
    /// Returns whether no event was counted.
    pub fn is_empty(&self) -> bool {
        self.counters
            == Counters {
                answered_before: self.answered,
                ..Counters::default()
            }
    }
}

/// The fields are described in README.md.
impl fmt::Display for CountersLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = &self.counters;
        let (now, before) = (&self.answered, &counters.answered_before);
        write!(f, "requests={}", counters.received)?;
        write!(f, " rejected_early={}", counters.rejected_early)?;
        write!(f, " served={}", now.completed - before.completed)?;
        write!(f, " rejected={}", now.rejected - before.rejected)?;
        write!(f, " failed={}", now.failed - before.failed)?;
        write!(f, " disconnected={}", counters.disconnected)?;
        write!(f, " connects={}", counters.connections_opened)?;
        write!(f, " health_checks={}", counters.health_checks)?;
        write!(f, " reports={}", counters.load_reports)?;
        for ((_, name), count) in OUTCOME_NAMES.iter().zip(&counters.outcomes) {
            if *count > 0 {
                write!(f, " attempts_{name}={count}")?;
            }
        }
        Ok(())
    }
}
