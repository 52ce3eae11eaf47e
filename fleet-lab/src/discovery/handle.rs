//! A discovery service as experiments hold it.

use super::entry::EndpointEntry;
use super::options::DiscoveryOptions;
use super::server::{self, Command, Server};
use super::usage::DiscoveryUsage;
use super::zone::{ReservedAddress, Zone};
use crate::topology::ZoneName;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// A running discovery service on a thread of its own, with one listening address for each zone. It ends when it is
/// dropped, and resets its connections.
pub struct DiscoveryServer {
    addresses: BTreeMap<ZoneName, SocketAddr>,
    /// None once the service is to end.
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryServer {
    /// Starts the service with these endpoints as version 1.
    ///
    /// # Errors
    /// No address or thread could be had, or the options make no sense: no calls a second, or no time between empty
    /// lines.
    pub fn start(
        options: DiscoveryOptions,
        zones: &[ZoneName],
        endpoints: Vec<EndpointEntry>,
    ) -> io::Result<Self> {
        let time_per_call = time_per_call(options.calls_per_second)?;
        if options.heartbeat.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "no time between empty lines",
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
        let (started, has_started) = mpsc::sync_channel(1);
        let run = move || {
            let zones = reserved
                .into_iter()
                .map(|(name, address)| Zone::new(name, address))
                .collect();
            server::run(received_commands, &started, || {
                Server::new(&options, time_per_call, zones, endpoints)
            });
        };
        let thread = thread::Builder::new().name("discovery".into()).spawn(run)?;
        has_started
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the discovery thread ended")))?;
        Ok(DiscoveryServer {
            addresses,
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Where the sidecars of a zone find it. Addresses stay the same over an outage.
    ///
    /// # Panics
    /// The zone was not named at the start.
    #[must_use]
    pub fn address(&self, zone: &ZoneName) -> SocketAddr {
        let address = self.addresses.get(zone);
        *address.unwrap_or_else(|| panic!("discovery has no zone {zone}"))
    }

    /// The whole list as it stands, by name, for a sidecar's configuration: the version and its endpoints.
    #[must_use]
    pub fn snapshot(&self) -> (u64, Vec<EndpointEntry>) {
        self.ask(|reply| Command::Snapshot { reply })
    }

    /// Publishes changes as one new version, which it returns.
    #[expect(clippy::must_use_candidate, reason = "callers publish for the effect")]
    pub fn publish(&self, changes: Vec<EndpointEntry>) -> u64 {
        self.ask(|reply| Command::Publish { changes, reply })
    }

    /// Changes how many calls it answers a second; those that wait keep their turns.
    ///
    /// # Errors
    /// No calls a second.
    pub fn set_calls_per_second(&self, calls_per_second: f64) -> io::Result<()> {
        let time_per_call = time_per_call(calls_per_second)?;
        self.ask(|reply| Command::SetTimePerCall {
            time_per_call,
            reply,
        });
        Ok(())
    }

    /// Ends all connections with a reset and refuses new ones until [`DiscoveryServer::end_outage`]. Changes may be
    /// published meanwhile.
    pub fn begin_outage(&self) {
        self.ask(|reply| Command::BeginOutage { reply });
    }

    /// Listens again at the same addresses.
    ///
    /// # Panics
    /// No socket could be had.
    pub fn end_outage(&self) {
        let listening = self.ask(|reply| Command::EndOutage { reply });
        listening.expect("discovery listens again at an address that it has kept");
    }

    /// Cuts a zone off, or joins it again: connections stay open and quiet, new ones are accepted and not answered.
    /// When the zone is joined again, connections that were cut are reset.
    ///
    /// # Panics
    /// The zone was not named at the start.
    pub fn set_silent(&self, zone: &ZoneName, silent: bool) {
        assert!(
            self.addresses.contains_key(zone),
            "discovery has no zone {zone}"
        );
        let zone = zone.clone();
        self.ask(|reply| Command::SetSilent {
            zone,
            silent,
            reply,
        });
    }

    /// What it has done so far.
    #[must_use]
    pub fn usage(&self) -> DiscoveryUsage {
        self.ask(|reply| Command::Usage { reply })
    }

    /// Watches open now, by zone, without those of zones that are cut off.
    #[must_use]
    pub fn watches_by_zone(&self) -> BTreeMap<ZoneName, u64> {
        self.ask(|reply| Command::WatchesByZone { reply })
    }

    /// Has the service's thread carry out a command and waits for its reply.
    fn ask<T>(&self, command: impl FnOnce(mpsc::SyncSender<T>) -> Command) -> T {
        let (reply, replied) = mpsc::sync_channel(1);
        let commands = self
            .commands
            .as_ref()
            .expect("the service ends only when it is dropped");
        commands
            .send(command(reply))
            .expect("the discovery thread runs");
        replied.recv().expect("the discovery thread runs")
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

fn time_per_call(calls_per_second: f64) -> io::Result<Duration> {
    let problem = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            "no sensible number of calls a second",
        )
    };
    if calls_per_second.is_nan() || calls_per_second <= 0.0 {
        return Err(problem());
    }
    Duration::try_from_secs_f64(calls_per_second.recip()).map_err(|_| problem())
}
