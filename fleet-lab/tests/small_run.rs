//! Small runs of the experiments with simulated fleets (40 sidecars at most) and of one with a real sidecar, from
//! experiment files. They check which metrics there are, their order and their counts, but no times.

#[path = "support/sidecar_program.rs"]
mod sidecar_program;

use fleet_lab::experiment::Experiment;
use fleet_lab::report::{ExperimentReport, Metric};
use fleet_lab::scenario::{self, RunContext};
use sidecar_program::sidecar_program;
use std::path::Path;

#[test]
fn propagation_reaches_all_sidecars() {
    let report = run("propagation");

    assert_labels(
        &report,
        "change known",
        &["half", "99 in 100", "last", "missing"],
    );
    assert_none_missing(&report);
    assert_ascending(
        &report,
        &[
            "change known: half",
            "change known: 99 in 100",
            "change known: last",
        ],
    );
    for metric in &report.metrics {
        assert_eq!(sizes(metric), [40.0], "{}", metric.name);
    }
    // A heartbeat is an empty line. A change contains at least the endpoint's name.
    assert!(values(&report, "idle bytes").all(|bytes| bytes > 0.0));
    assert!(values(&report, "bytes of a change").all(|bytes| bytes > "endpoint-0".len() as f64));
}

#[test]
fn outage_leaves_no_sidecar_outdated() {
    let report = run("outage");

    assert_labels(
        &report,
        "list current after the outage",
        &["half", "9 in 10", "last", "missing"],
    );
    assert_none_missing(&report);
    for metric in &report.metrics {
        assert_eq!(sizes(metric), [40.0], "{}", metric.name);
    }
    let watches = values(&report, "watches opened until the last is current");
    let connections = values(&report, "connections until the last is current");
    for (watches, connections) in watches.zip(connections) {
        assert!(
            watches >= 1.0,
            "every sidecar lost its watch, but there are {watches} new watches a sidecar"
        );
        assert!(
            connections >= 1.0,
            "every sidecar lost its connection, but there are {connections} new connections a sidecar"
        );
    }
}

/// Discovery ends the watches at each change.
#[test]
fn crowded_discovery_reaches_all_sidecars() {
    let report = run("crowded-discovery");

    assert_labels(
        &report,
        "version known",
        &["half", "9 in 10", "99 in 100", "last", "missing"],
    );
    assert_none_missing(&report);
    let watches = values(&report, "watches opened until the end");
    for watches in watches {
        assert!(
            watches >= 1.0,
            "every sidecar lost its watch, but there are {watches} new watches a sidecar"
        );
    }
}

/// A quantile that includes missing sidecars is only a lower bound. It must have a note and no slope.
#[test]
fn missing_sidecars_count_with_timeout() {
    let report = run("outage-cut-short");

    // Discovery handles one call at once and the next after ten seconds, which is later than the timeout.
    let missing: Vec<f64> = values(&report, "list current after the outage: missing").collect();
    for (missing, sidecars) in missing.iter().zip([3.0, 6.0, 9.0]) {
        assert!(
            [sidecars - 1.0, sidecars].contains(missing),
            "{missing} of {sidecars} sidecars are missing"
        );
    }
    let last = metric(&report, "list current after the outage: last");
    assert!(
        last.points.iter().all(|point| point.value == 500.0),
        "{last:?}"
    );
    assert!(last.slope.is_none() && last.note.is_some(), "{last:?}");
    assert!(
        metric(&report, "list current after the outage: missing")
            .slope
            .is_some()
    );
}

#[test]
fn fleet_restart_ends_with_all_sidecars_watching() {
    let report = run("fleet-restart");

    for state in [
        "ready, endpoints known",
        "ready, none known",
        "watching, endpoints known",
    ] {
        assert_labels(&report, state, &["half", "9 in 10", "last", "missing"]);
    }
    assert_none_missing(&report);
    for metric in &report.metrics {
        assert_eq!(sizes(metric), [20.0, 40.0], "{}", metric.name);
    }
    for label in ["endpoints known", "none known"] {
        let watches = values(&report, &format!("watches opened until all watch, {label}"));
        watches.for_each(|watches| assert!(watches >= 1.0, "{label}: {watches} watches a sidecar"));
    }
}

