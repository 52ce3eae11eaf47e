//! Tests of slow start in a fleet: 30 balancers share a warming endpoint and exchange no messages. Together they keep
//! its load below the level at which it would be overloaded.
//!
//! The simulation is deterministic: arrivals and service times are seeded, the clock is simulated, and there are no
//! sockets. The warming endpoint answers and reports as if it were warm. Its load reports therefore cannot limit the
//! load in place of slow start.

mod scenario;
mod simulation;

use balancer_sidecar::policy::*;
use scenario::*;
use simulation::*;
use std::time::Duration;

/// Returns the highest load of any overload window during the warm-up, as a fraction of the load that the settings
/// allow.
fn max_window_load(rules: &Rules, arrivals: &[Timestamp]) -> f64 {
    let end = warm_up_start() + rules.warm_up_time;
    let is_in_warm_up = |first: &usize| arrivals[*first] + rules.overload_window <= end;
    let windows = (0..arrivals.len()).filter(is_in_warm_up).map(|first| {
        let window_end = arrivals[first] + rules.overload_window;
        let count = arrivals.partition_point(|at| *at < window_end) - first;
        count as f64 / allowed_in_window(rules, arrivals[first].since(warm_up_start()))
    });
    windows.fold(0.0, f64::max)
}

/// Returns the number of requests that the endpoint could serve while it is warming up.
fn servable_requests(rules: &Rules) -> f64 {
    let mean_capacity = capacity_fraction(rules, rules.warm_up_time / 2);
    mean_capacity * CAPACITY_PER_S * rules.warm_up_time.as_secs_f64()
}

/// Runs a scenario, and checks that the warming endpoint is neither overloaded nor unused.
fn run_and_check(scenario: &Scenario) -> Observations {
    let observations = Fleet::run(scenario);
    let max_load = max_window_load(&scenario.rules, &observations.arrivals_at_warming);
    let used_fraction =
        observations.arrivals_at_warming.len() as f64 / servable_requests(&scenario.rules);
    println!(
        "seed {}: highest window load {max_load:.2}, used fraction {used_fraction:.2}",
        scenario.seed
    );
    assert!(
        max_load <= 1.0,
        "seed {}: {max_load:.2} times the allowed load of a window",
        scenario.seed
    );
    assert!(
        used_fraction >= MIN_USED_FRACTION,
        "seed {}: only {used_fraction:.3} of the servable requests",
        scenario.seed
    );
    observations
}

/// Returns weights with a high arrival rate for `high` adjacent balancers, from `first` on.
fn unequal_weights(first: usize, high: usize) -> [f64; BALANCERS] {
    let mut weights = [1.0; BALANCERS];
    for number in 0..high {
        weights[(first + number) % BALANCERS] = HIGH_RATE_WEIGHT;
    }
    weights
}

/// Returns start times for a third of the balancers, spread over the first half of the warm-up.
fn staggered_starts(rules: &Rules) -> [Option<Duration>; BALANCERS] {
    let mut starts = [None; BALANCERS];
    for (number, start) in starts.iter_mut().step_by(3).enumerate() {
        let fraction = (number + 1) as f64 / BALANCERS as f64;
        *start = Some(rules.warm_up_time.mul_f64(fraction * 1.5));
    }
    starts
}

/// Guards the warming endpoint when all balancers have equal arrival rates.
#[test]
fn load_is_bounded_with_equal_rates() {
    for seed in 1..=4 {
        run_and_check(&Scenario::new(seed, long_warm_up_rules()));
    }
}

/// Guards the warming endpoint when six adjacent balancers, whose subsets overlap, have four fifths of the requests.
#[test]
fn load_is_bounded_with_unequal_rates() {
    for (seed, first) in (1..).zip(FIRST_HIGH_RATE_BALANCERS) {
        let weights = unequal_weights(first, 6);
        run_and_check(&Scenario {
            weights,
            ..Scenario::new(seed, long_warm_up_rules())
        });
        run_and_check(&Scenario {
            weights,
            load: 1.5,
            ..Scenario::new(seed, long_warm_up_rules())
        });
        run_and_check(&Scenario {
            weights,
            load: 3.0,
            ..Scenario::new(seed, short_warm_up_rules())
        });
    }
}

