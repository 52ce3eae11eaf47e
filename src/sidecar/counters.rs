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

/// The reason why a request is rejected before the balancer receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyRejection {
    /// Callers have all the descriptors that they may use.
    Descriptors,
    /// The memory budget is exhausted.
    Memory,
    /// The limit of unanswered requests is reached.
    OpenRequests,
}

/// The reason why the sidecar closes a caller's connection by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerClose {
    /// Another connection needs its descriptor.
    Evicted,
    /// It was accepted, and there was no descriptor to answer it.
    Unread,
    /// A head was not complete in time.
    HeadTimeout,
    /// It was idle for too long.
    IdleTimeout,
    /// The client did not read for too long.
    WriteTimeout,
}

/// The reasons of early rejections and their names in the log.
const REJECTION_NAMES: [(EarlyRejection, &str); 3] = [
    (EarlyRejection::Descriptors, "descriptors"),
    (EarlyRejection::Memory, "memory"),
    (EarlyRejection::OpenRequests, "open_requests"),
];

/// The reasons of closes and their names in the log.
const CLOSE_NAMES: [(CallerClose, &str); 5] = [
    (CallerClose::Evicted, "evicted"),
    (CallerClose::Unread, "unread"),
    (CallerClose::HeadTimeout, "head_timeout"),
    (CallerClose::IdleTimeout, "idle"),
    (CallerClose::WriteTimeout, "write_timeout"),
];

/// Counters of events since the last counters line.
#[derive(Debug, Default, PartialEq)]
pub struct Counters {
    received: u64,
    /// The number of requests that were rejected early by reason, in the order of [`REJECTION_NAMES`].
    rejected_early: [u64; REJECTION_NAMES.len()],
    /// The number of callers' connections that the sidecar closed by reason, in the order of [`CLOSE_NAMES`].
    callers_closed: [u64; CLOSE_NAMES.len()],
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

    /// Counts a request that was rejected before it reached the balancer.
    pub fn request_rejected_early(&mut self, reason: EarlyRejection) {
        count(&REJECTION_NAMES, &mut self.rejected_early, &reason);
    }

    /// Counts a caller's connection that the sidecar closes by itself.
    pub fn caller_closed(&mut self, reason: CallerClose) {
        count(&CLOSE_NAMES, &mut self.callers_closed, &reason);
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
        count(&OUTCOME_NAMES, &mut self.outcomes, &outcome);
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
        let rejected_early: u64 = counters.rejected_early.iter().sum();
        write!(f, " rejected_early={rejected_early}")?;
        write!(f, " served={}", now.completed - before.completed)?;
        write!(f, " rejected={}", now.rejected - before.rejected)?;
        write!(f, " failed={}", now.failed - before.failed)?;
        write!(f, " disconnected={}", counters.disconnected)?;
        write!(f, " connects={}", counters.connections_opened)?;
        write!(f, " health_checks={}", counters.health_checks)?;
        write!(f, " reports={}", counters.load_reports)?;
        write_counts(f, "attempts", &OUTCOME_NAMES, &counters.outcomes)?;
        write_counts(f, "early", &REJECTION_NAMES, &counters.rejected_early)?;
        write_counts(f, "closed", &CLOSE_NAMES, &counters.callers_closed)
    }
}

/// Counts one event of a kind.
fn count<Kind: PartialEq, const N: usize>(
    names: &[(Kind, &str); N],
    counts: &mut [u64; N],
    kind: &Kind,
) {
    if let Some(position) = names.iter().position(|(named, _)| named == kind) {
        counts[position] += 1;
    }
}

/// Writes the counts above 0, each under its name.
fn write_counts<Kind, const N: usize>(
    f: &mut fmt::Formatter<'_>,
    prefix: &str,
    names: &[(Kind, &str); N],
    counts: &[u64; N],
) -> fmt::Result {
    for ((_, name), count) in names.iter().zip(counts) {
        if *count > 0 {
            write!(f, " {prefix}_{name}={count}")?;
        }
    }
    Ok(())
}
