//! Errors in the messages of the wire.

use super::instance::InstanceNumber;
use crate::configuration::settings_document::SettingsDocumentError;
use crate::policy::SettingsError;

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A part of the line is not of the form `name=value`.
    #[error("{message}: '{text}' is not name=value")]
    MalformedField {
        /// The name of the message.
        message: String,
        /// That part.
        text: String,
    },
    /// A field is missing.
    #[error("{message}: {field} is missing")]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: &'static str,
    },
    /// The value of a field has the wrong type.
    #[error("{message}: {field}={value} cannot be read")]
    InvalidValue {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// The value of a field is not among the allowed ones.
    #[error("{message}: {field}={value} {problem}")]
    UnknownValue {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: &'static str,
        /// The value.
        value: String,
        /// Why it is not allowed.
        problem: &'static str,
    },
    /// The wire has no such message.
    #[error("'{0}' is no message of this wire")]
    UnknownMessage(String),
    /// The settings of a new instance cannot be read.
    #[error("new_instance: params: {0}")]
    SettingsDocument(#[from] SettingsDocumentError),
    /// The settings of a new instance make no sense.
    #[error("new_instance: params: {0}")]
    Settings(#[from] SettingsError),
    /// An entry came outside a list.
    #[error("entry: no directory is open")]
    EntryOutsideList,
    /// A list is incomplete.
    #[error("directory list={list}: {received} of {announced} entries came")]
    IncompleteList {
        /// The number of the list.
        list: usize,
        /// The number of entries that came.
        received: usize,
        /// The number of entries that were announced.
        announced: usize,
    },
    /// The message names a list that was never sent.
    #[error("members: list={0} was never sent")]
    UnknownList(usize),
    /// A batch starts within another.
    #[error("frame: the batch before has no 'go'")]
    NestedBatch,
    /// The time of a batch is before that of the previous one.
    #[error("frame: momentNs is before that of the last batch")]
    TimeGoesBackwards,
    /// A message came between batches.
    #[error("'{0}' is outside a batch")]
    OutsideBatch(String),
    /// An instance of this number is already running.
    #[error("new_instance: sidecar/{} runs already", .0.0)]
    InstanceAlreadyRunning(InstanceNumber),
    /// No instance of this number is running.
    #[error("sidecar/{} does not run", .0.0)]
    InstanceNotRunning(InstanceNumber),
}
