//! The state that an endpoint's handles share with the thread that runs it.

use super::options::EndpointOptions;
use super::usage::EndpointUsage;
use crate::reserved_address::ReservedAddress;
use crate::topology::{EndpointName, ZoneName};
use rand_pcg::Pcg64;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// The largest number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// The state of an endpoint, which is kept when the endpoint is restarted.
#[derive(Debug)]
pub(super) struct EndpointState {
    /// The endpoint's number on its host.
    pub number: u64,
    pub name: EndpointName,
    pub zone: ZoneName,
    pub options: EndpointOptions,
    /// The sidecar through which it calls the next tier; `None` in the last tier.
    pub next_sidecar: Option<SocketAddr>,
    /// Its address, which stays the same after a restart.
    pub address: ReservedAddress,
    pub counters: Counters,
    since_ms: AtomicU64,
    restarts: AtomicU64,
    is_hanging: watch::Sender<bool>,
}

impl EndpointState {
    pub fn new(
        number: u64,
        name: EndpointName,
        zone: ZoneName,
        options: EndpointOptions,
        next_sidecar: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let address = ReservedAddress::reserve()?;
        let since_ms = if options.slow_start.is_some() {
            unix_milliseconds()
        } else {
            0
        };
        Ok(Self {
            number,
            name,
            zone,
            options,
            next_sidecar,
            address,
            counters: Counters::default(),
            since_ms: AtomicU64::new(since_ms),
            restarts: AtomicU64::new(0),
            is_hanging: watch::Sender::new(false),
        })
    }

    /// Starts to listen at the endpoint's address.
    pub fn listen(&self) -> io::Result<TcpListener> {
        self.address.listen(ACCEPT_BACKLOG)
    }

    /// Returns the time of the last start in Unix milliseconds. 0 means long ago.
    pub fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }

    /// Records a restart at the current time.
    pub fn record_restart(&self) {
        self.since_ms.store(unix_milliseconds(), Ordering::Relaxed);
        self.restarts.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a random number generator for the current start. Its numbers differ from those of other endpoints and of
    /// other starts.
    pub fn random_generator(&self, host_seed: u64) -> Pcg64 {
        let restarts = self.restarts.load(Ordering::Relaxed);
        let stream = (u128::from(self.number) << u64::BITS) | u128::from(restarts);
        Pcg64::new(host_seed.into(), stream)
    }

    /// Stops responding to requests.
    pub fn hang(&self) {
        self.is_hanging.send_replace(true);
    }

    /// Starts to respond to requests again.
    pub fn resume(&self) {
        self.is_hanging.send_replace(false);
    }

    /// Returns true while requests get no response.
    pub fn is_hanging(&self) -> bool {
        *self.is_hanging.borrow()
    }

    /// Waits until the endpoint responds to requests again.
    pub async fn resumed(&self) {
        let mut is_hanging = self.is_hanging.subscribe();
        // The wait cannot fail, because the sender lives as long as `self`.
        let _ = is_hanging.wait_for(|is_hanging| !is_hanging).await;
    }
}

/// Returns the current time in Unix milliseconds.
fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// A counter that one thread updates and others read.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters of [`EndpointUsage`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub connections: Counter,
    pub connections_open: Counter,
    pub requests: Counter,
    pub served: Counter,
    pub rejected_early: Counter,
    pub failed: Counter,
    pub health_checks: Counter,
}

impl Counters {
    pub fn usage(&self) -> EndpointUsage {
        EndpointUsage {
            connections: self.connections.get(),
            connections_open: self.connections_open.get(),
            requests: self.requests.get(),
            served: self.served.get(),
            rejected_early: self.rejected_early.get(),
            failed: self.failed.get(),
            health_checks: self.health_checks.get(),
        }
    }
}
