//! Added latency and retry amplification of chains of real sidecars, by depth.

use super::chain::{Chain, ChainOptions, start_direct_chain};
use super::context::RunContext;
use super::load::{SAFE_CLASS, describe_unserved, load_target, quantile_ms, run_load};
use super::metric_table::MetricTable;
use super::outcome::{ScenarioError, ScenarioOutcome};
use crate::caller::{LoadPlan, TargetResult};
use crate::endpoint::EndpointOptions;
use crate::experiment::{AddedLatencyByDepth, RetryAmplification};
use std::time::Duration;

/// Measures the latency of calls through chains of sidecars and without sidecars.
pub(super) fn run_latency(
    plan: &AddedLatencyByDepth,
    seed: u64,
    context: &RunContext,
) -> Result<ScenarioOutcome, ScenarioError> {
    let mut table = MetricTable::with_size_unit("tiers");
    let mut problems = Vec::new();
    for depth in &plan.depths {
        let options = ChainOptions {
            depth: *depth,
            endpoints_per_tier: plan.endpoints_per_tier,
            endpoint: &plan.endpoint,
            last_endpoint: &plan.endpoint,
            seed,
        };
        let chain = Chain::start(&options, context)?;
        let direct = start_direct_chain(&chain.host, *depth, &plan.endpoint)?;
        let load = LoadPlan {
            targets: [direct, chain.address()]
                .map(|to| load_target(to, plan.calls_per_second, SAFE_CLASS))
                .into(),
            warm_up: Duration::from_secs_f64(plan.warm_up_seconds),
            duration: Duration::from_secs_f64(plan.seconds),
            seed,
        };
        let results = run_load(&load)?;
        let [direct, proxied] = &results[..] else {
            return Err(ScenarioError::Incomplete("a target has no result".into()));
        };
        add_latencies(&mut table, f64::from(*depth), direct, proxied);
        problems.extend(describe_unserved(
            &format!("straight over {depth} tiers"),
            direct,
        ));
        problems.extend(describe_unserved(
            &format!("through sidecars over {depth} tiers"),
            proxied,
        ));
    }
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems,
    })
}

fn add_latencies(
    table: &mut MetricTable,
    depth: f64,
    direct: &TargetResult,
    proxied: &TargetResult,
) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let direct_ms = quantile_ms(&direct.latencies, quantile);
        let proxied_ms = quantile_ms(&proxied.latencies, quantile);
        table.add(&format!("straight {name}"), "ms", depth, direct_ms);
        table.add(&format!("through {name}"), "ms", depth, proxied_ms);
        table.add(
            &format!("added {name}"),
            "ms",
            depth,
            proxied_ms - direct_ms,
        );
    }
}

/// Measures the attempts at the last tier, which fails a fraction of them, for each call of the first tier.
pub(super) fn run_amplification(
    plan: &RetryAmplification,
    seed: u64,
    context: &RunContext,
) -> Result<ScenarioOutcome, ScenarioError> {
    let mut table = MetricTable::with_size_unit("tiers");
    let failing_endpoint = EndpointOptions {
        error_rate: plan.error_rate,
        ..plan.endpoint.clone()
    };
    for depth in &plan.depths {
        let options = ChainOptions {
            depth: *depth,
            endpoints_per_tier: plan.endpoints_per_tier,
            endpoint: &plan.endpoint,
            last_endpoint: &failing_endpoint,
            seed,
        };
        let chain = Chain::start(&options, context)?;
        let load = LoadPlan {
            targets: vec![load_target(
                chain.address(),
                plan.calls_per_second,
                SAFE_CLASS,
            )],
            warm_up: Duration::ZERO,
            duration: Duration::from_secs_f64(plan.seconds),
            seed,
        };
        let results = run_load(&load)?;
        let calls = results
            .iter()
            .map(|result| result.requests)
            .sum::<u64>()
            .max(1) as f64;
        let served = results.iter().map(|result| result.served).sum::<u64>() as f64;
        let size = f64::from(*depth);
        table.add(
            "attempts at the last tier a call",
            "1",
            size,
            chain.last_tier_requests() as f64 / calls,
        );
        table.add("served share", "1", size, served / calls);
    }
    Ok(ScenarioOutcome {
        metrics: table.with_slopes(),
        problems: Vec::new(),
    })
}
