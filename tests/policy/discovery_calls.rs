//! When discovery is called again.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

#[test]
fn lost_subscriptions_are_asked_for_again_apart_from_each_other() {
    let mut times = Vec::new();
    for seed in 0..20 {
        let set = Settings {
            discovery: DiscoveryMode::OnRequest,
            ..settings()
        };
        let mut balancer = Balancer::new(set, seed).expect("settings that make sense");
        let mut out = Vec::new();
        let empty = |kind| Event::EndpointList {
            version: 1,
            kind,
            entries: Vec::new().into(),
        };
        balancer.handle(at(0), empty(ListKind::Cached), &mut out);
        let (first, token) = timers(&out)[0];
        assert!(
            first.since(at(0)) < ms(10_000),
            "asked within the time set for it"
        );
        out.clear();
        balancer.handle(first, Event::Timer { token }, &mut out);
        assert!(out.contains(&Action::Subscribe));
        out.clear();
        balancer.handle(first, Event::DiscoveryFailed, &mut out);
        assert!(!out.contains(&Action::Subscribe), "not at once");
        times.push((timers(&out)[0].0.since(first), first));
    }
    assert!(times.iter().all(|(again, _)| *again < ms(10_000)));
    times.sort();
    times.dedup();
    assert!(times.len() > 15, "copies ask at different times");
}

/// Guards the clock for silence, which is the same at all sites: 6 s after a watch fell silent, of which 4.2 s have passed
/// when that is noticed. A site where copies may go long without asking gave its own time a part in the wait.
#[test]
fn a_lost_subscription_is_asked_for_again_in_time_at_any_site() {
    for within in [1_000, 10_000, 120_000] {
        for _ in 0..20 {
            let mut set = settings();
            (set.discovery, set.rules.poll_interval) = (DiscoveryMode::OnRequest, ms(within));
            let mut host = Host::new(set, listings(1));
            host.members(ListKind::Full, listings(1));
            let actions = host.discovery_failed();
            let again = timers(&actions)
                .iter()
                .map(|(at, _)| at.since(host.now))
                .min();
            assert!(
                again.is_some_and(|again| again < ms(1_000)),
                "{within}: {again:?}"
            );
        }
    }
}

/// Guards changes that discovery has once it is back, however many calls failed before, and whether they were refused at
/// once or had no answer until they were given up: the next call begins early enough for its answer to be in force 6 s
/// after the one before began, as discovery may have come back just then. The wait doubled up to 12 s at a site where
/// copies may go long without asking.
#[test]
fn calls_that_failed_often_do_not_put_off_the_next_beyond_the_deadline_of_a_change() {
    let for_the_answer = ms(1_000);
    for within in [1_000, 4_500, 10_000, 120_000] {
        for took in [Duration::ZERO, ms(1_000), DISCOVERY_TIMEOUT] {
            let mut set = settings();
            (set.discovery, set.rules.poll_interval) = (DiscoveryMode::OnRequest, ms(within));
            let mut host = Host::new(set, listings(1));
            let mut actions = host.discovery_failed();
            for failed in 1..50 {
                let (asks, token) = *timers(&actions).last().expect("a time to ask again");
                host.now = asks;
                assert!(
                    host.tell(Event::Timer { token })
                        .contains(&Action::Subscribe)
                );
                host.now = asks + took;
                actions = host.discovery_failed();
                let (again, _) = *timers(&actions).last().expect("a time to ask again");
                let since = again.since(asks);
                let in_time = since + for_the_answer <= CHANGE_PROPAGATION_DEADLINE;
                assert!(
                    in_time,
                    "{within} ms, {took:?} a call, {failed} failed: {since:?}"
                );
            }
        }
    }
}

/// Guards the same where the host makes the call that fails by itself, as on a reload, with the module's own call still
/// due: that one is not made, and does not count as the beginning of the other.
#[test]
fn a_call_of_the_host_does_not_put_off_the_next_beyond_the_deadline_of_a_change() {
    for seed in 0..50 {
        let set = Settings {
            discovery: DiscoveryMode::OnRequest,
            ..settings()
        };
        let mut balancer = Balancer::new(set, seed).expect("settings that make sense");
        let failed = || Event::DiscoveryFailed;
        let mut out = Vec::new();
        (0..6).for_each(|_| balancer.handle(at(0), failed(), &mut out));
        let begun = at(0);
        let given_up = begun + DISCOVERY_TIMEOUT;
        let (mut now, mut told) = (begun, false);
        // Its timers in their order, and in between the failure of the host's call.
        while !(told && out.contains(&Action::Subscribe)) {
            let next = timers(&out).into_iter().filter(|(at, _)| *at > now).min();
            out.retain(|action| *action != Action::Subscribe);
            match next.filter(|(at, _)| told || *at < given_up) {
                Some((at, token)) => {
                    now = at;
                    balancer.handle(now, Event::Timer { token }, &mut out);
                }
                None => {
                    (now, told) = (given_up, true);
                    balancer.handle(now, failed(), &mut out);
                }
            }
        }
        let since = now.since(begun);
        assert!(
            since + ms(1_000) <= CHANGE_PROPAGATION_DEADLINE,
            "seed {seed}: {since:?}"
        );
    }
}
