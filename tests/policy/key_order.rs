//! Tests of key order: requests with the same key are sent one at a time, in order of arrival.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Returns a host with two classes in key order (the unsafe class, and the class keyed to a zone) and a key cooldown of
/// 50 ms.
fn host_with_key_order() -> Host {
    let mut settings = default_settings();
    settings.rules.key_cooldown = Some(ms(50));
    (
        settings.classes[1].is_key_ordered,
        settings.classes[3].is_key_ordered,
    ) = (true, true);
    Host::new(settings, endpoint_entries(6))
}

/// Guards the order of requests with the same key in different classes. Other keys, requests without a key and classes
/// without key order are not delayed.
#[test]
fn key_order_spans_classes_but_not_keys() {
    let mut host = host_with_key_order();
    let (first, actions) = host.keyed_request(1, "k");
    assert_eq!(sent_requests(&actions).len(), 1);
    let (second, actions) = host.keyed_request(3, "k");
    assert_eq!(
        sent_requests(&actions),
        [],
        "sent before the earlier request of another class"
    );
    let (third, actions) = host.keyed_request(1, "k");
    assert_eq!(sent_requests(&actions), []);
    for (class, key) in [(1, "other"), (0, "k")] {
        assert_eq!(
            sent_requests(&host.keyed_request(class, key).1).len(),
            1,
            "delayed despite another key, or a class without key order"
        );
    }
    assert_eq!(
        sent_requests(&host.request(1).1).len(),
        1,
        "a request without a key was delayed"
    );
    host.now = host.now + ms(20);
    assert_eq!(
        sent_requests(&host.end_attempt(&first, 0, Outcome::Served, 20, 0.0)),
        std::slice::from_ref(&second)
    );
    assert_eq!(
        sent_requests(&host.end_attempt(&second, 0, Outcome::Served, 20, 0.0)),
        [third]
    );
}

/// Guards the key order after an attempt whose end does not prove that the endpoint has stopped processing it. The next
/// request of the key waits for the cooldown. Both could otherwise run at the same time.
#[test]
fn key_cools_down_after_attempt_that_may_still_run() {
    for (outcome, cools_down) in [
        (Outcome::TimedOut, true),
        (Outcome::Reset, true),
        (Outcome::Cancelled, true),
        (Outcome::Error, false),
    ] {
        let mut host = host_with_key_order();
        let (first, _) = host.keyed_request(1, "k");
        let (second, _) = host.keyed_request(1, "k");
        host.now = host.now + ms(20);
        let actions = host.end_attempt(&first, 0, outcome, 20, 0.0);
        assert_eq!(
            count_final_answers(&actions, &first),
            1,
            "{outcome:?} did not end the unsafe request"
        );
        assert_eq!(
            sent_requests(&actions).is_empty(),
            cools_down,
            "{outcome:?}"
        );
        let (expires_at, token) = requested_timers(&actions)
            .last()
            .copied()
            .unwrap_or((host.now, 0));
        host.now = host.now + ms(49);
        if cools_down {
            assert!(
                expires_at <= host.now + ms(1),
                "no timer is set for the end of the cooldown"
            );
            assert_eq!(
                sent_requests(&host.handle(Event::Timer { token: token + 1 })),
                [],
                "sent during the cooldown"
            );
            host.now = host.now + ms(1);
            assert_eq!(
                sent_requests(&host.handle(Event::Timer { token })),
                [second]
            );
        }
    }
}

/// Guards the first request of a key: the cooldown delays the requests behind it, but not its own retry.
#[test]
fn retries_skip_the_key_cooldown() {
    let mut host = host_with_key_order();
    host.serve_requests(60, 0.0); // fills the retry budget
    let (first, _) = host.keyed_request(3, "k");
    let (second, _) = host.keyed_request(3, "k");
    host.now = host.now + ms(20);
    assert_eq!(
        sent_requests(&host.end_attempt(&first, 0, Outcome::Reset, 20, 0.0)),
        std::slice::from_ref(&first)
    );
    host.now = host.now + ms(60);
    assert_eq!(
        sent_requests(&host.end_attempt(&first, 1, Outcome::Served, 20, 0.0)),
        [second],
        "not sent although the cooldown has ended"
    );
}

/// Guards the key order when a client disconnects. The attempt may still run, and it delays its key until it ends.
#[test]
fn attempt_in_flight_delays_its_key_after_disconnect() {
    let mut host = host_with_key_order();
    let (first, _) = host.keyed_request(1, "k");
    let (second, _) = host.keyed_request(1, "k");
    let (third, _) = host.keyed_request(1, "k");
    let actions = host.handle(Event::ClientDisconnected {
        request: first.clone(),
    });
    assert_eq!(
        sent_requests(&actions),
        [],
        "sent while the attempt of the first request is in flight"
    );
    // The second request is skipped because its client disconnects while it is queued.
    host.handle(Event::ClientDisconnected { request: second });
    host.now = host.now + ms(20);
    assert_eq!(
        sent_requests(&host.end_attempt(&first, 0, Outcome::Served, 20, 0.0)),
        [third]
    );
}

/// Guards the final answer of a request that waits while the first request of its key stays in flight.
#[test]
fn request_waiting_for_its_key_is_rejected_in_time() {
    let mut host = host_with_key_order();
    let (first, actions) = host.keyed_request(1, "k");
    let (second, second_actions) = host.keyed_request(1, "k");
    let (mut timers, mut answer_count) = (
        [
            requested_timers(&actions),
            requested_timers(&second_actions),
        ]
        .concat(),
        0,
    );
    while let Some((at, token)) = timers.pop() {
        host.now = host.now.max(at);
        let actions = host.handle(Event::Timer { token });
        answer_count += count_final_answers(&actions, &second);
        assert_eq!(count_final_answers(&actions, &first), 0);
        timers.extend(requested_timers(&actions));
    }
    assert_eq!(answer_count, 1);
    assert!(host.now <= at(1001), "rejected after its latency objective");
}
