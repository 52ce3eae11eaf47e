//! The fields of one message, with a parser for each kind of value.

use super::error::MessageError;
use super::instance::InstanceNumber;
use crate::policy::{LoadReport, Outcome, Timestamp};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::str::FromStr;
use std::time::Duration;

/// The fields whose value extends to the end of the line.
const REST_OF_LINE_FIELDS: [&str; 2] = ["params", "noteText"];
/// The maximum mean time in a load report, in milliseconds. Longer times are reduced to it.
const MAX_MEAN_MS: f64 = 1e9;
/// The initial capacity for the fields of a message. It is enough for most messages.
const TYPICAL_FIELD_COUNT: usize = 8;

/// The name and the fields of a message.
#[derive(Debug)]
pub struct MessageFields<'a> {
    message: &'a str,
    fields: Vec<Field<'a>>,
}

#[derive(Debug)]
struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

impl<'a> MessageFields<'a> {
    /// Splits a line into its name and fields.
    pub(super) fn split(line: &'a str) -> Result<Self, MessageError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let malformed = |text: &str| MessageError::MalformedField {
            message: message.into(),
            text: text.into(),
        };
        let mut fields = Vec::with_capacity(TYPICAL_FIELD_COUNT);
        while !rest.is_empty() {
            let (name, value) = rest.split_once('=').ok_or_else(|| malformed(rest))?;
            if name.is_empty() || name.contains(' ') {
                return Err(malformed(name));
            }
            let (value, next) = if REST_OF_LINE_FIELDS.contains(&name) {
                (value, "")
            } else {
                value.split_once(' ').unwrap_or((value, ""))
            };
            fields.push(Field { name, value });
            rest = next;
        }
        Ok(MessageFields { message, fields })
    }

    /// Returns the name of the message.
    pub(super) fn message(&self) -> &'a str {
        self.message
    }

    /// Returns the value of a field, if present.
    pub(super) fn find(&self, name: &str) -> Option<&'a str> {
        let field = self.fields.iter().find(|field| field.name == name);
        field.map(|field| field.value)
    }

    /// Returns the value of a field, or an error if it is missing.
    pub(super) fn text(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.find(field).ok_or_else(|| MessageError::MissingField {
            message: self.message.into(),
            field,
        })
    }

    /// Returns `parsed`, or the error for a value that cannot be parsed if it is `None`.
    pub(super) fn require_parsed<T>(
        &self,
        field: &'static str,
        value: &str,
        parsed: Option<T>,
    ) -> Result<T, MessageError> {
        let invalid = || MessageError::InvalidValue {
            message: self.message.into(),
            field,
            value: value.into(),
        };
        parsed.ok_or_else(invalid)
    }

    /// Returns the error for a value that is not among the allowed ones.
    pub(super) fn unknown_value_error(
        &self,
        field: &'static str,
        value: &str,
        problem: &'static str,
    ) -> MessageError {
        MessageError::UnknownValue {
            message: self.message.into(),
            field,
            value: value.into(),
            problem,
        }
    }

    /// Parses the value of a field as a number of the requested type.
    pub(super) fn number<T: FromStr>(&self, field: &'static str) -> Result<T, MessageError> {
        let value = self.text(field)?;
        self.require_parsed(field, value, value.parse().ok())
    }

    /// Parses the value of a field as an integer. Returns 0 if the field is missing.
    pub(super) fn number_or_zero(&self, field: &'static str) -> Result<u64, MessageError> {
        if self.find(field).is_some() {
            self.number(field)
        } else {
            Ok(0)
        }
    }

    /// Parses the value of a field as 0 (false) or 1 (true).
    pub(super) fn flag(&self, field: &'static str) -> Result<bool, MessageError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => self.require_parsed(field, other, None),
        }
    }

    /// Parses the value of a field as a time in nanoseconds.
    pub(super) fn timestamp(&self, field: &'static str) -> Result<Timestamp, MessageError> {
        Ok(Timestamp::from_nanos(self.number(field)?))
    }

    /// Parses the number of the instance to which the message is addressed.
    pub(super) fn instance(&self) -> Result<InstanceNumber, MessageError> {
        let value = self.text("sidecarId")?;
        let number = value
            .strip_prefix("sidecar/")
            .and_then(|number| number.parse().ok());
        self.require_parsed("sidecarId", value, number.map(InstanceNumber))
    }

    /// Parses the outcome of an attempt or a health check.
    pub(super) fn outcome(&self) -> Result<Outcome, MessageError> {
        let value = self.text("ending")?;
        let code: u64 = self.require_parsed("ending", value, value.parse().ok())?;
        Ok(match code {
            0 => Outcome::Served,
            255 => Outcome::Error,
            254 => Outcome::Rejected,
            253 => Outcome::TimedOut,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            _ => return Err(self.unknown_value_error("ending", value, "is not a completion code")),
        })
    }

    /// Parses the load report, if the message has one. Unknown measures are ignored.
    pub(super) fn load_report(&self) -> Result<Option<LoadReport>, MessageError> {
        let Some(text) = self.find("pressure") else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let parsed = pair
                .split_once(':')
                .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
            let (name, value) = self.require_parsed(
                "pressure",
                text,
                parsed.filter(|(_, value)| value.is_finite()),
            )?;
            match name {
                "depth" => report.queue_length = Some(value),
                "concurrent" => report.in_flight = Some(value),
                "load_share" => report.utilisation = Some(value),
                "mean_ms" => {
                    let seconds = value.clamp(0.0, MAX_MEAN_MS) / 1e3;
                    report.mean_time = Some(Duration::from_secs_f64(seconds));
                }
                "tps" => report.served_per_s = Some(value),
                "err_ps" => report.errors_per_s = Some(value),
                _ => {}
            }
        }
        Ok(Some(report))
    }

    /// Parses the data of a peer message.
    pub(super) fn data(&self) -> Result<Vec<u8>, MessageError> {
        match self.text("data")? {
            "-" => Ok(Vec::new()),
            text => self.require_parsed("data", text, BASE64.decode(text).ok()),
        }
    }
}
