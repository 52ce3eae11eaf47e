//! Metrics since the process started, as the operators' `STATS` call reports them.

use crate::policy::Class;
use hyper::StatusCode;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

/// The final answers of one class's requests.
#[derive(Debug, Default)]
struct ClassMetrics {
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// Final answers over all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnsweredRequests {
    /// Answered by an endpoint.
    pub completed: u64,
    /// Answered 429 or 503.
    pub rejected: u64,
    /// Answered with any other status.
    pub failed: u64,
}

/// Metrics since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By the class's name. A class that a reload removes keeps its counts.
    classes: BTreeMap<String, Rc<ClassMetrics>>,
    /// Requests received whole and not answered.
    pending: Rc<Cell<u64>>,
    /// Attempts that were written whole.
    written_attempts: Rc<Cell<u64>>,
    /// Configurations applied on SIGHUP.
    reloads: u64,
    /// Configurations rejected on SIGHUP.
    reload_errors: u64,
}

/// How many endpoints there are.
#[derive(Clone, Copy, Debug)]
pub struct MemberCounts {
    /// Endpoints that discovery lists.
    pub listed: usize,
    /// Those of them that get no requests now.
    pub unavailable: usize,
    /// Those of them whose processes have ended, while the list may be old.
    pub suspended: usize,
}

/// How current the endpoint list is.
#[derive(Clone, Copy, Debug)]
pub struct ListMetrics {
    /// The version of the list; 0 without one from the current discovery.
    pub version: u64,
    /// For how long no watch has shown the list to be current; zero while one does.
    pub unconfirmed_for: Duration,
    /// Watches opened since the start.
    pub watches_opened: u64,
    /// Calls that failed and watches that were lost since the start.
    pub discovery_failures: u64,
}

impl ListMetrics {
    /// Returns [`ListMetrics::unconfirmed_for`] in whole milliseconds.
    pub fn unconfirmed_ms(&self) -> u64 {
        u64::try_from(self.unconfirmed_for.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A request that is counted once, at its end.
#[derive(Debug)]
pub struct RequestTracker {
    class: Rc<ClassMetrics>,
    pending: Rc<Cell<u64>>,
    is_received: bool,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Metrics {
    /// Adds classes, which are reported from now on, also before their first request.
    pub fn add_classes(&mut self, classes: &[Class]) {
        for class in classes {
            self.class(&class.name);
        }
    }

    fn class(&mut self, name: &str) -> Rc<ClassMetrics> {
        match self.classes.get(name) {
            Some(class) => class.clone(),
            None => self.classes.entry(name.into()).or_default().clone(),
        }
    }

    /// Begins the count of a request of a class.
    pub fn begin_request(&mut self, class: &str) -> RequestTracker {
        RequestTracker {
            class: self.class(class),
            pending: self.pending.clone(),
            is_received: false,
        }
    }

    /// Returns the counter of attempts that were written whole.
    pub fn written_attempts(&self) -> Rc<Cell<u64>> {
        self.written_attempts.clone()
    }

    /// Counts a configuration that was applied.
    pub fn reload_succeeded(&mut self) {
        self.reloads += 1;
    }

    /// Counts a configuration that was not applied.
    pub fn reload_failed(&mut self) {
        self.reload_errors += 1;
    }

    /// Returns how requests were answered so far.
    pub fn answered(&self) -> AnsweredRequests {
        let sum = |counter: fn(&ClassMetrics) -> &Cell<u64>| {
            let counts = self.classes.values().map(|class| counter(class).get());
            counts.sum()
        };
        AnsweredRequests {
            completed: sum(|class| &class.completed),
            rejected: sum(|class| &class.rejected),
            failed: sum(|class| &class.failed),
        }
    }

    /// Writes the metrics, one a line.
    pub fn write(&self, members: &MemberCounts, list: &ListMetrics, text: &mut String) {
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
            for (metric, count) in by_answer {
                let _ = writeln!(text, "app_{metric}{{lane=\"{label}\"}} {}", count.get());
            }
        }
        for (metric, value) in [
            ("upstream_requests", self.written_attempts.get()),
            ("pending", self.pending.get()),
            ("members", members.listed as u64),
            ("members_unavailable", members.unavailable as u64),
            ("members_suspended", members.suspended as u64),
            ("list_version", list.version),
            ("list_unconfirmed_ms", list.unconfirmed_ms()),
            ("discovery_watches", list.watches_opened),
            ("discovery_failures", list.discovery_failures),
            ("config_reloads", self.reloads),
            ("config_reload_errors", self.reload_errors),
        ] {
            let _ = writeln!(text, "app_{metric} {value}");
        }
    }
}

impl RequestTracker {
    /// Marks the request as received whole: from now on it is pending.
    pub fn mark_received(&mut self) {
        if !std::mem::replace(&mut self.is_received, true) {
            increment(&self.pending);
        }
    }

    /// Counts the request by the status of its final answer. One that fails before it was received whole is not counted;
    /// one that is rejected before that is.
    pub fn end(self, status: StatusCode) {
        match status {
            StatusCode::OK => increment(&self.class.completed),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                increment(&self.class.rejected);
            }
            _ if self.is_received => increment(&self.class.failed),
            _ => {}
        }
    }
}

/// A request that is dropped without an answer is one whose client has disconnected.
impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.is_received {
            self.pending.set(self.pending.get() - 1);
        }
    }
}
