//! Tests of the times at which discovery is called again after a failure, a rejection or a lost watch.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// Guards discovery against simultaneous calls from all balancers after all watches were lost.
#[test]
fn lost_watches_are_reopened_at_different_times() {
    let mut delays = Vec::new();
    for seed in 0..20 {
        let settings = Settings {
            discovery: DiscoveryMode::OnRequest,
            ..default_settings()
        };
        let mut balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut actions = Vec::new();
        let empty_list = |kind| Event::EndpointList {
            version: 1,
            kind,
            entries: Vec::new().into(),
        };
        balancer.handle(at(0), empty_list(ListKind::Cached), &mut actions);
        let (call_begins, token) = requested_timers(&actions)[0];
        assert!(
            call_begins.since(at(0)) < ms(10_000),
            "the first call is not within the poll interval"
        );
        actions.clear();
        balancer.handle(call_begins, Event::Timer { token }, &mut actions);
        assert!(actions.contains(&Action::Subscribe));
        actions.clear();
        balancer.handle(call_begins, Event::DiscoveryFailed, &mut actions);
        assert!(
            !actions.contains(&Action::Subscribe),
            "the watch was reopened at once"
        );
        delays.push((
            requested_timers(&actions)[0].0.since(call_begins),
            call_begins,
        ));
    }
    assert!(delays.iter().all(|(delay, _)| *delay < ms(10_000)));
    delays.sort();
    delays.dedup();
    assert!(delays.len() > 15, "balancers call at the same times");
}

/// Guards the change propagation deadline against delays that grow with the poll interval. The deadline is 6 s after a
/// watch fell silent, for every poll interval. The balancer notices the silence after 4.2 s, and has the rest for the
/// call.
#[test]
fn lost_watch_is_reopened_in_time_at_any_poll_interval() {
    for poll_interval_ms in [1_000, 10_000, 120_000] {
        for _ in 0..20 {
            let mut settings = default_settings();
            (settings.discovery, settings.rules.poll_interval) =
                (DiscoveryMode::OnRequest, ms(poll_interval_ms));
            let mut host = Host::new(settings, endpoint_entries(1));
            host.apply_list(ListKind::Full, endpoint_entries(1));
            let actions = host.discovery_failed();
            let retry_delay = requested_timers(&actions)
                .iter()
                .map(|(at, _)| at.since(host.now))
                .min();
            assert!(
                retry_delay.is_some_and(|delay| delay < ms(1_000)),
                "poll interval {poll_interval_ms} ms: {retry_delay:?}"
            );
        }
    }
}

/// Guards the change propagation deadline against the backoff, which once doubled up to 12 s with a long poll interval.
/// Discovery may recover just after a call began. The answer to the next call must then be in force within 6 s of the
/// start of the previous call, after any number of calls that failed at once or timed out.
#[test]
fn repeated_failures_do_not_delay_retries_too_long() {
    let discovery_answer_time = ms(1_000);
    for poll_interval_ms in [1_000, 4_500, 10_000, 120_000] {
        for call_duration in [Duration::ZERO, ms(1_000), DISCOVERY_TIMEOUT] {
            let mut settings = default_settings();
            (settings.discovery, settings.rules.poll_interval) =
                (DiscoveryMode::OnRequest, ms(poll_interval_ms));
            let mut host = Host::new(settings, endpoint_entries(1));
            let mut actions = host.discovery_failed();
            for failure_count in 1..50 {
                let (call_begins, token) = *requested_timers(&actions)
                    .last()
                    .expect("a timer for the next call");
                host.now = call_begins;
                assert!(
                    host.handle(Event::Timer { token })
                        .contains(&Action::Subscribe)
                );
                host.now = call_begins + call_duration;
                actions = host.discovery_failed();
                let (retry_begins, _) = *requested_timers(&actions)
                    .last()
                    .expect("a timer for the next call");
                let call_interval = retry_begins.since(call_begins);
                let in_time = call_interval + discovery_answer_time <= CHANGE_PROPAGATION_DEADLINE;
                assert!(
                    in_time,
                    "{poll_interval_ms} ms, {call_duration:?} a call, failure {failure_count}: {call_interval:?}"
                );
            }
        }
    }
}

/// Guards the change propagation deadline when the host itself makes a call, for example on a reload, while a call of
/// the balancer is due. The host skips the balancer's call. The skipped call must not count as the start of the
/// failed one.
#[test]
fn failed_host_call_does_not_postpone_the_retry() {
    for seed in 0..50 {
        let settings = Settings {
            discovery: DiscoveryMode::OnRequest,
            ..default_settings()
        };
        let mut balancer = Balancer::new(settings, seed).expect("valid settings");
        let failure = || Event::DiscoveryFailed;
        let mut actions = Vec::new();
        (0..6).for_each(|_| balancer.handle(at(0), failure(), &mut actions));
        let call_begins = at(0);
        let call_fails = call_begins + DISCOVERY_TIMEOUT;
        let (mut now, mut has_failed) = (call_begins, false);
        // Runs the timers in order, with the failure of the host's call between them.
        while !(has_failed && actions.contains(&Action::Subscribe)) {
            let next = requested_timers(&actions)
                .into_iter()
                .filter(|(at, _)| *at > now)
                .min();
            actions.retain(|action| *action != Action::Subscribe);
            match next.filter(|(at, _)| has_failed || *at < call_fails) {
                Some((at, token)) => {
                    now = at;
                    balancer.handle(now, Event::Timer { token }, &mut actions);
                }
                None => {
                    (now, has_failed) = (call_fails, true);
                    balancer.handle(now, failure(), &mut actions);
                }
            }
        }
        let call_interval = now.since(call_begins);
        assert!(
            call_interval + ms(1_000) <= CHANGE_PROPAGATION_DEADLINE,
            "seed {seed}: {call_interval:?}"
        );
    }
}

