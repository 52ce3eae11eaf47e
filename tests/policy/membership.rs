//! Which endpoints take work, by the lists.

use crate::host::*;
use balancer_sidecar::policy::*;

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
        // The retry of the attempt in flight, and all later requests.
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
        "when it starts to drain"
    );
    assert_eq!(
        closed_endpoints(&host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining))),
        std::slice::from_ref(&e0),
        "when it is listed as draining again"
    );
    host.now = host.now + ms(700);
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Served, 700, 0.0)),
        std::slice::from_ref(&e0),
        "after the end of its attempt"
    );
    // Removed in the meantime, it is still draining.
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Serving));
    let (id, actions) = host.request(0);
    assert_eq!(send_targets(&actions), std::slice::from_ref(&e0));
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining));
    host.apply_list(ListKind::Full, Vec::new());
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Reset, 1, 0.0)),
        [e0]
    );
    // Once it is serving again, nothing is closed.
    host.apply_list(ListKind::Changes, with_readiness(Readiness::Serving));
    host.now = host.now + ms(20_000);
    let (id, actions) = host.request(1);
    assert_eq!(send_targets(&actions).len(), 1);
    assert_eq!(
        closed_endpoints(&host.end_attempt(&id, 0, Outcome::Served, 5, 0.0)),
        []
    );
    // Without a limit on idle connections, the host decides.
    let mut host = Host::new(default_settings(), endpoint_entries(1));
    assert_eq!(
        closed_endpoints(&host.apply_list(ListKind::Changes, with_readiness(Readiness::Draining))),
        []
    );
}
