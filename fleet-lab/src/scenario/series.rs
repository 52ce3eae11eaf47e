//! Figures that are collected size by size.

use crate::measure::{Point, Slope};
use crate::report::Figure;
use std::collections::BTreeSet;

/// The fewest measurements of which a line can leave something unexplained.
const FEWEST_POINTS: usize = 3;

/// Figures over one kind of size, in the order in which they were first added.
pub(super) struct Series {
    size_unit: &'static str,
    metrics: Vec<Figure>,
    /// Names of figures that no line is put through.
    without_lines: BTreeSet<String>,
}

impl Series {
    /// No figures yet; `size_unit` tells what the sizes count.
    pub(super) fn over(size_unit: &'static str) -> Self {
        Series {
            size_unit,
            metrics: Vec::new(),
            without_lines: BTreeSet::new(),
        }
    }

    /// Adds a measurement to a figure.
    pub(super) fn add(&mut self, name: &str, unit: &str, size: f64, value: f64) {
        let point = Point { size, value };
        if let Some(figure) = self.metrics.iter_mut().find(|figure| figure.name == name) {
            figure.points.push(point);
            return;
        }
        self.metrics.push(Figure {
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
        let Some(figure) = self.metrics.iter_mut().find(|figure| figure.name == name) else {
            return;
        };
        match &mut figure.note {
            Some(notes) if notes.contains(note) => {}
            Some(notes) => *notes = format!("{notes} {note}"),
            None => figure.note = Some(note.into()),
        }
    }

    /// Puts no line through a figure, some of whose values are bounds and no measurements.
    pub(super) fn leave_without_line(&mut self, name: &str) {
        self.without_lines.insert(name.to_owned());
    }

    /// Tells what else is to be known of all figures.
    pub(super) fn note_all(&mut self, note: &str) {
        let names: Vec<String> = self
            .metrics
            .iter()
            .map(|figure| figure.name.clone())
            .collect();
        for name in &names {
            self.note(name, note);
        }
    }

    /// The figures alone, where sizes are no quantity.
    pub(super) fn without_slopes(self) -> Vec<Figure> {
        self.metrics
    }

    /// The figures, each with the line through its measurements where there are enough of them.
    pub(super) fn with_slopes(mut self) -> Vec<Figure> {
        for figure in &mut self.metrics {
            if figure.points.len() >= FEWEST_POINTS && !self.without_lines.contains(&figure.name) {
                figure.slope = Slope::fit(&figure.points);
            }
        }
        self.metrics
    }
}
