//! What is simulated: the fleet, its endpoints, and how the cold one comes to be cold.

use crate::host::default_settings;
use balancer_sidecar::policy::*;
use std::time::Duration;

pub const INSTANCES: usize = 30;
pub const WARM_ENDPOINTS: usize = 10;
/// The cold endpoint's place in the list, behind the warm ones.
pub const COLD: usize = WARM_ENDPOINTS;
/// Requests that an endpoint works on at once, and how long one takes there in the mean when it is warm.
pub const WORKERS: usize = 8;
pub const MEAN_SERVICE_S: f64 = 0.2;
/// Requests a second that one warm endpoint serves.
pub const CAPACITY_PER_S: f64 = WORKERS as f64 / MEAN_SERVICE_S;
/// How old the queue length is that an endpoint reports.
pub const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Requests that wait at an endpoint before it refuses more.
pub const QUEUE_LIMIT: usize = 40;
/// Calls arrive for this long before the ramp begins.
pub const LEAD: Duration = Duration::from_secs(5);
/// One way on the network.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Discovery tells each instance of a change within this.
pub const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// The least part of what it could serve that the cold endpoint has to get over the ramp.
pub const LEAST_USE: f64 = 0.02;
/// How much more than the others the instances with a high rate get.
pub const HIGH_RATE: f64 = 20.0;
/// Places round the fleet at which the instances with a high rate begin.
pub const PLACES: [usize; 6] = [0, 5, 10, 15, 20, 25];

/// How the endpoint comes to be cold at the start of the ramp.
#[derive(Clone, Copy, PartialEq)]
pub enum ColdBy {
    /// It joins the tier.
    Joining,
    /// It restarts, and the list tells of the new start.
    Restart,
    /// The operators take it out and back in; the list tells of no restart.
    Ban,
}

/// One run of the simulation.
pub struct Scenario {
    pub seed: u64,
    pub rules: Rules,
    pub cold_by: ColdBy,
    /// Calls a second over all instances, as a part of what all endpoints serve when warm.
    pub load: f64,
    /// Each instance's part of the calls, in any unit.
    pub weights: [f64; INSTANCES],
    /// How long after the start of the ramp each instance starts; `None` is before it.
    pub starts: [Option<Duration>; INSTANCES],
}

impl Scenario {
    pub fn new(seed: u64, rules: Rules) -> Self {
        Scenario {
            seed,
            rules,
            cold_by: ColdBy::Joining,
            load: 0.85,
            weights: [1.0; INSTANCES],
            starts: [None; INSTANCES],
        }
    }
}

/// A long ramp from a low start.
pub fn slow_rules() -> Rules {
    Rules {
        initial_capacity: 0.16,
        warm_up_time: Duration::from_secs(24),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(2),
        ..default_settings().rules
    }
}

/// A shorter ramp with a narrower window and less allowed in it.
pub fn narrow_rules() -> Rules {
    Rules {
        initial_capacity: 0.2,
        warm_up_time: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(1),
        ..default_settings().rules
    }
}

/// The part of its capacity that the endpoint has so long after its start.
pub fn part_of_capacity(rules: &Rules, age: Duration) -> f64 {
    let warmth = age.as_secs_f64() / rules.warm_up_time.as_secs_f64();
    (rules.initial_capacity + (1.0 - rules.initial_capacity) * warmth).min(1.0)
}

/// What the settings allow in the window that begins at this age: N + 2 x root of N + 2 requests.
pub fn allowed_in_window(rules: &Rules, age: Duration) -> f64 {
    let mean_part = part_of_capacity(rules, age + rules.overload_window / 2);
    let n =
        rules.overload_multiple * CAPACITY_PER_S * mean_part * rules.overload_window.as_secs_f64();
    n + 2.0 * n.sqrt() + 2.0
}
