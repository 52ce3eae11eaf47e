//! Simulated endpoints with cores, a queue, service times, slow start, load reports and health checks.
//!
//! An [`EndpointHost`] runs hundreds of endpoints on a few threads (`host`). Each connection carries one request at a
//! time (`connection`, `message`). A request is given a core or queued for one (`work`). In a chain of tiers it is
//! answered after a call to the next tier (`downstream`, `response`). Request bodies need a `Content-Length`; a chunked
//! one is answered 411.

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
