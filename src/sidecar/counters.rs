//! Counts for the log: what has happened since its last line of counts.

use super::metrics::AnsweredRequests;
use crate::policy::Outcome;
use std::fmt;

/// How attempts may end, and the names of these ends in the log.
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

/// Counts since the last line.
#[derive(Default, PartialEq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests refused here and not shown to the module: no room for them, or for their connection.
    pub rejected_early: u64,
    /// Clients that left before their answer.
    pub disconnected: u64,
    /// Connections opened to endpoints.
    pub connects: u64,
    /// Probes that ended.
    pub health_checks: u64,
    /// Load reports that the module was given.
    pub reports: u64,
    outcomes: [u64; OUTCOME_NAMES.len()],
    /// The figures at the last line.
    answered_before: AnsweredRequests,
}

/// The counts of one line, with how requests were answered meanwhile.
#[derive(PartialEq)]
pub struct CountsLine {
    counters: Counters,
    answered: AnsweredRequests,
}

impl Counters {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        let position = OUTCOME_NAMES.iter().position(|(o, _)| *o == outcome);
        if let Some(position) = position {
            self.outcomes[position] += 1;
        }
    }

    /// Takes the counts for a line, and begins anew with the figures as they now are.
    pub fn take(&mut self, answered: AnsweredRequests) -> CountsLine {
        let next = Counters {
            answered_before: answered,
            ..Counters::default()
        };
        CountsLine {
            counters: std::mem::replace(self, next),
            answered,
        }
    }
}

impl CountsLine {
    /// Whether nothing has happened.
    pub fn is_empty(&self) -> bool {
        self.counters
            == Counters {
                answered_before: self.answered,
                ..Counters::default()
            }
    }
}

/// The fields are described in README.md.
impl fmt::Display for CountsLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = &self.counters;
        let (now, before) = (&self.answered, &counters.answered_before);
        write!(
            f,
            "requests={} turned_away={}",
            counters.taken, counters.rejected_early
        )?;
        write!(f, " served={}", now.completed - before.completed)?;
        write!(f, " refused={}", now.rejected - before.rejected)?;
        write!(f, " failed={}", now.failed - before.failed)?;
        write!(
            f,
            " disconnected={} connects={}",
            counters.disconnected, counters.connects
        )?;
        write!(
            f,
            " probes={} reports={} attempts",
            counters.health_checks, counters.reports
        )?;
        let seen = OUTCOME_NAMES
            .iter()
            .zip(&counters.outcomes)
            .filter(|(_, count)| **count > 0);
        seen.map(|((_, name), count)| (name, count))
            .try_for_each(|(name, count)| write!(f, " {name}={count}"))
    }
}
