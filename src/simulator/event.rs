//! Parses the events of an instance. Converts class and tenant names to the IDs of the instance's settings.

use super::error::MessageError;
use super::message_fields::MessageFields;
use crate::policy::{
    AttemptEnd, AttemptNumber, ClassId, Event, Key, PeerId, Request, RequestId, Settings, TenantId,
};
use std::collections::HashMap;
use std::time::Duration;

/// The bit in a request's attributes that marks its cost hint as valid.
const HAS_COST_HINT: u64 = 1;
/// The bit in a request's attributes that marks a retry by the client.
const IS_CLIENT_RETRY: u64 = 2;
/// The bit in a request's attributes that marks a write.
const IS_WRITE: u64 = 4;
/// The tenant name of a request without a tenant.
const NO_TENANT: &str = "0";

/// The IDs of an instance's classes and tenants by their names.
#[derive(Debug)]
pub(super) struct IdTable {
    classes: HashMap<String, ClassId>,
    tenants: HashMap<String, TenantId>,
}

impl IdTable {
    /// Creates the table for the settings of an instance.
    pub(super) fn from_settings(settings: &Settings) -> Self {
        let classes = settings
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| (class.name.clone(), ClassId(index)));
        let tenants = settings
            .tenants
            .iter()
            .enumerate()
            .map(|(index, tenant)| (tenant.name.clone(), TenantId(index)));
        IdTable {
            classes: classes.collect(),
            tenants: tenants.collect(),
        }
    }
}

/// Parses an event.
pub(super) fn parse_event(
    fields: &MessageFields<'_>,
    ids: &IdTable,
) -> Result<Event, MessageError> {
    Ok(match fields.message() {
        "call" => Event::Request(parse_request(fields, ids)?),
        "started" => Event::StreamStarted {
            request: request_id(fields)?,
            attempt: attempt(fields)?,
        },
        "report_back" => Event::AttemptEnded(AttemptEnd {
            request: request_id(fields)?,
            attempt: attempt(fields)?,
            outcome: fields.outcome()?,
            elapsed: time_taken(fields)?,
            request_ended: fields.flag("terminal")?,
            report: fields.load_report()?,
        }),
        "client_gone" => Event::ClientDisconnected {
            request: request_id(fields)?,
        },
        "due" => Event::Timer {
            token: fields.number("name")?,
        },
        "probe_result" => Event::HealthCheckEnded {
            endpoint: fields.text("endpoint")?.into(),
            outcome: fields.outcome()?,
            elapsed: time_taken(fields)?,
            report: fields.load_report()?,
        },
        "peer" => Event::PeerMessage {
            from: PeerId(fields.number("who")?),
            data: fields.data()?,
        },
        other => return Err(MessageError::UnknownMessage(other.into())),
    })
}

fn request_id(fields: &MessageFields<'_>) -> Result<RequestId, MessageError> {
    Ok(fields.text("xid")?.into())
}

fn attempt(fields: &MessageFields<'_>) -> Result<AttemptNumber, MessageError> {
    fields.number("attempt")
}

fn time_taken(fields: &MessageFields<'_>) -> Result<Duration, MessageError> {
    Ok(Duration::from_nanos(fields.number("timeTakenNs")?))
}

fn parse_request(fields: &MessageFields<'_>, ids: &IdTable) -> Result<Request, MessageError> {
    let class = fields.text("priority")?;
    let attributes = fields.number_or_zero("attrs")?;
    let hint = fields.number_or_zero("expectedNs")?;
    let has_hint = attributes & HAS_COST_HINT != 0 && hint > 0;
    let tenant = fields.find("org").filter(|tenant| *tenant != NO_TENANT);
    Ok(Request {
        id: request_id(fields)?,
        class: fields.require_parsed("priority", class, ids.classes.get(class).copied())?,
        tenant: match tenant {
            Some(name) => {
                Some(fields.require_parsed("org", name, ids.tenants.get(name).copied())?)
            }
            None => None,
        },
        key: fields.find("key").map(Key::from),
        deadline: fields.timestamp("validUntilNs")?,
        cost_hint: has_hint.then(|| Duration::from_nanos(hint)),
        client_retry: attributes & IS_CLIENT_RETRY != 0,
        write: attributes & IS_WRITE != 0,
    })
}
