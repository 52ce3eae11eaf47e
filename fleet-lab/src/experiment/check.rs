//! Checks of an experiment's values. Sizes, rates, fractions and durations are limited to what one machine can run.

use super::{
    AddedLatency, AddedLatencyByDepth, ControlCost, CrowdedDiscovery, DiscoveryCapacity,
    Experiment, Failures, Fleet, FleetRestart, InvalidValue, Measurement, Memory, Outage,
    Propagation, RetryAmplification,
};
use crate::endpoint::{EndpointOptions, ServiceTime};
use crate::fault::Fault;
use crate::topology::TopologySize;
use std::ops::RangeInclusive;

/// The largest number of simulated sidecars of a fleet.
const MAX_SIDECARS: u32 = 1_000;
/// The largest number of real sidecar processes of a measurement.
const MAX_PROCESSES: u64 = 300;
/// The largest number of endpoints of a measurement.
const MAX_ENDPOINTS: u32 = 5_000;
/// The largest number of client connections or pending requests at once. A sidecar has 4,096 descriptors, and a
/// pending request needs two of them.
const MAX_CONNECTIONS: u32 = 2_000;
/// The largest number of tiers of a chain.
const MAX_TIERS: u32 = 32;
/// The largest number of list changes, list versions or reloads of a measurement.
const MAX_EVENTS: u32 = 10_000;
/// The highest rate of calls per second.
const MAX_CALLS_PER_SECOND: f64 = 100_000.0;
/// The highest rate of list entries per second that discovery writes.
const MAX_ENTRIES_PER_SECOND: f64 = 1e9;
/// The longest duration, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// The longest service time of an endpoint, in milliseconds.
const MAX_SERVICE_MILLISECONDS: f64 = 60_000.0;
/// The largest body, in bytes.
const MAX_BODY_BYTES: u32 = 64 << 10;

/// Returns all invalid values of an experiment.
pub(super) fn find_invalid_values(experiment: &Experiment) -> Vec<InvalidValue> {
    let mut checker = Checker::default();
    checker.require("name", !experiment.name.trim().is_empty(), "is empty");
    checker.require("purpose", !experiment.purpose.trim().is_empty(), "is empty");
    match &experiment.measure {
        Measurement::AddedLatency(plan) => check_added_latency(plan, &mut checker),
        Measurement::AddedLatencyByDepth(plan) => check_added_latency_by_depth(plan, &mut checker),
        Measurement::RetryAmplification(plan) => check_retry_amplification(plan, &mut checker),
        Measurement::Memory(plan) => check_memory(plan, &mut checker),
        Measurement::ControlCost(plan) => check_control_cost(plan, &mut checker),
        Measurement::Propagation(plan) => check_propagation(plan, &mut checker),
        Measurement::Outage(plan) => check_outage(plan, &mut checker),
        Measurement::FleetRestart(plan) => check_fleet_restart(plan, &mut checker),
        Measurement::CrowdedDiscovery(plan) => check_crowded_discovery(plan, &mut checker),
        Measurement::Failures(plan) => check_failures(plan, &mut checker),
    }
    checker.0
}

/// Checks values and collects the invalid ones.
#[derive(Default)]
struct Checker(Vec<InvalidValue>);

impl Checker {
    /// Records a value as invalid unless `is_valid` is true.
    fn require(&mut self, field: &str, is_valid: bool, problem: impl Into<String>) {
        if !is_valid {
            self.0.push(InvalidValue {
                field: field.into(),
                problem: problem.into(),
            });
        }
    }

    /// Requires a value within inclusive bounds.
    fn within(&mut self, field: &str, value: impl Into<f64>, bounds: RangeInclusive<f64>) {
        let value = value.into();
        let problem = format!(
            "is {value}, not from {} to {}",
            bounds.start(),
            bounds.end()
        );
        self.require(field, bounds.contains(&value), problem);
    }

    /// Requires a value from 0 to 1.
    fn fraction(&mut self, field: &str, value: f64) {
        self.within(field, value, 0.0..=1.0);
    }

    /// Requires a value from 1 to `max`.
    fn count(&mut self, field: &str, value: u32, max: u32) {
        self.within(field, value, 1.0..=f64::from(max));
    }

    /// Requires a value above 0 and up to `max`.
    fn positive(&mut self, field: &str, value: f64, max: f64) {
        let problem = format!("is {value}, not above 0 and at most {max}");
        self.require(field, value > 0.0 && value <= max, problem);
    }

    /// Requires a duration above 0 and up to [`MAX_SECONDS`].
    fn seconds(&mut self, field: &str, value: f64) {
        self.positive(field, value, MAX_SECONDS);
    }

