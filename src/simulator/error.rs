//! What can be wrong with a message of the wire.

use super::instance::InstanceNumber;
use crate::configuration::settings_document::SettingsDocumentError;
use crate::policy::SettingsError;

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A part of the line is no field.
    #[error("{message}: '{text}' is not name=value")]
    MalformedField {
        /// The message's name.
        message: String,
        /// The part.
        text: String,
    },
    /// A field is missing.
    #[error("{message}: {field} is missing")]
    Missing {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
    },
    /// A field's value is not of its kind.
    #[error("{message}: {field}={value} cannot be read")]
    InvalidValue {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// A field's value is none of those that there are.
    #[error("{message}: {field}={value} {problem}")]
    UnknownValue {
        /// The message's name.
        message: String,
        /// The field's name.
        field: &'static str,
        /// The value.
        value: String,
        /// Why it is none.
        problem: &'static str,
    },
    /// The line is no message.
    #[error("'{0}' is no message of this wire")]
    UnknownMessage(String),
    /// The settings of a new instance cannot be read.
    #[error("new_instance: params: {0}")]
    SettingsDocument(#[from] SettingsDocumentError),
    /// No instance can work with the settings.
    #[error("new_instance: params: {0}")]
    Settings(#[from] SettingsError),
    /// An entry came with no list to be in.
    #[error("entry: no directory is open")]
    EntryOutsideList,
    /// A list is not complete.
    #[error("directory list={list}: {received} of {announced} entries came")]
    IncompleteList {
        /// Its number.
        list: usize,
        /// Entries that came.
        received: usize,
        /// Entries that were announced.
        announced: usize,
    },
    /// A list is named that was never sent.
    #[error("members: list={0} was never sent")]
    UnknownList(usize),
    /// A batch begins within another.
    #[error("frame: the batch before has no 'go'")]
    NestedBatch,
    /// Time runs backwards.
    #[error("frame: momentNs is before that of the last batch")]
    TimeGoesBackwards,
    /// A message came between batches.
    #[error("'{0}' is outside a batch")]
    OutsideBatch(String),
    /// An instance is started twice.
    #[error("new_instance: sidecar/{} runs already", .0.0)]
    InstanceAlreadyRunning(InstanceNumber),
    /// An instance is named that does not run.
    #[error("sidecar/{} does not run", .0.0)]
    InstanceNotRunning(InstanceNumber),
}
