//! The commands `scale` and `run`. They run experiments one after another and write the report after each of them.

use super::{CommandError, RunOptions};
use crate::signals;
use fleet_lab::experiment::Experiment;
use fleet_lab::report::{ExperimentReport, Report};
use fleet_lab::scenario::{self, RunContext, ScenarioError};
use std::fs;
use std::num::NonZero;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Instant;
use tracing::{error, info};

/// Runs the experiments of a folder: those whose names are in `only`, or all if `only` is empty.
pub(super) fn scale(
    folder: &Path,
    only: &[String],
    options: &RunOptions,
) -> Result<(), CommandError> {
    let mut experiments = Experiment::load_folder(folder)?;
    if experiments.is_empty() {
        return Err(CommandError::NoExperiments(folder.into()));
    }
    let is_known = |name: &&String| {
        experiments
            .iter()
            .any(|experiment| experiment.name == **name)
    };
    if let Some(unknown) = only.iter().find(|name| !is_known(name)) {
        return Err(CommandError::UnknownName(unknown.clone()));
    }
    if !only.is_empty() {
        experiments.retain(|experiment| only.contains(&experiment.name));
    }
    run_all(&experiments, options)
}

/// Runs the experiments of these files.
pub(super) fn run_files(files: &[PathBuf], options: &RunOptions) -> Result<(), CommandError> {
    let experiments = files
        .iter()
        .map(|file| Experiment::load(file))
        .collect::<Result<Vec<_>, _>>()?;
    run_all(&experiments, options)
}

/// Runs experiments in order. After a failed experiment, which is reported, the next ones are still run.
fn run_all(experiments: &[Experiment], options: &RunOptions) -> Result<(), CommandError> {
    let context = RunContext {
        program: program_path(options)?,
    };
    let mut report = Report {
        program: options
            .label
            .clone()
            .unwrap_or_else(|| options.program.display().to_string()),
        processors: thread::available_parallelism().map_or(1, NonZero::get),
        experiments: Vec::new(),
    };
    let mut failed = 0;
    for experiment in experiments {
        let (result, has_failed) = run_one(experiment, &context);
        failed += usize::from(has_failed);
        println!("{}", result.markdown());
        report.experiments.push(result);
        report
            .write(&options.output)
            .map_err(|source| CommandError::Write {
                folder: options.output.clone(),
                source,
            })?;
    }
    match failed {
        0 => Ok(()),
        failed => Err(CommandError::Failed {
            failed,
            run: experiments.len(),
        }),
    }
}

/// Returns the program's absolute path, which is valid in any working directory.
fn program_path(options: &RunOptions) -> Result<PathBuf, CommandError> {
    fs::canonicalize(&options.program).map_err(|source| CommandError::Program {
        path: options.program.clone(),
        source,
    })
}

/// Runs one experiment. Returns its report, and true if it failed.
fn run_one(experiment: &Experiment, context: &RunContext) -> (ExperimentReport, bool) {
    info!(experiment = %experiment.name, "experiment started");
    let started = Instant::now();
    let result = scenario::run(experiment, context);
    signals::wait_if_stopping();
    match result {
        Ok(report) => {
            info!(experiment = %experiment.name, seconds = report.seconds, "experiment finished");
            (report, false)
        }
        Err(cause) => {
            error!(experiment = %experiment.name, %cause, "experiment failed");
            (failure_report(experiment, started, &cause), true)
        }
    }
}

/// Returns the report of an experiment that failed.
fn failure_report(
    experiment: &Experiment,
    started: Instant,
    cause: &ScenarioError,
) -> ExperimentReport {
    ExperimentReport {
        experiment: experiment.name.clone(),
        seed: experiment.seed,
        seconds: started.elapsed().as_secs_f64(),
        metrics: Vec::new(),
        problems: vec![format!("failed: {cause}")],
    }
}
