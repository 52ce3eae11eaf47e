//! Processor time of a real sidecar for list changes, health checks and reloads, and the bytes of its watch.

use super::context::RunContext;
use super::load::{CALLER_DEADLINE, SAFE_CLASS, describe_unserved, load_target, run_load};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use super::single_sidecar::{SingleSidecar, SingleSidecarOptions};
use super::weight_change::toggle_weight;
use crate::caller::LoadPlan;
use crate::endpoint::{EndpointOptions, ServiceTime};
use crate::experiment::ControlCost;
use crate::report::Metric;
use crate::sidecar::configuration::LoadReports;
use std::thread;
use std::time::{Duration, Instant};

/// The priority weight that every second reload gives the class of safe requests.
const CHANGED_PRIORITY_WEIGHT: f64 = 0.9;
/// The time for which a sidecar runs before its idle state is measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Endpoints that answer immediately, with load reports.
const ENDPOINT: EndpointOptions = EndpointOptions {
    cores: 64,
    queue: 64,
    service_time: ServiceTime::None,
    slow_start: None,
    load_reports: true,
    answer_bytes: 100,
    error_rate: 0.0,
};

pub(super) fn run(
    plan: &ControlCost,
    seed: u64,
    context: &RunContext,
) -> Result<ScenarioOutcome, ScenarioError> {
    let period = Duration::from_secs_f64(plan.seconds);
    let mut outcome = ScenarioOutcome {
        metrics: measure_changes_and_reloads(plan, seed, context, period)?,
        problems: Vec::new(),
    };
    measure_health_checks(plan, seed, context, period, &mut outcome)?;
    Ok(outcome)
}

/// Measures the cost of an idle sidecar, and the additional cost of list changes and of reloads.
fn measure_changes_and_reloads(
    plan: &ControlCost,
    seed: u64,
    context: &RunContext,
    period: Duration,
) -> Result<Vec<Metric>, ScenarioError> {
    let single_sidecar = start(plan.endpoints, LoadReports::WithResponses, seed, context)?;
    thread::sleep(SETTLE_TIME);
    let idle = Cost::measure(&single_sidecar, || {
        thread::sleep(period);
        Ok(())
    })?;
    let mut metrics = idle_metrics(plan.endpoints, &idle, period);
    metrics.extend(measure_changes(plan, &single_sidecar, &idle, period)?);
    metrics.extend(measure_reloads(plan, &single_sidecar, &idle, period)?);
    Ok(metrics)
}

/// The sidecar's processor time and the bytes that discovery sends during an action.
struct Cost {
    processor_time: Duration,
    watch_bytes: u64,
}

impl Cost {
    /// Measures the cost of an action.
    fn measure(
        single_sidecar: &SingleSidecar,
        action: impl FnOnce() -> Result<(), ScenarioError>,
    ) -> Result<Self, ScenarioError> {
        let usage = single_sidecar.usage()?;
        let bytes = single_sidecar.tier.discovery.usage().bytes_written;
        action()?;
        Ok(Cost {
            processor_time: single_sidecar
                .usage()?
                .processor_time
                .saturating_sub(usage.processor_time),
            watch_bytes: single_sidecar.tier.discovery.usage().bytes_written - bytes,
        })
    }

    /// Returns the processor time in addition to that of an idle period of the same length, in milliseconds.
    fn milliseconds_beyond(&self, idle: &Cost) -> f64 {
        (self.processor_time.as_secs_f64() - idle.processor_time.as_secs_f64()) * 1e3
    }

    /// Returns the bytes on the watch in addition to those of an idle period of the same length.
    fn bytes_beyond(&self, idle: &Cost) -> f64 {
        self.watch_bytes as f64 - idle.watch_bytes as f64
    }
}

fn start(
    endpoints: u32,
    load_reports: LoadReports,
    seed: u64,
    context: &RunContext,
) -> Result<SingleSidecar, ScenarioError> {
    let options = SingleSidecarOptions {
        endpoints,
        endpoint: &ENDPOINT,
        deadline: CALLER_DEADLINE,
        load_reports,
        seed,
    };
    SingleSidecar::start(&options, context)
}

fn idle_metrics(endpoints: u32, idle: &Cost, period: Duration) -> Vec<Metric> {
    let seconds = period.as_secs_f64();
    let size = f64::from(endpoints);
    let mut table = MetricTable::with_size_unit("endpoints");
    let microseconds = idle.processor_time.as_secs_f64() * 1e6;
    table.add(
        "idle processor time a second",
        "µs",
        size,
        microseconds / seconds,
    );
    table.add(
        "idle watch a second",
        "bytes",
        size,
        idle.watch_bytes as f64 / seconds,
    );
    table.with_slopes()
}

/// Runs an action `count` times, evenly spread over a period, and waits for the end of the period.
fn repeat_evenly(
    count: u32,
    period: Duration,
    mut action: impl FnMut(usize) -> Result<(), ScenarioError>,
) -> Result<(), ScenarioError> {
    let started = Instant::now();
    for number in 0..count {
        let due = started + period * number / count;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        action(number as usize)?;
    }
    thread::sleep((started + period).saturating_duration_since(Instant::now()));
    Ok(())
}

