//! The cost of a fault, computed from a fleet's timeline.

use crate::scenario::fleet::add_convergence_times;
use crate::scenario::metric_table::MetricTable;
use crate::sidecar::simulated::{ConvergenceTimes, SecondCounts};
use std::time::Duration;

/// The longest time until all sidecars have the current list after a fault.
pub(super) const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The fleet counts as recovered in a second if the fraction of unserved calls is smaller than this.
const RECOVERED_FRACTION: f64 = 0.01;

/// The cost of a fault for the fleet's callers, and the time until all sidecars have the current list.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultCost {
    /// All calls.
    pub calls: u64,
    /// Calls that were rejected or failed.
    pub unserved: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// The largest fraction of unserved calls within one second.
    pub worst_unserved_fraction: f64,
    /// The largest number of retries for each call within one second.
    pub worst_retries_per_call: f64,
    /// Seconds until the fraction of unserved calls stayed below [`RECOVERED_FRACTION`].
    pub seconds_until_recovered: usize,
    /// The times at which the sidecars received the last change, counted from the end of the fault. `None` if there was
    /// no fault.
    pub convergence_times: Option<ConvergenceTimes>,
}

impl FaultCost {
    /// Computes the cost over these seconds.
    pub fn from_seconds(seconds: &[SecondCounts]) -> Self {
        let total = |count: fn(&SecondCounts) -> u64| seconds.iter().map(count).sum();
        let last_unrecovered = seconds
            .iter()
            .rposition(|second| unserved_fraction(second) >= RECOVERED_FRACTION);
        FaultCost {
            calls: total(|second| second.calls),
            unserved: total(|second| second.unserved),
            attempts: total(|second| second.attempts),
            worst_unserved_fraction: seconds.iter().map(unserved_fraction).fold(0.0, f64::max),
            worst_retries_per_call: seconds
                .iter()
                .map(|second| retries_per_call(second.attempts, second.calls))
                .fold(0.0, f64::max),
            seconds_until_recovered: last_unrecovered.map_or(0, |index| index + 1),
            convergence_times: None,
        }
    }
}

/// Returns the fraction of a second's calls that were unserved, at most 1. An unserved call counts in the second in
/// which it ends, and may have started in the previous one.
fn unserved_fraction(second: &SecondCounts) -> f64 {
    ratio(second.unserved, second.calls).min(1.0)
}

/// Returns the retries for each call, at least 0. There may be fewer attempts than calls: a rejected call has no
/// attempt, and a call of a second's last millisecond may have its first attempt in the next second.
fn retries_per_call(attempts: u64, calls: u64) -> f64 {
    ratio(attempts.saturating_sub(calls), calls)
}

fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator.max(1) as f64
}

/// Adds the cost of a fault to the metrics; `fault` is the fault's number.
pub(super) fn add_fault_cost(table: &mut MetricTable, fault: u64, cost: &FaultCost) {
    let number = fault as f64;
    let mut add = |name: &str, unit: &str, value: f64| table.add(name, unit, number, value);
    add("calls", "calls", cost.calls as f64);
    add("calls not served", "calls", cost.unserved as f64);
    add(
        "calls not served, share",
        "share",
        ratio(cost.unserved, cost.calls),
    );
    add(
        "calls not served, share in the worst second",
        "share",
        cost.worst_unserved_fraction,
    );
    add(
        "until less than 1 in 100 is not served",
        "s",
        cost.seconds_until_recovered as f64,
    );
    add("attempts", "attempts", cost.attempts as f64);
    add(
        "attempts beyond one",
        "a call",
        retries_per_call(cost.attempts, cost.calls),
    );
    add(
        "attempts beyond one in the worst second",
        "a call",
        cost.worst_retries_per_call,
    );
    if let Some(convergence_times) = &cost.convergence_times {
        add_convergence_times(
            table,
            "list current after the fault's end",
            &[("last", 1.0)],
            number,
            convergence_times,
            CONVERGENCE_TIMEOUT,
        );
    }
}
