//! When discovery is called again.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

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
        let (first, token) = set_timers(&actions)[0];
        assert!(
            first.since(at(0)) < ms(10_000),
            "called within the poll interval"
        );
        actions.clear();
        balancer.handle(first, Event::Timer { token }, &mut actions);
        assert!(actions.contains(&Action::Subscribe));
        actions.clear();
        balancer.handle(first, Event::DiscoveryFailed, &mut actions);
        assert!(!actions.contains(&Action::Subscribe), "not at once");
        delays.push((set_timers(&actions)[0].0.since(first), first));
    }
    assert!(delays.iter().all(|(again, _)| *again < ms(10_000)));
    delays.sort();
    delays.dedup();
    assert!(delays.len() > 15, "balancers call at different times");
}

/// Guards the deadline for changes, which does not depend on the poll interval: 6 s after a watch fell silent, of which
/// 4.2 s have passed when that is noticed. Formerly the delay grew with the poll interval.
#[test]
fn a_lost_watch_is_reopened_in_time_with_any_poll_interval() {
    for poll_interval_ms in [1_000, 10_000, 120_000] {
        for _ in 0..20 {
            let mut settings = default_settings();
            (settings.discovery, settings.rules.poll_interval) =
                (DiscoveryMode::OnRequest, ms(poll_interval_ms));
            let mut host = Host::new(settings, endpoint_entries(1));
            host.apply_list(ListKind::Full, endpoint_entries(1));
            let actions = host.discovery_failed();
            let again = set_timers(&actions)
                .iter()
                .map(|(at, _)| at.since(host.now))
                .min();
            assert!(
                again.is_some_and(|again| again < ms(1_000)),
                "{poll_interval_ms} ms: {again:?}"
            );
        }
    }
}

/// Guards the deadline for changes after any number of failed calls, which were rejected at once or timed out: the next
/// call begins early enough for its answer to be in force 6 s after the previous call began, as discovery may have
/// recovered just then. Formerly the delay doubled up to 12 s with a long poll interval.
#[test]
fn repeated_failures_do_not_delay_the_next_call_past_the_change_deadline() {
    let answer_time = ms(1_000);
    for poll_interval_ms in [1_000, 4_500, 10_000, 120_000] {
        for took in [Duration::ZERO, ms(1_000), DISCOVERY_TIMEOUT] {
            let mut settings = default_settings();
            (settings.discovery, settings.rules.poll_interval) =
                (DiscoveryMode::OnRequest, ms(poll_interval_ms));
            let mut host = Host::new(settings, endpoint_entries(1));
            let mut actions = host.discovery_failed();
            for failed in 1..50 {
                let (call_begins, token) = *set_timers(&actions)
                    .last()
                    .expect("a timer for the next call");
                host.now = call_begins;
                assert!(
                    host.handle(Event::Timer { token })
                        .contains(&Action::Subscribe)
                );
                host.now = call_begins + took;
                actions = host.discovery_failed();
                let (again, _) = *set_timers(&actions)
                    .last()
                    .expect("a timer for the next call");
                let since = again.since(call_begins);
                let in_time = since + answer_time <= CHANGE_PROPAGATION_DEADLINE;
                assert!(
                    in_time,
                    "{poll_interval_ms} ms, {took:?} a call, {failed} failed: {since:?}"
                );
            }
        }
    }
}

/// Guards the same deadline where the host makes the failing call by itself, as on a reload, while the balancer's own
/// call is still due: that call is not made, and does not count as the beginning of the other.
#[test]
fn a_failed_call_of_the_host_does_not_delay_the_next_call_past_the_change_deadline() {
    for seed in 0..50 {
        let settings = Settings {
            discovery: DiscoveryMode::OnRequest,
            ..default_settings()
        };
        let mut balancer = Balancer::new(settings, seed).expect("valid settings");
        let failed = || Event::DiscoveryFailed;
        let mut actions = Vec::new();
        (0..6).for_each(|_| balancer.handle(at(0), failed(), &mut actions));
        let call_begins = at(0);
        let call_fails = call_begins + DISCOVERY_TIMEOUT;
        let (mut now, mut has_failed) = (call_begins, false);
        // The timers in order, and between them the failure of the host's call.
        while !(has_failed && actions.contains(&Action::Subscribe)) {
            let next = set_timers(&actions)
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
                    balancer.handle(now, failed(), &mut actions);
                }
            }
        }
        let since = now.since(call_begins);
        assert!(
            since + ms(1_000) <= CHANGE_PROPAGATION_DEADLINE,
            "seed {seed}: {since:?}"
        );
    }
}
