//! A simulated discovery service that speaks the published discovery protocol over HTTP/1.1.
//!
//! `GET /v1/endpoints` returns the full list. `GET /v1/endpoints?follow=1&since=N` opens a watch: a chunked answer that
//! stays open, with one JSON object for each change and an empty line every heartbeat. Calls are handled in order of
//! arrival at a limited rate.

mod call_queue;
mod connection;
mod entry;
mod handle;
mod options;
mod protocol;
mod registry;
mod server;
mod service;
mod usage;
mod zone;
mod zone_state;

pub use entry::{EndpointEntry, EndpointStatus, ListSnapshot};
pub use handle::DiscoveryServer;
pub use options::{DiscoveryOptions, WatchOnChange};
pub use usage::DiscoveryUsage;
