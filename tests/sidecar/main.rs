//! The built program over loopback sockets. Each test says what of the code it guards.

mod admin;
mod bans;
mod bulk;
mod callers;
mod cancellation_support;
mod churn;
mod client_cancellation;
mod crossings;
mod crossings_of_stops;
mod customers;
mod descriptor_pressure;
mod dials;
mod discovery_recovery;
mod discovery_resync;
mod drains;
mod leaving;
mod lists;
mod mass_restart;
mod process;
mod reload;
mod requests;
mod spoilt;
mod stubs;
mod upgrade;
mod warming_endpoint;
mod watches;
