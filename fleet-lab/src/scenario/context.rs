//! The context that all experiments of a run share.

use std::path::PathBuf;

/// The context that all experiments of a run share.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// The built sidecar program.
    pub program: PathBuf,
}
