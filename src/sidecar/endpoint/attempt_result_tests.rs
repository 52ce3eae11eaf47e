//! Tests of attempts' results: outcomes and load reports.

use super::*;

fn result_of(status: u16, headers: &[(&'static str, &'static str)]) -> AttemptResult {
    let mut head = Response::builder().status(status);
    for (name, value) in headers {
        head = head.header(*name, *value);
    }
    let head = head.body(()).expect("a response head");
    AttemptResult::from_response(&head, Some(ResponseBody::Complete(Bytes::new())))
}

/// Load reports are read from responses of every status. Those of error responses matter most.
#[test]
fn load_reports_are_parsed_with_every_status() {
    let load = (
        "x-load",
        "TEXT concurrent=7, depth=2, load_share=0.61, other=1, tps=NaN",
    );
    for (status, headers, outcome) in [
        (200, vec![load], Outcome::Served),
        (200, vec![("x-load", "=,="), load], Outcome::Served),
        (
            200,
            vec![("x-load", "TEXT inflight=7, queue=2, util=0.61")],
            Outcome::Served,
        ),
        (500, vec![load], Outcome::Error),
        (503, vec![load], Outcome::Error),
        (503, vec![load, ("x-not-run", "1")], Outcome::Rejected),
        (504, vec![load, ("x-not-run", "1")], Outcome::Rejected),
        (504, vec![load, ("x-not-run", "0")], Outcome::Error),
    ] {
        let result = result_of(status, &headers);
        let report = result.report.expect("a report");
        assert_eq!(result.outcome, outcome, "{status}");
        assert_eq!(report.in_flight, Some(7.0));
        assert_eq!(
            (report.queue_length, report.utilisation),
            (Some(2.0), Some(0.61))
        );
        assert_eq!(
            report.served_per_s, None,
            "a value that is not a number is ignored"
        );
    }
}

/// Malformed and out-of-range values are ignored. A report without any valid value counts as absent, not as an empty
/// queue.
#[test]
fn out_of_range_values_are_ignored() {
    assert_eq!(result_of(200, &[]).report, None);
    for text in [
        "JSON {}",
        "TEXT",
        "TEXT ?",
        "=,=",
        "%%%",
        "TEXT depth=-1",
        "TEXT depth=1e300, load_share=inf",
    ] {
        assert_eq!(result_of(200, &[("x-load", text)]).report, None, "{text}");
    }
    let report = result_of(200, &[("x-load", "TEXT depth=-3, concurrent=4")])
        .report
        .expect("a report");
    assert_eq!((report.queue_length, report.in_flight), (None, Some(4.0)));
}
