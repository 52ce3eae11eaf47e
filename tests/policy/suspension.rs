//! Tests of the suspension of endpoints whose processes have ended while the list may be outdated.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// A time after which the end of a process no longer counts if the list does not show it.
const PAST_END_LIFETIME: Duration = Duration::from_secs(60);

fn process_ended(endpoint: &str) -> Event {
    Event::ProcessEnded {
        endpoint: endpoint.into(),
    }
}

/// Returns a host with three endpoints and a confirmed list.
fn confirmed_host() -> Host {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    host.handle(Event::ListConfirmed);
    host
}

fn lose_watch(host: &mut Host) {
    let since = host.now;
    host.handle(Event::ListUnconfirmed { since });
}

fn is_used(host: &mut Host, endpoint: &str) -> bool {
    count_sent_to(host, endpoint, 60) > 0
}

/// Guards against requests to a new process that is not in the list. The endpoint is not used until the list is
/// current.
#[test]
fn ended_process_is_suspended_until_the_list_is_confirmed() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));

    host.handle(process_ended("e1"));
    assert!(!is_used(&mut host, "e1"));
    assert!(is_used(&mut host, "e0"));
    assert_eq!(host.balancer.status(host.now).suspended, 1);
    host.now = host.now + PAST_END_LIFETIME;
    assert!(
        !is_used(&mut host, "e1"),
        "used before the list was confirmed"
    );

    host.handle(Event::ListConfirmed);
    assert!(is_used(&mut host, "e1"));
    assert_eq!(host.balancer.status(host.now).suspended, 0);
}

/// Guards against requests to an unlisted process after a start with a cached list, which is not confirmed.
#[test]
fn ended_process_is_suspended_under_a_cached_list() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    host.handle(process_ended("e1"));
    assert!(!is_used(&mut host, "e1"));
}

/// Guards against an end just before the watch was lost, when discovery had not listed it yet.
#[test]
fn recent_end_counts_once_the_watch_is_lost() {
    let mut host = confirmed_host();
    host.handle(process_ended("e1"));
    assert!(
        is_used(&mut host, "e1"),
        "suspended although the list is current"
    );
    lose_watch(&mut host);
    assert!(!is_used(&mut host, "e1"));
}

/// Guards endpoints that reset a connection long before the watch was lost. The list stayed current after that, and
/// would have shown the end of a process.
#[test]
fn old_end_is_ignored_once_the_watch_is_lost() {
    let mut host = confirmed_host();
    host.handle(process_ended("e1"));
    host.now = host.now + PAST_END_LIFETIME;
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));
}

/// Guards a listed new process: the end of the previous process does not suspend it.
#[test]
fn listed_restart_ends_the_suspension() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    host.handle(process_ended("e1"));
    let mut restarted = endpoint_entry("e1", "a", 0);
    restarted.started_at = Some(at(0));
    host.now = host.now + PAST_END_LIFETIME;
    host.apply_list(ListKind::Changes, vec![restarted]);
    assert!(is_used(&mut host, "e1"));
}

/// Guards the final answer while every endpoint is suspended: a request waits in the queue and is rejected in time.
#[test]
fn request_is_rejected_in_time_if_all_are_suspended() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    for endpoint in ["e0", "e1", "e2"] {
        host.handle(process_ended(endpoint));
    }
    let deadline = host.now + ms(2_000);
    let (id, mut actions) = host.request(0);
    while count_final_answers(&actions, &id) == 0 {
        let (expires_at, token) = *requested_timers(&actions).first().expect("a timer");
        assert!(expires_at < deadline);
        host.now = expires_at;
        actions = host.handle(Event::Timer { token });
        assert!(send_targets(&actions).is_empty());
    }
    assert_eq!(count_final_answers(&actions, &id), 1);
}

/// Guards the operators' choice: an endpoint that they disabled stays disabled when its suspension ends.
#[test]
fn disabled_endpoint_stays_disabled_after_its_suspension() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    host.handle(process_ended("e1"));
    host.handle(Event::EndpointDisabled("e1".into()));
    host.handle(Event::ListConfirmed);
    assert!(!is_used(&mut host, "e1"));
    host.handle(Event::EndpointEnabled("e1".into()));
    assert!(is_used(&mut host, "e1"));
}

/// Guards an endpoint that was suspended only because it was unknown whether its process still runs. The suspension
/// ends when the list is confirmed, and does not return when the watch is lost again.
#[test]
fn unknown_process_is_suspended_until_the_list_is_confirmed() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    host.handle(Event::KnownProcessesReported {
        endpoints: ["e0".into(), "e2".into()].into(),
    });
    assert!(!is_used(&mut host, "e1"));
    assert!(is_used(&mut host, "e0"));
    host.handle(Event::ListConfirmed);
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));
}

