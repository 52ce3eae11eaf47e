//! Stand-ins for the servers of a tier: cores, a queue, service times, a cold ramp, load reports and probes.
//!
//! An [`EndpointHost`] runs hundreds of endpoints on a few threads (`host`). Each connection carries one request at a
//! time (`connection`, `message`); a request takes a core or waits for one (`work`), and where the endpoint has a
//! sidecar for the next tier, it is answered after a call through it (`downstream`, `response`). Request bodies need a
//! `Content-Length`: a chunked one is answered 411.

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
