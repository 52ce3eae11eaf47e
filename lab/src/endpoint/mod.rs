//! Stand-ins for the servers of a tier: cores, a queue, service times, a cold ramp, load reports and probes.
//!
//! An [`EndpointHost`] runs hundreds of endpoints on a few threads (`host`). Each connection carries one request at a
//! time (`connection`, `message`); a request takes a core or waits for one (`work`), and where the endpoint has a
//! sidecar for the next tier, it is answered after a call through it (`downstream`, `response`). Request bodies need a
//! `Content-Length`: a chunked one is answered 411.

mod connection;
mod downstream;
mod host;
mod message;
mod response;
mod state;
mod work;

use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::topology::{EndpointName, ZoneName};
use host::HostThread;
use serde::{Deserialize, Serialize};
use state::EndpointState;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What all endpoints give as the sort of their machine.
const MACHINE_KIND: &str = "model";

/// The longest service time that is taken, in milliseconds: a day.
const LONGEST_SERVICE_MILLISECONDS: f64 = 86_400_000.0;

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

/// Hosts many endpoints on threads of its own, which end when it is dropped.
pub struct EndpointHost {
    threads: Vec<HostThread>,
    endpoints: AtomicU64,
}

/// One endpoint of an [`EndpointHost`].
#[derive(Clone)]
pub struct EndpointHandle {
    state: Arc<EndpointState>,
    thread: host::CommandSender,
}

impl EndpointHost {
    /// Starts a host without endpoints; the seed is that of all its random numbers.
    ///
    /// # Errors
    /// No threads could be had.
    pub fn start(threads: usize, seed: u64) -> io::Result<Self> {
        if threads == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "a host needs a thread"));
        }
        let threads = (0..threads).map(|number| HostThread::start(number, seed)).collect::<Result<_, _>>()?;
        Ok(Self { threads, endpoints: AtomicU64::new(0) })
    }

    /// Starts an endpoint. With a `next_sidecar` it answers a request only after a call through that sidecar, with a
    /// new id and the time that is left of the deadline.
    ///
    /// # Errors
    /// No address could be had, or the options make no sense.
    pub fn add(
        &self,
        name: EndpointName,
        zone: ZoneName,
        options: EndpointOptions,
        next_sidecar: Option<SocketAddr>,
    ) -> io::Result<EndpointHandle> {
        options.check().map_err(|problem| io::Error::new(io::ErrorKind::InvalidInput, problem))?;
        let number = self.endpoints.fetch_add(1, Ordering::Relaxed);
        let thread = &self.threads[number as usize % self.threads.len()];
        let state = EndpointState::new(number, name, zone, options, next_sidecar)?;
        let handle = EndpointHandle { state: Arc::new(state), thread: thread.commands() };
        handle.listen()?;
        Ok(handle)
    }
}

impl EndpointHandle {
    /// Its entry in discovery's list, as serving.
    pub fn entry(&self) -> EndpointEntry {
        EndpointEntry {
            name: self.state.name.as_str().to_owned(),
            address: self.state.address,
            zone: self.state.zone.clone(),
            kind: MACHINE_KIND.to_owned(),
            group: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
            since_ms: self.state.since_ms(),
        }
    }

    /// Ends it as a process that dies: open connections are reset, new ones refused. Returns once that is done.
    pub fn stop(&self) {
        self.thread.stop(self.state.number);
    }

    /// Starts it again at the same address, cold where it has a ramp. One that runs is stopped first.
    ///
    /// # Errors
    /// Its address could not be had again, or its host has ended.
    pub fn start_again(&self) -> io::Result<()> {
        self.stop();
        self.state.note_restart();
        self.listen()
    }

    /// Has it accept and read but answer nothing, as a machine that was cut off, or answer again. A connection that
    /// owes an answer from the time of its silence is reset at the end of it.
    pub fn set_silent(&self, silent: bool) {
        self.state.set_silent(silent);
    }

    /// What it has done so far.
    pub fn usage(&self) -> EndpointUsage {
        self.state.counters.usage()
    }

    fn listen(&self) -> io::Result<()> {
        let listener = self.state.listen()?;
        self.thread.run(Arc::clone(&self.state), listener)
    }
}

impl EndpointOptions {
    /// What makes no sense in them, if anything does.
    fn check(&self) -> Result<(), &'static str> {
        if self.cores == 0 {
            return Err("an endpoint needs a core");
        }
        if !(0.0..=1.0).contains(&self.error_share) {
            return Err("error_share must be from 0 to 1");
        }
        if self.cold_ramp.is_some_and(|ramp| !(ramp.from > 0.0 && ramp.from <= 1.0)) {
            return Err("cold_ramp.from must be above 0 and at most 1");
        }
        let milliseconds = match self.service_time {
            ServiceTime::None => return Ok(()),
            ServiceTime::Fixed { milliseconds } => milliseconds,
            ServiceTime::Exponential { mean_milliseconds } => mean_milliseconds,
        };
        if !(milliseconds > 0.0 && milliseconds <= LONGEST_SERVICE_MILLISECONDS) {
            return Err("a service time must be above 0 and at most a day");
        }
        Ok(())
    }
}
