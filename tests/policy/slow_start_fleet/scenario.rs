//! Scenarios of the simulation: the fleet, its endpoints, and the cause of the warm-up.

use crate::host::default_settings;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// The number of balancers.
pub const BALANCERS: usize = 30;
/// The number of warm endpoints.
pub const WARM_ENDPOINTS: usize = 10;
/// The number of the warming endpoint, which follows the warm endpoints.
pub const WARMING_ENDPOINT: usize = WARM_ENDPOINTS;
/// The number of requests that an endpoint serves concurrently.
pub const WORKERS: usize = 8;
/// The mean service time of a warm endpoint.
pub const MEAN_SERVICE_TIME_S: f64 = 0.2;
/// The requests per second that one warm endpoint can serve.
pub const CAPACITY_PER_S: f64 = WORKERS as f64 / MEAN_SERVICE_TIME_S;
/// The age of the queue length that an endpoint reports.
pub const REPORT_DELAY: Duration = Duration::from_secs(1);
/// The number of waiting requests at which an endpoint rejects new ones.
pub const QUEUE_LIMIT: usize = 40;
/// The time from the first requests to the start of the warm-up.
pub const LEAD_TIME: Duration = Duration::from_secs(5);
/// The network delay in one direction.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// The longest time from a change of the list to its arrival at a balancer.
pub const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// The minimum of the requests sent to the warming endpoint, as a fraction of the requests that it could serve.
pub const MIN_USED_FRACTION: f64 = 0.02;
/// The weight of a balancer with a high arrival rate; the others have a weight of 1.
pub const HIGH_RATE_WEIGHT: f64 = 20.0;
/// The number of the first balancer with a high arrival rate, for each run.
pub const FIRST_HIGH_RATE_BALANCERS: [usize; 6] = [0, 5, 10, 15, 20, 25];

/// The cause of the warm-up.
#[derive(Clone, Copy, PartialEq)]
pub enum WarmUpCause {
    /// The endpoint joins the tier.
    Joining,
    /// The endpoint restarts, and the list has the new start time.
    Restart,
    /// Operators disable and enable the endpoint; the list has no start time.
    Enabling,
}

/// One run of the simulation.
pub struct Scenario {
    pub seed: u64,
    pub rules: Rules,
    pub cause: WarmUpCause,
    /// The requests per second of all balancers, as a fraction of the capacity of all endpoints when warm.
    pub load: f64,
    /// The weight of each balancer's arrival rate.
    pub weights: [f64; BALANCERS],
    /// The time from the start of the warm-up to the start of each balancer; `None` if the balancer starts with the
    /// run.
    pub starts: [Option<Duration>; BALANCERS],
}

impl Scenario {
    /// Returns a scenario with equal arrival rates and ordinary load.
    pub fn new(seed: u64, rules: Rules) -> Self {
        Scenario {
            seed,
            rules,
            cause: WarmUpCause::Joining,
            load: 0.85,
            weights: [1.0; BALANCERS],
            starts: [None; BALANCERS],
        }
    }
}

/// Returns rules with a long warm-up from a low capacity.
pub fn long_warm_up_rules() -> Rules {
    Rules {
        initial_capacity: 0.16,
        warm_up_time: Duration::from_secs(24),
        overload_multiple: 3.0,
        overload_window: Duration::from_secs(2),
        ..default_settings().rules
    }
}

/// Returns rules with a shorter warm-up, a shorter window and a lower limit.
pub fn short_warm_up_rules() -> Rules {
    Rules {
        initial_capacity: 0.2,
        warm_up_time: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(1),
        ..default_settings().rules
    }
}

/// Returns the fraction of its full capacity that the warming endpoint has at an age.
pub fn capacity_fraction(rules: &Rules, age: Duration) -> f64 {
    let warm_up_progress = age.as_secs_f64() / rules.warm_up_time.as_secs_f64();
    (rules.initial_capacity + (1.0 - rules.initial_capacity) * warm_up_progress).min(1.0)
}

/// Returns the number of requests that are allowed in a window that begins at an age. This is `N + 2 * sqrt(N) + 2` for
/// a mean of N requests.
pub fn allowed_in_window(rules: &Rules, age: Duration) -> f64 {
    let mean_capacity = capacity_fraction(rules, age + rules.overload_window / 2);
    let mean = rules.overload_multiple
        * CAPACITY_PER_S
        * mean_capacity
        * rules.overload_window.as_secs_f64();
    mean + 2.0 * mean.sqrt() + 2.0
}
