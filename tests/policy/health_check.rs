//! Health checks of endpoints whose answers carry no load report.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Serves requests without load reports, ends each health check with an outcome, and returns the checked endpoints.
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
        if let Some(to) = send_targets(&actions).first() {
            assert!(!to.0.is_empty());
            host.handle(Event::AttemptEnded(AttemptEnd {
                request: id.clone(),
                attempt: 0,
                outcome: Outcome::Served,
                took: ms(10),
                request_ended: true,
                report: None,
            }));
        }
        host.handle(Event::ClientDisconnected { request: id });
        for endpoint in checked_endpoints(&actions) {
            checked.push(endpoint.clone());
            let report = queue_length.map(|d| LoadReport {
                queue_length: Some(d),
                ..LoadReport::default()
            });
            host.handle(Event::HealthCheckEnded {
                endpoint,
                outcome,
                took: ms(5),
                report,
            });
        }
    }
    checked
}

#[test]
fn health_checks_replace_missing_load_reports() {
    let mut host = host_with_health_checks(0.01);
    let checked = serve_without_load_reports(&mut host, 400, Outcome::Served, Some(0.0));
    let distinct: std::collections::BTreeSet<_> = checked.iter().collect();
    assert!(
        distinct.len() == 4,
        "all of a small tier are checked, not {distinct:?}"
    );
    assert!(
        checked.len() <= 400,
        "{} health checks for 400 requests",
        checked.len()
    );
    assert!(
        is_sent_at_once(&mut host, 0),
        "all have reported empty queues"
    );
    // A long queue, and a health check that implies one, throttle the lowest priority.
    for (outcome, queue_length) in [
        (Outcome::Served, Some(2.0)),
        (Outcome::Rejected, None),
        (Outcome::TimedOut, None),
    ] {
        let mut host = host_with_health_checks(0.01);
        serve_without_load_reports(&mut host, 400, outcome, queue_length);
        assert!(
            !is_sent_at_once(&mut host, 0),
            "{outcome:?} {queue_length:?}"
        );
    }
    let mut host = host_with_health_checks(0.01);
    serve_without_load_reports(&mut host, 400, Outcome::Reset, None);
    assert!(
        is_sent_at_once(&mut host, 0),
        "a broken health check shows no queue"
    );
}

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
        "{costly} where costly, {cheap} where cheap"
    );
    let mut settings = two_level_settings();
    settings.limits.health_checks = true;
    assert_eq!(
        count(&mut Host::new(settings.clone(), endpoint_entries(4))),
        0,
        "reports come with answers"
    );
    (settings.limits.health_checks, settings.reporting) = (false, Reporting::WithHealthChecks);
    assert_eq!(
        count(&mut Host::new(settings, endpoint_entries(4))),
        0,
        "forbidden"
    );
}
