//! Checks of an experiment's values: sizes, rates, fractions and durations within limits that one machine can run.

use super::{
    AddedLatency, AddedLatencyByDepth, ControlCost, CrowdedDiscovery, DiscoveryCapacity,
    Experiment, Failures, Fleet, FleetRestart, Measurement, Memory, Outage, Propagation,
    RetryAmplification, ValueFault,
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
/// The largest number of connections or pending requests at once. A sidecar has 4,096 descriptors, and a pending
/// request needs two.
const MAX_OPEN: u32 = 2_000;
/// The largest number of tiers of a chain.
const MAX_TIERS: u32 = 32;
/// The largest number of changes, reloads or faults of a measurement.
const MAX_EVENTS: u32 = 10_000;
/// The highest rate of calls a second, over all sidecars.
const MAX_RATE: f64 = 100_000.0;
/// The highest rate of list entries a second that discovery writes.
const MAX_ENTRIES_PER_SECOND: f64 = 1e9;
/// The longest duration, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// The longest service time of an endpoint, in milliseconds.
const MAX_SERVICE_MILLISECONDS: f64 = 60_000.0;
/// The largest body, in bytes.
const MAX_BODY_BYTES: u32 = 64 << 10;

/// Returns all invalid values of an experiment.
pub(super) fn faults(experiment: &Experiment) -> Vec<ValueFault> {
    let mut faults = Faults::default();
    faults.require("name", !experiment.name.trim().is_empty(), "is empty");
    faults.require("purpose", !experiment.purpose.trim().is_empty(), "is empty");
    match &experiment.measure {
        Measurement::AddedLatency(plan) => added_latency(plan, &mut faults),
        Measurement::AddedLatencyByDepth(plan) => added_latency_by_depth(plan, &mut faults),
        Measurement::RetryAmplification(plan) => retry_amplification(plan, &mut faults),
        Measurement::Memory(plan) => memory(plan, &mut faults),
        Measurement::ControlCost(plan) => control_cost(plan, &mut faults),
        Measurement::Propagation(plan) => propagation(plan, &mut faults),
        Measurement::Outage(plan) => outage(plan, &mut faults),
        Measurement::FleetRestart(plan) => fleet_restart(plan, &mut faults),
        Measurement::CrowdedDiscovery(plan) => crowded_discovery(plan, &mut faults),
        Measurement::Failures(plan) => failures(plan, &mut faults),
    }
    faults.0
}

/// Collects invalid values.
#[derive(Default)]
struct Faults(Vec<ValueFault>);

impl Faults {
    fn require(&mut self, field: &str, is_valid: bool, problem: impl Into<String>) {
        if !is_valid {
            self.0.push(ValueFault {
                field: field.into(),
                problem: problem.into(),
            });
        }
    }

    fn within(&mut self, field: &str, value: impl Into<f64>, bounds: RangeInclusive<f64>) {
        let value = value.into();
        let problem = format!(
            "is {value}, not from {} to {}",
            bounds.start(),
            bounds.end()
        );
        self.require(field, bounds.contains(&value), problem);
    }

    fn fraction(&mut self, field: &str, value: f64) {
        self.within(field, value, 0.0..=1.0);
    }

    fn count(&mut self, field: &str, value: u32, max: u32) {
        self.within(field, value, 1.0..=f64::from(max));
    }

    /// Requires a value above 0 and up to `max`.
    fn positive(&mut self, field: &str, value: f64, max: f64) {
        let problem = format!("is {value}, not above 0 and at most {max}");
        self.require(field, value > 0.0 && value <= max, problem);
    }

    fn seconds(&mut self, field: &str, value: f64) {
        self.positive(field, value, MAX_SECONDS);
    }

    fn seconds_or_zero(&mut self, field: &str, value: f64) {
        self.within(field, value, 0.0..=MAX_SECONDS);
    }

    /// Requires at least one size, all positive and bounded, in ascending order.
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

fn added_latency(plan: &AddedLatency, faults: &mut Faults) {
    faults.count("measure.endpoints", plan.endpoints, MAX_ENDPOINTS);
    faults.sizes("measure.rates", &plan.rates, MAX_RATE);
    faults.within(
        "measure.changes_per_second",
        plan.changes_per_second,
        0.0..=1_000.0,
    );
    faults.fraction("measure.unsafe_share", plan.unsafe_fraction);
    endpoint_options(&plan.endpoint, faults);
    faults.seconds_or_zero("measure.warm_up_seconds", plan.warm_up_seconds);
    faults.seconds("measure.seconds", plan.seconds);
}

fn added_latency_by_depth(plan: &AddedLatencyByDepth, faults: &mut Faults) {
    chain(&plan.depths, plan.endpoints_per_tier, faults);
    faults.positive("measure.calls_per_second", plan.calls_per_second, MAX_RATE);
    endpoint_options(&plan.endpoint, faults);
    faults.seconds_or_zero("measure.warm_up_seconds", plan.warm_up_seconds);
    faults.seconds("measure.seconds", plan.seconds);
}

fn retry_amplification(plan: &RetryAmplification, faults: &mut Faults) {
    chain(&plan.depths, plan.endpoints_per_tier, faults);
    faults.positive("measure.calls_per_second", plan.calls_per_second, MAX_RATE);
    faults.fraction("measure.error_share", plan.error_rate);
    endpoint_options(&plan.endpoint, faults);
    faults.seconds("measure.seconds", plan.seconds);
}

/// Checks chains in which each endpoint, except those of the last tier, has a sidecar of its own.
fn chain(depths: &[u32], endpoints_per_tier: u32, faults: &mut Faults) {
    faults.sizes("measure.depths", depths, MAX_TIERS.into());
    faults.count(
        "measure.endpoints_per_tier",
        endpoints_per_tier,
        MAX_ENDPOINTS,
    );
    let max_depth = depths.iter().copied().max().unwrap_or(0);
    let processes = 1 + u64::from(max_depth.saturating_sub(1)) * u64::from(endpoints_per_tier);
    let problem = format!("needs {processes} sidecar processes, more than {MAX_PROCESSES}");
    faults.require("measure.depths", processes <= MAX_PROCESSES, problem);
}

fn memory(plan: &Memory, faults: &mut Faults) {
    faults.sizes("measure.endpoints", &plan.endpoints, MAX_ENDPOINTS.into());
    faults.sizes(
        "measure.open_requests",
        &plan.open_requests,
        MAX_OPEN.into(),
    );
    faults.sizes(
        "measure.caller_connections",
        &plan.caller_connections,
        MAX_OPEN.into(),
    );
}

fn control_cost(plan: &ControlCost, faults: &mut Faults) {
    faults.count("measure.endpoints", plan.endpoints, MAX_ENDPOINTS);
    faults.sizes("measure.changes", &plan.changes, MAX_EVENTS.into());
    faults.sizes("measure.reloads", &plan.reloads, MAX_EVENTS.into());
    faults.sizes("measure.probing_rates", &plan.health_check_rates, MAX_RATE);
    faults.seconds("measure.seconds", plan.seconds);
}

fn propagation(plan: &Propagation, faults: &mut Faults) {
    fleet(&plan.fleet, faults);
    faults.count("measure.changes", plan.changes, MAX_EVENTS);
    faults.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn outage(plan: &Outage, faults: &mut Faults) {
    fleet(&plan.fleet, faults);
    faults.seconds("measure.outage_seconds", plan.outage_seconds);
    faults.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn fleet_restart(plan: &FleetRestart, faults: &mut Faults) {
    fleet(&plan.fleet, faults);
    faults.seconds("measure.longest_seconds", plan.timeout_seconds);
}

fn crowded_discovery(plan: &CrowdedDiscovery, faults: &mut Faults) {
    fleet(&plan.fleet, faults);
    faults.fraction("measure.restarted_fraction", plan.restarted_fraction);
    faults.count("measure.versions", plan.versions, MAX_EVENTS);
    faults.seconds("measure.interval_seconds", plan.interval_seconds);
    faults.seconds("measure.late_after_seconds", plan.late_after_seconds);
}

fn failures(plan: &Failures, faults: &mut Faults) {
    topology(&plan.topology, faults);
    faults.within(
        "measure.calls_per_second",
        plan.calls_per_second,
        0.0..=MAX_RATE,
    );
    discovery("measure.discovery", &plan.discovery, faults);
    faults.require("measure.faults", !plan.faults.is_empty(), "is empty");
    for (index, fault) in plan.faults.iter().enumerate() {
        fault_size(
            &format!("measure.faults.{index}"),
            fault,
            plan.topology.endpoints,
            faults,
        );
    }
    faults.seconds("measure.fault_seconds", plan.fault_seconds);
    faults.seconds_or_zero("measure.rest_seconds", plan.pause_seconds);
}

fn fleet(plan: &Fleet, faults: &mut Faults) {
    faults.sizes("measure.fleet.sizes", &plan.sizes, MAX_SIDECARS.into());
    faults.count("measure.fleet.endpoints", plan.endpoints, MAX_ENDPOINTS);
    faults.within(
        "measure.fleet.calls_per_second",
        plan.calls_per_second,
        0.0..=MAX_RATE,
    );
    discovery("measure.fleet.discovery", &plan.discovery, faults);
}

fn discovery(field: &str, capacity: &DiscoveryCapacity, faults: &mut Faults) {
    faults.positive(
        &format!("{field}.calls_per_second"),
        capacity.calls_per_second,
        MAX_RATE,
    );
    faults.seconds(
        &format!("{field}.longest_wait_seconds"),
        capacity.queue_timeout_seconds,
    );
    if let Some(rate) = capacity.entries_per_second {
        let field = format!("{field}.entries_per_second");
        faults.positive(&field, rate, MAX_ENTRIES_PER_SECOND);
    }
}

fn topology(size: &TopologySize, faults: &mut Faults) {
    faults.count("measure.topology.regions", size.regions, 16);
    faults.count(
        "measure.topology.zones_per_region",
        size.zones_per_region,
        16,
    );
    faults.count("measure.topology.racks_per_zone", size.racks_per_zone, 64);
    faults.count("measure.topology.services", size.services, MAX_SIDECARS);
    faults.count("measure.topology.endpoints", size.endpoints, MAX_SIDECARS);
}

fn fault_size(field: &str, fault: &Fault, endpoints: u32, faults: &mut Faults) {
    match fault {
        Fault::Machines { count } => faults.count(&format!("{field}.count"), *count, endpoints),
        Fault::RollingRestart { count, wave } => {
            faults.count(&format!("{field}.count"), *count, endpoints);
            faults.count(&format!("{field}.wave"), *wave, *count);
        }
        Fault::Rack | Fault::Zone | Fault::RegionPartition | Fault::DiscoveryOutage => {}
    }
}

fn endpoint_options(options: &EndpointOptions, faults: &mut Faults) {
    faults.count("measure.endpoint.cores", options.cores, 100_000);
    faults.within("measure.endpoint.queue", options.queue, 0.0..=100_000.0);
    service_time(options.service_time, faults);
    if let Some(slow_start) = &options.slow_start {
        faults.fraction(
            "measure.endpoint.cold_ramp.from",
            slow_start.initial_capacity,
        );
    }
    let body_fits = options.answer_bytes <= MAX_BODY_BYTES as usize;
    faults.require(
        "measure.endpoint.answer_bytes",
        body_fits,
        format!("is above {MAX_BODY_BYTES}"),
    );
    faults.fraction("measure.endpoint.error_share", options.error_rate);
}

fn service_time(service_time: ServiceTime, faults: &mut Faults) {
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
    faults.within(field, milliseconds, 0.0..=MAX_SERVICE_MILLISECONDS);
}
