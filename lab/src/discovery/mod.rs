//! A stand-in for the discovery service, which speaks the published discovery protocol over HTTP/1.1.
//!
//! `GET /v1/endpoints` returns the whole list, `GET /v1/endpoints?follow=1&since=N` a watch: a chunked answer that
//! stays open, with one JSON object for each change and an empty line every heartbeat. Calls are handled in turn at
//! a limited rate.

use crate::topology::ZoneName;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

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
    /// A call that has waited longer is answered 503.
    pub longest_wait: Duration,
    /// Time between empty lines on a watch on which nothing changes.
    pub heartbeat: Duration,
    /// How many past changes it remembers; a watch that asks for an older version gets the whole list.
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
    /// Watches open now.
    pub watches_open: u64,
    /// Calls that were answered 503.
    pub rejected: u64,
    /// Calls whose caller had left before its turn came.
    pub abandoned: u64,
    /// The most calls that waited at once.
    pub longest_queue: u64,
    /// Bytes of answers and watches.
    pub bytes_written: u64,
    /// Bytes of empty lines among them.
    pub heartbeat_bytes: u64,
    /// Processor time of the service's thread.
    pub processor_time: Duration,
}

/// A running discovery service on a thread of its own, with one listening address for each zone.
pub struct DiscoveryServer {}

impl DiscoveryServer {
    /// Starts the service with these endpoints as version 1.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn start(
        _options: DiscoveryOptions,
        _zones: &[ZoneName],
        _endpoints: Vec<EndpointEntry>,
    ) -> io::Result<Self> {
        todo!()
    }

    /// Where the sidecars of a zone find it. Addresses stay the same over an outage.
    ///
    /// # Panics
    /// The zone was not named at the start.
    pub fn address(&self, _zone: &ZoneName) -> SocketAddr {
        todo!()
    }

    /// The whole list as it stands, for a sidecar's configuration: the version and its endpoints.
    pub fn snapshot(&self) -> (u64, Vec<EndpointEntry>) {
        todo!()
    }

    /// Publishes changes as one new version, which it returns.
    pub fn publish(&self, _changes: Vec<EndpointEntry>) -> u64 {
        todo!()
    }

    /// Ends all connections with a reset and refuses new ones until [`DiscoveryServer::end_outage`].
    pub fn begin_outage(&self) {
        todo!()
    }

    /// Listens again at the same addresses.
    pub fn end_outage(&self) {
        todo!()
    }

    /// Cuts a zone off, or joins it again: connections stay open and quiet, new ones are accepted and not answered.
    /// When the zone is joined again, connections that were cut are reset.
    pub fn set_silent(&self, _zone: &ZoneName, _silent: bool) {
        todo!()
    }

    /// What it has done so far.
    pub fn usage(&self) -> DiscoveryUsage {
        todo!()
    }

    /// Watches open now, by zone.
    pub fn watches_by_zone(&self) -> BTreeMap<ZoneName, u64> {
        todo!()
    }
}
