//! Results: figures over sizes with their slopes, as JSON and as Markdown tables.

use crate::measure::{Point, Slope};
use serde::Serialize;
use std::fs;
use std::io;
use std::path::Path;

/// Digits of a number in a table.
const SIGNIFICANT_DIGITS: i32 = 3;
/// The most digits after the decimal point.
const MAX_DECIMALS: i32 = 9;

/// One figure, measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Metric {
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
    #[serde(rename = "figures")]
    pub metrics: Vec<Metric>,
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
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        replace_file(&folder.join("results.json"), &json)?;
        replace_file(&folder.join("results.md"), &self.markdown())
    }

    /// The report as Markdown: a table for each figure, and one of all slopes, for each experiment.
    #[must_use]
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "# Scale report\n\nProgram: {}. Processors: {}.\n",
            escape(&self.program),
            self.processors
        );
        for experiment in &self.experiments {
            text.push('\n');
            text.push_str(&experiment.markdown());
        }
        text
    }
}

impl ExperimentReport {
    /// This experiment's section of the report.
    #[must_use]
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "## {}\n\nSeed {}, {} s.\n",
            escape(&self.experiment),
            self.seed,
            number(self.seconds)
        );
        for metric in &self.metrics {
            push_metric(&mut text, metric);
        }
        push_slopes(&mut text, &self.metrics);
        push_problems(&mut text, &self.problems);
        text
    }
}

fn push_metric(text: &mut String, metric: &Metric) {
    text.push_str(&format!("\n### {}\n\n", escape(&metric.name)));
    text.push_str(&format!(
        "| {} | {} |\n| ---: | ---: |\n",
        escape(&metric.size_unit),
        escape(&metric.unit)
    ));
    for point in &metric.points {
        text.push_str(&format!(
            "| {} | {} |\n",
            number(point.size),
            number(point.value)
        ));
    }
    if let Some(note) = &metric.note {
        text.push_str(&format!("\n{note}\n"));
    }
}

fn push_slopes(text: &mut String, metrics: &[Metric]) {
    if metrics.iter().all(|metric| metric.slope.is_none()) {
        return;
    }
    text.push_str(
        "\n### Slopes\n\n| figure | unit | intercept | per unit | unexplained | largest residual |\n",
    );
    text.push_str("| --- | --- | ---: | ---: | ---: | ---: |\n");
    for metric in metrics {
        let Some(slope) = &metric.slope else { continue };
        text.push_str(&format!(
            "| {} | {}, by {} | {} | {} | {} | {} |\n",
            escape(&metric.name),
            escape(&metric.unit),
            escape(&metric.size_unit),
            number(slope.intercept),
            number(slope.per_unit),
            number(slope.unexplained),
            number(slope.largest_residual)
        ));
    }
}

fn push_problems(text: &mut String, problems: &[String]) {
    if problems.is_empty() {
        return;
    }
    text.push_str("\n### Problems\n\n");
    for problem in problems {
        text.push_str(&format!("- {problem}\n"));
    }
}

/// Text that may stand in a table.
fn escape(text: &str) -> String {
    text.replace('|', "\\|")
}

/// A number with [`SIGNIFICANT_DIGITS`], or all digits that stand before the decimal point.
fn number(value: f64) -> String {
    if !value.is_finite() {
        return "none".into();
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).clamp(0, MAX_DECIMALS);
    let text = format!("{value:.*}", decimals as usize);
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').into(),
        false => text,
    }
}

/// Replaces a file as a whole, so that a stop in between leaves the last one.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let partial = path.with_extension("partial");
    fs::write(&partial, text)?;
    fs::rename(partial, path)
}
