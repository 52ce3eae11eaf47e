//! The balancer's settings as JSON: `settings` in a sidecar's configuration, and `params` of the simulator's message
//! that starts an instance.
//!
//! The keys of this format are the terms that the operators use. Only this module converts them to the terms of the
//! code: each field of the document types has the code's name, and its `serde` name is the key in the document.
//!
//! | key in the document | term in the code |
//! | --- | --- |
//! | `categories`, `customers` | classes, tenants |
//! | `effect`: `free`, `guarded`, `single_shot` | idempotency: idempotent, keyed, unsafe |
//! | `hardLimitNs`, `objectiveNs`, `aimStretch` | deadline, latency objective, growth of the objective with the work |
//! | `memorySpanNs`, `keyScope`: `cell` | deduplication window, key scope: group |
//! | `worth`, `lateShare`, `worthBy` | priority weight, late value, value basis |
//! | `portion`, `overShareWorth` | quota share, value of a request beyond it |
//! | `bounds`, `fees` | limits, prices |
//! | `sendCap`, `parallelTries`, `maxOpen` | maximum attempts, parallel attempts, maximum unanswered requests |
//! | `probes`, `probe`, `on_probe` | health checks |
//! | `mayTell` | peer messages |
//! | `dcs`, `stages`, `myNumber` | zones, tiers, peer ID |
//! | `passesDeadline`, `byArrival` | deadline propagation, key order |
//! | `discovery`: `automatic`, `subscribe` | lists pushed, lists on request |
//! | `weightSource` | source of the endpoint weights |
//! | `coldFrom`, `warmWithinNs` | initial capacity, warm-up time |
//! | `fallMultiple`, `fallNs` | overload multiple, overload window |
//! | `askWithinNs` | poll interval |
//! | `orderPauseNs` | key cooldown |
//! | `granularityNs` | tick |

mod conversion;
mod error;
mod key_path;
mod types;

pub use error::SettingsDocumentError;
pub(super) use key_path::document_key_path;
pub use types::SettingsDocument;

use crate::policy::Settings;

/// Parses a settings document. The ranges of the values are not checked; [`Settings::validate`] does that.
///
/// # Errors
/// Returns an error if the text is not JSON, if a value is missing or has the wrong type, or if a keyed class has no
/// key scope.
pub fn parse_settings(json: &str) -> Result<Settings, SettingsDocumentError> {
    let document: SettingsDocument = serde_json::from_str(json)?;
    Settings::try_from(document)
}
