//! Tests of answer time estimates and cost hints.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// Has the balancer handle a request of the unsafe class with a cost hint.
fn request_with_cost_hint(
    host: &mut Host,
    request_number: usize,
    cost_hint: Duration,
) -> (RequestId, Vec<Action>) {
    let id = RequestId::from(format!("h{request_number}").as_str());
    let deadline = host.now + ms(2000);
    let request = Request {
        id: id.clone(),
        class: ClassId(1),
        tenant: None,
        key: None,
        deadline,
        cost_hint: Some(cost_hint),
        client_retry: false,
        write: false,
    };
    let actions = host.handle(Event::Request(request));
    (id, actions)
}

/// Guards against rejections for lack of time after a few cost hints close to zero. Such hints must not inflate the
/// estimates of answer times.
#[test]
fn tiny_cost_hints_do_not_inflate_the_estimate() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    for request_number in 0..40 {
        host.now = host.now + ms(50);
        let cost_hint = if request_number % 10 == 9 {
            Duration::from_nanos(1000)
        } else {
            ms(30)
        };
        let (id, actions) = request_with_cost_hint(&mut host, request_number, cost_hint);
        assert_eq!(
            send_targets(&actions).len(),
            1,
            "request {request_number} was not sent"
        );
        host.end_attempt(&id, 0, Outcome::Served, 40, 0.0);
    }
}

/// Guards the weight of cost hints: a large hint leads to a rejection only if earlier answer times followed their
/// hints.
#[test]
fn cost_hints_count_if_answer_times_correlate() {
    for (answer_times_ignore_hints, expected_sends) in [(true, 1), (false, 0)] {
        let mut host = Host::new(default_settings(), endpoint_entries(4));
        for request_number in 0..200 {
            host.now = host.now + ms(50);
            let cost_hint = [5, 20, 40, 100, 300][request_number * 7 % 5];
            let (id, _) = request_with_cost_hint(&mut host, request_number, ms(cost_hint));
            host.end_attempt(
                &id,
                0,
                Outcome::Served,
                if answer_times_ignore_hints {
                    90 + (request_number as u64 * 13) % 20
                } else {
                    cost_hint
                },
                0.0,
            );
        }
        // The hint is 40 times the mean hint. An estimate from the hint alone would be past the deadline.
        let (id, actions) = request_with_cost_hint(&mut host, 200, ms(3700));
        assert_eq!(
            (
                send_targets(&actions).len(),
                count_final_answers(&actions, &id)
            ),
            (expected_sends, 1 - expected_sends),
            "answer times ignore hints: {answer_times_ignore_hints}"
        );
    }
}
