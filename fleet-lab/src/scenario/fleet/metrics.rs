//! Metrics of convergence times and of the calls that sidecars make to discovery.

use crate::discovery::DiscoveryUsage;
use crate::scenario::metric_table::MetricTable;
use crate::sidecar::simulated::ConvergenceTimes;
use std::time::Duration;

/// The note on a quantile of convergence times if sidecars are missing.
const MISSING_NOTE: &str = "Over all sidecars; \
    one that is missing counts with the timeout, \
    so the value may be a lower bound.";

/// Adds quantiles of convergence times, and the number of sidecars that were missing at the timeout. A missing sidecar
/// counts with the timeout. If any is missing, the quantiles get a note and no slope.
pub(in crate::scenario) fn add_convergence_times(
    table: &mut MetricTable,
    state: &str,
    quantiles: &[(&str, f64)],
    size: f64,
    times: &ConvergenceTimes,
    timeout: Duration,
) {
    for (label, fraction) in quantiles {
        let name = format!("{state}: {label}");
        let time = quantile(times, *fraction).unwrap_or(timeout);
        table.add(&name, "ms", size, milliseconds(time));
        if times.missing > 0 {
            table.add_note(&name, MISSING_NOTE);
            table.omit_slope(&name);
        }
    }
    table.add(
        &format!("{state}: missing"),
        "sidecars",
        size,
        times.missing as f64,
    );
}

/// Adds the calls to discovery between two readings of its usage, divided by the number of sidecars.
pub(in crate::scenario) fn add_discovery_calls(
    table: &mut MetricTable,
    when: &str,
    size: f64,
    start: &DiscoveryUsage,
    end: &DiscoveryUsage,
) {
    let counts = [
        ("connections", start.connections, end.connections),
        ("lists", start.lists, end.lists),
        ("watches opened", start.watches_opened, end.watches_opened),
        ("calls rejected", start.rejected, end.rejected),
        ("calls abandoned", start.disconnected, end.disconnected),
    ];
    for (count_name, start, end) in counts {
        let name = format!("{count_name} {when}");
        table.add(&name, "a sidecar", size, (end - start) as f64 / size);
    }
}

/// Converts a duration to milliseconds.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Returns a quantile of the convergence times of all sidecars, by the nearest-rank method. Returns `None` if too few
/// sidecars have converged.
fn quantile(times: &ConvergenceTimes, fraction: f64) -> Option<Duration> {
    let all = times.reached_after.len() + times.missing;
    let rank = (fraction * all as f64).ceil() as usize;
    times.reached_after.get(rank.max(1) - 1).copied()
}
