//! Errors of real sidecar processes.

use std::io;

/// The reason why an operation on a sidecar process failed.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// An operation on a file, a process or a signal failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The process did not behave as expected.
    #[error("{problem}; its log ends with: {}", log.join("; "))]
    Process {
        /// The problem.
        problem: SidecarProblem,
        /// The last lines of the process's log.
        log: Vec<String>,
    },
}

/// Unexpected behaviour of a sidecar process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SidecarProblem {
    /// The process did not listen before the timeout.
    #[error("the sidecar did not listen before the timeout")]
    NotListening,
    /// The process ended before it listened.
    #[error("the sidecar ended before it listened")]
    Ended,
    /// The process did not return its metrics.
    #[error("the sidecar's metrics could not be read")]
    MetricsUnreadable,
    /// The process did not count a reload before the timeout.
    #[error("the sidecar did not count the reload before the timeout")]
    ReloadNotCounted,
    /// The process rejected the configuration of a reload.
    #[error("the reload was rejected")]
    ReloadRejected,
}
