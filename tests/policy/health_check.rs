//! Tests of health checks of endpoints whose answers carry no load report.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Serves requests without load reports and ends each health check with the given outcome and queue length. Returns the
/// endpoint of each health check.
fn serve_without_load_reports(
    host: &mut Host,
    requests: usize,
    outcome: Outcome,
    queue_length: Option<f64>,
) -> Vec<EndpointId> {
    let mut checked = Vec::new();
    for _ in 0..requests {
        host.now = host.now + ms(25);
        let (id, actions) = host.request(1);
        if let Some(target) = send_targets(&actions).first() {
            assert!(!target.0.is_empty());
            host.handle(Event::AttemptEnded(AttemptEnd {
                request: id.clone(),
                attempt: 0,
                outcome: Outcome::Served,
                elapsed: ms(10),
                request_ended: true,
                report: None,
            }));
        }
        host.handle(Event::ClientDisconnected { request: id });
        for endpoint in checked_endpoints(&actions) {
            checked.push(endpoint.clone());
            let report = queue_length.map(|queue_length| LoadReport {
                queue_length: Some(queue_length),
                ..LoadReport::default()
            });
            host.handle(Event::HealthCheckEnded {
                endpoint,
                outcome,
                elapsed: ms(5),
                report,
            });
        }
    }
    checked
}

/// Guards throttling by health checks alone: all endpoints are checked, and their queues or failures throttle requests.
#[test]
fn health_checks_replace_missing_load_reports() {
    let mut host = host_with_health_checks(0.01);
    let checked = serve_without_load_reports(&mut host, 400, Outcome::Served, Some(0.0));
    let distinct: std::collections::BTreeSet<_> = checked.iter().collect();
    assert!(
        distinct.len() == 4,
        "only {distinct:?} of four endpoints were checked"
    );
    assert!(
        checked.len() <= 400,
        "{} health checks for 400 requests",
        checked.len()
    );
    assert!(
        is_sent_at_once(&mut host, 0),
        "throttled although all queues are empty"
    );
    // A reported queue throttles the lowest priority, and so does a rejected or timed-out health check.
    for (outcome, queue_length) in [
        (Outcome::Served, Some(2.0)),
        (Outcome::Rejected, None),
        (Outcome::TimedOut, None),
    ] {
        let mut host = host_with_health_checks(0.01);
        serve_without_load_reports(&mut host, 400, outcome, queue_length);
        assert!(
            !is_sent_at_once(&mut host, 0),
            "not throttled after {outcome:?}, queue length {queue_length:?}"
        );
    }
    let mut host = host_with_health_checks(0.01);
    serve_without_load_reports(&mut host, 400, Outcome::Reset, None);
    assert!(
        is_sent_at_once(&mut host, 0),
        "a reset health check throttled the lowest priority"
    );
}

/// Guards the cost of health checks: they are rarer at a high price, and none is sent if responses carry load reports
/// or the limits forbid health checks.
#[test]
fn health_check_rate_depends_on_price_and_settings() {
    let count =
        |host: &mut Host| serve_without_load_reports(host, 400, Outcome::Served, Some(0.0)).len();
    let (cheap, costly) = (
        count(&mut host_with_health_checks(0.001)),
        count(&mut host_with_health_checks(1.0)),
    );
    assert!(
        costly * 2 < cheap,
        "{costly} health checks at a high price, {cheap} at a low price"
    );
    let mut settings = two_level_settings();
    settings.limits.health_checks = true;
    assert_eq!(
        count(&mut Host::new(settings.clone(), endpoint_entries(4))),
        0,
        "health checks although responses carry load reports"
    );
    (settings.limits.health_checks, settings.reporting) = (false, Reporting::WithHealthChecks);
    assert_eq!(
        count(&mut Host::new(settings, endpoint_entries(4))),
        0,
        "health checks although the limits forbid them"
    );
}
