//! Endpoints: connections to them, attempts and probes over these.
//!
//! A connection carries one attempt at a time and nothing is ever sent again here once a byte of it was written: what may
//! have run is for the decision module to weigh. What attempts need of the sidecar is in [`EndpointHost`].

mod attempt;
mod attempt_result;
mod connect;
mod connection;
mod forwarded_request;
mod health_check;
mod hedged_dial;
mod host;
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
    AttemptSpec, DEADLINE_HEADER, ForwardedRequest, Target, end_to_end_headers,
};
pub use health_check::check_health;
pub use host::{ConnectPermit, EndpointHost};
pub use pool::{ConnectionPool, SweepTask};
pub use streamed_response::StreamedResponse;
