//! Endpoints whose processes have ended while the list may be old.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// Longer than an end counts that the list does not show.
const LONG_AGO: Duration = Duration::from_secs(60);

fn process_ended(endpoint: &str) -> Event {
    Event::ProcessEnded {
        endpoint: endpoint.into(),
    }
}

/// A host with three endpoints whose list is confirmed.
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

/// Guards against sends to a process of which the list says nothing: the endpoint is not used until a list is current.
#[test]
fn endpoint_that_ended_is_suspended_until_the_list_is_confirmed() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));

    host.handle(process_ended("e1"));
    assert!(!is_used(&mut host, "e1"));
    assert!(is_used(&mut host, "e0"));
    assert_eq!(host.balancer.status(host.now).suspended, 1);
    host.now = host.now + LONG_AGO;
    assert!(!is_used(&mut host, "e1"), "for as long as it takes");

    host.handle(Event::ListConfirmed);
    assert!(is_used(&mut host, "e1"));
    assert_eq!(host.balancer.status(host.now).suspended, 0);
}

/// Guards the same after a start with a cached list, which nothing has confirmed.
#[test]
fn endpoint_that_ended_is_suspended_under_a_cached_list() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    host.handle(process_ended("e1"));
    assert!(!is_used(&mut host, "e1"));
}

/// Guards against an end just before the watch was lost, which discovery had not listed yet.
#[test]
fn end_that_the_list_did_not_show_yet_counts_once_the_watch_is_lost() {
    let mut host = confirmed_host();
    host.handle(process_ended("e1"));
    assert!(is_used(&mut host, "e1"), "a current list decides");
    lose_watch(&mut host);
    assert!(!is_used(&mut host, "e1"));
}

/// Guards endpoints that only reset a connection long ago: a list that was current since then has shown any end.
#[test]
fn old_end_does_not_count_once_the_watch_is_lost() {
    let mut host = confirmed_host();
    host.handle(process_ended("e1"));
    host.now = host.now + LONG_AGO;
    lose_watch(&mut host);
    assert!(is_used(&mut host, "e1"));
}

/// Guards a new process that a list names: the end of the one before does not count against it.
#[test]
fn listed_restart_ends_the_suspension() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    host.handle(process_ended("e1"));
    let mut restarted = endpoint_entry("e1", "a", 0);
    restarted.started_at = Some(at(0));
    host.now = host.now + LONG_AGO;
    host.apply_list(ListKind::Changes, vec![restarted]);
    assert!(is_used(&mut host, "e1"));
}

/// Guards the final answer where every endpoint is suspended: a request waits in the queue, and is rejected in time.
#[test]
fn request_is_rejected_in_time_while_all_endpoints_are_suspended() {
    let mut host = confirmed_host();
    lose_watch(&mut host);
    for endpoint in ["e0", "e1", "e2"] {
        host.handle(process_ended(endpoint));
    }
    let deadline = host.now + ms(2_000);
    let (id, mut actions) = host.request(0);
    while final_answers(&actions, &id) == 0 {
        let (expires_at, token) = *set_timers(&actions).first().expect("a timer");
        assert!(expires_at < deadline);
        host.now = expires_at;
        actions = host.handle(Event::Timer { token });
        assert!(send_targets(&actions).is_empty());
    }
    assert_eq!(final_answers(&actions, &id), 1);
}

/// Guards operators: what they have disabled stays so when a suspension ends.
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
