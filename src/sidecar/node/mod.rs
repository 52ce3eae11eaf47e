//! The node: one decision module with its open requests, attempts and timers, and the only place that calls it.
//!
//! Callers, attempts and discovery each run in local tasks and reach the node through [`NodeHandle`], whose methods borrow
//! it, pass an event on, carry out the actions and let go: never across an await.

mod actions;
mod attempts;
mod discovery;
mod endpoint_host;
mod open_request;
mod operators;
mod reload;
mod requests;
mod settings_in_force;
mod state;

pub use open_request::{FinalAnswer, RequestRejected};
pub use settings_in_force::SettingsInForce;
pub use state::{Node, NodeHandle, Start};

#[cfg(test)]
mod first_list_tests;
