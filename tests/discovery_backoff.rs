//! Tests of the delays between calls of discovery.

use balancer_sidecar::discovery::Backoff;
use balancer_sidecar::policy::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
use std::ops::Range;
use std::time::Duration;

/// The seeds with which each test runs.
const SEEDS: Range<u64> = 0..200;
/// The number of consecutive failures in each sequence of delays.
const FAILURES: usize = 20;
/// The duration of a call that fails immediately.
const IMMEDIATE: Duration = Duration::ZERO;
/// The minimum delay after the first consecutive failure.
const MIN_FIRST_DELAY: Duration = Duration::from_millis(150);
/// The maximum delay after the first consecutive failure.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(450);

/// Returns the delays after consecutive failures of calls that each took `call_duration`.
fn delays(seed: u64, call_duration: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::new(seed);
    (0..FAILURES)
        .map(|_| backoff.delay_after(call_duration))
        .collect()
}

/// Returns the mean delay, over all seeds, after a failure that follows `earlier_failures` consecutive failures.
fn mean_delay(earlier_failures: usize, call_duration: Duration) -> Duration {
    let delays = SEEDS.map(|seed| delays(seed, call_duration)[earlier_failures]);
    delays.sum::<Duration>() / SEEDS.end as u32
}

/// Guards against delays that are too long to meet the propagation deadline of changes. The next call must begin within
/// [`MAX_CALL_INTERVAL`] of the start of the failed call, or else within the maximum first delay of its end. The delay
/// and the full timeout must fit within the deadline. Delays also have a minimum.
#[test]
fn delay_stays_within_its_bounds() {
    for call_duration in [
        IMMEDIATE,
        Duration::from_secs(2),
        DISCOVERY_TIMEOUT,
        MAX_CALL_INTERVAL,
        10 * MAX_CALL_INTERVAL,
    ] {
        for delay in SEEDS.flat_map(|seed| delays(seed, call_duration)) {
            assert!(
                delay >= MIN_FIRST_DELAY,
                "{delay:?} after {call_duration:?}"
            );
            assert!(
                delay + DISCOVERY_TIMEOUT <= CHANGE_PROPAGATION_DEADLINE,
                "{delay:?} after {call_duration:?}"
            );
            assert!(
                delay <= MAX_FIRST_DELAY || call_duration + delay <= MAX_CALL_INTERVAL,
                "{delay:?} after {call_duration:?}"
            );
        }
    }
}

/// Guards against overload of discovery by repeated calls during an outage. The mean delay must double up to four times
/// the first mean delay. After a response, delays must start again from the first.
#[test]
fn delays_grow_until_a_response_resets_them() {
    for earlier_failures in 1..3 {
        let previous = mean_delay(earlier_failures - 1, IMMEDIATE);
        let next = mean_delay(earlier_failures, IMMEDIATE);
        assert!(next > previous.mul_f64(1.6), "{previous:?}, then {next:?}");
    }
    assert!(mean_delay(FAILURES - 1, IMMEDIATE) > mean_delay(0, IMMEDIATE) * 3);
    for seed in SEEDS {
        let mut backoff = Backoff::new(seed);
        for _ in 0..FAILURES {
            let _ = backoff.delay_after(IMMEDIATE);
        }
        backoff.reset();
        assert!(backoff.delay_after(IMMEDIATE) <= MAX_FIRST_DELAY);
    }
}

/// Guards against sidecars that call at the same times. Different seeds must give different delays, and the same seed
/// must always give the same delays.
#[test]
fn jitter_differs_by_seed_and_is_reproducible() {
    for seed in SEEDS {
        let next_seed = seed + 1;
        assert_eq!(delays(seed, IMMEDIATE), delays(seed, IMMEDIATE));
        let mut pairs = delays(seed, IMMEDIATE)
            .into_iter()
            .zip(delays(next_seed, IMMEDIATE));
        assert!(
            pairs.all(|(one, other)| one != other),
            "seeds {seed} and {next_seed}"
        );
        assert_ne!(
            Backoff::new(seed).hedge_delay(),
            Backoff::new(next_seed).hedge_delay()
        );
    }
}

/// Guards the time at which a call is hedged. It must be after the full timeout and within [`MAX_CALL_INTERVAL`],
/// regardless of the number of earlier hedged calls.
#[test]
fn hedge_delay_stays_within_its_bounds() {
    for seed in SEEDS {
        let mut backoff = Backoff::new(seed);
        for _ in 0..FAILURES {
            let delay = backoff.hedge_delay();
            assert!(
                (DISCOVERY_TIMEOUT..=MAX_CALL_INTERVAL).contains(&delay),
                "{delay:?}"
            );
        }
    }
}

/// Guards a crowded discovery against the calls of a whole fleet whose watches fell silent together. A late heartbeat is
/// no silence, and the rest of [`CHANGE_PROPAGATION_DEADLINE`] is left for the next call.
#[test]
fn silent_watches_are_given_up_at_different_times() {
    let heartbeat_interval = Duration::from_secs(2);
    let timeouts = SEEDS.map(|seed| Backoff::new(seed).silence_timeout());
    let (earliest, latest) = (timeouts.clone().min(), timeouts.max());
    let (earliest, latest) = (earliest.expect("a seed"), latest.expect("a seed"));
    assert!(earliest >= heartbeat_interval + Duration::from_secs(1));
    assert!(latest <= DISCOVERY_TIMEOUT);
    assert!(
        latest - earliest >= Duration::from_secs(1),
        "{earliest:?}, {latest:?}"
    );
}
