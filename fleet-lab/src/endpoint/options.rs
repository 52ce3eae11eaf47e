//! Options of a simulated endpoint.

use serde::{Deserialize, Serialize};

/// The longest service time, in milliseconds: a day.
const MAX_SERVICE_MILLISECONDS: f64 = 86_400_000.0;

/// The distribution of the time that an endpoint works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// No time.
    None,
    /// A fixed time.
    Fixed {
        /// In milliseconds.
        milliseconds: f64,
    },
    /// Exponentially distributed times.
    Exponential {
        /// The mean, in milliseconds.
        mean_milliseconds: f64,
    },
}

/// How an endpoint's capacity grows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    /// The fraction of its full capacity that it starts with.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// How long it warms up, in milliseconds.
    #[serde(rename = "milliseconds")]
    pub warm_up_milliseconds: u64,
}

/// How an endpoint behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointOptions {
    /// Requests that it works on at once.
    pub cores: u32,
    /// Requests that may be queued; further ones are rejected with 503 and `X-Not-Run: 1`.
    pub queue: u32,
    /// How long it works on a request.
    pub service_time: ServiceTime,
    /// How its capacity grows after its start.
    #[serde(rename = "cold_ramp")]
    pub slow_start: Option<SlowStart>,
    /// Whether its answers carry load reports, and health checks are answered.
    pub load_reports: bool,
    /// Bytes of an answer's body.
    pub answer_bytes: usize,
    /// The fraction of requests that are answered 500 after their work.
    #[serde(rename = "error_share", default)]
    pub error_rate: f64,
}

/// An option that is invalid. The messages name options by their keys in experiment files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidOption {
    #[error("an endpoint needs a core")]
    Cores,
    #[error("error_share must be from 0 to 1")]
    ErrorRate,
    #[error("cold_ramp.from must be above 0 and at most 1")]
    SlowStart,
    #[error("a service time must be above 0 and at most a day")]
    ServiceTime,
}

impl EndpointOptions {
    /// Checks the options; fails with the first invalid one.
    pub(super) fn validate(&self) -> Result<(), InvalidOption> {
        if self.cores == 0 {
            return Err(InvalidOption::Cores);
        }
        if !(0.0..=1.0).contains(&self.error_rate) {
            return Err(InvalidOption::ErrorRate);
        }
        if let Some(SlowStart {
            initial_capacity, ..
        }) = self.slow_start
            && !(initial_capacity > 0.0 && initial_capacity <= 1.0)
        {
            return Err(InvalidOption::SlowStart);
        }
        let milliseconds = match self.service_time {
            ServiceTime::None => return Ok(()),
            ServiceTime::Fixed { milliseconds } => milliseconds,
            ServiceTime::Exponential { mean_milliseconds } => mean_milliseconds,
        };
        if !(milliseconds > 0.0 && milliseconds <= MAX_SERVICE_MILLISECONDS) {
            return Err(InvalidOption::ServiceTime);
        }
        Ok(())
    }
}