/// Measures the additional cost of list changes, by their number.
fn measure_changes(
    plan: &ControlCost,
    single_sidecar: &SingleSidecar,
    idle: &Cost,
    period: Duration,
) -> Result<Vec<Metric>, ScenarioError> {
    let mut entries = single_sidecar.tier.entries();
    let mut table = MetricTable::with_size_unit("changes");
    for count in &plan.changes {
        let cost = Cost::measure(single_sidecar, || {
            repeat_evenly(*count, period, |number| {
                let entry = number % entries.len();
                let change = toggle_weight(&mut entries[entry]);
                single_sidecar.tier.discovery.publish(vec![change]);
                Ok(())
            })
        })?;
        let size = f64::from(*count);
        table.add(
            "processor time for changes",
            "ms",
            size,
            cost.milliseconds_beyond(idle),
        );
        table.add("watch for changes", "bytes", size, cost.bytes_beyond(idle));
    }
    Ok(table.with_slopes())
}

/// Measures the additional processor time of reloads, by their number.
fn measure_reloads(
    plan: &ControlCost,
    single_sidecar: &SingleSidecar,
    idle: &Cost,
    period: Duration,
) -> Result<Vec<Metric>, ScenarioError> {
    let mut configuration = single_sidecar.configuration.clone();
    let mut table = MetricTable::with_size_unit("reloads");
    for count in &plan.reloads {
        let cost = Cost::measure(single_sidecar, || {
            repeat_evenly(*count, period, |_| {
                let priority_weight = &mut configuration.classes[0].priority_weight;
                *priority_weight = if *priority_weight == CHANGED_PRIORITY_WEIGHT {
                    1.0
                } else {
                    CHANGED_PRIORITY_WEIGHT
                };
                single_sidecar
                    .sidecar
                    .reload(&configuration)
                    .map_err(ScenarioError::step("reload"))
            })
        })?;
        table.add(
            "processor time for reloads",
            "ms",
            f64::from(*count),
            cost.milliseconds_beyond(idle),
        );
    }
    table.add_note(
        "processor time for reloads",
        "With the calls to the operators' address that wait for each reload.",
    );
    Ok(table.with_slopes())
}

/// Measures, at each rate of calls, the number of health checks and the processor time with and without them.
fn measure_health_checks(
    plan: &ControlCost,
    seed: u64,
    context: &RunContext,
    period: Duration,
    outcome: &mut ScenarioOutcome,
) -> Result<(), ScenarioError> {
    let checking_sidecar = start(plan.endpoints, LoadReports::WithHealthChecks, seed, context)?;
    let reporting_sidecar = start(plan.endpoints, LoadReports::WithResponses, seed, context)?;
    let mut table = MetricTable::with_size_unit("calls/s");
    for rate in &plan.health_check_rates {
        let with_checks = measure_call_cost(
            &checking_sidecar,
            *rate,
            period,
            seed,
            &mut outcome.problems,
        )?;
        let without_checks = measure_call_cost(
            &reporting_sidecar,
            *rate,
            period,
            seed,
            &mut outcome.problems,
        )?;
        table.add(
            "probes a call",
            "1",
            *rate,
            with_checks.health_checks / with_checks.calls,
        );
        table.add(
            "probes a second",
            "1",
            *rate,
            with_checks.health_checks / period.as_secs_f64(),
        );
        table.add(
            "processor time a call with probes",
            "µs",
            *rate,
            with_checks.microseconds / with_checks.calls,
        );
        let microseconds = without_checks.microseconds / without_checks.calls;
        table.add(
            "processor time a call without probes",
            "µs",
            *rate,
            microseconds,
        );
    }
    outcome.metrics.extend(table.with_slopes());
    Ok(())
}

/// The number of calls at one rate, and the health checks and the processor time that they cause.
struct CallCost {
    calls: f64,
    health_checks: f64,
    microseconds: f64,
}

/// Runs calls at one rate and measures their cost.
fn measure_call_cost(
    single_sidecar: &SingleSidecar,
    rate: f64,
    period: Duration,
    seed: u64,
    problems: &mut Vec<String>,
) -> Result<CallCost, ScenarioError> {
    let target = load_target(single_sidecar.sidecar.address(), rate, SAFE_CLASS);
    let load = LoadPlan {
        targets: vec![target],
        warm_up: Duration::ZERO,
        duration: period,
        seed,
    };
    let health_checks = single_sidecar.endpoint_health_checks();
    let mut calls = 0;
    let cost = Cost::measure(single_sidecar, || {
        for result in run_load(&load)? {
            calls += result.requests;
            let measurement = match single_sidecar.configuration.load_reports {
                LoadReports::WithHealthChecks => "with health checks",
                LoadReports::WithResponses => "without health checks",
            };
            problems.extend(describe_unserved(
                &format!("{measurement} at {rate} calls/s"),
                &result,
            ));
        }
        Ok(())
    })?;
    Ok(CallCost {
        calls: calls.max(1) as f64,
        health_checks: (single_sidecar.endpoint_health_checks() - health_checks) as f64,
        microseconds: cost.processor_time.as_secs_f64() * 1e6,
    })
}
