//! How many requests a balancer has in flight.

use crate::host::*;
use balancer_sidecar::policy::*;

#[test]
fn a_timed_out_attempt_stays_in_flight_until_the_deadline() {
    // Most servers continue with it: if it were removed at once, the next request would be sent in addition, and so on.
    let fill = |host: &mut Host| {
        let requests = (0..40)
            .map(|_| host.request(1))
            .filter(|(_, actions)| !send_targets(actions).is_empty());
        requests.map(|(id, _)| id).collect::<Vec<_>>()
    };
    let sent_before_and_after = |after: u64| {
        let mut host = Host::new(
            Settings {
                balancers: 1,
                ..default_settings()
            },
            endpoint_entries(3),
        );
        let first = fill(&mut host);
        assert!(
            (3..40).contains(&first.len()),
            "{} in flight at first",
            first.len()
        );
        host.now = host.now + ms(1000);
        for id in &first {
            host.end(id, 0, Outcome::TimedOut, 150, 0.0); // too short to count against the endpoint
        }
        host.now = host.now + ms(after);
        (first.len(), fill(&mut host).len())
    };
    assert_eq!(
        sent_before_and_after(500).1,
        0,
        "the deadline is 2 s after the start"
    );
    let (first, then) = sent_before_and_after(1100);
    assert!(
        then * 2 >= first,
        "{first} at first, {then} after the deadline"
    );
}

/// Returns how many requests one of several balancers sends at once to a tier that stops answering, before one is
/// queued. The last answers took `took` ms, and the unloaded time is 10 ms.
fn sent_unanswered(balancers: u32, tier: usize, took: u64) -> usize {
    let mut host = Host::new(
        Settings {
            balancers,
            ..default_settings()
        },
        endpoint_entries(tier),
    );
    for request_number in 0..60 {
        host.now = host.now + ms(200);
        let (id, _) = host.request(1);
        host.end(
            &id,
            0,
            Outcome::Served,
            if request_number < 20 { 10 } else { took },
            0.0,
        );
    }
    let sent_requests = |host: &mut Host| {
        host.now = host.now + ms(1);
        send_targets(&host.request(1).1).len()
    };
    (0..300)
        .take_while(|_| sent_requests(&mut host) == 1)
        .count()
}

#[test]
fn many_balancers_together_do_not_overload_the_endpoints() {
    // By its own requests alone a balancer would send two to each endpoint, and so would every other balancer.
    for balancers in [10, 20] {
        let together = sent_unanswered(balancers, 20, 10) * balancers as usize;
        assert!(
            together <= 20 * 15,
            "{together} on 20 endpoints from {balancers} balancers"
        );
        assert!(
            together >= 20 * 6,
            "{together} on 20 endpoints from {balancers} balancers"
        );
    }
    // Of 60 balancers none may send beyond its subset: two on each of three members exceed its share already.
    assert_eq!(sent_unanswered(60, 20, 10), 6);
}

#[test]
fn fewer_requests_are_in_flight_where_answers_take_longer() {
    // Each of 100 endpoints has at most one of this balancer's requests, so that only the tier's mean shows the
    // slowdown.
    let (short, long) = (sent_unanswered(100, 100, 10), sent_unanswered(100, 100, 18));
    assert!(
        long * 4 <= short * 3,
        "{long} in flight after long answers, {short} after short ones"
    );
}

/// Returns how many requests of a class a balancer sends to a tier before one is queued.
fn sent_before_queueing(class: usize, tier: usize, tiers: usize) -> usize {
    let mut host = Host::new(
        Settings {
            balancers: 1,
            tier,
            tiers,
            ..default_settings()
        },
        endpoint_entries(4),
    );
    host.serve_requests(40, 0.0);
    let sent_requests = |host: &mut Host| {
        host.now = host.now + ms(1);
        send_targets(&host.request(class).1).len()
    };
    (0..300)
        .take_while(|_| sent_requests(&mut host) == 1)
        .count()
}

#[test]
fn balancers_of_an_inner_tier_have_fewer_requests_in_flight() {
    let (alone, below) = (sent_before_queueing(1, 0, 1), sent_before_queueing(1, 1, 2));
    assert!(
        below < alone,
        "{below} in flight in the last tier of two, {alone} where there is one"
    );
    assert!(below >= 4, "only {below} in flight at four idle endpoints");
}

#[test]
fn requests_that_wait_in_the_next_tier_do_not_count_as_a_queue() {
    let (above, last) = (sent_before_queueing(0, 0, 2), sent_before_queueing(0, 1, 2));
    assert!(
        above >= 2 * last,
        "{above} in flight above the last tier, {last} in it"
    );
    assert!(
        above >= 2 * 4,
        "two requests in flight at each server are no overload, but only {above} were sent"
    );
    assert!(
        above <= 4 * 10,
        "{above} unanswered requests at four servers throttle nothing"
    );
}
