//! Latency that one real sidecar adds, and its processor time a call, by rate.

use super::context::RunContext;
use super::findings::{Findings, ScenarioError};
use super::series::Series;
use super::single::{
    CALLER_DEADLINE, SAFE_CLASS, Single, SingleOptions, UNSAFE_CLASS, quantile_ms, unserved,
};
use crate::caller::{self, LoadPlan, LoadTarget, TargetResult};
use crate::discovery::{DiscoveryServer, EndpointEntry};
use crate::endpoint::EndpointHandle;
use crate::experiment::AddedLatency;
use crate::measure::ProcessUsage;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The weight that a change gives an endpoint, in turn with its own.
const CHANGED_WEIGHT: f64 = 0.9;

pub(super) fn run(
    plan: &AddedLatency,
    seed: u64,
    context: &RunContext,
) -> Result<Findings, ScenarioError> {
    let options = SingleOptions {
        endpoints: plan.endpoints,
        endpoint: &plan.endpoint,
        deadline: CALLER_DEADLINE,
        health_checks: false,
        seed,
    };
    let single = Single::start(&options, context)?;
    let straight = single.add_unlisted(&plan.endpoint)?;
    let mut series = Series::over("calls/s");
    let mut problems = Vec::new();
    for rate in &plan.rates {
        let load = load_plan(plan, *rate, seed, single.sidecar.address(), straight);
        let measured = measure(&single, &load, plan.changes_per_second)?;
        add_metrics(&mut series, *rate, &measured);
        problems.extend(find_problems(*rate, &measured));
    }
    add_notes(&mut series);
    Ok(Findings {
        metrics: series.with_slopes(),
        problems,
    })
}

fn add_notes(series: &mut Series) {
    series.note(
        "through p99.9",
        "The longest one where fewer than 1,000 calls were measured.",
    );
    series.note(
        "unsafe added p99",
        "The longest one where fewer than 100 unsafe calls were measured.",
    );
    series.note(
        "processor time a call",
        "Over warm-up and measurement, divided by the attempts that the sidecar made.",
    );
    series.note(
        "resident memory",
        "It grows with the connections that are open, which `descriptors` tells.",
    );
}

/// What was measured at one rate.
struct Measured {
    straight: TargetResult,
    through: TargetResult,
    /// Calls that are unsafe to repeat, where there are any.
    through_unsafe: Option<TargetResult>,
    processor_time: Duration,
    attempts: u64,
    connections: u64,
    usage: ProcessUsage,
}

/// The same rate straight to an endpoint and through the sidecar, there perhaps parted over two classes.
fn load_plan(
    plan: &AddedLatency,
    rate: f64,
    seed: u64,
    sidecar: SocketAddr,
    straight: SocketAddr,
) -> LoadPlan {
    let unsafe_rate = rate * plan.unsafe_share;
    let mut targets = vec![
        target(straight, rate, SAFE_CLASS),
        target(sidecar, rate - unsafe_rate, SAFE_CLASS),
    ];
    if unsafe_rate > 0.0 {
        targets.push(target(sidecar, unsafe_rate, UNSAFE_CLASS));
    }
    LoadPlan {
        targets,
        warm_up: Duration::from_secs_f64(plan.warm_up_seconds),
        duration: Duration::from_secs_f64(plan.seconds),
        seed,
    }
}

fn target(address: SocketAddr, calls_per_second: f64, class: &str) -> LoadTarget {
    LoadTarget {
        address,
        calls_per_second,
        class: class.into(),
        is_unsafe: class == UNSAFE_CLASS,
        deadline: CALLER_DEADLINE,
    }
}

fn measure(
    single: &Single,
    load: &LoadPlan,
    changes_per_second: f64,
) -> Result<Measured, ScenarioError> {
    let usage_before = single.usage()?;
    let attempts_before = single.figure("upstream_requests")?;
    let connections_before = single.endpoint_connections();
    let results = run_with_changes(
        load,
        changes_per_second,
        &single.discovery,
        &single.endpoints,
    )
    .map_err(ScenarioError::step("run the callers"))?;
    let usage = single.usage()?;
    let mut results = results.into_iter();
    let mut next = || {
        results
            .next()
            .ok_or_else(|| ScenarioError::NotReached("a result for each target".into()))
    };
    Ok(Measured {
        straight: next()?,
        through: next()?,
        through_unsafe: next().ok(),
        processor_time: usage
            .processor_time
            .saturating_sub(usage_before.processor_time),
        attempts: single
            .figure("upstream_requests")?
            .saturating_sub(attempts_before),
        connections: single
            .endpoint_connections()
            .saturating_sub(connections_before),
        usage,
    })
}

