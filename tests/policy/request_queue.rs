//! Tests of the request queue: priorities, shedding and removal.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Guards queued requests at a host whose clock has a coarser resolution. Its timers expire slightly early.
#[test]
fn early_timers_leave_no_queued_request_unanswered() {
    let mut host = Host::new(default_settings(), Vec::new());
    let (first, actions) = host.request(0);
    assert_eq!(
        count_final_answers(&actions, &first),
        0,
        "not queued without endpoints"
    );
    let mut timers = requested_timers(&actions);
    assert!(!timers.is_empty());
    let mut answer_count = 0;
    while let Some((expires_at, token)) = timers.pop() {
        // Expires slightly early.
        host.now = Timestamp::from_nanos(expires_at.as_nanos() - 405);
        let actions = host.handle(Event::Timer { token });
        answer_count += count_final_answers(&actions, &first);
        timers.extend(requested_timers(&actions));
    }
    assert_eq!(answer_count, 1);
    assert!(host.now < at(2000), "answered after the deadline");
}

#[test]
fn queue_is_served_and_shed_by_priority() {
    let mut host = Host::new(two_level_settings(), Vec::new());
    let mut low = Vec::new();
    for _ in 0..3 {
        low.push(host.request(0).0);
    }
    let (high, _) = host.request(1);
    let mut shed = Vec::new();
    for _ in 0..6 {
        host.now = host.now + ms(1);
        let (_, actions) = host.request(1);
        shed.extend(
            low.iter()
                .filter(|id| count_final_answers(&actions, id) == 1)
                .cloned(),
        );
        assert_eq!(count_final_answers(&actions, &high), 0);
    }
    assert!(
        !shed.is_empty(),
        "no request of the low priority was shed above the queue limit"
    );
    let actions = host.apply_list(ListKind::Full, endpoint_entries(4));
    let first = actions.iter().find_map(|a| match a {
        Action::Send { request, .. } => Some(request.clone()),
        _ => None,
    });
    assert_eq!(first, Some(high));
}

/// Guards the queue limit: requests of disconnected clients do not count towards it, even behind one that stays queued.
#[test]
fn queued_request_is_removed_when_its_client_disconnects() {
    let mut host = Host::new(default_settings(), Vec::new());
    let (remaining, actions) = host.request(0);
    assert_eq!(
        count_final_answers(&actions, &remaining),
        0,
        "not queued without endpoints"
    );
    for _ in 0..8 {
        host.now = host.now + ms(100);
        let (id, actions) = host.request(0);
        assert_eq!(
            count_final_answers(&actions, &id),
            0,
            "not queued behind a single request"
        );
        let actions = host.handle(Event::ClientDisconnected {
            request: id.clone(),
        });
        assert!(
            actions.iter().all(|a| matches!(a, Action::SetTimer { .. })),
            "an action for a request that was only queued"
        );
        let status = host.balancer.status(host.now);
        assert_eq!((status.queued, status.pending), (1, 1));
        host.handle(Event::ClientDisconnected { request: id });
    }
    let actions = host.apply_list(ListKind::Changes, endpoint_entries(1));
    assert_eq!(sent_requests(&actions), [remaining]);
}

/// Guards tenants above their quota share: their requests get the lowest priority, but only while endpoints are
/// throttled.
#[test]
fn tenant_over_its_share_loses_priority_under_throttling() {
    let mut settings = two_level_settings();
    let tenant = |name: &str, quota_share| Tenant {
        name: name.into(),
        quota_share,
        quota_per_s: 10.0,
    };
    settings.tenants = vec![tenant("small", 0.1), tenant("large", 0.9)];
    let mut host = Host::new(settings, endpoint_entries(1));
    for _ in 0..100 {
        host.now = host.now + ms(20);
        let (id, actions) = host.request_of_tenant(1, Some(TenantId(0)));
        assert_eq!(
            send_targets(&actions).len(),
            1,
            "a tenant above its quota share was limited without throttling"
        );
        host.end_attempt(&id, 0, Outcome::Served, 20, 0.0);
    }
    let mut counts = [0, 0];
    for request_number in 0..200 {
        host.now = host.now + ms(40);
        let (id, actions) = host.request_of_tenant(1, Some(TenantId(request_number % 2)));
        if send_targets(&actions).len() == 1 {
            counts[request_number % 2] += 1;
            host.end_attempt(&id, 0, Outcome::Served, 20, 0.6); // above the lowest onset only
        } else {
            host.handle(Event::ClientDisconnected { request: id });
        }
    }
    assert!(counts[0] < counts[1], "{counts:?}");
}
