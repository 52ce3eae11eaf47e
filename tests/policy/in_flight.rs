//! Tests of the limits on the requests that a balancer has in flight.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Guards endpoints against a growing load from timeouts. Most servers continue with a timed-out request. If its
/// attempt stopped counting at once, further requests would be sent in addition.
#[test]
fn timed_out_attempts_count_until_the_deadline() {
    let send_requests = |host: &mut Host| {
        let requests = (0..40)
            .map(|_| host.request(1))
            .filter(|(_, actions)| !send_targets(actions).is_empty());
        requests.map(|(id, _)| id).collect::<Vec<_>>()
    };
    let sent_before_and_after = |wait_ms: u64| {
        let mut host = Host::new(
            Settings {
                balancers: 1,
                ..default_settings()
            },
            endpoint_entries(3),
        );
        let first = send_requests(&mut host);
        assert!(
            (3..40).contains(&first.len()),
            "{} in flight at first",
            first.len()
        );
        host.now = host.now + ms(1000);
        for id in &first {
            host.end_attempt(id, 0, Outcome::TimedOut, 150, 0.0); // too short to count as a failure of the endpoint
        }
        host.now = host.now + ms(wait_ms);
        (first.len(), send_requests(&mut host).len())
    };
    assert_eq!(
        sent_before_and_after(500).1,
        0,
        "sent again before the deadline, which is 2 s after the start"
    );
    let (first, later) = sent_before_and_after(1100);
    assert!(
        later * 2 >= first,
        "{first} at first, {later} after the deadline"
    );
}

/// Returns how many requests one of several balancers sends to a tier that stops answering, before it queues one. The
/// last answers took `last_answer_time_ms`, and the unloaded time is 10 ms.
fn count_sent_to_unresponsive_tier(
    balancers: u32,
    endpoints: usize,
    last_answer_time_ms: u64,
) -> usize {
    let mut host = Host::new(
        Settings {
            balancers,
            ..default_settings()
        },
        endpoint_entries(endpoints),
    );
    for request_number in 0..60 {
        host.now = host.now + ms(200);
        let (id, _) = host.request(1);
        host.end_attempt(
            &id,
            0,
            Outcome::Served,
            if request_number < 20 {
                10
            } else {
                last_answer_time_ms
            },
            0.0,
        );
    }
    let count_sent = |host: &mut Host| {
        host.now = host.now + ms(1);
        send_targets(&host.request(1).1).len()
    };
    (0..300).take_while(|_| count_sent(&mut host) == 1).count()
}

/// Guards endpoints against the combined load of many balancers. If each balancer sent two requests to every endpoint
/// regardless of the others, an endpoint would have twice as many requests as there are balancers.
#[test]
fn many_balancers_do_not_overload_the_endpoints() {
    for balancers in [10, 20] {
        let together = count_sent_to_unresponsive_tier(balancers, 20, 10) * balancers as usize;
        assert!(
            together <= 20 * 15,
            "{together} on 20 endpoints from {balancers} balancers"
        );
        assert!(
            together >= 20 * 6,
            "{together} on 20 endpoints from {balancers} balancers"
        );
    }
    // Of 60 balancers, none may send beyond its subset. Two requests at each of three members already exceed its share.
    assert_eq!(count_sent_to_unresponsive_tier(60, 20, 10), 6);
}

/// Guards the limit with few requests at each endpoint. Each of 100 endpoints has at most one request of this balancer.
/// Only the mean over the tier shows the slowdown.
#[test]
fn slower_answers_reduce_requests_in_flight() {
    let (after_fast_answers, after_slow_answers) = (
        count_sent_to_unresponsive_tier(100, 100, 10),
        count_sent_to_unresponsive_tier(100, 100, 18),
    );
    assert!(
        after_slow_answers * 4 <= after_fast_answers * 3,
        "{after_slow_answers} in flight after slow answers, {after_fast_answers} after fast answers"
    );
}

/// Returns how many requests of a class a balancer sends before it queues one. The balancer is in front of the tier
/// with number `tier` of `tiers`.
fn count_sent_before_queueing(class: usize, tier: usize, tiers: usize) -> usize {
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
    let count_sent = |host: &mut Host| {
        host.now = host.now + ms(1);
        send_targets(&host.request(class).1).len()
    };
    (0..300).take_while(|_| count_sent(&mut host) == 1).count()
}

/// Guards inner tiers, which have a lower limit than a single tier, and still use idle endpoints.
#[test]
fn inner_tier_has_fewer_requests_in_flight() {
    let (single_tier, last_of_two) = (
        count_sent_before_queueing(1, 0, 1),
        count_sent_before_queueing(1, 1, 2),
    );
    assert!(
        last_of_two < single_tier,
        "{last_of_two} in flight in the last tier of two, {single_tier} in a single tier"
    );
    assert!(
        last_of_two >= 4,
        "only {last_of_two} in flight at four idle endpoints"
    );
}

/// Guards the first of two tiers, whose requests are in flight longer because they wait in the second tier. That time
/// must not throttle the first tier like a queue of its own, but the limit still applies.
#[test]
fn requests_waiting_in_the_next_tier_are_no_queue() {
    let (first_of_two, last_of_two) = (
        count_sent_before_queueing(0, 0, 2),
        count_sent_before_queueing(0, 1, 2),
    );
    assert!(
        first_of_two >= 2 * last_of_two,
        "{first_of_two} in flight in the first tier of two, {last_of_two} in the last"
    );
    assert!(
        first_of_two >= 2 * 4,
        "only {first_of_two} in flight at four endpoints, which is no overload"
    );
    assert!(
        first_of_two <= 4 * 10,
        "{first_of_two} in flight at four endpoints without throttling"
    );
}
