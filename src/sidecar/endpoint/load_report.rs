//! Parsing of endpoints' load reports.

use crate::policy::LoadReport;
use std::time::Duration;

/// The largest plausible count, rate or time in milliseconds. Larger values are ignored, because they would distort
/// averages for a long time.
const MAX_VALUE: f64 = 1e5;
/// The largest plausible utilisation.
const MAX_UTILISATION: f64 = 2.0;
/// The names of the fields that show whether requests are waiting or in flight.
const QUEUE_FIELDS: [&str; 4] = ["concurrent", "inflight", "depth", "queue"];

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61`. Each field has two accepted names: the one in
/// the settings and the one in the protocol's example. Implausible values are ignored.
///
/// Returns `None` if no value is valid. Also returns `None` if the report has fields of [`QUEUE_FIELDS`] but none of
/// them is valid, because such a report would be taken for an empty queue.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for field in text.trim().strip_prefix("TEXT")?.split(',') {
        let Some((name, value)) = field.split_once('=') else {
            continue;
        };
        let value = value.trim().parse::<f64>().ok();
        let up_to = |max: f64| value.filter(|value| (0.0..=max).contains(value));
        match name.trim() {
            "concurrent" | "inflight" => report.in_flight = up_to(MAX_VALUE),
            "depth" | "queue" => report.queue_length = up_to(MAX_VALUE),
            "load_share" | "util" => report.utilisation = up_to(MAX_UTILISATION),
            "mean_ms" | "latency_ms" => {
                let mean_ms = up_to(MAX_VALUE);
                report.mean_time = mean_ms.map(|mean_ms| Duration::from_secs_f64(mean_ms / 1e3));
            }
            "tps" | "qps" => report.served_per_s = up_to(MAX_VALUE),
            "err_ps" | "eps" => report.errors_per_s = up_to(MAX_VALUE),
            _ => {}
        }
    }
    let mentions_queue = QUEUE_FIELDS.iter().any(|name| text.contains(name));
    let has_valid_queue = report.queue_length.or(report.in_flight).is_some();
    let is_valid = report != LoadReport::default() && (has_valid_queue || !mentions_queue);
    is_valid.then_some(report)
}
