//! The events that a host reports to a balancer: endpoint lists, requests, ends of attempts and health checks, timers.

use super::id::{
    AttemptNumber, ClassId, EndpointId, GroupId, Key, MachineTypeId, PeerId, RequestId, TenantId,
    ZoneId,
};
use super::time::Timestamp;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// The readiness of an endpoint in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    Serving,
    /// It finishes the work that it has.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// The group that it belongs to.
    pub group: GroupId,
    /// Its readiness to take work.
    pub readiness: Readiness,
    /// The relative number of requests that it can take. For its source, see [`WeightSource`](super::WeightSource).
    pub weight: f64,
    /// The time at which its process last started; `None` if that is long ago.
    pub started_at: Option<Timestamp>,
}

/// The kind of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The full list. Endpoints that it does not name are removed.
    Full,
    /// A full list from before the start of the balancer, which may be outdated.
    Cached,
    /// Only the entries that have changed.
    Changes,
}

/// A load report; values that the endpoint does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in its queue.
    pub queue_length: Option<f64>,
    /// The number of requests in progress.
    pub in_flight: Option<f64>,
    /// The fraction of the CPU in use.
    pub utilisation: Option<f64>,
    /// The recent mean service time.
    pub mean_time: Option<Duration>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The endpoint answered with an error; the request may have run.
    Error,
    /// The endpoint rejected it without running it, because it is full or drains.
    Rejected,
    /// No answer came in time; the request may have run, or may still run.
    TimedOut,
    /// No connection was available: the endpoint is down or unreachable, or all connections are in use.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// It was cancelled; the request may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the request did not run.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// Its key, which identifies the object that it concerns.
    pub key: Option<Key>,
    /// The time at which the client stops waiting for an answer.
    pub deadline: Timestamp,
    /// The work that it is expected to need.
    pub cost_hint: Option<Duration>,
    /// True if it is marked as a client's retry.
    pub client_retry: bool,
    /// True if it is a write.
    pub write: bool,
}

/// The end of an attempt, as reported by [`Event::AttemptEnded`].
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// Its outcome.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Duration,
    /// True if the request has ended, by this attempt or earlier.
    pub request_ended: bool,
    /// The load report of the endpoint, if there was one.
    pub report: Option<LoadReport>,
}

/// An event that a host reports to a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or the changes in it.
    EndpointList {
        /// The version of the list.
        version: u64,
        /// The kind of the list.
        kind: ListKind,
        /// The entries; balancers of one host may share them.
        entries: Arc<[EndpointEntry]>,
    },
    /// Another process of the same sidecar has a newer list, which does not name these endpoints as serving any more.
    EndpointsRemoved {
        /// The entries that remove them.
        entries: Vec<EndpointEntry>,
    },
    /// A call of discovery failed, or the connection of the watch was lost.
    DiscoveryFailed,
    /// The watch was given up, because nothing was received on it although its connection stayed open.
    WatchSilent,
    /// A call has not reached discovery for a long time, and goes on.
    DiscoveryUnreachable,
    /// Discovery was reached and rejected a call, because it has too many calls.
    DiscoveryRejected,
    /// A call has reached discovery, and has not been answered for a long time.
    DiscoverySlow,
    /// The list is current again: data was received on a watch after a time without an open watch.
    ListConfirmed,
    /// No watch confirms any longer that the list is current.
    ListUnconfirmed {
        /// The time at which data was last received on a watch.
        since: Timestamp,
    },
    /// The list is overdue, and an attempt reached an endpoint whose process is unknown. The process of an endpoint is
    /// known if a connection proves that the listed process still runs. The endpoints with unknown processes are
    /// suspended.
    KnownProcessesReported {
        /// The endpoints with known processes.
        endpoints: HashSet<EndpointId>,
    },
    /// An endpoint refused a connection, or reset an idle one. Its process has ended, and any process that listens at
    /// its address from now on is a different one.
    ProcessEnded {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The operators disabled an endpoint. It is sent nothing, whatever lists say.
    EndpointDisabled(EndpointId),
    /// The operators enabled an endpoint.
    EndpointEnabled(EndpointId),
    /// A request arrived.
    Request(Request),
    /// A streamed answer has begun. The client's answer comes from this attempt from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt that streams the answer.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A part of the body was forwarded and not retained, and no further attempt is possible.
    BodyConsumed {
        /// The request.
        request: RequestId,
    },
    /// The client closed its connection, and no answer is needed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token of [`Action::SetTimer`](super::Action::SetTimer).
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Duration,
        /// The load report of the endpoint, if there was one.
        report: Option<LoadReport>,
    },
    /// A message from another balancer of the tier.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The message.
        data: Vec<u8>,
    },
}
