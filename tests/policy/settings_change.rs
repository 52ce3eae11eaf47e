//! Tests of settings that change while a balancer runs.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// Applies changed default settings to the running balancer. Returns the ids of the classes, and the actions.
fn change_settings(
    host: &mut Host,
    change: impl FnOnce(&mut Settings),
) -> (Vec<ClassId>, Vec<Action>) {
    let (mut settings, mut actions) = (default_settings(), Vec::new());
    change(&mut settings);
    let ids = host
        .balancer
        .change_settings(host.now, settings, &mut actions)
        .expect("valid settings");
    (ids, actions)
}

/// Guards pending requests: they keep the class that they arrived with, and new requests get the changed class. An
/// unchanged class keeps its id.
#[test]
fn pending_requests_keep_their_class() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    count_sent_to(&mut host, "e0", 20);
    let (earlier, actions) = host.request(0);
    assert_eq!(send_targets(&actions).len(), 1);
    let (ids, _) = change_settings(&mut host, |settings| {
        settings.classes[0].idempotency = Idempotency::Unsafe;
    });
    assert_eq!(
        ids[1..],
        [1, 2, 3, 4].map(ClassId),
        "an unchanged class has a new id"
    );
    let actions = host.end_attempt(&earlier, 0, Outcome::Reset, 5, 0.0);
    assert_eq!(
        send_targets(&actions).len(),
        1,
        "not retried although its class was idempotent on arrival"
    );
    let (later, actions) = host.request(ids[0].0);
    assert_eq!(send_targets(&actions).len(), 1);
    let failed = host.end_attempt(&later, 0, Outcome::Reset, 5, 0.0);
    assert!(send_targets(&failed).is_empty());
    assert!(
        failed.contains(&Action::Fail { request: later }),
        "not failed although it may have run"
    );
    let (restored, _) = change_settings(&mut host, |_| {});
    assert_eq!(restored[0], ClassId(0), "the restored class has a new id");
}

/// Guards queued requests while classes and priority weights change: none is lost, and all are sent in order of
/// priority.
#[test]
fn queued_requests_survive_a_change_of_classes() {
    let mut host = Host::new(two_level_settings(), Vec::new());
    let (low, _) = host.request(0);
    let (high, _) = host.request(1);
    let (ids, actions) = change_settings(&mut host, |settings| {
        settings.classes.truncate(1);
        settings
            .classes
            .push(class("new", 10.0, Idempotency::Idempotent));
        settings
            .classes
            .push(class("least", 0.5, Idempotency::Idempotent));
    });
    assert_eq!(
        count_final_answers(&actions, &low) + count_final_answers(&actions, &high),
        0
    );
    let (newest, _) = host.request(ids[1].0);
    let mut actions_after = host.apply_list(ListKind::Full, endpoint_entries(4));
    for _ in 0..40 {
        host.now = host.now + ms(5);
        actions_after.extend(host.handle(Event::Timer { token: 0 }));
    }
    assert_eq!(
        sent_requests(&actions_after),
        [newest, high, low],
        "not in order of priority, or not all sent"
    );
}

/// Guards pending requests: a lower attempt limit applies to them too.
#[test]
fn lower_attempt_limit_applies_at_once() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    count_sent_to(&mut host, "e0", 40);
    let (id, _) = host.request(0);
    change_settings(&mut host, |settings| settings.limits.max_attempts = 1);
    let actions = host.end_attempt(&id, 0, Outcome::ConnectFailed, 1, 0.0);
    assert_eq!(
        (
            send_targets(&actions).len(),
            count_final_answers(&actions, &id)
        ),
        (0, 1)
    );
}

/// Guards against partly applied settings: invalid settings change nothing.
#[test]
fn invalid_settings_change_nothing() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    let mut actions = Vec::new();
    let changes: [fn(&mut Settings); 5] = [
        |settings| settings.classes.clear(),
        |settings| settings.limits.max_attempts = 0,
        |settings| settings.classes[2].deadline = Duration::ZERO,
        |settings| settings.classes[1].priority_weight = f64::NAN,
        |settings| settings.classes[1].name = settings.classes[0].name.clone(),
    ];
    for change in changes {
        let mut settings = default_settings();
        change(&mut settings);
        host.balancer
            .change_settings(host.now, settings, &mut actions)
            .expect_err("invalid");
        assert!(actions.is_empty());
        assert!(count_sent_to(&mut host, "e0", 30) > 0);
    }
}

/// Guards against growing memory when settings change often: ids of unused classes are reused.
#[test]
fn ids_of_retired_classes_are_reused() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    let mut max_id = 0;
    for round in 0..200 {
        host.now = host.now + ms(20_000);
        let (ids, _) = change_settings(&mut host, |settings| {
            settings.classes[0].name = format!("c{round}");
        });
        max_id = max_id.max(ids[0].0);
        assert!(count_sent_to(&mut host, "e0", 1) < 2);
    }
    assert!(max_id < 12, "{max_id}");
}
