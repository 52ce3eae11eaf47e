//! The fields of one message, and how each kind of value is read.

use super::error::WireError;
use super::instance::InstanceNumber;
use crate::policy::{LoadReport, Outcome, Timestamp};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::str::FromStr;
use std::time::Duration;

/// Fields whose text runs to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["params", "noteText"];
/// The longest mean time that a report is read for, in milliseconds.
const MAX_MEAN_MS: f64 = 1e9;

/// The fields behind a message's name.
#[derive(Debug)]
pub struct MessageFields<'a> {
    message: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

impl<'a> MessageFields<'a> {
    pub(super) fn split(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let not_a_field = |text: &str| WireError::MalformedField {
            message: message.into(),
            text: text.into(),
        };
        let mut parts = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (name, value) = rest.split_once('=').ok_or_else(|| not_a_field(rest))?;
            if name.is_empty() || name.contains(' ') {
                return Err(not_a_field(name));
            }
            let (value, next) = if TEXT_FIELDS.contains(&name) {
                (value, "")
            } else {
                value.split_once(' ').unwrap_or((value, ""))
            };
            parts.push((name, value));
            rest = next;
        }
        Ok(MessageFields { message, parts })
    }

    /// The message's name.
    pub(super) fn message(&self) -> &'a str {
        self.message
    }

    pub(super) fn find(&self, name: &str) -> Option<&'a str> {
        self.parts.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub(super) fn text(&self, field: &'static str) -> Result<&'a str, WireError> {
        self.find(field).ok_or_else(|| WireError::Missing {
            message: self.message.into(),
            field,
        })
    }

    /// A parsed value, or the error that it could not be read.
    pub(super) fn require_parsed<T>(
        &self,
        field: &'static str,
        value: &str,
        parsed: Option<T>,
    ) -> Result<T, WireError> {
        let unreadable = || WireError::InvalidValue {
            message: self.message.into(),
            field,
            value: value.into(),
        };
        parsed.ok_or_else(unreadable)
    }

    pub(super) fn unknown_value(
        &self,
        field: &'static str,
        value: &str,
        problem: &'static str,
    ) -> WireError {
        WireError::UnknownValue {
            message: self.message.into(),
            field,
            value: value.into(),
            problem,
        }
    }

    /// A whole number that fits the type asked for.
    pub(super) fn number<T: FromStr>(&self, field: &'static str) -> Result<T, WireError> {
        let value = self.text(field)?;
        self.require_parsed(field, value, value.parse().ok())
    }

    pub(super) fn number_or_zero(&self, field: &'static str) -> Result<u64, WireError> {
        if self.find(field).is_some() {
            self.number(field)
        } else {
            Ok(0)
        }
    }

    pub(super) fn flag(&self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => self.require_parsed(field, other, None),
        }
    }

    pub(super) fn timestamp(&self, field: &'static str) -> Result<Timestamp, WireError> {
        Ok(Timestamp::from_nanos(self.number(field)?))
    }

    pub(super) fn instance(&self) -> Result<InstanceNumber, WireError> {
        let value = self.text("sidecarId")?;
        let number = value.strip_prefix("sidecar/").and_then(|n| n.parse().ok());
        self.require_parsed("sidecarId", value, number.map(InstanceNumber))
    }

    pub(super) fn outcome(&self) -> Result<Outcome, WireError> {
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
            _ => return Err(self.unknown_value("ending", value, "is no completion code")),
        })
    }

    pub(super) fn load_report(&self) -> Result<Option<LoadReport>, WireError> {
        let Some(text) = self.find("pressure") else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let parsed = pair
                .split_once(':')
                .and_then(|(name, v)| Some((name, v.parse::<f64>().ok()?)));
            let (name, value) =
                self.require_parsed("pressure", text, parsed.filter(|(_, v)| v.is_finite()))?;
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

    pub(super) fn data(&self) -> Result<Vec<u8>, WireError> {
        match self.text("data")? {
            "-" => Ok(Vec::new()),
            text => self.require_parsed("data", text, BASE64.decode(text).ok()),
        }
    }
}
