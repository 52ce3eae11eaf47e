//! Results: figures over sizes with their slopes, as JSON and as Markdown tables.

use crate::measure::{Point, Slope};
use serde::Serialize;
use std::io;
use std::path::Path;

/// One figure, measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured, such as `resident memory`.
    pub name: String,
    /// The unit of its values.
    pub unit: String,
    /// What the size counts, such as `endpoints`.
    pub size_unit: String,
    /// The measurements.
    pub points: Vec<Point>,
    /// The line through them, where a line makes sense.
    pub slope: Option<Slope>,
    /// What else is to be known of it.
    pub note: Option<String>,
}

/// The result of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// The experiment's name.
    pub experiment: String,
    /// Its seed.
    pub seed: u64,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Its figures.
    pub figures: Vec<Figure>,
    /// What went wrong without ending it.
    pub problems: Vec<String>,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The program's version, as the run was told it.
    pub program: String,
    /// Processors of the machine.
    pub processors: usize,
    /// One for each experiment, in order.
    pub experiments: Vec<ExperimentReport>,
}

impl Report {
    /// Writes `results.json` and `results.md` into a folder, which is made if it is missing.
    ///
    /// # Errors
    /// A file could not be written.
    pub fn write(&self, _folder: &Path) -> io::Result<()> {
        todo!()
    }

    /// The report as Markdown: a table for each figure, and one of all slopes.
    pub fn markdown(&self) -> String {
        todo!()
    }
}
