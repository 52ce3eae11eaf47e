//! What is counted in service: figures since the start, for the second address, and the line of the log that tells
//! what has come since the last one. Both are fed by the same counts.

use crate::node::Handle;
use hyper::StatusCode;
use passproxy::api::Outcome;
use passproxy::choice::Census;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The least time between two lines: a busy sidecar writes some ten thousand a day.
const PERIOD: Duration = Duration::from_secs(5);

// ---- Figures since the start -----------------------------------------------------------------------------

/// How requests of one class ended.
#[derive(Default)]
struct Lane {
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// Figures since the process started. Each is counted where the thing happens.
#[derive(Default)]
pub struct Figures {
    /// By the class's name; one that vanishes from the settings keeps its counts.
    lanes: BTreeMap<String, Rc<Lane>>,
    pending: Rc<Cell<u64>>,
    /// Attempts of which all was written.
    pub attempts: Rc<Cell<u64>>,
    pub reloads: u64,
    pub reload_errors: u64,
}

fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// A request on its way to its one count.
pub struct Ticket {
    lane: Rc<Lane>,
    pending: Rc<Cell<u64>>,
    whole: bool,
}

impl Figures {
    /// Has these classes told of, also before their first request.
    pub fn name<'a>(&mut self, classes: impl Iterator<Item = &'a str>) {
        classes.for_each(|class| drop(self.lane(class)));
    }

    fn lane(&mut self, class: &str) -> Rc<Lane> {
        match self.lanes.get(class) {
            Some(lane) => lane.clone(),
            None => self.lanes.entry(class.into()).or_default().clone(),
        }
    }

    /// A request of a class has begun.
    pub fn begin(&mut self, class: &str) -> Ticket {
        Ticket { lane: self.lane(class), pending: self.pending.clone(), whole: false }
    }

    /// Served, refused and failed, over all classes.
    fn ended(&self) -> [u64; 3] {
        let sum = |of: fn(&Lane) -> &Cell<u64>| self.lanes.values().map(|lane| of(lane).get()).sum();
        [sum(|l| &l.completed), sum(|l| &l.rejected), sum(|l| &l.failed)]
    }

    /// Writes them, a line each, as the operators read them.
    pub fn write(&self, members: usize, unavailable: usize, text: &mut String) {
        use fmt::Write as _;
        for (class, lane) in &self.lanes {
            let class = class.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            for (name, count) in
                [("completed", &lane.completed), ("rejected", &lane.rejected), ("failed", &lane.failed)]
            {
                let _ = writeln!(text, "app_{name}{{lane=\"{class}\"}} {}", count.get());
            }
        }
        for (name, value) in [
            ("upstream_requests", self.attempts.get()),
            ("pending", self.pending.get()),
            ("members", members as u64),
            ("members_unavailable", unavailable as u64),
            ("config_reloads", self.reloads),
            ("config_reload_errors", self.reload_errors),
        ] {
            let _ = writeln!(text, "app_{name} {value}");
        }
    }
}

impl Ticket {
    /// All of the request has come: from now on it is pending.
    pub fn is_whole(&mut self) {
        if !std::mem::replace(&mut self.whole, true) {
            add_one(&self.pending);
        }
    }

    /// Its final answer has this status. What fails before it was whole was no request, and is not counted; its
    /// refusal is one all the same.
    pub fn end(self, status: StatusCode) {
        match status {
            StatusCode::OK => add_one(&self.lane.completed),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => add_one(&self.lane.rejected),
            _ if self.whole => add_one(&self.lane.failed),
            _ => {}
        }
    }
}

/// One that is dropped without an end is a client's that has left.
impl Drop for Ticket {
    fn drop(&mut self) {
        if self.whole {
            self.pending.set(self.pending.get() - 1);
        }
    }
}

// ---- The line of the log ---------------------------------------------------------------------------------

/// Counts since the last line.
#[derive(Default, PartialEq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests refused here and not shown to the module: no room for them, or for their connection.
    pub turned_away: u64,
    /// Clients that left before their answer.
    pub gone: u64,
    /// Connections opened to endpoints for attempts.
    pub connects: u64,
    /// Probes that ended.
    pub probes: u64,
    /// Load reports that the module was given.
    pub reports: u64,
    outcomes: [u64; 8],
    /// The figures at the last line: served, refused and failed.
    told: [u64; 3],
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
    pub fn ended(&mut self, outcome: Outcome) {
        let names = NAMES.iter().zip(&mut self.outcomes);
        names.filter(|((o, _), _)| *o == outcome).for_each(|(_, n)| *n += 1);
    }
}

/// The fields stand in README.md. How requests ended is of the figures, not of the counts.
struct Line {
    counters: Counters,
    ended: [u64; 3],
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters { taken, turned_away, gone, connects, probes, reports, outcomes, told } = &self.counters;
        let [served, refused, failed] = [0, 1, 2].map(|n| self.ended[n] - told[n]);
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
    let (line, census, (callers, endpoints)) = {
        let mut node = node.borrow();
        let ended = node.figures.ended();
        let counters = std::mem::take(&mut node.counters);
        node.counters.told = ended;
        (Line { counters, ended }, node.census(), node.pool.descriptors.held())
    };
    if line.counters == (Counters { told: line.ended, ..Counters::default() }) {
        return;
    }
    let Census { open, held, out, clear, gapping, discarding, informed, avoided } = census;
    log!(
        "counts {line}; now open={open} held={held} out={out} callers={callers} \
         connections={endpoints} clear={clear} gapping={gapping} discarding={discarding} informed={informed} avoided={avoided}"
    );
}
