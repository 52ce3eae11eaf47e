//! A model of the systems that the sidecar serves, with tools to load them and to measure what a sidecar costs.
//!
//! A run reads an [`experiment`] file, generates a [`topology`], starts a [`discovery`] service, [`endpoint`]s, real
//! and simulated [`sidecar`]s and open-loop [`caller`]s on loopback, injects [`fault`]s, [`measure`]s resources, and
//! writes a [`report`]. The order of these steps for each kind of experiment is in [`scenario`].

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
