//! Tests that run the built program and talk to it over loopback sockets. The doc comment of a test names the behaviour
//! that it guards.

mod caller_limits;
mod cancellation_support;
mod client_cancellation;
mod client_disconnects;
mod crowded_discovery;
mod descriptor_pressure;
mod disabled_endpoints;
mod discovery_hedging;
mod discovery_recovery;
mod discovery_watch;
mod drains;
mod endpoint_churn;
mod endpoint_lists;
mod event_races;
mod hedged_dials;
mod hot_restart;
mod hot_restart_formats;
mod large_requests;
mod large_responses;
mod late_bodies;
mod malformed_responses;
mod mass_restart;
mod memory_limit;
mod operators;
mod process;
mod reload;
mod repeated_ids;
mod requests;
mod settings_isolation;
mod shutdown_races;
mod shutdown_streams;
mod streamed_deadlines;
mod stubs;
mod warming_endpoint;
