//! Propagation delay of a list change and its cost for discovery, by fleet size.

use super::fleet::{CachedList, FleetPlan, RunningFleet, add_convergence_times};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::discovery::DiscoveryUsage;
use crate::experiment::Propagation;
use crate::sidecar::simulated::ConvergenceTimes;
use std::thread;
use std::time::{Duration, Instant};

/// The duration of the measurement without changes. It contains three heartbeats of discovery.
const IDLE_MEASUREMENT: Duration = Duration::from_secs(6);
/// The reported quantiles of the convergence times.
const QUANTILES: [(&str, f64); 3] = [("half", 0.5), ("99 in 100", 0.99), ("last", 1.0)];

pub(super) fn run(plan: &Propagation, seed: u64) -> Result<ScenarioOutcome, ScenarioError> {
    let mut table = MetricTable::with_size_unit("sidecars");
    for &size in &plan.fleet.sizes {
        let fleet = FleetPlan::new(&plan.fleet, size, CachedList::Full, seed).start()?;
        measure_idle(&fleet, &mut table);
        measure_changes(plan, &fleet, &mut table);
    }
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems: Vec::new(),
    })
}

/// Measures the bytes on idle watches and the processor time of discovery for them.
fn measure_idle(fleet: &RunningFleet, table: &mut MetricTable) {
    let started = Instant::now();
    let start_usage = fleet.discovery.usage();
    thread::sleep(IDLE_MEASUREMENT);
    let end_usage = fleet.discovery.usage();
    let watch_seconds = fleet.size as f64 * started.elapsed().as_secs_f64();
    let size = fleet.size as f64;
    let bytes = (end_usage.bytes_written - start_usage.bytes_written) as f64;
    table.add("idle bytes", "bytes/s a watch", size, bytes / watch_seconds);
    table.add(
        "idle processor time of discovery",
        "us/s a watch",
        size,
        processor_microseconds(&start_usage, &end_usage) / watch_seconds,
    );
}

/// Measures the propagation of the changes. Each is published after all sidecars have received the previous one, or
/// after the timeout.
fn measure_changes(plan: &Propagation, fleet: &RunningFleet, table: &mut MetricTable) {
    let timeout = Duration::from_secs_f64(plan.timeout_seconds);
    let mut times = ConvergenceTimes::default();
    let start_usage = fleet.discovery.usage();
    for number in 0..plan.changes {
        let published = Instant::now();
        let version = fleet.publish_change(number);
        times.merge(fleet.sidecars.wait_for_version(version, published, timeout));
    }
    let end_usage = fleet.discovery.usage();
    add_convergence_times(
        table,
        "change known",
        &QUANTILES,
        fleet.size as f64,
        &times,
        timeout,
    );
    add_change_cost(plan.changes, fleet, &start_usage, &end_usage, table);
}

/// Adds the bytes and the processor time of discovery for each delivery of a change to one watch.
fn add_change_cost(
    changes: u32,
    fleet: &RunningFleet,
    start_usage: &DiscoveryUsage,
    end_usage: &DiscoveryUsage,
    table: &mut MetricTable,
) {
    let size = fleet.size as f64;
    let deliveries = size * f64::from(changes);
    let bytes = end_usage.bytes_written - start_usage.bytes_written;
    let heartbeat_bytes = end_usage.heartbeat_bytes - start_usage.heartbeat_bytes;
    let change_bytes = (bytes - heartbeat_bytes) as f64;
    table.add(
        "bytes of a change",
        "bytes a watch",
        size,
        change_bytes / deliveries,
    );
    table.add(
        "processor time of discovery for a change",
        "us a watch",
        size,
        processor_microseconds(start_usage, end_usage) / deliveries,
    );
}

fn processor_microseconds(start_usage: &DiscoveryUsage, end_usage: &DiscoveryUsage) -> f64 {
    (end_usage.processor_time - start_usage.processor_time).as_secs_f64() * 1e6
}
