//! The errors in messages from the simulator.

use super::instance::InstanceNumber;
use crate::configuration::settings_document::SettingsDocumentError;
use crate::policy::SettingsError;

/// The error in a message from the simulator.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A part of the line is not of the form `name=value`.
    #[error("{message}: '{text}' is not name=value")]
    MalformedField {
        /// The name of the message.
        message: String,
        /// The malformed part.
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
    /// The value of a field cannot be parsed.
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
        /// The reason why it is not allowed.
        problem: &'static str,
    },
    /// The name of the message is unknown.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// The settings of a new instance cannot be read.
    #[error("new_instance: params: {0}")]
    SettingsDocument(#[from] SettingsDocumentError),
    /// The settings of a new instance have invalid values.
    #[error("new_instance: params: {0}")]
    Settings(#[from] SettingsError),
    /// An entry was received outside a list.
    #[error("entry: no directory is open")]
    EntryOutsideList,
    /// A list is incomplete when another message follows.
    #[error("directory list={list}: received {received} of {announced} entries")]
    IncompleteList {
        /// The number of the list.
        list: usize,
        /// The number of entries that were received.
        received: usize,
        /// The number of entries that were announced.
        announced: usize,
    },
    /// The message names a list that was never sent.
    #[error("members: list={0} was never sent")]
    UnknownList(usize),
    /// A batch starts before the previous one has ended.
    #[error("frame: the previous batch has no 'go'")]
    NestedBatch,
    /// The time of a batch is before that of the previous one.
    #[error("frame: momentNs is before that of the previous batch")]
    TimeGoesBackwards,
    /// A message was received between batches.
    #[error("'{0}' is outside a batch")]
    OutsideBatch(String),
    /// An instance with this number is already running.
    #[error("new_instance: sidecar/{} is already running", .0.0)]
    InstanceAlreadyRunning(InstanceNumber),
    /// No instance with this number is running.
    #[error("sidecar/{} is not running", .0.0)]
    InstanceNotRunning(InstanceNumber),
}
