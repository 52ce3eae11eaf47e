//! The metrics since the process started, which the operators' `STATS` command reports.

use crate::policy::Class;
use hyper::StatusCode;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

/// The numbers of final answers to the requests of one class.
#[derive(Debug, Default)]
struct ClassMetrics {
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// The numbers of final answers to the requests of all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnsweredRequests {
    /// Requests that an endpoint answered.
    pub completed: u64,
    /// Requests answered 429 or 503.
    pub rejected: u64,
    /// Requests answered with any other status.
    pub failed: u64,
}

/// The metrics since the process started.
#[derive(Debug, Default)]
pub struct Metrics {
    /// The counters of each class, by its name. A class that a reload removes keeps its counters.
    classes: BTreeMap<String, Rc<ClassMetrics>>,
    /// The number of requests that have been received completely and not answered.
    pending: Rc<Cell<u64>>,
    /// The number of attempts that were written completely.
    written_attempts: Rc<Cell<u64>>,
    /// The number of configurations applied on SIGHUP.
    reloads: u64,
    /// The number of configurations rejected on SIGHUP.
    reload_errors: u64,
}

/// The numbers of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EndpointCounts {
    /// Endpoints that discovery lists.
    pub listed: usize,
    /// Listed endpoints that currently get no requests.
    pub unavailable: usize,
    /// Listed endpoints whose processes have ended while the list may be outdated.
    pub suspended: usize,
}

/// The state of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListMetrics {
    /// The version of the list, or 0 if there is no list from the current discovery service.
    pub version: u64,
    /// The time for which no watch has confirmed that the list is current, or zero while one does.
    pub unconfirmed_for: Duration,
    /// The number of watches opened since the start.
    pub watches_opened: u64,
    /// The number of failed discovery calls and lost watches since the start.
    pub discovery_failures: u64,
}

impl ListMetrics {
    /// Returns [`ListMetrics::unconfirmed_for`] in whole milliseconds.
    pub fn unconfirmed_ms(&self) -> u64 {
        u64::try_from(self.unconfirmed_for.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Tracks one request. Counts it as pending from [`RequestTracker::mark_received`] until the tracker is dropped, and
/// counts its final answer once.
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
    /// Adds classes. They are reported from then on, even before their first request.
    pub fn add_classes(&mut self, classes: &[Class]) {
        for class in classes {
            self.class(&class.name);
        }
    }

    /// Returns the counters of a class, which are created if there are none.
    fn class(&mut self, name: &str) -> Rc<ClassMetrics> {
        match self.classes.get(name) {
            Some(class) => class.clone(),
            None => self.classes.entry(name.into()).or_default().clone(),
        }
    }

    /// Starts to track a request of a class.
    pub fn begin_request(&mut self, class: &str) -> RequestTracker {
        RequestTracker {
            class: self.class(class),
            pending: self.pending.clone(),
            is_received: false,
        }
    }

    /// Returns the counter of attempts that were written completely.
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

    /// Returns the numbers of requests answered so far.
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

    /// Appends the metrics to `text`, one per line.
    pub fn write(&self, endpoints: &EndpointCounts, list: &ListMetrics, text: &mut String) {
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
            ("members", endpoints.listed as u64),
            ("members_unavailable", endpoints.unavailable as u64),
            ("members_suspended", endpoints.suspended as u64),
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
    /// Marks the request as received completely. It is pending from then on.
    pub fn mark_received(&mut self) {
        if !std::mem::replace(&mut self.is_received, true) {
            increment(&self.pending);
        }
    }

    /// Counts the request by the status of its final answer. A request that was not received completely is counted if
    /// it is completed or rejected, but not if it fails.
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

/// Stops counting the request as pending. A tracker is dropped without a final answer if the client has disconnected.
impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.is_received {
            self.pending.set(self.pending.get() - 1);
        }
    }
}
