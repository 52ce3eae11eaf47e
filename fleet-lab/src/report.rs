//! Results of experiments: metrics over sizes with their slopes, as JSON and as Markdown tables.

mod markdown;

use crate::measure::{Point, Slope};
use serde::Serialize;
use std::fs;
use std::io;
use std::path::Path;

/// One metric, measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Metric {
    /// The metric's name, such as `resident memory`.
    pub name: String,
    /// The unit of its values.
    pub unit: String,
    /// The unit of its sizes, such as `endpoints`.
    pub size_unit: String,
    /// The measured values, by size.
    pub points: Vec<Point>,
    /// The straight line through the points; `None` if no line is fitted.
    pub slope: Option<Slope>,
    /// A note that explains the metric.
    pub note: Option<String>,
}

/// The result of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// The experiment's name.
    pub experiment: String,
    /// Its seed.
    pub seed: u64,
    /// Its duration in seconds.
    pub seconds: f64,
    /// Its metrics.
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
    /// Problems that were found. One that begins with `failed: ` ended the experiment; the others did not.
    pub problems: Vec<String>,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The program under test: the run's label, or else the program's path.
    pub program: String,
    /// The number of the machine's processors.
    pub processors: usize,
    /// The results, in the order in which the experiments were run.
    pub experiments: Vec<ExperimentReport>,
}

impl Report {
    /// Writes `results.json` and `results.md` into a folder. Creates the folder if it is missing.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be created or a file cannot be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        replace_file(&folder.join("results.json"), &json)?;
        replace_file(&folder.join("results.md"), &self.markdown())
    }
}

/// Writes a new file and renames it to `path`. An interrupted write leaves the previous file intact.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let partial = path.with_extension("partial");
    fs::write(&partial, text)?;
    fs::rename(partial, path)
}