/// The time from a call to its rejection by an overloaded discovery service.
const REJECTION_DELAY: Duration = Duration::from_secs(1);

/// Returns a host that received a full list and then lost its watch, and the actions on that loss.
fn host_with_lost_watch(seed: u64) -> (Host, Vec<Action>) {
    let settings = Settings {
        discovery: DiscoveryMode::OnRequest,
        ..default_settings()
    };
    let mut host = Host::new(settings.clone(), endpoint_entries(1));
    host.balancer = Balancer::new(settings, seed).expect("valid settings");
    host.apply_list(ListKind::Full, endpoint_entries(1));
    let actions = host.discovery_failed();
    (host, actions)
}

/// Advances the clock to the next call, and returns the time until then.
fn wait_for_call(host: &mut Host, actions: &[Action]) -> Duration {
    let (call_begins, token) = *requested_timers(actions)
        .last()
        .expect("a timer for the next call");
    let delay = call_begins.since(host.now);
    host.now = call_begins;
    let actions = host.handle(Event::Timer { token });
    assert!(actions.contains(&Action::Subscribe));
    delay
}

/// Rejects the call in progress, and returns the actions.
fn reject_call(host: &mut Host) -> Vec<Action> {
    host.now = host.now + REJECTION_DELAY;
    host.handle(Event::DiscoveryRejected)
}

/// Guards balancers that an overloaded discovery service has not served yet. A balancer whose list took long to become
/// current waits longer when it loses its watch again, which leaves capacity for the others. It keeps at least half of
/// the change propagation deadline for its own calls.
#[test]
fn lost_watch_is_reopened_later_after_slow_catch_up() {
    for seed in 0..50 {
        let (mut host, mut actions) = host_with_lost_watch(seed);
        let after_quick_catch_up = wait_for_call(&mut host, &actions);
        for _ in 0..5 {
            actions = reject_call(&mut host);
            wait_for_call(&mut host, &actions);
        }
        host.apply_list(ListKind::Full, endpoint_entries(1));

        host.now = host.now + ms(1_000);
        actions = host.discovery_failed();
        let after_slow_catch_up = wait_for_call(&mut host, &actions);
        assert!(after_quick_catch_up < ms(1_000), "{after_quick_catch_up:?}");
        assert!(
            after_slow_catch_up >= ms(1_500)
                && 2 * after_slow_catch_up <= CHANGE_PROPAGATION_DEADLINE,
            "seed {seed}: {after_slow_catch_up:?}"
        );

        host.apply_list(ListKind::Full, endpoint_entries(1));
        actions = host.discovery_failed();
        let next = wait_for_call(&mut host, &actions);
        assert!(next <= after_slow_catch_up, "seed {seed}: {next:?}");
    }
}

/// Guards an overloaded discovery service against frequent retries. A rejection costs it as much as an answer. The
/// delays grow after rejections regardless of the list's age. When they shrank with that age, 300 sidecars kept
/// discovery from serving any of them.
#[test]
fn retry_delays_do_not_shrink_with_list_age() {
    const SEEDS: u64 = 50;
    let mut total_delays = [Duration::ZERO; 10];
    for seed in 0..SEEDS {
        let (mut host, mut actions) = host_with_lost_watch(seed);
        wait_for_call(&mut host, &actions);
        for total in &mut total_delays {
            actions = reject_call(&mut host);
            *total += wait_for_call(&mut host, &actions);
        }
    }
    let [first, later @ ..] = total_delays;
    let all_exceed_first = later.iter().all(|total| *total > first);
    assert!(all_exceed_first, "{total_delays:?}");
}

/// Guards the change propagation deadline of a watch that was silent before it was lost. Most of that time has passed
/// by then. The watch is therefore reopened without the additional delay after a slow catch-up.
#[test]
fn silent_watch_is_reopened_soon_after_slow_catch_up() {
    for seed in 0..50 {
        let (mut host, mut actions) = host_with_lost_watch(seed);
        wait_for_call(&mut host, &actions);
        for _ in 0..5 {
            actions = reject_call(&mut host);
            wait_for_call(&mut host, &actions);
        }
        host.apply_list(ListKind::Full, endpoint_entries(1));
        host.handle(Event::ListConfirmed);

        let since = host.now;
        host.now = host.now + DISCOVERY_TIMEOUT;
        host.handle(Event::ListUnconfirmed { since });
        actions = host.discovery_failed();
        let delay = wait_for_call(&mut host, &actions);
        assert!(delay < ms(1_000), "seed {seed}: {delay:?}");
    }
}
