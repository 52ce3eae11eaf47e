//! What is counted in service, and the one line of the log that tells it.

use crate::node::{Answer, Handle};
use passproxy::api::Outcome;
use passproxy::choice::Census;
use std::fmt;
use std::time::Duration;
use tokio::time::sleep;

/// The least time between two lines: a busy sidecar writes some ten thousand a day.
const PERIOD: Duration = Duration::from_secs(5);

/// Counts since the last line.
#[derive(Default, PartialEq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests refused here and not shown to the module: no room for them, or for their connection.
    pub turned_away: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Clients that left before their answer.
    pub gone: u64,
    /// Connections opened to endpoints for attempts.
    pub connects: u64,
    /// Probes that ended.
    pub probes: u64,
    /// Load reports that the module was given.
    pub reports: u64,
    outcomes: [u64; 8],
}

const NAMES: [(Outcome, &str); 8] = [
    (Outcome::Served, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timeout"),
    (Outcome::ConnectFailed, "connect"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Moot, "moot"),
];

impl Counters {
    pub fn answered(&mut self, answer: &Answer) {
        *match answer {
            Answer::Served(_) => &mut self.served,
            Answer::Refused { .. } => &mut self.refused,
            Answer::Failed { .. } => &mut self.failed,
        } += 1;
    }

    pub fn ended(&mut self, outcome: Outcome) {
        let names = NAMES.iter().zip(&mut self.outcomes);
        names.filter(|((o, _), _)| *o == outcome).for_each(|(_, n)| *n += 1);
    }
}

/// The fields stand in README.md.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            taken,
            turned_away,
            served,
            refused,
            failed,
            gone,
            connects,
            probes,
            reports,
            outcomes,
        } = self;
        write!(f, "requests={taken} turned_away={turned_away} served={served} refused={refused}")?;
        write!(
            f,
            " failed={failed} gone={gone} connects={connects} probes={probes} reports={reports} attempts"
        )?;
        let seen = NAMES.iter().zip(outcomes).filter(|(_, n)| **n > 0);
        seen.map(|((_, name), n)| (name, n)).try_for_each(|(name, n)| write!(f, " {name}={n}"))
    }
}

/// Tells the counts of each period in which something happened, and how the module stands at its end.
pub async fn tell_each_period(node: Handle) {
    loop {
        sleep(PERIOD).await;
        tell(&node);
    }
}

/// Tells the counts since it last did, if there are any.
pub fn tell(node: &Handle) {
    let (counters, census, (callers, endpoints)) = {
        let mut node = node.borrow();
        let counters = std::mem::take(&mut node.counters);
        (counters, node.census(), node.pool.descriptors.held())
    };
    if counters == Counters::default() {
        return;
    }
    let Census { open, held, out, clear, gapping, discarding, informed } = census;
    eprintln!(
        "rowanway: counts {counters}; now open={open} held={held} out={out} callers={callers} \
         connections={endpoints} clear={clear} gapping={gapping} discarding={discarding} informed={informed}"
    );
}
