//! What a fleet's arrivals and its calls of discovery add to the figures.

use crate::discovery::DiscoveryUsage;
use crate::scenario::metric_table::MetricTable;
use crate::sidecar::simulated::ConvergenceTimes;
use std::time::Duration;

/// What is said of a figure made from a quantile of arrivals where some are missing.
const MISSING_NOTE: &str = "Over all sidecars; \
    one that did not arrive counts with the whole wait, \
    so the value may be a lower bound.";

/// Adds the times at which this share of the sidecars had arrived, for each of these shares, and how many were
/// missing at the end of a wait of `timeout`.
pub(in crate::scenario) fn add_convergence_times(
    table: &mut MetricTable,
    what: &str,
    shares: &[(&str, f64)],
    size: f64,
    times: &ConvergenceTimes,
    timeout: Duration,
) {
    for (label, unserved_fraction) in shares {
        let name = format!("{what}: {label}");
        let time = quantile(times, *unserved_fraction).unwrap_or(timeout);
        table.add(&name, "ms", size, milliseconds(time));
        if times.missing > 0 {
            table.note(&name, MISSING_NOTE);
            table.omit_slope(&name);
        }
    }
    table.add(
        &format!("{what}: missing"),
        "sidecars",
        size,
        times.missing as f64,
    );
}

/// Adds what discovery was called for each sidecar between two readings of its usage.
pub(in crate::scenario) fn add_discovery_calls(
    table: &mut MetricTable,
    when: &str,
    size: f64,
    before: &DiscoveryUsage,
    after: &DiscoveryUsage,
) {
    let counts = [
        ("connections", before.connections, after.connections),
        ("lists", before.lists, after.lists),
        (
            "watches opened",
            before.watches_opened,
            after.watches_opened,
        ),
        ("calls rejected", before.rejected, after.rejected),
        ("calls abandoned", before.disconnected, after.disconnected),
    ];
    for (what, before, after) in counts {
        let name = format!("{what} {when}");
        table.add(&name, "a sidecar", size, (after - before) as f64 / size);
    }
}

/// Adds the arrivals of another wait to these.
pub(in crate::scenario) fn merge(times: &mut ConvergenceTimes, other: ConvergenceTimes) {
    times.reached_after.extend(other.reached_after);
    times.reached_after.sort();
    times.missing += other.missing;
}

/// A duration in milliseconds.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// The time at which this share of all sidecars had arrived, by nearest rank; none if not so many did.
fn quantile(times: &ConvergenceTimes, unserved_fraction: f64) -> Option<Duration> {
    let all = times.reached_after.len() + times.missing;
    let rank = (unserved_fraction * all as f64).ceil() as usize;
    times.reached_after.get(rank.max(1) - 1).copied()
}
