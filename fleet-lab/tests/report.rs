//! Markdown and files of reports.

use fleet_lab::measure::{Point, Slope};
use fleet_lab::report::{ExperimentReport, Metric, Report};
use std::fs;

const MARKDOWN: &str = "\
# Scale report

Program: 04e97b6. Processors: 8.

## memory

Seed 7, 12.3 s.

### memory by endpoints

| endpoints | bytes |
| ---: | ---: |
| 10 | 4096 |
| 500 | 512346 |

Anonymous memory.

### probes a call

| calls/s | 1 |
| ---: | ---: |
| 72 | 0.0123 |

### Slopes

| figure | unit | intercept | per unit | unexplained | largest residual |
| --- | --- | ---: | ---: | ---: | ---: |
| memory by endpoints | bytes, by endpoints | 100 | 1.5 | 0.00123 | 0 |

### Problems

- of 10 requests 9 were open at once
";

fn metric(name: &str, unit: &str, size_unit: &str, points: &[(f64, f64)]) -> Metric {
    Metric {
        name: name.into(),
        unit: unit.into(),
        size_unit: size_unit.into(),
        points: points
            .iter()
            .map(|(size, value)| Point {
                size: *size,
                value: *value,
            })
            .collect(),
        slope: None,
        note: None,
    }
}

fn sample_report() -> Report {
    let slope = Slope {
        intercept: 100.0,
        per_unit: 1.5,
        unexplained: 0.001_234,
        largest_residual: 0.0,
    };
    let memory = Metric {
        slope: Some(slope),
        note: Some("Anonymous memory.".into()),
        ..metric(
            "memory by endpoints",
            "bytes",
            "endpoints",
            &[(10.0, 4_096.0), (500.0, 512_345.6)],
        )
    };
    Report {
        program: "04e97b6".into(),
        processors: 8,
        experiments: vec![ExperimentReport {
            experiment: "memory".into(),
            seed: 7,
            seconds: 12.345,
            metrics: vec![
                memory,
                metric("probes a call", "1", "calls/s", &[(72.0, 0.012_345)]),
            ],
            problems: vec!["of 10 requests 9 were open at once".into()],
        }],
    }
}

#[test]
fn renders_markdown() {
    assert_eq!(sample_report().markdown(), MARKDOWN);
}

#[test]
fn write_replaces_previous_report() {
    let folder = tempfile::tempdir().unwrap();
    let output = folder.path().join("new").join("folder");
    let mut report = sample_report();
    report.write(&output).unwrap();
    report.program = "later".into();
    report.write(&output).unwrap();
    assert_eq!(
        fs::read_to_string(output.join("results.md")).unwrap(),
        report.markdown()
    );
    let json: serde_json::Value =
        serde_json::from_slice(&fs::read(output.join("results.json")).unwrap()).unwrap();
    assert_eq!(json["program"], "later");
    assert_eq!(
        json["experiments"][0]["figures"][0]["points"][1]["size"],
        500.0
    );
    assert_eq!(fs::read_dir(&output).unwrap().count(), 2);
}
