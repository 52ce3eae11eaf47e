//! Connections to endpoints, and the attempts and health checks made over them.
//!
//! A connection carries one exchange at a time. Once a byte of a request has been written, this module does not send
//! the request again. The balancer decides about further attempts of a request that may have run. [`EndpointHost`]
//! declares the functions of the sidecar that attempts and health checks need.

mod attempt;
mod attempt_result;
mod connect;
mod connection;
mod forwarded_request;
mod health_check;
mod hedged_dial;
mod host;
mod known_processes;
mod load_report;
mod pool;
mod request_body;
mod response;
mod streamed_response;
mod write_progress;

pub use attempt::run_attempt;
pub use attempt_result::{AttemptResult, ResponseBody, ServedResponse};
pub use connection::EndpointConnection;
pub use forwarded_request::{
    AttemptSpec, DEADLINE_HEADER, EndpointProcess, ForwardedRequest, end_to_end_headers,
};
pub use health_check::check_health;
pub use host::{ConnectPermit, EndpointHost};
pub use known_processes::{KnownProcessGuard, KnownProcesses};
pub use pool::{ConnectionPool, IdleConnectionPolicy, SweepTask};
pub use streamed_response::StreamedResponse;
