//! The built program over loopback sockets. Each test says what of the code it guards.

mod admin;
mod bans;
mod callers;
mod cancellation_support;
mod client_cancellation;
mod crossings;
mod crossings_of_stops;
mod customers;
mod descriptor_pressure;
mod discovery_recovery;
mod discovery_resync;
mod discovery_watch;
mod drains;
mod endpoint_churn;
mod endpoint_lists;
mod hedged_dials;
mod large_bodies;
mod leaving;
mod malformed_responses;
mod mass_restart;
mod process;
mod reload;
mod requests;
mod stubs;
mod upgrade;
mod warming_endpoint;
