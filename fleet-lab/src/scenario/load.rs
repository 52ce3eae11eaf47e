//! The load of experiments with real sidecars: request classes, targets and results.

use super::outcome::ScenarioError;
use crate::caller::{self, LoadPlan, LoadTarget, TargetResult};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::Duration;

/// The class of requests that are safe to repeat.
pub(super) const SAFE_CLASS: &str = "read";
/// The class of requests that must never run twice.
pub(super) const UNSAFE_CLASS: &str = "write";
/// The deadline of calls, unless an experiment sets another one.
pub(super) const CALLER_DEADLINE: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;

/// Returns a target that receives requests of one class.
pub(super) fn load_target(address: SocketAddr, calls_per_second: f64, class: &str) -> LoadTarget {
    LoadTarget {
        address,
        calls_per_second,
        class: class.into(),
        is_unsafe: class == UNSAFE_CLASS,
        deadline: CALLER_DEADLINE,
    }
}

/// Runs a load to its end and returns the results of the targets, in the order of the targets.
pub(super) fn run_load(load: &LoadPlan) -> Result<Vec<TargetResult>, ScenarioError> {
    caller::run(load).map_err(ScenarioError::step("run the callers"))
}

/// Returns a quantile of latencies in milliseconds.
pub(super) fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / NANOSECONDS_PER_MILLISECOND
}

/// Describes the calls that were not served, with the label of their measurement. Returns `None` if all were served.
pub(super) fn describe_unserved(label: &str, result: &TargetResult) -> Option<String> {
    let TargetResult {
        requests,
        served,
        rejected,
        failed,
        unanswered,
        ..
    } = result;
    (served < requests).then(|| {
        format!(
            "{label}: of {requests} calls {rejected} were rejected, {failed} failed and {unanswered} were unanswered"
        )
    })
}
