//! Slopes, and the resource usage of processes and threads.

use fleet_lab::measure::{Point, ProcessUsage, Slope, thread_processor_time};
use std::process::{Command, Stdio};
use std::time::Duration;

/// The largest accepted rounding error.
const ROUNDING: f64 = 1e-9;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values
        .iter()
        .map(|(size, value)| Point {
            size: *size,
            value: *value,
        })
        .collect()
}

fn fit(values: &[(f64, f64)]) -> Slope {
    Slope::fit(&points(values)).expect("there are two distinct sizes")
}

fn assert_near(value: f64, expected: f64) {
    assert!(
        (value - expected).abs() < ROUNDING,
        "{value} differs from {expected} by more than {ROUNDING}"
    );
}

#[test]
fn fits_points_on_line() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
    assert_near(line.intercept, 3.0);
    assert_near(line.per_unit, 2.0);
    assert_near(line.unexplained, 0.0);
    assert_near(line.largest_residual, 0.0);
    assert_near(line.at(100.0), 203.0);
}

#[test]
fn noise_is_unexplained_fraction() {
    // The line is 2.2 + 0.6 x; its residuals are -0.8, 0.6, 1.0, -0.6 and -0.2.
    let line = fit(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)]);
    assert_near(line.intercept, 2.2);
    assert_near(line.per_unit, 0.6);
    assert_near(line.unexplained, 0.4);
    assert_near(line.largest_residual, 1.0);
}

/// The total variance is zero, by which the fit must not divide.
#[test]
fn fits_constant_values() {
    let line = fit(&[(1.0, 4.0), (2.0, 4.0), (3.0, 4.0)]);
    assert_eq!(
        (line.intercept, line.per_unit, line.unexplained),
        (4.0, 0.0, 0.0)
    );
}

#[test]
fn slope_needs_two_distinct_sizes() {
    assert_eq!(Slope::fit(&[]), None);
    assert_eq!(Slope::fit(&points(&[(1.0, 2.0)])), None);
    assert_eq!(Slope::fit(&points(&[(3.0, 2.0), (3.0, 4.0)])), None);
}

#[test]
fn usage_of_own_process_is_positive() {
    let usage = ProcessUsage::of(std::process::id()).expect("this process runs");
    assert!(usage.processor_time > Duration::ZERO);
    assert!(usage.anonymous_bytes > 0 && usage.anonymous_bytes <= usage.resident_bytes);
    assert!(usage.descriptors > 0);
}

#[test]
fn usage_of_ended_process_fails() {
    let mut child = Command::new("true")
        .stdin(Stdio::null())
        .spawn()
        .expect("the child process starts");
    let process = child.id();
    child.wait().expect("the child process ends");
    assert!(ProcessUsage::of(process).is_err());
}

#[test]
fn thread_processor_time_grows() {
    let before = thread_processor_time();
    while thread_processor_time() == before {
        std::hint::spin_loop();
    }
    assert!(thread_processor_time() > before);
}
