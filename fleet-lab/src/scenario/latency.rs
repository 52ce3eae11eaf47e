//! Added latency of one real sidecar and its processor time for each call, by rate of calls.

use super::context::RunContext;
use super::load::{
    CALLER_DEADLINE, SAFE_CLASS, UNSAFE_CLASS, describe_unserved, load_target, quantile_ms,
};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use super::single_sidecar::{SingleSidecar, SingleSidecarOptions};
use super::weight_change::toggle_weight;
use crate::caller::{self, LoadPlan, TargetResult};
use crate::experiment::AddedLatency;
use crate::loopback_tier::LoopbackTier;
use crate::measure::ProcessUsage;
use crate::sidecar::configuration::LoadReports;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub(super) fn run(
    plan: &AddedLatency,
    seed: u64,
    context: &RunContext,
) -> Result<ScenarioOutcome, ScenarioError> {
    let options = SingleSidecarOptions {
        endpoints: plan.endpoints,
        endpoint: &plan.endpoint,
        deadline: CALLER_DEADLINE,
        load_reports: LoadReports::WithResponses,
        seed,
    };
    let single_sidecar = SingleSidecar::start(&options, context)?;
    let direct = single_sidecar.start_unlisted_endpoint(&plan.endpoint)?;
    let mut table = MetricTable::with_size_unit("calls/s");
    let mut problems = Vec::new();
    for rate in &plan.rates {
        let load = load_plan(plan, *rate, seed, single_sidecar.sidecar.address(), direct);
        let measured = measure(&single_sidecar, &load, plan.changes_per_second)?;
        add_metrics(&mut table, *rate, &measured);
        problems.extend(find_problems(*rate, &measured));
    }
    add_notes(&mut table);
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems,
    })
}

fn add_notes(table: &mut MetricTable) {
    table.add_note(
        "through p99.9",
        "The maximum where fewer than 1,000 calls were measured.",
    );
    table.add_note(
        "unsafe added p99",
        "The maximum where fewer than 100 unsafe calls were measured.",
    );
    table.add_note(
        "processor time a call",
        "Over warm-up and measurement, divided by the attempts that the sidecar made.",
    );
    table.add_note(
        "resident memory",
        "It grows with the open connections, see `descriptors`.",
    );
}

/// The measurements at one rate.
struct Measured {
    /// The result of calls directly to an endpoint.
    direct: TargetResult,
    /// The result of calls through the sidecar that are safe to repeat.
    proxied: TargetResult,
    /// The result of calls through the sidecar that are unsafe to repeat, if the experiment has any.
    proxied_unsafe: Option<TargetResult>,
    processor_time: Duration,
    /// Attempts that the sidecar made.
    attempts: u64,
    /// Connections that the sidecar opened to endpoints.
    connections: u64,
    usage: ProcessUsage,
}

/// Plans the same rate of calls directly to an endpoint and through the sidecar. The calls through the sidecar are
/// split over two classes if the experiment has unsafe ones.
fn load_plan(
    plan: &AddedLatency,
    rate: f64,
    seed: u64,
    sidecar: SocketAddr,
    direct: SocketAddr,
) -> LoadPlan {
    let unsafe_rate = rate * plan.unsafe_fraction;
    let mut targets = vec![
        load_target(direct, rate, SAFE_CLASS),
        load_target(sidecar, rate - unsafe_rate, SAFE_CLASS),
    ];
    if unsafe_rate > 0.0 {
        targets.push(load_target(sidecar, unsafe_rate, UNSAFE_CLASS));
    }
    LoadPlan {
        targets,
        warm_up: Duration::from_secs_f64(plan.warm_up_seconds),
        duration: Duration::from_secs_f64(plan.seconds),
        seed,
    }
}

fn measure(
    single_sidecar: &SingleSidecar,
    load: &LoadPlan,
    changes_per_second: f64,
) -> Result<Measured, ScenarioError> {
    let usage_before = single_sidecar.usage()?;
    let attempts_before = single_sidecar.metric("upstream_requests")?;
    let connections_before = single_sidecar.endpoint_connections();
    let results = run_with_changes(load, changes_per_second, &single_sidecar.tier)
        .map_err(ScenarioError::step("run the callers"))?;
    let usage = single_sidecar.usage()?;
    let mut results = results.into_iter();
    let mut next = || {
        results
            .next()
            .ok_or_else(|| ScenarioError::Incomplete("a target has no result".into()))
    };
    Ok(Measured {
        direct: next()?,
        proxied: next()?,
        proxied_unsafe: next().ok(),
        processor_time: usage
            .processor_time
            .saturating_sub(usage_before.processor_time),
        attempts: single_sidecar
            .metric("upstream_requests")?
            .saturating_sub(attempts_before),
        connections: single_sidecar
            .endpoint_connections()
            .saturating_sub(connections_before),
        usage,
    })
}

