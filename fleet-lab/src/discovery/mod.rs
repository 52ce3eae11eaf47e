//! A stand-in for the discovery service, which speaks the published discovery protocol over HTTP/1.1.
//!
//! `GET /v1/endpoints` returns the whole list, `GET /v1/endpoints?follow=1&since=N` a watch: a chunked answer that
//! stays open, with one JSON object for each change and an empty line every heartbeat. Calls are handled in turn at
//! a limited rate.

mod connection;
mod entry;
mod handle;
mod options;
mod protocol;
mod registry;
mod server;
mod service;
mod turns;
mod usage;
mod zone;
mod zone_state;

pub use entry::{EndpointEntry, EndpointStatus};
pub use handle::DiscoveryServer;
pub use options::DiscoveryOptions;
pub use usage::DiscoveryUsage;
