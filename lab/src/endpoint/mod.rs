//! Stand-ins for the servers of a tier: cores, a queue, service times, a cold ramp, load reports and probes.

use crate::discovery::EndpointEntry;
use crate::topology::{EndpointName, ZoneName};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;

/// How long an endpoint works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// It answers at once.
    None,
    /// Always the same time.
    Fixed {
        /// In milliseconds.
        milliseconds: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Its mean, in milliseconds.
        mean_milliseconds: f64,
    },
}

/// How an endpoint's capacity grows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRamp {
    /// The part of its full capacity that it starts with.
    pub from: f64,
    /// How long it takes to warm up, in milliseconds.
    pub milliseconds: u64,
}

/// How an endpoint behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointOptions {
    /// Requests that it works on at once.
    pub cores: u32,
    /// Requests that may wait; any further one is turned away with 503 and `X-Not-Run: 1`.
    pub queue: u32,
    /// How long it works on a request.
    pub service_time: ServiceTime,
    /// How its capacity grows after its start.
    pub cold_ramp: Option<ColdRamp>,
    /// Whether its answers carry a load report, and probes are answered.
    pub load_reports: bool,
    /// Bytes of an answer's body.
    pub answer_bytes: usize,
    /// Share of the requests that are answered 500 after their work.
    #[serde(default)]
    pub error_share: f64,
}

/// Counts since the endpoint's first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EndpointUsage {
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections open now.
    pub connections_open: u64,
    /// Requests that came whole.
    pub requests: u64,
    /// Requests that were answered 200.
    pub served: u64,
    /// Requests that were turned away.
    pub turned_away: u64,
    /// Requests whose call to the next tier failed, answered 500.
    pub failed: u64,
    /// Probes (`/health` and `/status/load`).
    pub probes: u64,
}

/// Hosts many endpoints on threads of its own.
pub struct EndpointHost {}

/// One endpoint of an [`EndpointHost`].
#[derive(Clone)]
pub struct EndpointHandle {}

impl EndpointHost {
    /// Starts a host without endpoints.
    ///
    /// # Errors
    /// No threads could be had.
    pub fn start(_threads: usize, _seed: u64) -> io::Result<Self> {
        todo!()
    }

    /// Starts an endpoint. With a `next_sidecar` it answers a request only after a call through that sidecar, with a
    /// new id and the time that is left of the deadline.
    ///
    /// # Errors
    /// No address could be had.
    pub fn add(
        &self,
        _name: EndpointName,
        _zone: ZoneName,
        _options: EndpointOptions,
        _next_sidecar: Option<SocketAddr>,
    ) -> io::Result<EndpointHandle> {
        todo!()
    }
}

impl EndpointHandle {
    /// Its entry in discovery's list, as serving.
    pub fn entry(&self) -> EndpointEntry {
        todo!()
    }

    /// Ends it as a process that dies: open connections are reset, new ones refused.
    pub fn stop(&self) {
        todo!()
    }

    /// Starts it again at the same address, cold where it has a ramp.
    ///
    /// # Errors
    /// Its address could not be had again.
    pub fn start_again(&self) -> io::Result<()> {
        todo!()
    }

    /// Has it accept and read but answer nothing, as a machine that was cut off, or answer again.
    pub fn set_silent(&self, _silent: bool) {
        todo!()
    }

    /// What it has done so far.
    pub fn usage(&self) -> EndpointUsage {
        todo!()
    }
}