    /// Requires a duration from 0 to [`MAX_SECONDS`].
    fn seconds_or_zero(&mut self, field: &str, value: f64) {
        self.within(field, value, 0.0..=MAX_SECONDS);
    }

    /// Requires at least one size. All sizes must be above 0, up to `max` and in ascending order.
    fn sizes<T: Copy + Into<f64>>(&mut self, field: &str, sizes: &[T], max: f64) {
        let sizes: Vec<f64> = sizes.iter().map(|size| (*size).into()).collect();
        self.require(field, !sizes.is_empty(), "is empty");
        self.require(
            field,
            sizes.windows(2).all(|pair| pair[0] < pair[1]),
            "is not increasing",
        );
        for size in sizes {
            self.positive(field, size, max);
        }
    }
}

fn check_added_latency(plan: &AddedLatency, checker: &mut Checker) {
    checker.count("measure.endpoints", plan.endpoints, MAX_ENDPOINTS);
    checker.sizes("measure.rates", &plan.rates, MAX_CALLS_PER_SECOND);
    checker.within(
        "measure.changes_per_second",
        plan.changes_per_second,
        0.0..=1_000.0,
    );
    checker.fraction("measure.unsafe_share", plan.unsafe_fraction);
    check_endpoint_options(&plan.endpoint, checker);
    checker.seconds_or_zero("measure.warm_up_seconds", plan.warm_up_seconds);
    checker.seconds("measure.seconds", plan.seconds);
}

fn check_added_latency_by_depth(plan: &AddedLatencyByDepth, checker: &mut Checker) {
    check_chain(&plan.depths, plan.endpoints_per_tier, checker);
    checker.positive(
        "measure.calls_per_second",
        plan.calls_per_second,
        MAX_CALLS_PER_SECOND,
    );
    check_endpoint_options(&plan.endpoint, checker);
    checker.seconds_or_zero("measure.warm_up_seconds", plan.warm_up_seconds);
    checker.seconds("measure.seconds", plan.seconds);
}

fn check_retry_amplification(plan: &RetryAmplification, checker: &mut Checker) {
    check_chain(&plan.depths, plan.endpoints_per_tier, checker);
    checker.positive(
        "measure.calls_per_second",
        plan.calls_per_second,
        MAX_CALLS_PER_SECOND,
    );
    checker.fraction("measure.error_share", plan.error_rate);
    check_endpoint_options(&plan.endpoint, checker);
    checker.seconds("measure.seconds", plan.seconds);
}

/// Checks the sizes of chains. Each endpoint has its own sidecar, except those of the last tier.
fn check_chain(depths: &[u32], endpoints_per_tier: u32, checker: &mut Checker) {
    checker.sizes("measure.depths", depths, MAX_TIERS.into());
    checker.count(
        "measure.endpoints_per_tier",
        endpoints_per_tier,
        MAX_ENDPOINTS,
    );
    let max_depth = depths.iter().copied().max().unwrap_or(0);
    let processes = 1 + u64::from(max_depth.saturating_sub(1)) * u64::from(endpoints_per_tier);
    let problem = format!("needs {processes} sidecar processes, more than {MAX_PROCESSES}");
    checker.require("measure.depths", processes <= MAX_PROCESSES, problem);
}

fn check_memory(plan: &Memory, checker: &mut Checker) {
    checker.sizes("measure.endpoints", &plan.endpoints, MAX_ENDPOINTS.into());
    checker.sizes(
        "measure.open_requests",
        &plan.open_requests,
        MAX_CONNECTIONS.into(),
    );
    checker.sizes(
        "measure.caller_connections",
        &plan.caller_connections,
        MAX_CONNECTIONS.into(),
    );
}

fn check_control_cost(plan: &ControlCost, checker: &mut Checker) {
    checker.count("measure.endpoints", plan.endpoints, MAX_ENDPOINTS);
    checker.sizes("measure.changes", &plan.changes, MAX_EVENTS.into());
    checker.sizes("measure.reloads", &plan.reloads, MAX_EVENTS.into());
    checker.sizes(
        "measure.probing_rates",
        &plan.health_check_rates,
        MAX_CALLS_PER_SECOND,
    );
    checker.seconds("measure.seconds", plan.seconds);
}

