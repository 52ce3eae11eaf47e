//! A table that collects the metrics of an experiment, one size after another.

use crate::measure::{Point, Slope};
use crate::report::Metric;
use std::collections::BTreeSet;

/// The smallest number of points for a slope. A line through two points always fits them exactly and says nothing about
/// the quality of the fit.
const MIN_POINTS_FOR_SLOPE: usize = 3;

/// Metrics by one kind of size, in the order of their first measurement.
pub(super) struct MetricTable {
    size_unit: &'static str,
    metrics: Vec<Metric>,
    /// Names of metrics that get no slope.
    names_without_slope: BTreeSet<String>,
}

impl MetricTable {
    /// Creates an empty table whose sizes have this unit.
    pub(super) fn with_size_unit(size_unit: &'static str) -> Self {
        MetricTable {
            size_unit,
            metrics: Vec::new(),
            names_without_slope: BTreeSet::new(),
        }
    }

    /// Adds a measurement to a metric. The first measurement defines the metric's unit.
    pub(super) fn add(&mut self, name: &str, unit: &str, size: f64, value: f64) {
        let point = Point { size, value };
        if let Some(metric) = self.metrics.iter_mut().find(|metric| metric.name == name) {
            metric.points.push(point);
            return;
        }
        self.metrics.push(Metric {
            name: name.into(),
            unit: unit.into(),
            size_unit: self.size_unit.into(),
            points: vec![point],
            slope: None,
            note: None,
        });
    }

    /// Adds a note to a metric, unless the metric already has the note or does not exist.
    pub(super) fn add_note(&mut self, name: &str, note: &str) {
        let Some(metric) = self.metrics.iter_mut().find(|metric| metric.name == name) else {
            return;
        };
        match &mut metric.note {
            Some(notes) if notes.contains(note) => {}
            Some(notes) => *notes = format!("{notes} {note}"),
            None => metric.note = Some(note.into()),
        }
    }

    /// Omits the slope of a metric whose values are bounds rather than measurements.
    pub(super) fn omit_slope(&mut self, name: &str) {
        self.names_without_slope.insert(name.to_owned());
    }

    /// Adds a note to all metrics.
    pub(super) fn add_note_to_all(&mut self, note: &str) {
        let names: Vec<String> = self
            .metrics
            .iter()
            .map(|metric| metric.name.clone())
            .collect();
        for name in &names {
            self.add_note(name, note);
        }
    }

    /// Returns the metrics without slopes, for tables whose sizes are not quantities.
    pub(super) fn without_slopes(self) -> Vec<Metric> {
        self.metrics
    }

    /// Returns the metrics. Those with enough points have a slope unless it was omitted.
    pub(super) fn with_slopes(mut self) -> Vec<Metric> {
        for metric in &mut self.metrics {
            if metric.points.len() >= MIN_POINTS_FOR_SLOPE
                && !self.names_without_slope.contains(&metric.name)
            {
                metric.slope = Slope::fit(&metric.points);
            }
        }
        self.metrics
    }
}
