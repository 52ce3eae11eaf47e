//! Options of a simulated endpoint.

use serde::{Deserialize, Serialize};

/// The longest service time, in milliseconds: a day.
const MAX_SERVICE_MILLISECONDS: f64 = 86_400_000.0;

/// The distribution of service times: the time that an endpoint works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// No time.
    None,
    /// A fixed time.
    Fixed {
        /// The time, in milliseconds.
        milliseconds: f64,
    },
    /// Exponentially distributed times.
    Exponential {
        /// The mean, in milliseconds.
        mean_milliseconds: f64,
    },
}

/// The growth of an endpoint's capacity after its start. It is linear.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    /// The fraction of its full capacity that the endpoint has at its start.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// The time from its start to its full capacity, in milliseconds.
    #[serde(rename = "milliseconds")]
    pub warm_up_milliseconds: u64,
}

/// The behaviour of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointOptions {
    /// The number of requests that it works on at the same time.
    pub cores: u32,
    /// The largest number of queued requests. Further ones are rejected with 503 and `X-Not-Run: 1`.
    pub queue: u32,
    /// The time that it works on a request.
    pub service_time: ServiceTime,
    /// The growth of its capacity after its start; `None` for full capacity at once.
    #[serde(rename = "cold_ramp")]
    pub slow_start: Option<SlowStart>,
    /// True if its responses carry load reports and it responds to health checks.
    pub load_reports: bool,
    /// The size of the body of a successful response, in bytes.
    pub answer_bytes: usize,
    /// The fraction of requests whose response is 500, after the work on them.
    #[serde(rename = "error_share", default)]
    pub error_rate: f64,
}

/// An invalid option. The messages name options by their keys in experiment files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidOption {
    #[error("cores must be at least 1")]
    Cores,
    #[error("error_share must be from 0 to 1")]
    ErrorRate,
    #[error("cold_ramp.from must be above 0 and at most 1")]
    SlowStart,
    #[error("service_time must be above 0 and at most a day")]
    ServiceTime,
}

impl EndpointOptions {
    /// Checks the options and returns the first invalid one as an error.
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
