//! A real sidecar's memory by listed endpoints, open requests and callers' connections.

use super::context::RunContext;
use super::findings::{Findings, ScenarioError};
use super::held::HeldConnections;
use super::series::Series;
use super::single::{CALLER_DEADLINE, Single, SingleOptions};
use crate::endpoint::{EndpointOptions, ServiceTime};
use crate::experiment::Memory;
use crate::measure::ProcessUsage;
use std::thread;
use std::time::{Duration, Instant};

/// Endpoints of the measurements whose size is another.
const FEW_ENDPOINTS: u32 = 20;
/// How long an endpoint works on a request that is held open.
const HOLD: Duration = Duration::from_secs(60);
/// How long a sidecar rests before it is measured.
const SETTLE: Duration = Duration::from_secs(1);
/// How long requests may take to be open all at once.
const LONGEST_OPENING: Duration = Duration::from_secs(5);
/// The time between two looks at a state that is waited for.
const LOOK: Duration = Duration::from_millis(20);

pub(super) fn run(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
) -> Result<Findings, ScenarioError> {
    let mut findings = Findings::default();
    by_endpoints(plan, seed, context, &mut findings)?;
    by_open_requests(plan, seed, context, &mut findings)?;
    by_caller_connections(plan, seed, context, &mut findings)?;
    Ok(findings)
}

fn by_endpoints(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    findings: &mut Findings,
) -> Result<(), ScenarioError> {
    let mut series = Series::over("listed endpoints");
    for endpoints in &plan.endpoints {
        let single = start(
            *endpoints,
            ServiceTime::None,
            CALLER_DEADLINE,
            seed,
            context,
        )?;
        thread::sleep(SETTLE);
        let usage = single.usage()?;
        add(
            &mut series,
            "memory by endpoints",
            f64::from(*endpoints),
            &usage,
        );
    }
    findings.metrics.extend(series.with_slopes());
    Ok(())
}

fn by_open_requests(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    findings: &mut Findings,
) -> Result<(), ScenarioError> {
    let service_time = ServiceTime::Fixed {
        milliseconds: HOLD.as_secs_f64() * 1e3,
    };
    let single = start(FEW_ENDPOINTS, service_time, HOLD, seed, context)?;
    let mut held = HeldConnections::new(single.sidecar.address(), HOLD);
    let mut series = Series::over("open requests");
    for count in &plan.open_requests {
        held.open_requests(*count as usize)
            .map_err(ScenarioError::step("open requests"))?;
        let open = wait_for_pending(&single, u64::from(*count))?;
        thread::sleep(SETTLE);
        add(
            &mut series,
            "memory by open requests",
            open as f64,
            &single.usage()?,
        );
        if open < u64::from(*count) {
            findings
                .problems
                .push(format!("of {count} requests {open} were open at once"));
        }
    }
    findings.metrics.extend(series.with_slopes());
    Ok(())
}

fn by_caller_connections(
    plan: &Memory,
    seed: u64,
    context: &RunContext,
    findings: &mut Findings,
) -> Result<(), ScenarioError> {
    let single = start(
        FEW_ENDPOINTS,
        ServiceTime::None,
        CALLER_DEADLINE,
        seed,
        context,
    )?;
    let mut held = HeldConnections::new(single.sidecar.address(), CALLER_DEADLINE);
    let mut series = Series::over("idle callers' connections");
    for count in &plan.caller_connections {
        held.open_idle(*count as usize)
            .map_err(ScenarioError::step("open callers' connections"))?;
        thread::sleep(SETTLE);
        let usage = single.usage()?;
        add(
            &mut series,
            "memory by callers' connections",
            f64::from(*count),
            &usage,
        );
        if usage.descriptors < u64::from(*count) {
            let descriptors = usage.descriptors;
            findings.problems.push(format!(
                "of {count} connections at most {descriptors} were held"
            ));
        }
    }
    findings.metrics.extend(series.with_slopes());
    Ok(())
}

fn start(
    endpoints: u32,
    service_time: ServiceTime,
    deadline: Duration,
    seed: u64,
    context: &RunContext,
) -> Result<Single, ScenarioError> {
    let endpoint = EndpointOptions {
        cores: 10_000,
        queue: 0,
        service_time,
        slow_start: None,
        load_reports: false,
        answer_bytes: 100,
        error_share: 0.0,
    };
    let options = SingleOptions {
        endpoints,
        endpoint: &endpoint,
        deadline,
        health_checks: false,
        seed,
    };
    Single::start(&options, context)
}

fn add(series: &mut Series, name: &str, size: f64, usage: &ProcessUsage) {
    series.add(name, "bytes", size, usage.anonymous_bytes as f64);
}

/// Waits until so many requests are open; how many are at the end of the wait.
fn wait_for_pending(single: &Single, count: u64) -> Result<u64, ScenarioError> {
    let give_up = Instant::now() + LONGEST_OPENING;
    loop {
        let pending = single.figure("pending")?;
        if pending >= count || Instant::now() >= give_up {
            return Ok(pending);
        }
        thread::sleep(LOOK);
    }
}
