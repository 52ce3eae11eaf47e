//! Errors of real sidecar processes.

use std::io;

/// Why an operation on a sidecar process failed.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// A file, a process or a signal could not be handled.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The process did not do what was expected of it.
    #[error("{problem}: {}", log.join("; "))]
    Process {
        /// The problem.
        problem: SidecarProblem,
        /// The last lines of the process's log.
        log: Vec<String>,
    },
}

/// What a sidecar process did not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SidecarProblem {
    /// It did not listen before the timeout.
    #[error("the sidecar did not listen in time")]
    NotListening,
    /// It ended before it listened.
    #[error("the sidecar ended before it listened")]
    Ended,
    /// It did not return its metrics.
    #[error("the metrics could not be read")]
    MetricsUnreadable,
    /// It did not count a reload before the timeout.
    #[error("the reload was not counted in time")]
    ReloadNotCounted,
    /// It rejected the configuration of a reload.
    #[error("the reload was rejected")]
    ReloadRejected,
}
