//! Probes of endpoints whose queues no answer tells of.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Serves so many requests without a report, and answers each probe so.
fn serve_and_answer(
    host: &mut Host,
    requests: usize,
    outcome: Outcome,
    queue_length: Option<f64>,
) -> Vec<EndpointId> {
    let mut all = Vec::new();
    for _ in 0..requests {
        host.now = host.now + ms(25);
        let (id, actions) = host.request(1);
        if let Some(to) = sends(&actions).first() {
            assert!(!to.0.is_empty());
            host.tell(Event::AttemptEnded(AttemptEnd {
                request: id.clone(),
                attempt: 0,
                outcome: Outcome::Served,
                took: ms(10),
                request_ended: true,
                report: None,
            }));
        }
        host.tell(Event::ClientDisconnected { request: id });
        for endpoint in probed(&actions) {
            all.push(endpoint.clone());
            let report = queue_length.map(|d| LoadReport {
                queue_length: Some(d),
                ..LoadReport::default()
            });
            host.tell(Event::HealthCheckEnded {
                endpoint,
                outcome,
                took: ms(5),
                report,
            });
        }
    }
    all
}

#[test]
fn queues_are_asked_for_where_answers_do_not_tell_them() {
    let mut host = health_check(0.01);
    let asked = serve_and_answer(&mut host, 400, Outcome::Served, Some(0.0));
    let each: std::collections::BTreeSet<_> = asked.iter().collect();
    assert!(
        each.len() == 4,
        "all of a small tier are asked, not {each:?}"
    );
    assert!(
        asked.len() <= 400,
        "{} probes for 400 requests",
        asked.len()
    );
    assert!(is_sent(&mut host, 0), "all are told to be empty");
    // A deep queue, and a probe that met one, throttle the least worthy; without a word the state lapses.
    for (outcome, queue_length) in [
        (Outcome::Served, Some(2.0)),
        (Outcome::Rejected, None),
        (Outcome::TimedOut, None),
    ] {
        let mut host = health_check(0.01);
        serve_and_answer(&mut host, 400, outcome, queue_length);
        assert!(!is_sent(&mut host, 0), "{outcome:?} {queue_length:?}");
    }
    let mut host = health_check(0.01);
    serve_and_answer(&mut host, 400, Outcome::Reset, None);
    assert!(
        is_sent(&mut host, 0),
        "a probe that broke off tells of no queue"
    );
}

#[test]
fn probes_are_few_where_dear_and_none_where_answers_tell_or_they_are_forbidden() {
    let count = |host: &mut Host| serve_and_answer(host, 400, Outcome::Served, Some(0.0)).len();
    let (cheap, dear) = (
        count(&mut health_check(0.001)),
        count(&mut health_check(1.0)),
    );
    assert!(dear * 2 < cheap, "{dear} where dear, {cheap} where cheap");
    let mut set = two_levels();
    set.limits.health_checks = true;
    assert_eq!(
        count(&mut Host::new(set.clone(), listings(4))),
        0,
        "reports come with answers"
    );
    (set.limits.health_checks, set.reporting) = (false, Reporting::WithHealthChecks);
    assert_eq!(count(&mut Host::new(set, listings(4))), 0, "forbidden");
}
