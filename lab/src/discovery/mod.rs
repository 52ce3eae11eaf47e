//! A stand-in for the discovery service, which speaks the published discovery protocol over HTTP/1.1.
//!
//! `GET /v1/endpoints` returns the whole list, `GET /v1/endpoints?follow=1&since=N` a watch: a chunked answer that
//! stays open, with one JSON object for each change and an empty line every heartbeat. Calls are handled in turn at
//! a limited rate.

mod connection;
mod protocol;
mod registry;
mod server;
mod service;
mod turns;
mod zone;

use crate::topology::ZoneName;
use serde::Serialize;
use server::{Command, Server};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use zone::{ReservedAddress, Zone};

/// Whether an endpoint takes work, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointStatus {
    /// It takes requests.
    Serving,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It is gone; used in changes only.
    Deleted,
}

/// One endpoint in discovery's form.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Its name, identical at every sidecar.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// What sort of machine it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// The group of endpoints that it belongs to.
    pub group: u64,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Its weight.
    pub weight: f64,
    /// Its last start, in Unix time milliseconds; 0 is long ago.
    pub since_ms: u64,
}

/// How a discovery service behaves.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// Calls (whole lists and watches) that it answers a second, in turn.
    pub calls_per_second: f64,
    /// A call that has waited so long without its turn is answered 503.
    pub longest_wait: Duration,
    /// Time between empty lines on a watch on which nothing changes.
    pub heartbeat: Duration,
    /// How many past versions it remembers; a watch that asks for an older version gets the whole list.
    pub remembered_changes: usize,
}

/// Counts since the service started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DiscoveryUsage {
    /// Connections that were accepted.
    pub connections: u64,
    /// Whole lists that were answered.
    pub lists: u64,
    /// Watches that were opened.
    pub watches_opened: u64,
    /// Watches open now, without those of zones that are cut off.
    pub watches_open: u64,
    /// Calls that were answered 503.
    pub rejected: u64,
    /// Calls whose caller had left before its turn came; the turn was spent all the same.
    pub abandoned: u64,
    /// The most calls that waited at once.
    pub longest_queue: u64,
    /// Bytes of answers and watches, with their heads and chunk framing.
    pub bytes_written: u64,
    /// Bytes of empty lines among them, with their chunk framing.
    pub heartbeat_bytes: u64,
    /// Processor time of the service's thread.
    pub processor_time: Duration,
}

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
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no time between empty lines"));
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
            let zones = reserved.into_iter().map(|(name, address)| Zone::new(name, address)).collect();
            server::run(received_commands, &started, || {
                Server::new(&options, time_per_call, zones, endpoints)
            });
        };
        let thread = thread::Builder::new().name("discovery".into()).spawn(run)?;
        has_started.recv().unwrap_or_else(|_| Err(io::Error::other("the discovery thread ended")))?;
        Ok(DiscoveryServer { addresses, commands: Some(commands), thread: Some(thread) })
    }

    /// Where the sidecars of a zone find it. Addresses stay the same over an outage.
    ///
    /// # Panics
    /// The zone was not named at the start.
    pub fn address(&self, zone: &ZoneName) -> SocketAddr {
        let address = self.addresses.get(zone);
        *address.unwrap_or_else(|| panic!("discovery has no zone {zone}"))
    }

    /// The whole list as it stands, by name, for a sidecar's configuration: the version and its endpoints.
    pub fn snapshot(&self) -> (u64, Vec<EndpointEntry>) {
        self.ask(|reply| Command::Snapshot { reply })
    }

    /// Publishes changes as one new version, which it returns.
    pub fn publish(&self, changes: Vec<EndpointEntry>) -> u64 {
        self.ask(|reply| Command::Publish { changes, reply })
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
        assert!(self.addresses.contains_key(zone), "discovery has no zone {zone}");
        let zone = zone.clone();
        self.ask(|reply| Command::SetSilent { zone, silent, reply });
    }

    /// What it has done so far.
    pub fn usage(&self) -> DiscoveryUsage {
        self.ask(|reply| Command::Usage { reply })
    }

    /// Watches open now, by zone, without those of zones that are cut off.
    pub fn watches_by_zone(&self) -> BTreeMap<ZoneName, u64> {
        self.ask(|reply| Command::WatchesByZone { reply })
    }

    /// Has the service's thread carry out a command and waits for its reply.
    fn ask<T>(&self, command: impl FnOnce(mpsc::SyncSender<T>) -> Command) -> T {
        let (reply, replied) = mpsc::sync_channel(1);
        let commands = self.commands.as_ref().expect("the service ends only when it is dropped");
        commands.send(command(reply)).expect("the discovery thread runs");
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
    let problem = || io::Error::new(io::ErrorKind::InvalidInput, "no sensible number of calls a second");
    if calls_per_second.is_nan() || calls_per_second <= 0.0 {
        return Err(problem());
    }
    Duration::try_from_secs_f64(calls_per_second.recip()).map_err(|_| problem())
}