/// Runs a load to its end while list changes are published at a constant rate.
fn run_with_changes(
    load: &LoadPlan,
    changes_per_second: f64,
    tier: &LoopbackTier,
) -> io::Result<Vec<TargetResult>> {
    if changes_per_second == 0.0 {
        return caller::run(load);
    }
    let period = Duration::from_secs_f64(1.0 / changes_per_second);
    thread::scope(|scope| {
        let callers = scope.spawn(|| caller::run(load));
        publish_changes(tier, period, || callers.is_finished());
        callers
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the callers' thread panicked")))
    })
}

/// Publishes the changed weight of one endpoint in each period, for one endpoint after another, until `is_over` returns
/// true.
fn publish_changes(tier: &LoopbackTier, period: Duration, is_over: impl Fn() -> bool) {
    let mut entries = tier.entries();
    let mut due = Instant::now();
    for entry in (0..entries.len()).cycle() {
        due += period;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if is_over() {
            return;
        }
        let change = toggle_weight(&mut entries[entry]);
        tier.discovery.publish(vec![change]);
    }
}

fn add_metrics(table: &mut MetricTable, rate: f64, measured: &Measured) {
    let Measured {
        direct,
        proxied,
        proxied_unsafe,
        ..
    } = measured;
    let direct_ms = |quantile| quantile_ms(&direct.latencies, quantile);
    let proxied_ms = |quantile| quantile_ms(&proxied.latencies, quantile);
    table.add("straight p50", "ms", rate, direct_ms(0.5));
    table.add("straight p99", "ms", rate, direct_ms(0.99));
    table.add("through p50", "ms", rate, proxied_ms(0.5));
    table.add("through p99", "ms", rate, proxied_ms(0.99));
    table.add("through p99.9", "ms", rate, proxied_ms(0.999));
    table.add("added p50", "ms", rate, proxied_ms(0.5) - direct_ms(0.5));
    table.add("added p99", "ms", rate, proxied_ms(0.99) - direct_ms(0.99));
    if let Some(proxied_unsafe) = proxied_unsafe {
        let unsafe_ms = |quantile| quantile_ms(&proxied_unsafe.latencies, quantile);
        table.add(
            "unsafe added p50",
            "ms",
            rate,
            unsafe_ms(0.5) - direct_ms(0.5),
        );
        table.add(
            "unsafe added p99",
            "ms",
            rate,
            unsafe_ms(0.99) - direct_ms(0.99),
        );
    }
    add_costs(table, rate, measured);
}

fn add_costs(table: &mut MetricTable, rate: f64, measured: &Measured) {
    let attempts = measured.attempts.max(1) as f64;
    let microseconds = measured.processor_time.as_secs_f64() * 1e6;
    table.add("processor time a call", "µs", rate, microseconds / attempts);
    table.add(
        "connections opened to endpoints a call",
        "1",
        rate,
        measured.connections as f64 / attempts,
    );
    table.add(
        "resident memory",
        "MB",
        rate,
        measured.usage.resident_bytes as f64 / 1e6,
    );
    table.add("descriptors", "1", rate, measured.usage.descriptors as f64);
    table.add(
        "connections that callers opened",
        "1",
        rate,
        measured.proxied.connections as f64,
    );
}

/// Describes the unserved calls of each target.
fn find_problems(rate: f64, measured: &Measured) -> Vec<String> {
    let Measured {
        direct,
        proxied,
        proxied_unsafe,
        ..
    } = measured;
    let targets = [
        ("straight", Some(direct)),
        ("through the sidecar", Some(proxied)),
        ("unsafe, through the sidecar", proxied_unsafe.as_ref()),
    ];
    targets
        .into_iter()
        .filter_map(|(name, result)| {
            describe_unserved(&format!("{name} at {rate} calls/s"), result?)
        })
        .collect()
}
