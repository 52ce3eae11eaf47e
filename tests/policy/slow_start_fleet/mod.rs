//! Slow start in a whole fleet: thirty balancers that share one warming endpoint, without messages between them, keep
//! it together below the load at which it fails.
//!
//! The simulation is deterministic: seeded arrivals and service times on a simulated clock, without sockets. The
//! warming endpoint answers and reports as if it were warm, so that its load reports can not replace slow start.

mod scenario;
mod simulation;

use balancer_sidecar::policy::*;
use scenario::*;
use simulation::*;
use std::time::Duration;

/// Returns the highest load of an overload window of a run, as a fraction of what the settings allow.
fn max_window_load(rules: &Rules, reached: &[Timestamp]) -> f64 {
    let end = warm_up_start() + rules.warm_up_time;
    let inside = |first: &usize| reached[*first] + rules.overload_window <= end;
    let windows = (0..reached.len()).filter(inside).map(|first| {
        let until = reached[first] + rules.overload_window;
        let count = reached.partition_point(|at| *at < until) - first;
        count as f64 / allowed_in_window(rules, reached[first].since(warm_up_start()))
    });
    windows.fold(0.0, f64::max)
}

/// Returns the requests that the endpoint could serve while it is warming up.
fn servable_requests(rules: &Rules) -> f64 {
    let mean_capacity = capacity_fraction(rules, rules.warm_up_time / 2);
    mean_capacity * CAPACITY_PER_S * rules.warm_up_time.as_secs_f64()
}

/// Runs a scenario, and checks that the warming endpoint is neither overloaded nor left idle.
fn check(scenario: &Scenario) -> Observations {
    let observations = Fleet::run(scenario);
    let max_load = max_window_load(&scenario.rules, &observations.arrivals_at_warming);
    let used = observations.arrivals_at_warming.len() as f64 / servable_requests(&scenario.rules);
    println!(
        "seed {}: fullest window {max_load:.2}, used {used:.2}",
        scenario.seed
    );
    assert!(
        max_load <= 1.0,
        "seed {}: {max_load:.2} times what it can serve in a window",
        scenario.seed
    );
    assert!(
        used >= MIN_USED_FRACTION,
        "seed {}: {used:.3} of what it could serve",
        scenario.seed
    );
    observations
}

/// Returns weights with a high rate for some adjacent balancers, from `first` on.
fn unequal_weights(first: usize, high: usize) -> [f64; BALANCERS] {
    let mut weights = [1.0; BALANCERS];
    for number in 0..high {
        weights[(first + number) % BALANCERS] = HIGH_RATE;
    }
    weights
}

/// Returns start times of a third of the balancers, one after another over the first half of the warm-up.
fn late_starts(rules: &Rules) -> [Option<Duration>; BALANCERS] {
    let mut starts = [None; BALANCERS];
    for (number, start) in starts.iter_mut().step_by(3).enumerate() {
        let fraction = (number + 1) as f64 / BALANCERS as f64;
        *start = Some(rules.warm_up_time.mul_f64(fraction * 1.5));
    }
    starts
}

/// Guards the sum over balancers with equal arrival rates.
#[test]
fn balancers_with_equal_rates_spare_a_warming_endpoint() {
    for seed in 1..=4 {
        check(&Scenario::new(seed, slow_rules()));
    }
}

/// Guards the sum where six adjacent balancers, whose subsets overlap, have four fifths of the requests.
#[test]
fn balancers_with_very_unequal_rates_spare_a_warming_endpoint() {
    for (seed, first) in (1..).zip(FIRST_HIGH_RATE_BALANCERS) {
        let weights = unequal_weights(first, 6);
        check(&Scenario {
            weights,
            ..Scenario::new(seed, slow_rules())
        });
        check(&Scenario {
            weights,
            load: 1.5,
            ..Scenario::new(seed, slow_rules())
        });
        check(&Scenario {
            weights,
            load: 3.0,
            ..Scenario::new(seed, narrow_rules())
        });
    }
}

/// Guards the sum where one balancer has two fifths of the requests, and more than its subset can serve.
#[test]
fn one_balancer_with_a_high_rate_spares_a_warming_endpoint() {
    for (seed, first) in (1..).zip(FIRST_HIGH_RATE_BALANCERS) {
        check(&Scenario {
            weights: unequal_weights(first, 1),
            load: 1.5,
            ..Scenario::new(seed, slow_rules())
        });
    }
}

/// Guards balancers whose first list contains the warming endpoint: they know no arrival rate and no queue length yet.
#[test]
fn balancers_that_start_during_the_warm_up_spare_a_warming_endpoint() {
    for seed in 1..=3 {
        for rules in [slow_rules(), narrow_rules()] {
            let starts = late_starts(&rules);
            check(&Scenario {
                starts,
                ..Scenario::new(seed, rules.clone())
            });
            check(&Scenario {
                starts,
                load: 3.0,
                ..Scenario::new(seed, rules)
            });
        }
    }
}

/// Guards a restarted endpoint that every balancer knows already.
#[test]
fn a_restarted_endpoint_is_spared() {
    for seed in 1..=3 {
        check(&Scenario {
            cause: WarmUpCause::Restart,
            ..Scenario::new(seed, slow_rules())
        });
        let starts = late_starts(&slow_rules());
        check(&Scenario {
            cause: WarmUpCause::Restart,
            starts,
            ..Scenario::new(seed, slow_rules())
        });
    }
}

/// Guards an endpoint that the operators enable: every balancer may send to it at once.
#[test]
fn an_enabled_endpoint_is_spared() {
    for seed in 1..=3 {
        check(&Scenario {
            cause: WarmUpCause::Enabling,
            ..Scenario::new(seed, slow_rules())
        });
        check(&Scenario {
            cause: WarmUpCause::Enabling,
            ..Scenario::new(seed, narrow_rules())
        });
    }
}

/// Guards the one endpoint without a queue while the warm endpoints are throttled and requests are queued.
#[test]
fn an_overloaded_fleet_spares_a_warming_endpoint() {
    for (seed, load) in [(1, 1.5), (2, 2.0), (3, 3.0)] {
        let equal = Scenario {
            load,
            ..Scenario::new(seed, slow_rules())
        };
        let unequal = Scenario {
            weights: unequal_weights(10, 3),
            load,
            ..Scenario::new(seed, slow_rules())
        };
        for scenario in [equal, unequal] {
            let observations = check(&scenario);
            assert!(
                observations.rejected > 0,
                "seed {seed}: the warm endpoints are throttled"
            );
        }
    }
}

/// Guards slow start with other settings: its start, its end and its limit follow them.
#[test]
fn slow_start_follows_its_settings() {
    for seed in 1..=3 {
        check(&Scenario::new(seed, narrow_rules()));
        check(&Scenario {
            load: 3.0,
            ..Scenario::new(seed, narrow_rules())
        });
        check(&Scenario {
            weights: unequal_weights(10, 1),
            load: 1.5,
            ..Scenario::new(seed, narrow_rules())
        });
        let starts = late_starts(&narrow_rules());
        check(&Scenario {
            cause: WarmUpCause::Restart,
            starts,
            ..Scenario::new(seed, narrow_rules())
        });
    }
}
