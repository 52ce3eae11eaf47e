//! The messages of the wire.

use super::error::WireError;
use super::fields::Fields;
use super::instance::InstanceNumber;
use crate::configuration::settings_document::parse_settings;
use crate::policy::{EndpointEntry, GroupId, ListKind, Readiness, Settings, Timestamp};

/// Lists that a process can hold, numbered from 0.
pub(super) const LIST_COUNT: usize = 16;

/// One line of the simulator.
#[derive(Debug)]
pub enum Message<'a> {
    /// A batch begins.
    BatchBegins {
        /// The time of its events.
        at: Timestamp,
    },
    /// A list follows.
    ListBegins {
        /// Its number.
        list: usize,
        /// Entry lines to come.
        entries: usize,
    },
    /// One line of a list.
    Entry(EndpointEntry),
    /// An instance starts.
    InstanceStarts {
        /// Its number.
        instance: InstanceNumber,
        /// For its random numbers.
        seed: u64,
        /// Its configuration.
        settings: Box<Settings>,
    },
    /// An instance is killed.
    InstanceEnds(InstanceNumber),
    /// An instance is told a list.
    ListTold {
        /// Its number.
        instance: InstanceNumber,
        /// The list's version.
        version: u64,
        /// The list's number.
        list: usize,
        /// What its entries stand for.
        kind: ListKind,
    },
    /// An instance is told that its call of discovery failed.
    DiscoveryFailed(InstanceNumber),
    /// Any other event for an instance, which its settings are needed to read.
    Event(InstanceNumber, Fields<'a>),
    /// The batch is complete.
    BatchEnds,
}

/// Reads one line.
///
/// # Errors
/// What is wrong with it.
pub fn parse_message(line: &str) -> Result<Message<'_>, WireError> {
    let fields = Fields::split(line)?;
    Ok(match fields.message() {
        "frame" => Message::BatchBegins {
            at: fields.timestamp("momentNs")?,
        },
        "go" => Message::BatchEnds,
        "directory" => Message::ListBegins {
            list: list_number(&fields)?,
            entries: fields.number("records")?,
        },
        "entry" => Message::Entry(parse_entry(&fields)?),
        "new_instance" => Message::InstanceStarts {
            seed: parse_seed(&fields)?,
            settings: Box::new(parse_settings(fields.text("params")?)?),
            instance: fields.instance()?,
        },
        "destroy" => Message::InstanceEnds(fields.instance()?),
        "members" => parse_members(&fields)?,
        "call" | "started" | "report_back" | "client_gone" | "due" | "probe_result" | "peer" => {
            Message::Event(fields.instance()?, fields)
        }
        other => return Err(WireError::UnknownMessage(other.into())),
    })
}

fn list_number(fields: &Fields<'_>) -> Result<usize, WireError> {
    let value = fields.text("list")?;
    let number: usize = fields.number("list")?;
    if number < LIST_COUNT {
        Ok(number)
    } else {
        Err(fields.out_of_range("list", value, "is not from 0 to 15"))
    }
}

/// The seed has 64 bits, which may be written as a signed number.
fn parse_seed(fields: &Fields<'_>) -> Result<u64, WireError> {
    let text = fields.text("nonce64")?;
    let signed = || text.parse::<i64>().ok().map(i64::cast_unsigned);
    fields.parsed("nonce64", text, text.parse::<u64>().ok().or_else(signed))
}

fn parse_members<'a>(fields: &Fields<'_>) -> Result<Message<'a>, WireError> {
    let version = fields.number_or_zero("rev")?;
    let kind = match fields.text("kind")? {
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "D" => ListKind::Changes,
        "X" => return Ok(Message::DiscoveryFailed(fields.instance()?)),
        other => return Err(fields.out_of_range("kind", other, "is not known")),
    };
    let list = list_number(fields)?;
    Ok(Message::ListTold {
        instance: fields.instance()?,
        version,
        list,
        kind,
    })
}

fn parse_entry(fields: &Fields<'_>) -> Result<EndpointEntry, WireError> {
    let size = fields.find("size").unwrap_or("1");
    let is_size = |size: &f64| size.is_finite() && *size >= 0.0;
    Ok(EndpointEntry {
        endpoint: fields.text("endpoint")?.into(),
        zone: fields.text("zone")?.into(),
        kind: fields.find("familyType").unwrap_or_default().into(),
        group: GroupId(fields.number_or_zero("pack")?),
        readiness: match fields.text("readiness")? {
            "U" => Readiness::Serving,
            "L" => Readiness::Draining,
            "D" => Readiness::Removed,
            other => return Err(fields.out_of_range("readiness", other, "is not known")),
        },
        size: fields.parsed("size", size, size.parse::<f64>().ok().filter(is_size))?,
        started_at: match fields.number_or_zero("upSinceNs")? {
            0 => None,
            nanos => Some(Timestamp::from_nanos(nanos)),
        },
    })
}
