//! Figures that are collected size by size.

use crate::measure::{Point, Slope};
use crate::report::Metric;
use std::collections::BTreeSet;

/// The fewest measurements of which a line can leave something unexplained.
const MIN_POINTS_FOR_SLOPE: usize = 3;

/// Figures over one kind of size, in the order in which they were first added.
pub(super) struct MetricTable {
    size_unit: &'static str,
    metrics: Vec<Metric>,
    /// Names of figures that no line is put through.
    without_slope: BTreeSet<String>,
}

impl MetricTable {
    /// No figures yet; `size_unit` tells what the sizes count.
    pub(super) fn over(size_unit: &'static str) -> Self {
        MetricTable {
            size_unit,
            metrics: Vec::new(),
            without_slope: BTreeSet::new(),
        }
    }

    /// Adds a measurement to a figure.
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

    /// Tells what else is to be known of a figure. What is told twice stands once.
    pub(super) fn note(&mut self, name: &str, note: &str) {
        let Some(metric) = self.metrics.iter_mut().find(|metric| metric.name == name) else {
            return;
        };
        match &mut metric.note {
            Some(notes) if notes.contains(note) => {}
            Some(notes) => *notes = format!("{notes} {note}"),
            None => metric.note = Some(note.into()),
        }
    }

    /// Puts no line through a figure, some of whose values are bounds and no measurements.
    pub(super) fn omit_slope(&mut self, name: &str) {
        self.without_slope.insert(name.to_owned());
    }

    /// Tells what else is to be known of all figures.
    pub(super) fn note_all(&mut self, note: &str) {
        let names: Vec<String> = self
            .metrics
            .iter()
            .map(|metric| metric.name.clone())
            .collect();
        for name in &names {
            self.note(name, note);
        }
    }

    /// The figures alone, where sizes are no quantity.
    pub(super) fn without_slopes(self) -> Vec<Metric> {
        self.metrics
    }

    /// The figures, each with the line through its measurements where there are enough of them.
    pub(super) fn with_slopes(mut self) -> Vec<Metric> {
        for metric in &mut self.metrics {
            if metric.points.len() >= MIN_POINTS_FOR_SLOPE
                && !self.without_slope.contains(&metric.name)
            {
                metric.slope = Slope::fit(&metric.points);
            }
        }
        self.metrics
    }
}
