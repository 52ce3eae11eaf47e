//! Settings that change while an instance runs.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// Has the host go on with settings that are changed so.
fn retune(host: &mut Host, change: impl FnOnce(&mut Settings)) -> (Vec<ClassId>, Vec<Action>) {
    let (mut set, mut out) = (settings(), Vec::new());
    change(&mut set);
    let ids = host
        .balancer
        .change_settings(host.now, set, &mut out)
        .expect("settings that make sense");
    (ids, out)
}

/// Guards requests under way: they keep the class that they came with, whatever becomes of its name; new ones go by the
/// new one. What stays as it was keeps its id.
#[test]
fn requests_under_way_keep_their_class() {
    let mut host = Host::new(settings(), listings(3));
    got(&mut host, "e0", 20);
    let (before, actions) = host.request(0);
    assert_eq!(sends(&actions).len(), 1);
    let (ids, _) = retune(&mut host, |set| {
        set.classes[0].idempotency = Idempotency::Unsafe;
    });
    assert_eq!(
        ids[1..],
        [1, 2, 3, 4].map(ClassId),
        "these are as they were"
    );
    let again = host.end(&before, 0, Outcome::Reset, 5, 0.0);
    assert_eq!(sends(&again).len(), 1, "it came as one that may run again");
    let (after, actions) = host.request(ids[0].0);
    assert_eq!(sends(&actions).len(), 1);
    let failed = host.end(&after, 0, Outcome::Reset, 5, 0.0);
    assert!(sends(&failed).is_empty());
    assert!(
        failed.contains(&Action::Fail { request: after }),
        "it may have run: no refusal"
    );
    let (back, _) = retune(&mut host, |_| {});
    assert_eq!(back[0], ClassId(0), "its old id, as nothing else has it");
}

/// Guards classes that vanish and appear, with worths of their own: what is held is neither lost nor left out of order.
#[test]
fn held_requests_go_on_under_other_classes() {
    let mut host = Host::new(two_levels(), Vec::new());
    let (plain, _) = host.request(0);
    let (worthy, _) = host.request(1);
    let (ids, out) = retune(&mut host, |set| {
        set.classes.truncate(1);
        set.classes
            .push(class("new", 10.0, Idempotency::Idempotent));
        set.classes
            .push(class("least", 0.5, Idempotency::Idempotent));
    });
    assert_eq!(answered(&out, &plain) + answered(&out, &worthy), 0);
    let (newest, _) = host.request(ids[1].0);
    let mut sent_to = host.members(ListKind::Full, listings(4));
    for _ in 0..40 {
        host.now = host.now + ms(5);
        sent_to.extend(host.tell(Event::Timer { token: 0 }));
    }
    assert_eq!(
        sent(&sent_to),
        [newest, worthy, plain],
        "the worthiest first, and all of them"
    );
}

/// Guards the smaller number of attempts, from the swap on, also for requests under way.
#[test]
fn fewer_attempts_hold_at_once() {
    let mut host = Host::new(settings(), listings(4));
    got(&mut host, "e0", 40);
    let (id, _) = host.request(0);
    retune(&mut host, |set| set.limits.max_attempts = 1);
    let out = host.end(&id, 0, Outcome::ConnectFailed, 1, 0.0);
    assert_eq!((sends(&out).len(), answered(&out, &id)), (0, 1));
}

/// Guards against half-taken settings: those that make no sense leave all as it was.
#[test]
fn senseless_settings_change_nothing() {
    let mut host = Host::new(settings(), listings(3));
    let mut out = Vec::new();
    let changes: [fn(&mut Settings); 5] = [
        |set| set.classes.clear(),
        |set| set.limits.max_attempts = 0,
        |set| set.classes[2].deadline = Duration::ZERO,
        |set| set.classes[1].priority_weight = f64::NAN,
        |set| set.classes[1].name = set.classes[0].name.clone(),
    ];
    for change in changes {
        let mut set = settings();
        change(&mut set);
        host.balancer
            .change_settings(host.now, set, &mut out)
            .expect_err("senseless");
        assert!(out.is_empty());
        assert!(got(&mut host, "e0", 30) > 0);
    }
}

/// Guards memory where settings change all day: places of classes that nobody has are given again.
#[test]
fn classes_that_come_and_go_do_not_add_up() {
    let mut host = Host::new(settings(), listings(3));
    let mut most = 0;
    for n in 0..200 {
        host.now = host.now + ms(20_000);
        let (ids, _) = retune(&mut host, |set| set.classes[0].name = format!("c{n}"));
        most = most.max(ids[0].0);
        assert!(got(&mut host, "e0", 1) < 2);
    }
    assert!(most < 12, "{most}");
}
