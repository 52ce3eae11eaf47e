//! The pauses between calls of discovery.

use balancer_sidecar::discovery::Backoff;
use balancer_sidecar::policy::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..200;
const FAILURES: usize = 20;
const AT_ONCE: Duration = Duration::ZERO;

fn pauses(seed: u64, took: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::new(seed);
    (0..FAILURES).map(|_| backoff.delay_after(took)).collect()
}

/// The mean over all seeds of the pause after so many failures before.
fn mean(failures_before: usize, took: Duration) -> Duration {
    SEEDS
        .map(|seed| pauses(seed, took)[failures_before])
        .sum::<Duration>()
        / SEEDS.end as u32
}

/// Guards the time in which a change is in force: the next call begins early enough after the one that failed, or soon
/// after it where that one took longer; after one that failed at once it can be waited for as long as any. No pause is so
/// short that calls come in a row.
#[test]
fn the_next_call_begins_in_time_whatever_the_failed_one_took() {
    let soon = Duration::from_millis(450);
    let shortest = Duration::from_millis(150);
    for took in [
        AT_ONCE,
        Duration::from_secs(2),
        DISCOVERY_TIMEOUT,
        MAX_CALL_INTERVAL,
        10 * MAX_CALL_INTERVAL,
    ] {
        for pause in SEEDS.flat_map(|seed| pauses(seed, took)) {
            assert!(pause >= shortest, "{pause:?} after {took:?}");
            assert!(
                pause + DISCOVERY_TIMEOUT <= CHANGE_PROPAGATION_DEADLINE,
                "{pause:?} after {took:?}"
            );
            assert!(
                pause <= soon || took + pause <= MAX_CALL_INTERVAL,
                "{pause:?} after {took:?}"
            );
        }
    }
}

/// Guards discovery against the calls of an outage: pauses double, up to four times the first, and begin anew with a call
/// that was answered.
#[test]
fn pauses_grow_until_discovery_has_answered() {
    for failures_before in 1..3 {
        let (before, after) = (
            mean(failures_before - 1, AT_ONCE),
            mean(failures_before, AT_ONCE),
        );
        assert!(after > before.mul_f64(1.6), "{before:?}, then {after:?}");
    }
    assert!(mean(FAILURES - 1, AT_ONCE) > mean(0, AT_ONCE) * 3);
    let first_longest = Duration::from_millis(450);
    for seed in SEEDS {
        let mut backoff = Backoff::new(seed);
        for _ in 0..FAILURES {
            let _ = backoff.delay_after(AT_ONCE);
        }
        backoff.reset();
        assert!(backoff.delay_after(AT_ONCE) <= first_longest);
    }
}

/// Guards against sidecars that call in step: another seed has other pauses, and the same has the same.
#[test]
fn the_jitter_differs_by_seed() {
    for seed in SEEDS {
        assert_eq!(pauses(seed, AT_ONCE), pauses(seed, AT_ONCE));
        let both = pauses(seed, AT_ONCE)
            .into_iter()
            .zip(pauses(seed + 1, AT_ONCE));
        assert!(
            both.into_iter().all(|(one, other)| one != other),
            "seeds {seed} and {}",
            seed + 1
        );
        assert_ne!(
            Backoff::new(seed).hedge_delay(),
            Backoff::new(seed + 1).hedge_delay()
        );
    }
}

/// Guards a call that is late: it has its time before another is made, and that begins in time however many came before.
#[test]
fn another_call_begins_in_time_beside_one_that_is_late() {
    for seed in SEEDS {
        let mut backoff = Backoff::new(seed);
        for _ in 0..FAILURES {
            let time = backoff.hedge_delay();
            assert!(
                (DISCOVERY_TIMEOUT..=MAX_CALL_INTERVAL).contains(&time),
                "{time:?}"
            );
        }
    }
}
