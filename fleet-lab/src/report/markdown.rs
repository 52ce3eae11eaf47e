//! Reports as Markdown: a section for each experiment, with a table for each metric and a table of all slopes.

use super::{ExperimentReport, Metric, Report};
use std::fmt::{self, Display, Formatter};

/// The number of significant digits of a value in a table.
const SIGNIFICANT_DIGITS: i32 = 3;
/// The largest number of digits after the decimal point.
const MAX_DECIMALS: i32 = 9;

impl Report {
    /// Returns the report as Markdown.
    #[must_use]
    pub fn markdown(&self) -> String {
        ReportMarkdown(self).to_string()
    }
}

impl ExperimentReport {
    /// Returns this experiment's section of the report as Markdown.
    #[must_use]
    pub fn markdown(&self) -> String {
        ExperimentMarkdown(self).to_string()
    }
}

struct ReportMarkdown<'a>(&'a Report);

impl Display for ReportMarkdown<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        let program = escape(&report.program);
        writeln!(formatter, "# Scale report\n")?;
        writeln!(
            formatter,
            "Program: {program}. Processors: {}.",
            report.processors
        )?;
        for experiment in &report.experiments {
            write!(formatter, "\n{}", ExperimentMarkdown(experiment))?;
        }
        Ok(())
    }
}

struct ExperimentMarkdown<'a>(&'a ExperimentReport);

impl Display for ExperimentMarkdown<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let ExperimentReport {
            experiment,
            seed,
            seconds,
            metrics,
            problems,
        } = self.0;
        writeln!(formatter, "## {}\n", escape(experiment))?;
        writeln!(formatter, "Seed {seed}, {} s.", format_number(*seconds))?;
        for metric in metrics {
            write_metric(formatter, metric)?;
        }
        write_slopes(formatter, metrics)?;
        write_problems(formatter, problems)
    }
}

fn write_metric(formatter: &mut Formatter<'_>, metric: &Metric) -> fmt::Result {
    let (size_unit, unit) = (escape(&metric.size_unit), escape(&metric.unit));
    writeln!(formatter, "\n### {}\n", escape(&metric.name))?;
    writeln!(formatter, "| {size_unit} | {unit} |\n| ---: | ---: |")?;
    for point in &metric.points {
        let (size, value) = (format_number(point.size), format_number(point.value));
        writeln!(formatter, "| {size} | {value} |")?;
    }
    if let Some(note) = &metric.note {
        writeln!(formatter, "\n{note}")?;
    }
    Ok(())
}

fn write_slopes(formatter: &mut Formatter<'_>, metrics: &[Metric]) -> fmt::Result {
    if metrics.iter().all(|metric| metric.slope.is_none()) {
        return Ok(());
    }
    writeln!(formatter, "\n### Slopes\n")?;
    writeln!(
        formatter,
        "| figure | unit | intercept | per unit | unexplained | largest residual |"
    )?;
    writeln!(formatter, "| --- | --- | ---: | ---: | ---: | ---: |")?;
    for metric in metrics {
        let Some(slope) = &metric.slope else { continue };
        writeln!(
            formatter,
            "| {} | {}, by {} | {} | {} | {} | {} |",
            escape(&metric.name),
            escape(&metric.unit),
            escape(&metric.size_unit),
            format_number(slope.intercept),
            format_number(slope.per_unit),
            format_number(slope.unexplained),
            format_number(slope.largest_residual)
        )?;
    }
    Ok(())
}

fn write_problems(formatter: &mut Formatter<'_>, problems: &[String]) -> fmt::Result {
    if problems.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "\n### Problems\n")?;
    for problem in problems {
        writeln!(formatter, "- {problem}")?;
    }
    Ok(())
}

/// Escapes text for a table cell.
fn escape(text: &str) -> String {
    text.replace('|', "\\|")
}

/// Formats a number with [`SIGNIFICANT_DIGITS`]. All digits before the decimal point are kept, even if they are
/// more. Whole numbers have no decimals.
fn format_number(value: f64) -> String {
    if !value.is_finite() {
        return "none".into();
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).clamp(0, MAX_DECIMALS);
    let text = format!("{value:.*}", decimals as usize);
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').into()
    } else {
        text
    }
}