/// Returns the time from the loss of a watch until a change has to be in force.
fn change_deadline() -> Duration {
    CHANGE_PROPAGATION_DEADLINE + default_settings().rules.drain_grace
}

/// Returns a host that lost its watch, failed to call discovery, and then handled an event of discovery.
fn host_with_discovery_event(event: Event) -> Host {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    host.discovery_failed();
    host.handle(event);
    host
}

/// Guards the drain of endpoints whose processes are replaced while the watch is lost. If discovery was reached, the
/// list becomes overdue shortly before a change that follows the loss of the watch has to be in force.
#[test]
fn list_is_overdue_at_the_change_deadline() {
    for event in [Event::DiscoveryRejected, Event::DiscoverySlow] {
        let mut host = host_with_discovery_event(event);
        let time_to_deadline = change_deadline();
        host.now = host.now + time_to_deadline / 2;
        assert!(!host.balancer.is_list_overdue(host.now));
        host.now = host.now + time_to_deadline / 2;
        assert!(host.balancer.is_list_overdue(host.now));

        host.handle(Event::ListConfirmed);
        assert!(!host.balancer.is_list_overdue(host.now));
    }
}

/// Guards against suspensions in an outage: while discovery is unreachable, no change has to be in force, and the list
/// stays in use.
#[test]
fn list_is_not_overdue_while_discovery_is_unreachable() {
    let mut host = host_with_discovery_event(Event::DiscoveryRejected);
    for _ in 0..10 {
        host.now = host.now + ms(3_000);
        host.discovery_failed();
        assert!(!host.balancer.is_list_overdue(host.now));
    }
    host.now = host.now + PAST_END_LIFETIME;
    assert!(
        !host.balancer.is_list_overdue(host.now),
        "overdue although discovery is unreachable"
    );
    host.handle(Event::DiscoveryRejected);
    assert!(
        !host.balancer.is_list_overdue(host.now),
        "overdue as soon as discovery is reached"
    );
}

/// Guards a watch that was silent before it was lost: the time until the list is overdue counts from the last received
/// data.
#[test]
fn overdue_time_counts_from_the_last_received_data() {
    let mut host = confirmed_host();
    let since = host.now;
    host.now = host.now + DISCOVERY_TIMEOUT;
    host.handle(Event::ListUnconfirmed { since });
    host.discovery_failed();
    host.handle(Event::DiscoveryRejected);
    host.now = since + change_deadline();
    assert!(host.balancer.is_list_overdue(host.now));
}

/// Guards against a report of known processes that arrives after the list is current again. It suspends no endpoint,
/// even after the watch is lost again.
#[test]
fn late_report_of_known_processes_is_ignored() {
    let mut host = confirmed_host();
    host.handle(Event::KnownProcessesReported {
        endpoints: ["e0".into()].into(),
    });
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));
}

/// Returns a host whose watch has been silent since the returned time, and was then given up.
fn host_with_silent_watch() -> (Host, Timestamp) {
    let mut host = confirmed_host();
    let since = host.now;
    host.now = host.now + DISCOVERY_TIMEOUT;
    host.handle(Event::ListUnconfirmed { since });
    host.handle(Event::WatchSilent);
    (host, since)
}

/// Guards endpoints that drain while a watch is silent: what it misses is in force at the change deadline, counted from
/// the last received data, however late discovery rejects the first call.
#[test]
fn list_is_unusable_at_the_change_deadline_after_a_silent_watch() {
    let (mut host, since) = host_with_silent_watch();
    host.now = since + MAX_CALL_INTERVAL + ms(300);
    host.handle(Event::DiscoveryRejected);
    assert_eq!(host.balancer.list_validity(host.now), ListValidity::Usable);
    host.now = since + change_deadline();
    assert_eq!(
        host.balancer.list_validity(host.now),
        ListValidity::Unusable
    );
    host.handle(Event::DiscoveryRejected);
    assert_eq!(
        host.balancer.list_validity(host.now),
        ListValidity::Unusable
    );
    host.handle(Event::ListConfirmed);
    assert_eq!(host.balancer.list_validity(host.now), ListValidity::Usable);
}

/// Guards the service in an outage: where a call could not reach discovery after the silence, the sidecar may have been
/// cut off from it, and endpoints whose processes are known stay in use.
#[test]
fn list_stays_usable_if_discovery_was_unreachable_after_a_silent_watch() {
    for unreachable in [Event::DiscoveryFailed, Event::DiscoveryUnreachable] {
        let (mut host, since) = host_with_silent_watch();
        host.handle(unreachable);
        host.now = since + change_deadline();
        host.handle(Event::DiscoveryRejected);
        assert_eq!(host.balancer.list_validity(host.now), ListValidity::Usable);
        host.now = host.now + change_deadline();
        assert_eq!(
            host.balancer.list_validity(host.now),
            ListValidity::KnownProcesses
        );
    }
}
