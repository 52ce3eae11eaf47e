//! The client of discovery: the whole list when it is asked for, and watches on its changes.
//!
//! The client holds no list itself. What it receives goes to a [`ListConsumer`], which feeds it to its decision
//! module and asks for calls ([`fetch`]) and watches ([`watch`], [`follow_agent`]) as the module says. All of them
//! run on the current thread and need a [`tokio::task::LocalSet`].

mod backoff;
mod client;
mod list;
mod patient_call;

pub use backoff::Backoff;
pub use client::{fetch, follow_agent, watch};
pub use list::{EndpointList, Entry, Status};

use hyper::StatusCode;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// One discovery that a configuration names, or named: an address under one generation of the configuration. What it
/// tells is told apart from what the next one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Where it listens.
    pub address: SocketAddr,
    /// Counted up whenever a reload moves discovery.
    pub generation: u64,
}

/// What lists, watches and failures are reported to.
pub trait ListConsumer: Clone + 'static {
    /// The version of the list that this source gave, which its changes may follow on.
    fn held_version(&self, source: Source) -> Option<u64>;

    /// Discovery has sent the whole list, or what has changed.
    ///
    /// # Errors
    /// It is older than what the source told before, and nothing of it is taken.
    fn list_received(&self, source: Source, list: EndpointList) -> Result<(), OlderList>;

    /// A watch is open.
    fn watch_opened(&self, source: Source);

    /// A call failed, or a watch was lost, of which the decision module is to hear.
    fn discovery_failed(&self, source: Source);

    /// A watch ended or could not be opened, for consumers that count them; that of an agent is told here alone.
    fn watch_ended(&self, _source: Source, _failure: &DiscoveryError) {}

    /// A call for the whole list alone failed, for consumers that count them.
    fn fetch_failed(&self, _source: Source, _failure: &DiscoveryError) {}

    /// A call has no answer yet, and another is made beside it; for consumers that count or log them.
    fn call_is_late(&self, _source: Source) {}

    /// The seed of the jitter between calls: another for each sidecar of a fleet, lest they call in step.
    fn jitter_seed(&self) -> u64;

    /// A line of the log.
    fn log(&self, line: fmt::Arguments<'_>);
}

/// A list that is older than what its source told before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it tells what is older than what it told before")]
pub struct OlderList;

/// Why a call of discovery failed, or a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection could be made.
    #[error(transparent)]
    Connect(io::Error),
    /// The request could not be formed.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or did not speak HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// It answered with another status than 200.
    #[error("discovery answered {0}")]
    Status(StatusCode),
    /// Nothing came for as long as [`DISCOVERY_TIMEOUT`](crate::api::DISCOVERY_TIMEOUT).
    #[error("deadline has elapsed")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    /// It ended the watch.
    #[error("discovery closed it")]
    Closed,
    /// What came is no list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A list is longer than any fleet needs.
    #[error("a list is too long")]
    TooLong,
    /// A list is older than what was told before.
    #[error(transparent)]
    OlderList(#[from] OlderList),
}
