//! Tests of retries after attempts, their limits, and the final answers.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Ends the first attempt of a request with an outcome. Returns the endpoints of its attempts, and its final answer.
fn attempts_and_answer(
    class: usize,
    outcome: Outcome,
    elapsed_ms: u64,
) -> (Vec<EndpointId>, Option<Action>) {
    // e0 and e1 are in one group, e2 is in another group of their zone, and e3 and e4 are in another zone.
    let entries = vec![
        endpoint_entry("e0", "a", 1),
        endpoint_entry("e1", "a", 1),
        endpoint_entry("e2", "a", 2),
        endpoint_entry("e3", "b", 3),
        endpoint_entry("e4", "b", 3),
    ];
    let mut host = Host::new(default_settings(), entries);
    for _ in 0..60 {
        // Served requests fill the retry budget.
        let (id, _) = host.request(1);
        host.end_attempt(&id, 0, Outcome::Served, 20, 0.0);
        host.now = host.now + ms(20);
    }
    let (id, actions) = host.request(class);
    let first = send_targets(&actions)[0].clone();
    host.now = host.now + ms(elapsed_ms);
    let actions = host.end_attempt(&id, 0, outcome, elapsed_ms, 0.0);
    let mut targets = vec![first];
    targets.extend(send_targets(&actions));
    let final_answer = actions
        .into_iter()
        .find(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }));
    (targets, final_answer)
}

/// Guards requests that may have run: each idempotency permits only certain retries and rejections after an outcome.
#[test]
fn idempotency_limits_retries_and_rejections() {
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let location_of = |e: &EndpointId| match &*e.0 {
        "e0" | "e1" => ("a", 1),
        "e2" => ("a", 2),
        _ => ("b", 3),
    };
    for outcome in outcomes {
        let proves_not_run = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        assert_eq!(outcome.proves_not_run(), proves_not_run);
        let (targets, final_answer) = attempts_and_answer(0, outcome, 100);
        assert!(
            targets.len() == 2 && final_answer.is_none() && targets[0] != targets[1],
            "safe {outcome:?} {targets:?} {final_answer:?}"
        );
        let (targets, final_answer) = attempts_and_answer(1, outcome, 100);
        if proves_not_run {
            assert!(
                targets.len() == 2 && final_answer.is_none(),
                "unsafe {outcome:?}"
            );
        } else {
            assert!(
                targets.len() == 1 && matches!(final_answer, Some(Action::Fail { .. })),
                "unsafe {outcome:?}"
            );
        }
        // Class 3 is keyed to the zone, and class 4 to the group.
        for (class, requires_same_group) in [(3, 0), (4, 1)] {
            let (targets, final_answer) = attempts_and_answer(class, outcome, 100);
            if let (Some(next), false) = (targets.get(1), proves_not_run) {
                let (first_location, next_location) = (location_of(&targets[0]), location_of(next));
                assert!(
                    first_location.0 == next_location.0
                        && (requires_same_group == 0 || first_location.1 == next_location.1),
                    "class {class} {outcome:?} {targets:?}"
                );
            }
            assert!(
                proves_not_run || !matches!(final_answer, Some(Action::Reject { .. })),
                "class {class} {outcome:?}"
            );
            // After the idempotency window, only requests that provably did not run are retried.
            let (targets, final_answer) = attempts_and_answer(class, outcome, 400);
            assert!(
                proves_not_run
                    || targets.len() == 1 && matches!(final_answer, Some(Action::Fail { .. })),
                "class {class} {outcome:?} after the window"
            );
        }
        let (targets, final_answer) = attempts_and_answer(2, outcome, 400);
        assert!(
            proves_not_run
                || targets.len() == 1 && matches!(final_answer, Some(Action::Fail { .. })),
            "keyed-all {outcome:?} {final_answer:?} after the window"
        );
    }
}

#[test]
fn attempts_stay_within_the_limit() {
    let mut host = Host::new(default_settings(), endpoint_entries(8));
    host.serve_requests(60, 0.0);
    let (id, actions) = host.request(0);
    let mut sent_count = send_targets(&actions).len();
    let mut answer_count = 0;
    for attempt in 0..5 {
        host.now = host.now + ms(5);
        let actions = host.end_attempt(&id, attempt, Outcome::ConnectFailed, 5, 0.0);
        sent_count += send_targets(&actions).len();
        answer_count += count_final_answers(&actions, &id);
    }
    assert_eq!((sent_count, answer_count), (3, 1));
}

/// Guards the timeout of attempts: it is the latency objective if late answers have no value, and otherwise the
/// deadline.
#[test]
fn attempt_times_out_when_its_answer_has_no_value() {
    let timeout = |settings: Settings, class| match host_with_settings(settings)
        .request(class)
        .1
        .as_slice()
    {
        [Action::Send { timeout, .. }, ..] => *timeout,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        timeout(default_settings(), 0),
        Some(ms(1000)),
        "not the latency objective, although late answers have no value"
    );
    let mut late_value_settings = default_settings();
    late_value_settings.classes[1].late_value = 0.5;
    assert_eq!(
        timeout(late_value_settings, 1),
        None,
        "a timeout before the deadline, although late answers have value"
    );
}

fn host_with_settings(settings: Settings) -> Host {
    Host::new(settings, endpoint_entries(4))
}

#[test]
fn rejections_carry_retry_after_only_if_permitted() {
    for permitted in [true, false] {
        let mut settings = default_settings();
        settings.limits.retry_after = permitted;
        let mut host = Host::new(settings, Vec::new());
        let retry_after_of_rejection =
            (0..12)
                .flat_map(|_| host.request(0).1)
                .find_map(|a| match a {
                    Action::Reject { retry_after, .. } => Some(retry_after),
                    _ => None,
                });
        assert_eq!(
            retry_after_of_rejection,
            Some(permitted.then_some(ms(2000)))
        );
    }
}
