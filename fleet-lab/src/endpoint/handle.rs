//! Handles to control simulated endpoints from other threads.

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
const MACHINE_TYPE: &str = "model";

/// Runs many endpoints on a few threads. Dropping it stops the endpoints and the threads.
#[derive(Debug)]
pub struct EndpointHost {
    threads: Vec<HostThread>,
    /// The number of endpoints that were added.
    endpoints: AtomicU64,
}

/// One endpoint of an [`EndpointHost`].
#[derive(Clone, Debug)]
pub struct EndpointHandle {
    state: Arc<EndpointState>,
    thread: CommandSender,
}

impl EndpointHost {
    /// Starts a host without endpoints. All its random numbers depend on the seed.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be started or the number of threads is zero.
    pub fn start(threads: usize, seed: u64) -> io::Result<Self> {
        if threads == 0 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "a host needs at least one thread",
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

    /// Starts an endpoint. With a `next_sidecar`, it responds to a request only after a call to the next tier through
    /// that sidecar. The call has a new id and the time left until the request's deadline.
    ///
    /// # Errors
    /// Returns an error if no address can be reserved or the options are invalid.
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
    /// Returns the endpoint's entry for the list of discovery, with the status serving.
    #[must_use]
    pub fn entry(&self) -> EndpointEntry {
        EndpointEntry {
            name: self.state.name.as_str().to_owned(),
            address: self.state.address.address(),
            zone: self.state.zone.clone(),
            machine_type: MACHINE_TYPE.to_owned(),
            group: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
            since_ms: self.state.since_ms(),
        }
    }

    /// Stops the endpoint as if its process were killed: open connections are reset and new ones are refused. Returns
    /// when the connections are reset.
    pub fn stop(&self) {
        self.thread.stop(self.state.number);
    }

    /// Starts the endpoint again at the same address. A running endpoint is stopped first. An endpoint with a slow
    /// start warms up again.
    ///
    /// # Errors
    /// Returns an error if the endpoint cannot listen at its address or its host has ended.
    pub fn restart(&self) -> io::Result<()> {
        self.stop();
        self.state.record_restart();
        self.listen()
    }

    /// Makes the endpoint hang: it accepts connections and reads requests but sends no responses.
    pub fn hang(&self) {
        self.state.hang();
    }

    /// Ends [`EndpointHandle::hang`]. Connections with an unanswered request are reset.
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