/// Runs a load to its end, while the list changes at a steady rate.
fn run_with_changes(
    load: &LoadPlan,
    changes_per_second: f64,
    discovery: &DiscoveryServer,
    endpoints: &[EndpointHandle],
) -> io::Result<Vec<TargetResult>> {
    if changes_per_second == 0.0 {
        return caller::run(load);
    }
    let entries: Vec<EndpointEntry> = endpoints.iter().map(EndpointHandle::entry).collect();
    let period = Duration::from_secs_f64(1.0 / changes_per_second);
    thread::scope(|scope| {
        let callers = scope.spawn(|| caller::run(load));
        publish_changes(discovery, entries, period, || callers.is_finished());
        callers
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the callers' thread panicked")))
    })
}

/// Changes the weight of one endpoint after another, once each period.
fn publish_changes(
    discovery: &DiscoveryServer,
    mut entries: Vec<EndpointEntry>,
    period: Duration,
    is_over: impl Fn() -> bool,
) {
    let mut due = Instant::now();
    for place in (0..entries.len()).cycle() {
        due += period;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if is_over() {
            return;
        }
        discovery.publish(vec![toggle_weight(&mut entries[place])]);
    }
}

/// Changes an endpoint's weight, or changes it back.
pub(super) fn toggle_weight(entry: &mut EndpointEntry) -> EndpointEntry {
    entry.weight = if entry.weight == CHANGED_WEIGHT {
        1.0
    } else {
        CHANGED_WEIGHT
    };
    entry.clone()
}

fn add_metrics(series: &mut Series, rate: f64, measured: &Measured) {
    let Measured {
        straight,
        through,
        through_unsafe,
        ..
    } = measured;
    let straight_ms = |quantile| quantile_ms(&straight.latencies, quantile);
    let through_ms = |quantile| quantile_ms(&through.latencies, quantile);
    series.add("straight p50", "ms", rate, straight_ms(0.5));
    series.add("straight p99", "ms", rate, straight_ms(0.99));
    series.add("through p50", "ms", rate, through_ms(0.5));
    series.add("through p99", "ms", rate, through_ms(0.99));
    series.add("through p99.9", "ms", rate, through_ms(0.999));
    series.add("added p50", "ms", rate, through_ms(0.5) - straight_ms(0.5));
    series.add(
        "added p99",
        "ms",
        rate,
        through_ms(0.99) - straight_ms(0.99),
    );
    if let Some(through_unsafe) = through_unsafe {
        let unsafe_ms = |quantile| quantile_ms(&through_unsafe.latencies, quantile);
        series.add(
            "unsafe added p50",
            "ms",
            rate,
            unsafe_ms(0.5) - straight_ms(0.5),
        );
        series.add(
            "unsafe added p99",
            "ms",
            rate,
            unsafe_ms(0.99) - straight_ms(0.99),
        );
    }
    add_costs(series, rate, measured);
}

fn add_costs(series: &mut Series, rate: f64, measured: &Measured) {
    let attempts = measured.attempts.max(1) as f64;
    let microseconds = measured.processor_time.as_secs_f64() * 1e6;
    series.add("processor time a call", "µs", rate, microseconds / attempts);
    series.add(
        "connections opened to endpoints a call",
        "1",
        rate,
        measured.connections as f64 / attempts,
    );
    series.add(
        "resident memory",
        "MB",
        rate,
        measured.usage.resident_bytes as f64 / 1e6,
    );
    series.add("descriptors", "1", rate, measured.usage.descriptors as f64);
    series.add(
        "connections that callers opened",
        "1",
        rate,
        measured.through.connections as f64,
    );
}

fn find_problems(rate: f64, measured: &Measured) -> Vec<String> {
    let Measured {
        straight,
        through,
        through_unsafe,
        ..
    } = measured;
    let targets = [
        ("straight", Some(straight)),
        ("through the sidecar", Some(through)),
        ("unsafe, through the sidecar", through_unsafe.as_ref()),
    ];
    targets
        .into_iter()
        .filter_map(|(name, result)| unserved(&format!("{name} at {rate} calls/s"), result?))
        .collect()
}
