//! A handle to control a simulated discovery service from other threads.

use super::call_queue::CallTimes;
use super::entry::{EndpointEntry, ListSnapshot};
use super::options::DiscoveryOptions;
use super::server::{self, Command, Server};
use super::usage::DiscoveryUsage;
use super::zone::Zone;
use crate::reserved_address::ReservedAddress;
use crate::topology::ZoneName;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// A discovery service that runs on its own thread, with one listening address for each zone. Dropping the handle stops
/// the service and resets its connections.
#[derive(Debug)]
pub struct DiscoveryServer {
    addresses: BTreeMap<ZoneName, SocketAddr>,
    /// `None` once the service is being stopped.
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryServer {
    /// Starts the service. The endpoints are version 1 of its list.
    ///
    /// # Errors
    /// Returns an error if no address can be reserved, the thread cannot be started, or the options are invalid: a rate
    /// that is not positive, or a heartbeat of zero.
    pub fn start(
        options: DiscoveryOptions,
        zones: &[ZoneName],
        endpoints: Vec<EndpointEntry>,
    ) -> io::Result<Self> {
        let times = call_times(options.calls_per_second, options.entries_per_second)?;
        if options.heartbeat.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "the heartbeat must be longer than zero",
            ));
        }
        let mut addresses = BTreeMap::new();
        let mut reserved = Vec::new();
        for zone in zones {
            if !addresses.contains_key(zone) {
                let address = ReservedAddress::reserve()?;
                addresses.insert(zone.clone(), address.address());
                reserved.push((zone.clone(), address));
            }
        }
        let (commands, received_commands) = unbounded_channel();
        let (started, start_result) = mpsc::sync_channel(1);
        let run = move || {
            let zones = reserved
                .into_iter()
                .map(|(name, address)| Zone::new(name, address))
                .collect();
            server::run(received_commands, &started, || {
                Server::new(&options, times, zones, &endpoints)
            });
        };
        let thread = thread::Builder::new().name("discovery".into()).spawn(run)?;
        start_result
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the discovery thread ended at start")))?;
        Ok(DiscoveryServer {
            addresses,
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Returns the address of the service in a zone. It stays the same during and after an outage.
    ///
    /// # Panics
    /// Panics if the service was started without this zone.
    #[must_use]
    pub fn address(&self, zone: &ZoneName) -> SocketAddr {
        let address = self.addresses.get(zone);
        *address.unwrap_or_else(|| panic!("discovery has no zone {zone}"))
    }

    /// Returns the current version of the list with all its endpoints.
    #[must_use]
    pub fn snapshot(&self) -> ListSnapshot {
        self.call(|reply| Command::Snapshot { reply })
    }

    /// Publishes changes as one new version and returns that version.
    #[expect(clippy::must_use_candidate, reason = "callers publish for the effect")]
    pub fn publish(&self, changes: Vec<EndpointEntry>) -> u64 {
        self.call(|reply| Command::Publish { changes, reply })
    }

    /// Changes the number of calls that the service handles per second, and the number of list entries that it writes
    /// per second. Calls that are already queued keep their slots.
    ///
    /// # Errors
    /// Returns an error if a rate is not positive.
    pub fn set_capacity(
        &self,
        calls_per_second: f64,
        entries_per_second: Option<f64>,
    ) -> io::Result<()> {
        let times = call_times(calls_per_second, entries_per_second)?;
        self.call(|reply| Command::SetTimes { times, reply });
        Ok(())
    }

    /// Resets all connections and refuses new ones until [`DiscoveryServer::end_outage`]. Changes can be published
    /// during the outage.
    pub fn begin_outage(&self) {
        self.call(|reply| Command::BeginOutage { reply });
    }

    /// Ends an outage: the service listens again at the same addresses.
    ///
    /// # Panics
    /// Panics if the service cannot listen at its addresses.
    pub fn end_outage(&self) {
        let listening = self.call(|reply| Command::EndOutage { reply });
        listening.expect("discovery can listen at its reserved addresses");
    }

    /// Partitions a zone from discovery until [`DiscoveryServer::heal_zone`]. Its connections stay open without
    /// traffic. New ones are accepted and get no response.
    ///
    /// # Panics
    /// Panics if the service was started without this zone.
    pub fn partition_zone(&self, zone: &ZoneName) {
        let zone = self.checked_zone(zone);
        self.call(|reply| Command::PartitionZone { zone, reply });
    }

    /// Ends a zone's partition and resets the connections that it affected.
    ///
    /// # Panics
    /// Panics if the service was started without this zone.
    pub fn heal_zone(&self, zone: &ZoneName) {
        let zone = self.checked_zone(zone);
        self.call(|reply| Command::HealZone { zone, reply });
    }

    /// Returns the counters.
    #[must_use]
    pub fn usage(&self) -> DiscoveryUsage {
        self.call(|reply| Command::Usage { reply })
    }

    /// Returns the number of open watches by zone. It is 0 for a partitioned zone.
    #[must_use]
    pub fn watches_by_zone(&self) -> BTreeMap<ZoneName, u64> {
        self.call(|reply| Command::WatchesByZone { reply })
    }

    /// Returns the name of a zone of the service, and panics if the service has no such zone.
    fn checked_zone(&self, zone: &ZoneName) -> ZoneName {
        assert!(
            self.addresses.contains_key(zone),
            "discovery has no zone {zone}"
        );
        zone.clone()
    }

    /// Sends a command to the service's thread and waits for its reply.
    fn call<T>(&self, command: impl FnOnce(mpsc::SyncSender<T>) -> Command) -> T {
        let (reply, received_reply) = mpsc::sync_channel(1);
        let commands = self
            .commands
            .as_ref()
            .expect("the service is stopped only when it is dropped");
        commands
            .send(command(reply))
            .expect("the discovery thread is running");
        received_reply
            .recv()
            .expect("the discovery thread is running")
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        drop(self.commands.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the discovery thread panicked");
        }
    }
}

/// Converts rates to the time that a call needs. Without a rate, list entries need no time.
fn call_times(calls_per_second: f64, entries_per_second: Option<f64>) -> io::Result<CallTimes> {
    let per_entry = entries_per_second.map(|rate| time_per_unit("list entries", rate));
    Ok(CallTimes {
        per_call: time_per_unit("calls", calls_per_second)?,
        per_entry: per_entry.transpose()?.unwrap_or_default(),
    })
}

/// Returns the time for one unit at a rate per second.
fn time_per_unit(unit: &str, rate: f64) -> io::Result<Duration> {
    let problem = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("the number of {unit} per second must be positive and finite"),
        )
    };
    if rate.is_nan() || rate <= 0.0 {
        return Err(problem());
    }
    Duration::try_from_secs_f64(rate.recip()).map_err(|_| problem())
}