#[test]
fn failures_are_injected_and_end() {
    let report = run("failures");

    let faults: Vec<f64> = (0..=5).map(f64::from).collect();
    let calls: Vec<f64> = values(&report, "calls").collect();
    let unserved: Vec<f64> = values(&report, "calls not served").collect();
    assert_eq!(sizes(metric(&report, "calls")), faults);
    assert!(calls.iter().all(|calls| *calls > 0.0), "{calls:?}");
    assert!(
        calls
            .iter()
            .zip(&unserved)
            .all(|(calls, unserved)| unserved <= calls),
        "{unserved:?}"
    );
    assert!(values(&report, "attempts").all(|attempts| attempts > 0.0));
    assert_eq!(
        sizes(metric(&report, "list current after the fault's end: last")),
        faults[1..]
    );
    assert_none_missing(&report);
    let note = metric(&report, "calls").note.as_deref().unwrap_or_default();
    for description in [
        "0: none",
        "1: 2 machines vanish",
        "2: 2 machines restart, 2 at once",
        "3: a zone",
    ] {
        assert!(note.contains(description), "{note}");
    }
}

#[test]
fn added_latency_uses_real_sidecar() {
    let report = run("added-latency");

    for metric in &report.metrics {
        assert_eq!(sizes(metric), [20.0, 50.0], "{}", metric.name);
    }
    for pair in [
        ["straight p50", "straight p99"],
        ["through p50", "through p99"],
    ] {
        assert_ascending(&report, &pair);
    }
    assert!(
        values(&report, "connections that callers opened").all(|connections| connections >= 1.0)
    );
}

/// Runs the experiment of a file. Checks the name, the seed and the absence of problems in its report.
fn run(name: &str) -> ExperimentReport {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/small/{name}.toml"));
    let experiment = Experiment::load(&file).expect("the experiment file is valid");
    let context = RunContext {
        program: sidecar_program().to_owned(),
    };
    let report = scenario::run(&experiment, &context).expect("the experiment runs to its end");
    assert_eq!(report.experiment, experiment.name);
    assert_eq!(report.seed, experiment.seed);
    assert!(report.problems.is_empty(), "{:?}", report.problems);
    report
}

/// Asserts that the metrics named `state` have exactly these labels, in this order. A label follows `: ` in the name.
fn assert_labels(report: &ExperimentReport, state: &str, labels: &[&str]) {
    let names = report.metrics.iter().map(|metric| metric.name.as_str());
    let about: Vec<&str> = names
        .filter_map(|name| name.strip_prefix(state)?.strip_prefix(": "))
        .collect();
    assert_eq!(about, labels, "{state}");
}

fn assert_none_missing(report: &ExperimentReport) {
    let missing: Vec<&Metric> = report
        .metrics
        .iter()
        .filter(|metric| metric.name.ends_with(": missing"))
        .collect();
    assert!(!missing.is_empty());
    for metric in missing {
        assert!(
            metric.points.iter().all(|point| point.value == 0.0),
            "{metric:?}"
        );
    }
}

/// Asserts that the values of each metric are not smaller than those of the previous one.
fn assert_ascending(report: &ExperimentReport, names: &[&str]) {
    for pair in names.windows(2) {
        let ascends = values(report, pair[0])
            .zip(values(report, pair[1]))
            .all(|(low, high)| low <= high);
        assert!(ascends, "{pair:?}");
    }
}

fn metric<'a>(report: &'a ExperimentReport, name: &str) -> &'a Metric {
    let found = report.metrics.iter().find(|metric| metric.name == name);
    found.unwrap_or_else(|| panic!("the report has no metric {name:?}"))
}

fn sizes(metric: &Metric) -> Vec<f64> {
    metric.points.iter().map(|point| point.size).collect()
}

fn values<'a>(report: &'a ExperimentReport, name: &str) -> impl Iterator<Item = f64> + 'a {
    metric(report, name).points.iter().map(|point| point.value)
}