/// Guards the warming endpoint when one balancer has two fifths of the requests, which is more than its subset can
/// serve.
#[test]
fn load_is_bounded_with_one_high_rate_balancer() {
    for (seed, first) in (1..).zip(FIRST_HIGH_RATE_BALANCERS) {
        run_and_check(&Scenario {
            weights: unequal_weights(first, 1),
            load: 1.5,
            ..Scenario::new(seed, long_warm_up_rules())
        });
    }
}

/// Guards the warming endpoint against balancers that start during its warm-up, and know no arrival rate or queue
/// length yet.
#[test]
fn load_is_bounded_with_balancers_starting_late() {
    for seed in 1..=3 {
        for rules in [long_warm_up_rules(), short_warm_up_rules()] {
            let starts = staggered_starts(&rules);
            run_and_check(&Scenario {
                starts,
                ..Scenario::new(seed, rules.clone())
            });
            run_and_check(&Scenario {
                starts,
                load: 3.0,
                ..Scenario::new(seed, rules)
            });
        }
    }
}

/// Guards a restarted endpoint, which every balancer already had in its list.
#[test]
fn load_is_bounded_after_a_restart() {
    for seed in 1..=3 {
        run_and_check(&Scenario {
            cause: WarmUpCause::Restart,
            ..Scenario::new(seed, long_warm_up_rules())
        });
        let starts = staggered_starts(&long_warm_up_rules());
        run_and_check(&Scenario {
            cause: WarmUpCause::Restart,
            starts,
            ..Scenario::new(seed, long_warm_up_rules())
        });
    }
}

/// Guards an endpoint that operators enable. Every balancer may then send to it at once.
#[test]
fn load_is_bounded_after_enabling() {
    for seed in 1..=3 {
        run_and_check(&Scenario {
            cause: WarmUpCause::Enabling,
            ..Scenario::new(seed, long_warm_up_rules())
        });
        run_and_check(&Scenario {
            cause: WarmUpCause::Enabling,
            ..Scenario::new(seed, short_warm_up_rules())
        });
    }
}

/// Guards the warming endpoint as the only one without a queue, while the warm endpoints are throttled and requests
/// wait.
#[test]
fn load_is_bounded_in_an_overloaded_fleet() {
    for (seed, load) in [(1, 1.5), (2, 2.0), (3, 3.0)] {
        let equal = Scenario {
            load,
            ..Scenario::new(seed, long_warm_up_rules())
        };
        let unequal = Scenario {
            weights: unequal_weights(10, 3),
            load,
            ..Scenario::new(seed, long_warm_up_rules())
        };
        for scenario in [equal, unequal] {
            let observations = run_and_check(&scenario);
            assert!(
                observations.rejected > 0,
                "seed {seed}: no request was rejected, so the fleet is not overloaded"
            );
        }
    }
}

/// Guards slow start with other settings of its initial capacity, duration and limit.
#[test]
fn load_is_bounded_with_other_settings() {
    for seed in 1..=3 {
        run_and_check(&Scenario::new(seed, short_warm_up_rules()));
        run_and_check(&Scenario {
            load: 3.0,
            ..Scenario::new(seed, short_warm_up_rules())
        });
        run_and_check(&Scenario {
            weights: unequal_weights(10, 1),
            load: 1.5,
            ..Scenario::new(seed, short_warm_up_rules())
        });
        let starts = staggered_starts(&short_warm_up_rules());
        run_and_check(&Scenario {
            cause: WarmUpCause::Restart,
            starts,
            ..Scenario::new(seed, short_warm_up_rules())
        });
    }
}
