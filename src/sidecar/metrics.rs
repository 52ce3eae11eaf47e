//! Figures since the process started, as the operators read them. Each is counted where the thing happens.

use hyper::StatusCode;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// How requests of one class ended.
#[derive(Default)]
struct ClassMetrics {
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// Requests by their final answers, over all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnsweredRequests {
    /// Served by an endpoint.
    pub completed: u64,
    /// Answered 429 or 503.
    pub rejected: u64,
    /// Any other.
    pub failed: u64,
}

/// Figures since the process started.
#[derive(Default)]
pub struct Metrics {
    /// By the class's name; one that vanishes from the settings keeps its counts.
    classes: BTreeMap<String, Rc<ClassMetrics>>,
    pending: Rc<Cell<u64>>,
    /// Attempts of which all was written.
    pub attempts: Rc<Cell<u64>>,
    /// Configurations taken at SIGHUP.
    pub reloads: u64,
    /// Configurations turned down at SIGHUP.
    pub reload_errors: u64,
}

/// Endpoints in the list.
pub struct MemberCounts {
    /// All that are listed.
    pub listed: usize,
    /// Those of them that get nothing now.
    pub unavailable: usize,
}

/// A request on its way to its one count.
pub struct RequestCount {
    class: Rc<ClassMetrics>,
    pending: Rc<Cell<u64>>,
    is_whole: bool,
}

fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Metrics {
    /// Has these classes reported, also before their first request.
    pub fn add_classes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        names.for_each(|name| drop(self.class(name)));
    }

    fn class(&mut self, name: &str) -> Rc<ClassMetrics> {
        match self.classes.get(name) {
            Some(class) => class.clone(),
            None => self.classes.entry(name.into()).or_default().clone(),
        }
    }

    /// A request of a class has begun.
    pub fn begin(&mut self, class: &str) -> RequestCount {
        RequestCount {
            class: self.class(class),
            pending: self.pending.clone(),
            is_whole: false,
        }
    }

    /// How requests were answered so far.
    pub fn answered(&self) -> AnsweredRequests {
        let sum =
            |of: fn(&ClassMetrics) -> &Cell<u64>| self.classes.values().map(|c| of(c).get()).sum();
        AnsweredRequests {
            completed: sum(|class| &class.completed),
            rejected: sum(|class| &class.rejected),
            failed: sum(|class| &class.failed),
        }
    }

    /// Writes them, a line each.
    pub fn write(&self, members: &MemberCounts, text: &mut String) {
        for (name, class) in &self.classes {
            let label = name
                .replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n");
            let by_answer = [
                ("completed", &class.completed),
                ("rejected", &class.rejected),
                ("failed", &class.failed),
            ];
            for (figure, count) in by_answer {
                let _ = writeln!(text, "app_{figure}{{lane=\"{label}\"}} {}", count.get());
            }
        }
        for (figure, value) in [
            ("upstream_requests", self.attempts.get()),
            ("pending", self.pending.get()),
            ("members", members.listed as u64),
            ("members_unavailable", members.unavailable as u64),
            ("config_reloads", self.reloads),
            ("config_reload_errors", self.reload_errors),
        ] {
            let _ = writeln!(text, "app_{figure} {value}");
        }
    }
}

impl RequestCount {
    /// All of the request has come: from now on it is pending.
    pub fn set_whole(&mut self) {
        if !std::mem::replace(&mut self.is_whole, true) {
            add_one(&self.pending);
        }
    }

    /// Its final answer has this status. What fails before it was whole was no request, and is not counted; its refusal is
    /// one all the same.
    pub fn end(self, status: StatusCode) {
        match status {
            StatusCode::OK => add_one(&self.class.completed),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                add_one(&self.class.rejected);
            }
            _ if self.is_whole => add_one(&self.class.failed),
            _ => {}
        }
    }
}

/// One that is dropped without an end is a client's that has left.
impl Drop for RequestCount {
    fn drop(&mut self) {
        if self.is_whole {
            self.pending.set(self.pending.get() - 1);
        }
    }
}
