//! Slow start under a whole fleet: thirty instances that share one cold endpoint and do not talk to each other keep
//! it, in sum, below the count at which it falls.
//!
//! The simulation is deterministic: seeded arrivals and service times on a simulated clock, no sockets. The cold
//! endpoint answers and reports as if it were warm, so that its load reports cannot stand in for the ramp.

mod scenario;
mod simulation;

use balancer_sidecar::policy::*;
use scenario::*;
use simulation::*;
use std::time::Duration;

/// The fullest window of a run, as a part of what the settings allow in it.
fn fullest_window(rules: &Rules, reached: &[Timestamp]) -> f64 {
    let end = ramp_start() + rules.warm_up_time;
    let inside = |first: &usize| reached[*first] + rules.overload_window <= end;
    let windows = (0..reached.len()).filter(inside).map(|first| {
        let until = reached[first] + rules.overload_window;
        let count = reached.partition_point(|at| *at < until) - first;
        count as f64 / allowed_in_window(rules, reached[first].since(ramp_start()))
    });
    windows.fold(0.0, f64::max)
}

/// The requests that the endpoint could serve over the ramp.
fn servable(rules: &Rules) -> f64 {
    let mean_part = part_of_capacity(rules, rules.warm_up_time / 2);
    mean_part * CAPACITY_PER_S * rules.warm_up_time.as_secs_f64()
}

/// Runs a scenario; the cold endpoint may get neither more than it bears nor next to nothing.
fn check(scenario: &Scenario) -> Seen {
    let seen = Fleet::run(scenario);
    let fullest = fullest_window(&scenario.rules, &seen.reached_cold);
    let used = seen.reached_cold.len() as f64 / servable(&scenario.rules);
    println!(
        "seed {}: fullest window {fullest:.2}, used {used:.2}",
        scenario.seed
    );
    assert!(
        fullest <= 1.0,
        "seed {}: {fullest:.2} times what it bears in a window",
        scenario.seed
    );
    assert!(
        used >= LEAST_USE,
        "seed {}: {used:.3} of what it could serve",
        scenario.seed
    );
    seen
}

/// Some instances next to each other, from this one on, get much more than the others.
fn unequal(first: usize, high: usize) -> [f64; INSTANCES] {
    let mut weights = [1.0; INSTANCES];
    for n in 0..high {
        weights[(first + n) % INSTANCES] = HIGH_RATE;
    }
    weights
}

/// A third of the instances start one after another over the first half of the ramp.
fn late_starts(rules: &Rules) -> [Option<Duration>; INSTANCES] {
    let mut starts = [None; INSTANCES];
    for (n, start) in starts.iter_mut().step_by(3).enumerate() {
        let part_of_ramp = (n + 1) as f64 / INSTANCES as f64;
        *start = Some(rules.warm_up_time.mul_f64(part_of_ramp * 1.5));
    }
    starts
}

/// Guards the sum over instances that all get as much.
#[test]
fn instances_with_equal_rates_spare_a_cold_endpoint() {
    for seed in 1..=4 {
        check(&Scenario::new(seed, slow_rules()));
    }
}

/// Guards the sum where six neighbours, whose subsets overlap, carry four fifths of the calls.
#[test]
fn instances_with_very_unequal_rates_spare_a_cold_endpoint() {
    for (seed, first) in (1..).zip(PLACES) {
        let weights = unequal(first, 6);
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

/// Guards the sum where one instance carries two fifths of the calls, and more than its subset takes.
#[test]
fn one_instance_with_a_high_rate_spares_a_cold_endpoint() {
    for (seed, first) in (1..).zip(PLACES) {
        check(&Scenario {
            weights: unequal(first, 1),
            load: 1.5,
            ..Scenario::new(seed, slow_rules())
        });
    }
}

/// Guards instances whose first list has the cold endpoint: none of them has a rate or a queue length to go by yet.
#[test]
fn instances_that_start_during_the_ramp_spare_a_cold_endpoint() {
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

/// Guards an endpoint that every instance knows already, and whose restart the list tells of.
#[test]
fn a_restarted_endpoint_is_spared() {
    for seed in 1..=3 {
        check(&Scenario {
            cold_by: ColdBy::Restart,
            ..Scenario::new(seed, slow_rules())
        });
        let starts = late_starts(&slow_rules());
        check(&Scenario {
            cold_by: ColdBy::Restart,
            starts,
            ..Scenario::new(seed, slow_rules())
        });
    }
}

/// Guards an endpoint that operators take back into use: every instance looks for it at once.
#[test]
fn an_endpoint_back_from_a_ban_is_spared() {
    for seed in 1..=3 {
        check(&Scenario {
            cold_by: ColdBy::Ban,
            ..Scenario::new(seed, slow_rules())
        });
        check(&Scenario {
            cold_by: ColdBy::Ban,
            ..Scenario::new(seed, narrow_rules())
        });
    }
}

/// Guards the one endpoint with no queue while the warm ones are throttled and calls wait for a place.
#[test]
fn an_overloaded_fleet_spares_a_cold_endpoint() {
    for (seed, load) in [(1, 1.5), (2, 2.0), (3, 3.0)] {
        let equal = Scenario {
            load,
            ..Scenario::new(seed, slow_rules())
        };
        let unequal = Scenario {
            weights: unequal(10, 3),
            load,
            ..Scenario::new(seed, slow_rules())
        };
        for scenario in [equal, unequal] {
            let seen = check(&scenario);
            assert!(
                seen.refused > 0,
                "seed {seed}: the warm endpoints are throttled"
            );
        }
    }
}

/// Guards the ramp under other settings than the usual: it starts, ends and is bounded as they say.
#[test]
fn the_ramp_follows_its_settings() {
    for seed in 1..=3 {
        check(&Scenario::new(seed, narrow_rules()));
        check(&Scenario {
            load: 3.0,
            ..Scenario::new(seed, narrow_rules())
        });
        check(&Scenario {
            weights: unequal(10, 1),
            load: 1.5,
            ..Scenario::new(seed, narrow_rules())
        });
        let starts = late_starts(&narrow_rules());
        check(&Scenario {
            cold_by: ColdBy::Restart,
            starts,
            ..Scenario::new(seed, narrow_rules())
        });
    }
}
