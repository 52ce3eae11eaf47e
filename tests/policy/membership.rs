//! Tests of endpoint lists: the endpoints that are sent requests, and the closing of idle connections.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Guards the retry of an attempt in flight and later requests after a change of the list.
#[test]
fn draining_and_unlisted_endpoints_get_no_requests() {
    let with_readiness = |readiness| EndpointEntry {
        readiness,
        ..endpoint_entry("e0", "a", 0)
    };
    for (kind, entries) in [
        (ListKind::Changes, vec![with_readiness(Readiness::Draining)]),
        (ListKind::Changes, vec![with_readiness(Readiness::Removed)]),
        (ListKind::Full, vec![endpoint_entry("e1", "a", 0)]),
    ] {
        let mut host = Host::new(default_settings(), endpoint_entries(2));
        let (id, actions) = host.request(0);
        assert_eq!(send_targets(&actions).len(), 1);
        host.apply_list(kind, entries);
        // Neither the retry of the attempt in flight nor any later request is sent to e0.
        let mut targets = send_targets(&host.end_attempt(&id, 0, Outcome::NotSent, 5, 0.0));
        for _ in 0..20 {
            host.now = host.now + ms(100);
            let (id, actions) = host.request(0);
            targets.extend(send_targets(&actions));
            targets.extend(send_targets(&host.end_attempt(
                &id,
                0,
                Outcome::Served,
                20,
                0.0,
            )));
        }
        assert!(
            targets.len() > 5 && targets.iter().all(|e| *e == EndpointId::from("e1")),
            "{kind:?} {targets:?}"
        );
    }
}

/// Guards the limit on idle connections to a draining endpoint, `drain_close`: they are closed on each list that names
/// it as draining, and after each attempt that ends there.
#[test]
fn idle_connections_to_draining_endpoints_are_closed() {
    let mut settings = default_settings();
    settings.rules.drain_close = Some(ms(500));
    let mut host = Host::new(settings, endpoint_entries(1));
    let e0 = EndpointId::from("e0");
    let with_readiness = |readiness| {
        vec![EndpointEntry {
            readiness,
            ..endpoint_entry("e0", "a", 0)
        }]
    };
    let (id, _) = host.request(0);
    assert_eq!(
        closed_endpoints(&host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining))),
        std::slice::from_ref(&e0),
        "not closed when the endpoint starts to drain"
    );
    assert_eq!(
        closed_endpoints(&host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining))),
        std::slice::from_ref(&e0),
        "not closed when the endpoint is listed as draining again"
    );
    host.now = host.now + ms(700);
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Served, 700, 0.0)),
        std::slice::from_ref(&e0),
        "not closed when an attempt at the draining endpoint ends"
    );
    // An endpoint that is removed while it drains still counts as draining.
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Serving));
    let (id, actions) = host.request(0);
    assert_eq!(send_targets(&actions), std::slice::from_ref(&e0));
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining));
    host.apply_list(ListKind::Full, Vec::new());
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Reset, 1, 0.0)),
        [e0]
    );
    // No connections are closed once the endpoint is serving again.
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Serving));
    host.now = host.now + ms(20_000);
    let (id, actions) = host.request(1);
    assert_eq!(send_targets(&actions).len(), 1);
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Served, 5, 0.0)),
        []
    );
    // Without a limit on idle connections the balancer closes none, and leaves them to the host.
    let mut host = Host::new(default_settings(), endpoint_entries(1));
    assert_eq!(
        closed_endpoints(&host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining))),
        []
    );
}
