//! A simulated discovery service. It implements the sidecar's discovery protocol over HTTP/1.1.
//!
//! `GET /v1/endpoints` returns the full list. `GET /v1/endpoints?follow=1&since=N` opens a watch: a chunked
//! response that stays open, with a JSON object for each change. An empty line is sent after each heartbeat interval
//! without a change. Calls are handled in order of arrival at a limited rate.

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
pub use options::{DiscoveryOptions, ListChangeAction};
pub use usage::DiscoveryUsage;
