//! Endpoints as experiments hold them.

use super::host::{CommandSender, HostThread};
use super::options::EndpointOptions;
use super::state::EndpointState;
use super::usage::EndpointUsage;
use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::topology::{EndpointName, ZoneName};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What all endpoints give as the sort of their machine.
const MACHINE_KIND: &str = "model";

/// Hosts many endpoints on threads of its own, which end when it is dropped.
#[derive(Debug)]
pub struct EndpointHost {
    threads: Vec<HostThread>,
    endpoints: AtomicU64,
}

/// One endpoint of an [`EndpointHost`].
#[derive(Clone, Debug)]
pub struct EndpointHandle {
    state: Arc<EndpointState>,
    thread: CommandSender,
}

impl EndpointHost {
    /// Starts a host without endpoints; the seed is that of all its random numbers.
    ///
    /// # Errors
    /// No threads could be had.
    pub fn start(threads: usize, seed: u64) -> io::Result<Self> {
        if threads == 0 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a host needs a thread",
            ));
        }
        let threads = (0..threads)
            .map(|number| HostThread::start(number, seed))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            threads,
            endpoints: AtomicU64::new(0),
        })
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
        options
            .check()
            .map_err(|problem| io::Error::new(io::ErrorKind::InvalidInput, problem))?;
        let number = self.endpoints.fetch_add(1, Ordering::Relaxed);
        let thread = &self.threads[number as usize % self.threads.len()];
        let state = EndpointState::new(number, name, zone, options, next_sidecar)?;
        let handle = EndpointHandle {
            state: Arc::new(state),
            thread: thread.commands(),
        };
        handle.listen()?;
        Ok(handle)
    }
}

impl EndpointHandle {
    /// Its entry in discovery's list, as serving.
    #[must_use]
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
        self.state.record_restart();
        self.listen()
    }

    /// Makes the endpoint hang: it accepts connections and reads requests but answers none of them.
    pub fn hang(&self) {
        self.state.hang();
    }

    /// Ends [`EndpointHandle::hang`]. Connections with a request that was not answered are reset.
    pub fn resume(&self) {
        self.state.resume();
    }

    /// Returns the counters.
    #[must_use]
    pub fn usage(&self) -> EndpointUsage {
        self.state.counters.usage()
    }

    fn listen(&self) -> io::Result<()> {
        let listener = self.state.listen()?;
        self.thread.run(Arc::clone(&self.state), listener)
    }
}
