//! The context that all experiments of a run share.

use std::path::PathBuf;

/// The context that all experiments of a run share.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// The path of the sidecar's executable.
    pub program: PathBuf,
}
