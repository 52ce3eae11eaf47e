//! The sidecar's configuration: its document, what can be wrong with it, and what a change of it means.

mod config;
mod difference;
mod document;
mod document_path;
mod explanation;
mod fault;
mod flat;
mod parse;
mod schema;
pub mod settings_document;

pub use config::{ADMIN_VARIABLE, Config, ConfigError, FILE_VARIABLE, FixedValues};
pub use difference::{Difference, Effect, differences};
pub use document::{ConfigurationDocument, LimitsDocument, Seed};
pub use explanation::{Explained, Origin, explain};
pub use fault::{Fault, Faults};
pub use parse::{Parsed, UnknownKey, parse, unknown_keys};
pub use schema::schema;
