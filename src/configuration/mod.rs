//! The sidecar's configuration: its file format, its validation, its JSON Schema and the effects of changes.
//!
//! The configuration is the whole file. Its key `settings` has the balancer's settings, in the format of
//! [`settings_document`].

mod config;
mod difference;
mod document;
mod effective_value;
mod error;
mod json_text;
mod leaf_values;
mod missing_key;
mod parse;
mod reload_baseline;
mod restart_values;
mod schema;
pub mod settings_document;
mod validation;
mod variables;

pub use config::Config;
pub use difference::{ChangeEffect, Difference, differences};
pub use document::{ConfigurationDocument, ProcessLimitsDocument, Seed, SeedError};
pub use effective_value::{EffectiveValue, ValueOrigin, effective_values};
pub use error::ConfigError;
pub use parse::{ParsedConfiguration, UnknownKey, parse, unknown_keys};
pub use reload_baseline::ReloadBaseline;
pub use restart_values::RestartValues;
pub use schema::schema;
pub use validation::{ValidationError, ValidationErrors};
pub use variables::{ADMIN_ADDRESS_VARIABLE, CONFIGURATION_FILE_VARIABLE};
