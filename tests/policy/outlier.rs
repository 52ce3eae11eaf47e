//! Endpoints that fail more than others.

use crate::host::*;
use balancer_sidecar::policy::*;

#[test]
fn an_endpoint_that_refuses_connections_is_left_alone_for_a_while() {
    let mut host = Host::new(settings(), listings(4));
    host.soak(60, 0.0);
    let (id, actions) = host.request(1);
    let bad = sends(&actions)[0].clone();
    host.end(&id, 0, Outcome::ConnectFailed, 1, 0.0);
    for _ in 0..20 {
        let (id, actions) = host.request(1);
        assert_ne!(sends(&actions)[0], bad);
        host.end(&id, 0, Outcome::Served, 2, 0.0);
    }
}

/// Of the last 200 calls of one class and of another, how many go to e0, where e0 and each other endpoint fail
/// these parts of the first class at once, with this outcome, and serve the other.
fn sent_to_e0(outcome: Outcome, e0: f64, others: f64) -> [usize; 2] {
    let mut host = Host::new(settings(), listings(4));
    let (mut counts, mut due) = ([0, 0], [0.0; 4]);
    for n in 0..800 {
        host.now = host.now + ms(10);
        let class = 1 - n % 2;
        let (id, actions) = host.request(class);
        let Some(to) = sends(&actions)
            .first()
            .map(|e| e.0[1..].parse::<usize>().expect("a number"))
        else {
            continue;
        };
        counts[1 - class] += usize::from(n >= 400 && to == 0);
        due[to] += if class == 0 {
            0.0
        } else {
            [e0, others][to.min(1)]
        };
        let (ends, took) = if due[to] >= 1.0 {
            (outcome, 1)
        } else {
            (Outcome::Served, 9)
        };
        due[to] = f64::fract(due[to]);
        let retried = sends(&host.end(&id, 0, ends, took, 0.0)).len();
        (1..=retried).for_each(|attempt| drop(host.end(&id, attempt, Outcome::Served, 9, 0.0)));
        host.tell(Event::ClientDisconnected { request: id });
    }
    counts
}

#[test]
fn a_server_that_fails_one_class_fast_gets_the_others_and_hardly_any_of_it() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        let [failed, served] = sent_to_e0(outcome, 1.0, 0.0);
        assert!(
            failed <= 4,
            "{outcome:?}: {failed} of 200 calls to the one that fails them"
        );
        assert!(
            outcome != Outcome::Error || served > 30,
            "{served} of 200 calls of the class it serves"
        );
    }
}

#[test]
fn errors_that_all_endpoints_pass_up_single_out_none() {
    let [ours, _] = sent_to_e0(Outcome::Error, 0.5, 0.5);
    assert!(
        ours > 15,
        "{ours} of 200: failing like the others, it gets its part"
    );
}

#[test]
fn what_must_not_run_twice_keeps_off_a_server_that_fails_other_classes() {
    let mut host = Host::new(settings(), listings(4));
    let bad = EndpointId::from("e0");
    let mut risked = 0;
    for n in 0..400 {
        host.now = host.now + ms(10);
        // Nineteen of twenty calls may be repeated; the server fails all of these that it gets.
        let class = usize::from(n % 20 == 19);
        let (id, actions) = host.request(class);
        let Some(to) = sends(&actions).first().cloned() else {
            continue;
        };
        risked += usize::from(n >= 100 && class == 1 && to == bad);
        let outcome = if to == bad && class == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        let retried = sends(&host.end(&id, 0, outcome, 9, 0.0)).len();
        (1..=retried).for_each(|attempt| drop(host.end(&id, attempt, Outcome::Served, 9, 0.0)));
        host.tell(Event::ClientDisconnected { request: id });
    }
    assert_eq!(
        risked, 0,
        "calls that must not run twice went to the one that fails"
    );
}

/// Guards calls that must not run twice where some endpoints lose them, and them alone: each endpoint must not cost one to
/// find out. They stay where one was served last; the other classes go on everywhere.
#[test]
fn what_must_not_run_twice_stays_where_it_was_served_last() {
    let mut host = Host::new(settings(), listings(8));
    let bad = |e: &EndpointId| ["e0", "e1", "e2", "e3"].iter().any(|b| *e == (*b).into());
    let (mut lost, mut others) = (0, std::collections::BTreeSet::new());
    for n in 0..600 {
        host.now = host.now + ms(40);
        let class = usize::from(n % 10 == 9);
        let (id, actions) = host.request(class);
        let Some(to) = sends(&actions).first().cloned() else {
            continue;
        };
        if n >= 200 && class == 1 && bad(&to) {
            lost += 1;
            host.now = host.now + ms(1000);
            host.end(&id, 0, Outcome::TimedOut, 1000, 0.0);
            continue;
        }
        if n >= 300 && class == 0 {
            others.insert(to);
        }
        host.end(&id, 0, Outcome::Served, 10, 0.0);
    }
    assert!(
        (1..=2).contains(&lost),
        "{lost} of 40 calls were lost to four of eight endpoints"
    );
    assert_eq!(others.len(), 8, "{others:?}");
}
