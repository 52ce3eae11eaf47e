//! Tests of overload states: the load at which endpoints are throttled, the priority levels concerned, and the
//! duration.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Serves one request of the higher priority, with a load report that contains the queue length.
fn report_queue_length(host: &mut Host, queue_length: f64) {
    for _ in 0..40 {
        host.now = host.now + ms(50);
        let (id, actions) = host.request(1);
        if send_targets(&actions).len() == 1 {
            host.end_attempt(&id, 0, Outcome::Served, 50, queue_length);
            return;
        }
        host.handle(Event::ClientDisconnected { request: id });
    }
    panic!("no request of the higher priority was sent");
}

#[test]
fn throttling_follows_onset_and_abatement() {
    let mut host = Host::new(two_level_settings(), endpoint_entries(1));
    report_queue_length(&mut host, 0.0);
    assert!(is_sent_at_once(&mut host, 0), "throttled without a queue");
    report_queue_length(&mut host, 0.5); // between abatement (0.3) and onset (0.76) of the low level, while clear
    assert!(is_sent_at_once(&mut host, 0), "throttled below the onset");
    report_queue_length(&mut host, 0.9); // above the onset of the low level
    assert!(
        !is_sent_at_once(&mut host, 0),
        "the low level is not throttled right after a send"
    );
    assert!(
        is_sent_at_once(&mut host, 1),
        "the high level is throttled below its onset"
    );
    report_queue_length(&mut host, 0.5); // below the onset, but not below abatement
    assert!(
        !is_sent_at_once(&mut host, 0),
        "gapping ended above abatement"
    );
    report_queue_length(&mut host, 0.0);
    assert!(is_sent_at_once(&mut host, 0), "throttled below abatement");
}

/// Guards the lowest priority after a load report expired: the mean queue length of the tier applies instead.
#[test]
fn expired_state_falls_back_to_the_tier_mean() {
    let mut host = Host::new(two_level_settings(), endpoint_entries(1));
    host.serve_requests(40, 0.0);
    report_queue_length(&mut host, 0.9);
    assert!(!is_sent_at_once(&mut host, 0));
    host.now = host.now + ms(20_000);
    assert!(
        is_sent_at_once(&mut host, 0),
        "throttled by an expired report"
    );
    // If all reports show long queues, the lowest priority stays throttled after the endpoint's state expires.
    for _ in 0..60 {
        report_queue_length(&mut host, 0.9);
    }
    host.now = host.now + ms(20_000);
    let queued = (0..5).filter(|_| !is_sent_at_once(&mut host, 0)).count();
    assert!(queued >= 3, "only {queued} of 5 requests queued");
}

#[test]
fn low_arrival_rate_picks_the_shortest_reported_queue() {
    let mut host = Host::new(default_settings(), endpoint_entries(3));
    let mut last_target = None;
    for request_number in 0..30 {
        host.now = host.now + ms(20);
        if request_number == 5 {
            // The balancer knows its arrival rate by now, and the new subset has all three endpoints.
            host.apply_list(ListKind::Full, endpoint_entries(3));
        }
        let (id, actions) = host.request(1);
        let target = send_targets(&actions)[0].clone();
        if request_number >= 10 {
            assert_eq!(
                target,
                EndpointId::from("e2"),
                "not sent to the endpoint without a queue"
            );
        }
        let queue_length = if target == EndpointId::from("e2") {
            0.0
        } else {
            0.25
        };
        host.end_attempt(&id, 0, Outcome::Served, 20, queue_length);
        last_target = Some(target);
    }
    assert!(last_target.is_some());
}

/// Returns how many of ten requests of the lowest priority are sent at once, after an attempt at each of four idle
/// endpoints ended with the given outcome.
fn count_lowest_priority_sent_after(outcome: Outcome) -> usize {
    let mut host = Host::new(two_level_settings(), endpoint_entries(4));
    host.serve_requests(40, 0.0);
    let in_flight: Vec<RequestId> = (0..4).map(|_| host.request(1).0).collect();
    host.now = host.now + ms(900);
    for id in in_flight {
        host.end_attempt(&id, 0, outcome, 900, 0.0);
        host.handle(Event::ClientDisconnected { request: id });
    }
    (0..10).filter(|_| is_sent_at_once(&mut host, 0)).count()
}

/// Guards idle endpoints against throttling by resets and connection failures, which give no information about the
/// queue. Rejections and timeouts do throttle.
#[test]
fn broken_connections_do_not_throttle() {
    for broken in [Outcome::Reset, Outcome::ConnectFailed] {
        assert_eq!(count_lowest_priority_sent_after(broken), 10, "{broken:?}");
    }
    for overloaded in [Outcome::Rejected, Outcome::TimedOut] {
        assert_eq!(
            count_lowest_priority_sent_after(overloaded),
            0,
            "{overloaded:?}"
        );
    }
}

#[test]
fn fully_utilised_endpoint_without_queue_is_throttled() {
    let mut host = Host::new(default_settings(), endpoint_entries(1));
    let mut sent_count = [0, 0];
    for (utilisation, sent_count) in [0.5, 1.0].into_iter().zip(&mut sent_count) {
        for _ in 0..200 {
            host.now = host.now + ms(5);
            let (id, actions) = host.request(0);
            *sent_count += send_targets(&actions).len();
            let report = LoadReport {
                queue_length: Some(0.0),
                utilisation: Some(utilisation),
                ..LoadReport::default()
            };
            host.handle(Event::AttemptEnded(AttemptEnd {
                request: id.clone(),
                attempt: 0,
                outcome: Outcome::Served,
                elapsed: ms(4),
                request_ended: true,
                report: Some(report),
            }));
            host.handle(Event::ClientDisconnected { request: id });
        }
    }
    assert!(
        sent_count[0] == 200 && sent_count[1] < 100,
        "{sent_count:?} of 200 at half and at full utilisation"
    );
}
