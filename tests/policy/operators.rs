//! Tests of endpoints that operators disable and enable.

use crate::host::*;
use balancer_sidecar::policy::*;

fn disable(host: &mut Host, endpoint: &str) -> Vec<Action> {
    host.handle(Event::EndpointDisabled(endpoint.into()))
}

fn enable(host: &mut Host, endpoint: &str) -> Vec<Action> {
    host.handle(Event::EndpointEnabled(endpoint.into()))
}

/// Guards a disabled endpoint against later lists. It stays disabled until it is enabled once, even if it was disabled
/// twice. No other endpoint is affected.
#[test]
fn disabled_endpoint_gets_no_requests() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    assert!(count_sent_to(&mut host, "e1", 60) > 0);
    assert_eq!(
        closed_endpoints(&disable(&mut host, "e1")),
        ["e1".into()],
        "idle connections of the disabled endpoint are not closed"
    );
    assert_eq!(count_sent_to(&mut host, "e1", 60), 0);
    host.apply_list(ListKind::Full, endpoint_entries(3));
    let restarted = EndpointEntry {
        started_at: Some(at(0)),
        ..endpoint_entry("e1", "a", 0)
    };
    host.apply_list(ListKind::Changes, vec![restarted]);
    assert_eq!(count_sent_to(&mut host, "e1", 60), 0);
    host.apply_list(
        ListKind::Full,
        endpoint_entries(3)
            .into_iter()
            .filter(|entry| entry.endpoint != "e1".into())
            .collect(),
    );
    host.apply_list(ListKind::Full, endpoint_entries(3));
    assert_eq!(
        count_sent_to(&mut host, "e1", 60),
        0,
        "used after it was missing from a list"
    );
    disable(&mut host, "e1");
    enable(&mut host, "e1");
    assert!(
        count_sent_to(&mut host, "e1", 200) > 0,
        "enabling once does not undo disabling twice"
    );
    enable(&mut host, "never-listed");
    assert!(
        host.balancer.is_listed_or_disabled(&"e1".into())
            && !host.balancer.is_listed_or_disabled(&"never-listed".into())
    );
}

/// Guards queued requests and retries: neither is sent to an endpoint that was disabled in the meantime.
#[test]
fn disabled_endpoint_gets_no_queued_requests_or_retries() {
    let mut host = Host::new(default_settings(), endpoint_entries(2));
    assert!(count_sent_to(&mut host, "e0", 20) > 0);
    disable(&mut host, "e1");
    let (id, actions) = host.request(0);
    assert_eq!(send_targets(&actions), ["e0".into()]);
    assert!(
        send_targets(&host.end_attempt(&id, 0, Outcome::ConnectFailed, 1, 0.0)).is_empty(),
        "retried at the disabled endpoint"
    );
    disable(&mut host, "e0");
    let (_, actions) = host.request(0);
    assert!(send_targets(&actions).is_empty(), "not queued");
    let mut actions_after_enabling = enable(&mut host, "e0");
    for _ in 0..20 {
        host.now = host.now + ms(10);
        actions_after_enabling.extend(host.handle(Event::Timer { token: 0 }));
    }
    assert!(
        !send_targets(&actions_after_enabling).is_empty(),
        "not sent after an endpoint was enabled"
    );
    assert!(
        send_targets(&actions_after_enabling)
            .iter()
            .all(|e| *e == "e0".into())
    );
}

/// Guards health checks: none is sent to a disabled endpoint.
#[test]
fn disabled_endpoint_gets_no_health_checks() {
    let mut host = host_with_health_checks(0.0);
    disable(&mut host, "e1");
    let mut checked = Vec::new();
    for _ in 0..60 {
        host.now = host.now + ms(200);
        let (id, actions) = host.request(0);
        checked.extend(checked_endpoints(&actions));
        if !send_targets(&actions).is_empty() {
            checked.extend(checked_endpoints(&host.end_attempt(
                &id,
                0,
                Outcome::Served,
                10,
                0.0,
            )));
        }
    }
    assert!(
        !checked.is_empty() && checked.iter().all(|e| *e != "e1".into()),
        "{checked:?}"
    );
}

/// Guards the slow start of an enabled endpoint: it is warming up even if its start time in the list is old. Its first
/// request is sent soon, because operators then check that the endpoint is in use.
#[test]
fn enabled_endpoint_is_used_during_its_warm_up() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    let count_while_warm = count_sent_to(&mut host, "e1", 200);
    disable(&mut host, "e1");
    count_sent_to(&mut host, "e1", 20);
    enable(&mut host, "e1");
    assert!(
        count_sent_to(&mut host, "e1", 20) > 0,
        "not used within 20 requests"
    );
    let count_after_enabling = count_sent_to(&mut host, "e1", 200);
    assert!(
        count_after_enabling > 0 && count_after_enabling * 3 < count_while_warm * 2,
        "{count_after_enabling} of 200 requests after enabling, {count_while_warm} when warm"
    );
    host.apply_list(ListKind::Full, endpoint_entries(4));
    let count_after_list = count_sent_to(&mut host, "e1", 200);
    assert!(
        count_after_list * 5 < count_while_warm * 6,
        "{count_after_list} of 200 requests after an old list, {count_while_warm} when warm"
    );
    // An endpoint that is enabled while it is not listed is used once it is listed.
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    count_sent_to(&mut host, "e1", 40);
    disable(&mut host, "e1");
    let removed = EndpointEntry {
        readiness: Readiness::Removed,
        ..endpoint_entry("e1", "a", 0)
    };
    host.apply_list(ListKind::Changes, vec![removed]);
    enable(&mut host, "e1");
    assert_eq!(count_sent_to(&mut host, "e1", 20), 0);
    host.apply_list(
        ListKind::Changes,
        vec![EndpointEntry {
            started_at: Some(host.now),
            ..endpoint_entry("e1", "a", 0)
        }],
    );
    assert!(count_sent_to(&mut host, "e1", 60) > 0);
}

/// Guards the first request after enabling at a balancer with few requests, which otherwise always picks the fastest
/// endpoint.
#[test]
fn enabled_endpoint_is_used_beside_a_faster_one() {
    let mut host = Host::new(default_settings(), endpoint_entries(2));
    for _ in 0..100 {
        host.now = host.now + ms(20);
        let (id, actions) = host.request(0);
        // e1 is so slow that the balancer stops picking it.
        let elapsed_ms = if send_targets(&actions) == ["e1".into()] {
            100
        } else {
            10
        };
        host.end_attempt(&id, 0, Outcome::Served, elapsed_ms, 0.0);
    }
    disable(&mut host, "e1");
    enable(&mut host, "e1");
    let (_, actions) = host.request(0);
    assert_eq!(send_targets(&actions), ["e1".into()]);
}
