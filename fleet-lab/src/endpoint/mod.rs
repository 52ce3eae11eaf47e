//! Simulated endpoints with cores, a queue, service times, slow start, load reports and health checks.
//!
//! An [`EndpointHost`] runs hundreds of endpoints on a few threads (`host`). Each connection carries one request at a
//! time (`connection`, `message`). A request gets a core or is queued for one (`work`). In a chain of tiers, an
//! endpoint calls the next tier before it responds (`downstream`, `response`). Request bodies need a `Content-Length`;
//! the response to a chunked one is 411.

mod connection;
mod downstream;
mod handle;
mod host;
mod message;
mod options;
mod response;
mod state;
mod usage;
mod work;

pub use handle::{EndpointHandle, EndpointHost};
pub use options::{EndpointOptions, ServiceTime, SlowStart};
pub use usage::EndpointUsage;
