//! Memory of a real sidecar, by the numbers of listed endpoints, pending requests and client connections.

use super::client_connections::ClientConnections;
use super::context::RunContext;
use super::load::CALLER_DEADLINE;
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use super::single_sidecar::{SingleSidecar, SingleSidecarOptions};
use crate::endpoint::{EndpointOptions, ServiceTime};
use crate::experiment::Memory;
use crate::measure::ProcessUsage;
use crate::sidecar::configuration::LoadReports;
use std::thread;
use std::time::{Duration, Instant};

/// The number of endpoints in measurements by pending requests or client connections.
const FEW_ENDPOINTS: u32 = 20;
/// The service time of a request that is to stay pending during a measurement.
const SERVICE_TIME: Duration = Duration::from_secs(60);
/// The time from the start of a sidecar, or from a change of its load, to the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The longest time until all requests are pending.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which an awaited state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(super) fn run(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
) -> Result<ScenarioOutcome, ScenarioError> {
    let mut outcome = ScenarioOutcome::default();
    measure_by_endpoints(plan, seed, context, &mut outcome)?;
    measure_by_open_requests(plan, seed, context, &mut outcome)?;
    measure_by_caller_connections(plan, seed, context, &mut outcome)?;
    Ok(outcome)
}

fn measure_by_endpoints(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    outcome: &mut ScenarioOutcome,
) -> Result<(), ScenarioError> {
    let mut table = MetricTable::with_size_unit("listed endpoints");
    for endpoints in &plan.endpoints {
        let single_sidecar = start(
            *endpoints,
            ServiceTime::None,
            CALLER_DEADLINE,
            seed,
            context,
        )?;
        thread::sleep(SETTLE_TIME);
        let usage = single_sidecar.usage()?;
        add_memory(
            &mut table,
            "memory by endpoints",
            f64::from(*endpoints),
            &usage,
        );
    }
    outcome.metrics.extend(table.with_slopes());
    Ok(())
}

fn measure_by_open_requests(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    outcome: &mut ScenarioOutcome,
) -> Result<(), ScenarioError> {
    let service_time = ServiceTime::Fixed {
        milliseconds: SERVICE_TIME.as_secs_f64() * 1e3,
    };
    let single_sidecar = start(FEW_ENDPOINTS, service_time, SERVICE_TIME, seed, context)?;
    let mut client_connections =
        ClientConnections::new(single_sidecar.sidecar.address(), SERVICE_TIME);
    let mut table = MetricTable::with_size_unit("open requests");
    for count in &plan.open_requests {
        client_connections
            .open_requests(*count as usize)
            .map_err(ScenarioError::step("open requests"))?;
        let pending = wait_for_pending(&single_sidecar, u64::from(*count))?;
        thread::sleep(SETTLE_TIME);
        add_memory(
            &mut table,
            "memory by open requests",
            pending as f64,
            &single_sidecar.usage()?,
        );
        if pending < u64::from(*count) {
            outcome.problems.push(format!(
                "of {count} requests {pending} were pending at once"
            ));
        }
    }
    outcome.metrics.extend(table.with_slopes());
    Ok(())
}

fn measure_by_caller_connections(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    outcome: &mut ScenarioOutcome,
) -> Result<(), ScenarioError> {
    let single_sidecar = start(
        FEW_ENDPOINTS,
        ServiceTime::None,
        CALLER_DEADLINE,
        seed,
        context,
    )?;
    let mut client_connections =
        ClientConnections::new(single_sidecar.sidecar.address(), CALLER_DEADLINE);
    let mut table = MetricTable::with_size_unit("idle callers' connections");
    for count in &plan.caller_connections {
        client_connections
            .open_idle(*count as usize)
            .map_err(ScenarioError::step("open callers' connections"))?;
        thread::sleep(SETTLE_TIME);
        let usage = single_sidecar.usage()?;
        add_memory(
            &mut table,
            "memory by callers' connections",
            f64::from(*count),
            &usage,
        );
        if usage.descriptors < u64::from(*count) {
            let descriptors = usage.descriptors;
            outcome.problems.push(format!(
                "of {count} connections at most {descriptors} were open"
            ));
        }
    }
    outcome.metrics.extend(table.with_slopes());
    Ok(())
}

fn start(
    endpoints: u32,
    service_time: ServiceTime,
    deadline: Duration,
    seed: u64,
    context: &RunContext,
) -> Result<SingleSidecar, ScenarioError> {
    let endpoint = EndpointOptions {
        cores: 10_000,
        queue: 0,
        service_time,
        slow_start: None,
        load_reports: false,
        answer_bytes: 100,
        error_rate: 0.0,
    };
    let options = SingleSidecarOptions {
        endpoints,
        endpoint: &endpoint,
        deadline,
        load_reports: LoadReports::WithResponses,
        seed,
    };
    SingleSidecar::start(&options, context)
}

fn add_memory(table: &mut MetricTable, name: &str, size: f64, usage: &ProcessUsage) {
    table.add(name, "bytes", size, usage.anonymous_bytes as f64);
}

/// Waits until `count` requests are pending or a timeout has passed. Returns the number of pending requests at the end.
fn wait_for_pending(single_sidecar: &SingleSidecar, count: u64) -> Result<u64, ScenarioError> {
    let give_up_at = Instant::now() + OPEN_TIMEOUT;
    loop {
        let pending = single_sidecar.metric("pending")?;
        if pending >= count || Instant::now() >= give_up_at {
            return Ok(pending);
        }
        thread::sleep(POLL_INTERVAL);
    }
}
