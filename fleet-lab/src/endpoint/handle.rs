//! The handles with which experiments control simulated endpoints.

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

/// The machine type of all endpoints.
const MACHINE_KIND: &str = "model";

/// A host of many endpoints on threads of its own, which are stopped when it is dropped.
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
    /// Starts a host without endpoints, with a seed for all its random numbers.
    ///
    /// # Errors
    /// Fails where a thread cannot be started.
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
    /// new id and the remaining time.
    ///
    /// # Errors
    /// Fails where no address can be reserved or the options are invalid.
    pub fn add(
        &self,
        name: EndpointName,
        zone: ZoneName,
        options: EndpointOptions,
        next_sidecar: Option<SocketAddr>,
    ) -> io::Result<EndpointHandle> {
        options
            .validate()
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
    /// Returns its entry in discovery's list, with the status serving.
    #[must_use]
    pub fn entry(&self) -> EndpointEntry {
        EndpointEntry {
            name: self.state.name.as_str().to_owned(),
            address: self.state.address.address(),
            zone: self.state.zone.clone(),
            kind: MACHINE_KIND.to_owned(),
            group: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
            since_ms: self.state.since_ms(),
        }
    }

    /// Stops it as if its process were killed: open connections are reset and new ones refused. Returns when that is
    /// done.
    pub fn stop(&self) {
        self.thread.stop(self.state.number);
    }

    /// Starts it again at the same address, warming up if it has a slow start. A running endpoint is stopped first.
    ///
    /// # Errors
    /// Fails where it cannot listen at its address again or its host has ended.
    pub fn restart(&self) -> io::Result<()> {
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
