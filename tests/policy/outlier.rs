//! Tests of outlier detection: endpoints that fail more often than others are avoided.

use crate::host::*;
use balancer_sidecar::policy::*;

#[test]
fn endpoint_refusing_connections_is_avoided() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    host.serve_requests(60, 0.0);
    let (id, actions) = host.request(1);
    let faulty = send_targets(&actions)[0].clone();
    host.end_attempt(&id, 0, Outcome::ConnectFailed, 1, 0.0);
    for _ in 0..20 {
        let (id, actions) = host.request(1);
        assert_ne!(send_targets(&actions)[0], faulty);
        host.end_attempt(&id, 0, Outcome::Served, 2, 0.0);
    }
}

/// Returns how many of the last 200 requests of each class are sent to e0. The endpoints fail requests of the unsafe
/// class with the given outcome and rates, and serve all requests of the idempotent class. The unsafe class is counted
/// first.
fn count_sent_to_e0(outcome: Outcome, e0_failure_rate: f64, other_failure_rate: f64) -> [usize; 2] {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    let (mut counts, mut accumulated_failures) = ([0, 0], [0.0; 4]);
    for request_number in 0..800 {
        host.now = host.now + ms(10);
        let class = 1 - request_number % 2;
        let (id, actions) = host.request(class);
        let Some(target) = send_targets(&actions)
            .first()
            .map(|e| e.0[1..].parse::<usize>().expect("a number"))
        else {
            continue;
        };
        counts[1 - class] += usize::from(request_number >= 400 && target == 0);
        accumulated_failures[target] += if class == 0 {
            0.0
        } else {
            [e0_failure_rate, other_failure_rate][target.min(1)]
        };
        let (first_outcome, elapsed_ms) = if accumulated_failures[target] >= 1.0 {
            (outcome, 1)
        } else {
            (Outcome::Served, 9)
        };
        accumulated_failures[target] = f64::fract(accumulated_failures[target]);
        let retried = send_targets(&host.end_attempt(&id, 0, first_outcome, elapsed_ms, 0.0)).len();
        (1..=retried)
            .for_each(|attempt| drop(host.end_attempt(&id, attempt, Outcome::Served, 9, 0.0)));
        host.handle(Event::ClientDisconnected { request: id });
    }
    counts
}

/// Guards outlier detection per class: an endpoint that returns errors for one class keeps its requests of the other.
#[test]
fn endpoint_failing_one_class_keeps_the_others() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        let [sent_of_failed_class, sent_of_served_class] = count_sent_to_e0(outcome, 1.0, 0.0);
        assert!(
            sent_of_failed_class <= 4,
            "{outcome:?}: {sent_of_failed_class} of 200 requests of the failed class sent to the faulty endpoint"
        );
        assert!(
            outcome != Outcome::Error || sent_of_served_class > 30,
            "only {sent_of_served_class} of 200 requests of the served class"
        );
    }
}

/// Guards a tier in which all endpoints fail equally often: an endpoint is still sent its share.
#[test]
fn equal_error_rates_make_no_outlier() {
    let [sent_to_e0, _] = count_sent_to_e0(Outcome::Error, 0.5, 0.5);
    assert!(
        sent_to_e0 > 15,
        "only {sent_to_e0} of 200 requests sent to an endpoint with the common error rate"
    );
}

/// Guards unsafe requests, which are not retried if they may have run: they avoid an endpoint with failures in any
/// class.
#[test]
fn unsafe_requests_avoid_endpoint_failing_other_classes() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    let faulty = EndpointId::from("e0");
    let mut unsafe_sent_to_faulty = 0;
    for request_number in 0..400 {
        host.now = host.now + ms(10);
        // Nineteen of twenty requests are idempotent. The faulty endpoint fails all of them.
        let class = usize::from(request_number % 20 == 19);
        let (id, actions) = host.request(class);
        let Some(target) = send_targets(&actions).first().cloned() else {
            continue;
        };
        unsafe_sent_to_faulty +=
            usize::from(request_number >= 100 && class == 1 && target == faulty);
        let outcome = if target == faulty && class == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        let retried = send_targets(&host.end_attempt(&id, 0, outcome, 9, 0.0)).len();
        (1..=retried)
            .for_each(|attempt| drop(host.end_attempt(&id, attempt, Outcome::Served, 9, 0.0)));
        host.handle(Event::ClientDisconnected { request: id });
    }
    assert_eq!(
        unsafe_sent_to_faulty, 0,
        "unsafe requests sent to the faulty endpoint"
    );
}

/// Guards unsafe requests when some endpoints lose only requests of this class. After a loss, unsafe requests are sent
/// to an endpoint that served one recently. Fewer are then lost than one at each faulty endpoint. Other classes are
/// still sent to all endpoints.
#[test]
fn unsafe_requests_prefer_recent_successes() {
    let mut host = Host::new(default_settings(), endpoint_entries(8));
    let is_faulty = |id: &EndpointId| {
        ["e0", "e1", "e2", "e3"]
            .iter()
            .any(|faulty| *id == (*faulty).into())
    };
    let (mut lost, mut idempotent_targets) = (0, std::collections::BTreeSet::new());
    for request_number in 0..600 {
        host.now = host.now + ms(40);
        let class = usize::from(request_number % 10 == 9);
        let (id, actions) = host.request(class);
        let Some(target) = send_targets(&actions).first().cloned() else {
            continue;
        };
        if request_number >= 200 && class == 1 && is_faulty(&target) {
            lost += 1;
            host.now = host.now + ms(1000);
            host.end_attempt(&id, 0, Outcome::TimedOut, 1000, 0.0);
            continue;
        }
        if request_number >= 300 && class == 0 {
            idempotent_targets.insert(target);
        }
        host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
    }
    assert!(
        (1..=2).contains(&lost),
        "{lost} of 40 unsafe requests lost, with four faulty endpoints of eight"
    );
    assert_eq!(idempotent_targets.len(), 8, "{idempotent_targets:?}");
}