fn check_propagation(plan: &Propagation, checker: &mut Checker) {
    check_fleet(&plan.fleet, checker);
    checker.count("measure.changes", plan.changes, MAX_EVENTS);
    checker.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn check_outage(plan: &Outage, checker: &mut Checker) {
    check_fleet(&plan.fleet, checker);
    checker.seconds("measure.outage_seconds", plan.outage_seconds);
    checker.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn check_fleet_restart(plan: &FleetRestart, checker: &mut Checker) {
    check_fleet(&plan.fleet, checker);
    checker.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn check_crowded_discovery(plan: &CrowdedDiscovery, checker: &mut Checker) {
    check_fleet(&plan.fleet, checker);
    checker.fraction("measure.restarted_fraction", plan.restarted_fraction);
    checker.count("measure.versions", plan.versions, MAX_EVENTS);
    checker.seconds("measure.interval_seconds", plan.interval_seconds);
    checker.seconds("measure.late_after_seconds", plan.late_after_seconds);
}

fn check_failures(plan: &Failures, checker: &mut Checker) {
    check_topology(&plan.topology, checker);
    checker.within(
        "measure.calls_per_second",
        plan.calls_per_second,
        0.0..=MAX_CALLS_PER_SECOND,
    );
    check_discovery("measure.discovery", &plan.discovery, checker);
    checker.require("measure.faults", !plan.faults.is_empty(), "is empty");
    for (index, fault) in plan.faults.iter().enumerate() {
        check_fault_size(
            &format!("measure.faults.{index}"),
            fault,
            plan.topology.endpoints,
            checker,
        );
    }
    checker.seconds("measure.fault_seconds", plan.fault_seconds);
    checker.seconds_or_zero("measure.rest_seconds", plan.pause_seconds);
}

fn check_fleet(plan: &Fleet, checker: &mut Checker) {
    checker.sizes("measure.fleet.sizes", &plan.sizes, MAX_SIDECARS.into());
    checker.count("measure.fleet.endpoints", plan.endpoints, MAX_ENDPOINTS);
    checker.within(
        "measure.fleet.calls_per_second",
        plan.calls_per_second,
        0.0..=MAX_CALLS_PER_SECOND,
    );
    check_discovery("measure.fleet.discovery", &plan.discovery, checker);
}

fn check_discovery(field: &str, capacity: &DiscoveryCapacity, checker: &mut Checker) {
    checker.positive(
        &format!("{field}.calls_per_second"),
        capacity.calls_per_second,
        MAX_CALLS_PER_SECOND,
    );
    checker.seconds(
        &format!("{field}.longest_wait_seconds"),
        capacity.queue_timeout_seconds,
    );
    if let Some(rate) = capacity.entries_per_second {
        let field = format!("{field}.entries_per_second");
        checker.positive(&field, rate, MAX_ENTRIES_PER_SECOND);
    }
}

fn check_topology(size: &TopologySize, checker: &mut Checker) {
    checker.count("measure.topology.regions", size.regions, 16);
    checker.count(
        "measure.topology.zones_per_region",
        size.zones_per_region,
        16,
    );
    checker.count("measure.topology.racks_per_zone", size.racks_per_zone, 64);
    checker.count("measure.topology.services", size.services, MAX_SIDECARS);
    checker.count("measure.topology.endpoints", size.endpoints, MAX_SIDECARS);
}

fn check_fault_size(field: &str, fault: &Fault, endpoints: u32, checker: &mut Checker) {
    match fault {
        Fault::Machines { count } => checker.count(&format!("{field}.count"), *count, endpoints),
        Fault::RollingRestart { count, wave } => {
            checker.count(&format!("{field}.count"), *count, endpoints);
            checker.count(&format!("{field}.wave"), *wave, *count);
        }
        Fault::Rack | Fault::Zone | Fault::RegionPartition | Fault::DiscoveryOutage => {}
    }
}

fn check_endpoint_options(options: &EndpointOptions, checker: &mut Checker) {
    checker.count("measure.endpoint.cores", options.cores, 100_000);
    checker.within("measure.endpoint.queue", options.queue, 0.0..=100_000.0);
    check_service_time(options.service_time, checker);
    if let Some(slow_start) = &options.slow_start {
        checker.fraction(
            "measure.endpoint.cold_ramp.from",
            slow_start.initial_capacity,
        );
    }
    let body_fits = options.answer_bytes <= MAX_BODY_BYTES as usize;
    checker.require(
        "measure.endpoint.answer_bytes",
        body_fits,
        format!("is above {MAX_BODY_BYTES}"),
    );
    checker.fraction("measure.endpoint.error_share", options.error_rate);
}

fn check_service_time(service_time: ServiceTime, checker: &mut Checker) {
    let (field, milliseconds) = match service_time {
        ServiceTime::None => return,
        ServiceTime::Fixed { milliseconds } => {
            ("measure.endpoint.service_time.milliseconds", milliseconds)
        }
        ServiceTime::Exponential { mean_milliseconds } => (
            "measure.endpoint.service_time.mean_milliseconds",
            mean_milliseconds,
        ),
    };
    checker.within(field, milliseconds, 0.0..=MAX_SERVICE_MILLISECONDS);
}
