//! The messages from the simulator.

use super::error::MessageError;
use super::instance::InstanceNumber;
use super::message_fields::MessageFields;
use crate::configuration::settings_document::parse_settings;
use crate::policy::{EndpointEntry, GroupId, ListKind, Readiness, Settings, Timestamp};

/// The maximum number of endpoint lists that the adapter stores. They are numbered from 0.
pub(super) const LIST_COUNT: usize = 16;

/// One message, which is one line of the input.
#[derive(Debug)]
pub enum Message<'a> {
    /// `frame`: a batch starts.
    BatchStart {
        /// The time of all events of the batch.
        at: Timestamp,
    },
    /// `directory`: an endpoint list follows.
    ListStart {
        /// The number of the list.
        list: usize,
        /// The number of entries that follow.
        entries: usize,
    },
    /// `entry`: one endpoint of the list.
    ListEntry(EndpointEntry),
    /// `new_instance`: an instance starts.
    InstanceStart {
        /// The number of the instance.
        instance: InstanceNumber,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// `destroy`: an instance ends.
    InstanceEnd(InstanceNumber),
    /// `members`: an instance receives an endpoint list.
    ListReceived {
        /// The number of the instance.
        instance: InstanceNumber,
        /// The version of the list.
        version: u64,
        /// The number of the list.
        list: usize,
        /// The kind of the list: full, cached or changes only.
        kind: ListKind,
    },
    /// `members` with `kind=X`: a discovery call of an instance has failed.
    DiscoveryFailed(InstanceNumber),
    /// Any other event for an instance. `parse_event` parses its fields.
    Event(InstanceNumber, MessageFields<'a>),
    /// `go`: the batch is complete.
    BatchEnd,
}

/// Parses one line.
///
/// # Errors
/// Returns an error if the message is unknown, or if a field is missing or invalid.
pub fn parse_message(line: &str) -> Result<Message<'_>, MessageError> {
    let fields = MessageFields::split(line)?;
    Ok(match fields.message() {
        "frame" => Message::BatchStart {
            at: fields.timestamp("momentNs")?,
        },
        "go" => Message::BatchEnd,
        "directory" => Message::ListStart {
            list: list_number(&fields)?,
            entries: fields.number("records")?,
        },
        "entry" => Message::ListEntry(parse_entry(&fields)?),
        "new_instance" => Message::InstanceStart {
            seed: parse_seed(&fields)?,
            settings: Box::new(parse_settings(fields.text("params")?)?),
            instance: fields.instance()?,
        },
        "destroy" => Message::InstanceEnd(fields.instance()?),
        "members" => parse_members(&fields)?,
        "call" | "started" | "report_back" | "client_gone" | "due" | "probe_result" | "peer" => {
            Message::Event(fields.instance()?, fields)
        }
        other => return Err(MessageError::UnknownMessage(other.into())),
    })
}

fn list_number(fields: &MessageFields<'_>) -> Result<usize, MessageError> {
    let value = fields.text("list")?;
    let number: usize = fields.number("list")?;
    if number < LIST_COUNT {
        Ok(number)
    } else {
        Err(fields.unknown_value_error("list", value, "is not from 0 to 15"))
    }
}

/// Parses a seed of 64 bits, which may be written as an unsigned or a signed number.
fn parse_seed(fields: &MessageFields<'_>) -> Result<u64, MessageError> {
    let text = fields.text("nonce64")?;
    let signed = || text.parse::<i64>().ok().map(i64::cast_unsigned);
    fields.require_parsed("nonce64", text, text.parse::<u64>().ok().or_else(signed))
}

fn parse_members<'a>(fields: &MessageFields<'_>) -> Result<Message<'a>, MessageError> {
    let version = fields.number_or_zero("rev")?;
    let kind = match fields.text("kind")? {
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "D" => ListKind::Changes,
        "X" => return Ok(Message::DiscoveryFailed(fields.instance()?)),
        other => return Err(fields.unknown_value_error("kind", other, "is not known")),
    };
    let list = list_number(fields)?;
    Ok(Message::ListReceived {
        instance: fields.instance()?,
        version,
        list,
        kind,
    })
}

fn parse_entry(fields: &MessageFields<'_>) -> Result<EndpointEntry, MessageError> {
    let size = fields.find("size").unwrap_or("1");
    let is_size = |size: &f64| size.is_finite() && *size >= 0.0;
    Ok(EndpointEntry {
        endpoint: fields.text("endpoint")?.into(),
        zone: fields.text("zone")?.into(),
        machine_type: fields.find("familyType").unwrap_or_default().into(),
        group: GroupId(fields.number_or_zero("pack")?),
        readiness: match fields.text("readiness")? {
            "U" => Readiness::Serving,
            "L" => Readiness::Draining,
            "D" => Readiness::Removed,
            other => return Err(fields.unknown_value_error("readiness", other, "is not known")),
        },
        weight: fields.require_parsed("size", size, size.parse::<f64>().ok().filter(is_size))?,
        started_at: match fields.number_or_zero("upSinceNs")? {
            0 => None,
            nanos => Some(Timestamp::from_nanos(nanos)),
        },
    })
}
