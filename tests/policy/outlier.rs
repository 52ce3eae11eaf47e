//! Outlier detection: endpoints that fail more than others.

use crate::host::*;
use balancer_sidecar::policy::*;

#[test]
fn an_endpoint_that_refuses_connections_is_not_picked_for_a_while() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    host.serve_requests(60, 0.0);
    let (id, actions) = host.request(1);
    let faulty = send_targets(&actions)[0].clone();
    host.end(&id, 0, Outcome::ConnectFailed, 1, 0.0);
    for _ in 0..20 {
        let (id, actions) = host.request(1);
        assert_ne!(send_targets(&actions)[0], faulty);
        host.end(&id, 0, Outcome::Served, 2, 0.0);
    }
}

/// Returns how many of the last 200 requests of each of two classes are sent to e0, where e0 and the other endpoints
/// fail these fractions of the first class with an outcome, and serve the second class.
fn sent_to_e0(outcome: Outcome, e0: f64, others: f64) -> [usize; 2] {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    let (mut counts, mut due_failures) = ([0, 0], [0.0; 4]);
    for request_number in 0..800 {
        host.now = host.now + ms(10);
        let class = 1 - request_number % 2;
        let (id, actions) = host.request(class);
        let Some(to) = send_targets(&actions)
            .first()
            .map(|e| e.0[1..].parse::<usize>().expect("a number"))
        else {
            continue;
        };
        counts[1 - class] += usize::from(request_number >= 400 && to == 0);
        due_failures[to] += if class == 0 {
            0.0
        } else {
            [e0, others][to.min(1)]
        };
        let (ends, took) = if due_failures[to] >= 1.0 {
            (outcome, 1)
        } else {
            (Outcome::Served, 9)
        };
        due_failures[to] = f64::fract(due_failures[to]);
        let retried = send_targets(&host.end(&id, 0, ends, took, 0.0)).len();
        (1..=retried).for_each(|attempt| drop(host.end(&id, attempt, Outcome::Served, 9, 0.0)));
        host.handle(Event::ClientDisconnected { request: id });
    }
    counts
}

#[test]
fn an_endpoint_that_fails_one_class_is_sent_the_others_and_hardly_any_of_it() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        let [failed, served] = sent_to_e0(outcome, 1.0, 0.0);
        assert!(
            failed <= 4,
            "{outcome:?}: {failed} of 200 requests to the endpoint that fails them"
        );
        assert!(
            outcome != Outcome::Error || served > 30,
            "{served} of 200 requests of the class that it serves"
        );
    }
}

#[test]
fn errors_of_all_endpoints_make_none_an_outlier() {
    let [sent_there, _] = sent_to_e0(Outcome::Error, 0.5, 0.5);
    assert!(
        sent_there > 15,
        "{sent_there} of 200: failing like the others, it is sent its share"
    );
}

#[test]
fn unsafe_requests_avoid_an_endpoint_that_fails_other_classes() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    let faulty = EndpointId::from("e0");
    let mut risked = 0;
    for request_number in 0..400 {
        host.now = host.now + ms(10);
        // Nineteen of twenty requests are idempotent; the faulty endpoint fails all of these.
        let class = usize::from(request_number % 20 == 19);
        let (id, actions) = host.request(class);
        let Some(to) = send_targets(&actions).first().cloned() else {
            continue;
        };
        risked += usize::from(request_number >= 100 && class == 1 && to == faulty);
        let outcome = if to == faulty && class == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        let retried = send_targets(&host.end(&id, 0, outcome, 9, 0.0)).len();
        (1..=retried).for_each(|attempt| drop(host.end(&id, attempt, Outcome::Served, 9, 0.0)));
        host.handle(Event::ClientDisconnected { request: id });
    }
    assert_eq!(
        risked, 0,
        "unsafe requests were sent to the faulty endpoint"
    );
}

/// Guards unsafe requests where some endpoints lose these alone: not one request is lost at each such endpoint. They
/// are sent where one was served last; the other classes are still sent everywhere.
#[test]
fn unsafe_requests_stay_where_one_was_served_last() {
    let mut host = Host::new(default_settings(), endpoint_entries(8));
    let is_faulty = |id: &EndpointId| {
        ["e0", "e1", "e2", "e3"]
            .iter()
            .any(|faulty| *id == (*faulty).into())
    };
    let (mut lost, mut others) = (0, std::collections::BTreeSet::new());
    for request_number in 0..600 {
        host.now = host.now + ms(40);
        let class = usize::from(request_number % 10 == 9);
        let (id, actions) = host.request(class);
        let Some(to) = send_targets(&actions).first().cloned() else {
            continue;
        };
        if request_number >= 200 && class == 1 && is_faulty(&to) {
            lost += 1;
            host.now = host.now + ms(1000);
            host.end(&id, 0, Outcome::TimedOut, 1000, 0.0);
            continue;
        }
        if request_number >= 300 && class == 0 {
            others.insert(to);
        }
        host.end(&id, 0, Outcome::Served, 10, 0.0);
    }
    assert!(
        (1..=2).contains(&lost),
        "{lost} of 40 requests were lost at four of eight endpoints"
    );
    assert_eq!(others.len(), 8, "{others:?}");
}
