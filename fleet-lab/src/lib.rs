//! A model of the systems that a sidecar serves, with tools to load them and to measure the cost of a sidecar.
//!
//! A run reads an [`experiment`] file and generates a [`topology`]. It starts a [`discovery`] service, [`endpoint`]s,
//! real and simulated [`sidecar`]s and open-loop [`caller`]s on loopback. It injects [`fault`]s, [`measure`]s
//! resources, and writes a [`report`]. The module [`scenario`] has the order of these steps for each kind of
//! experiment.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod caller;
pub mod discovery;
pub mod endpoint;
pub mod experiment;
pub mod fault;
pub mod loopback_tier;
pub mod measure;
pub mod report;
mod reserved_address;
pub mod scenario;
pub mod sidecar;
pub mod topology;
