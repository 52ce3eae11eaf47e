//! The file in which the disabled endpoints outlast a process: a JSON array of their ids.

use crate::sidecar::admin_state::AdminState;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::path::PathBuf;

/// The largest file that is read, in bytes: enough for thousands of endpoints.
const MAX_FILE_LENGTH: u64 = 1 << 20;

/// The file of disabled endpoints, which each process of the sidecar reads and writes.
#[derive(Debug)]
pub struct DisabledEndpointsFile {
    path: PathBuf,
    /// This process's own path for a new version, which is renamed to `path`.
    temporary_path: PathBuf,
    /// The last change could not be written, so that the file lacks it.
    is_stale: Cell<bool>,
}

/// Why the file cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl DisabledEndpointsFile {
    /// Creates the handle of a file that need not exist, with a path beside it for new versions.
    pub(super) fn new(path: PathBuf, temporary_path: PathBuf) -> Self {
        DisabledEndpointsFile {
            path,
            temporary_path,
            is_stale: Cell::new(false),
        }
    }

    /// Returns whether the file lacks the last change by this process, as it could not be written.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Returns the disabled endpoints' ids, as the last change by any process left them; `None` where there is no file. A
    /// file that cannot be read is logged, and counts as none.
    pub fn load(&self) -> Option<BTreeSet<String>> {
        match self.read() {
            Ok(disabled) => Some(disabled),
            Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                log!("disabled endpoints: the stored file is ignored: {error}");
                None
            }
        }
    }

    fn read(&self) -> Result<BTreeSet<String>, ReadError> {
        let mut text = String::new();
        File::open(&self.path)?
            .take(MAX_FILE_LENGTH)
            .read_to_string(&mut text)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Stores an endpoint's administrative state beside what other processes have stored. Where nothing is stored yet, all
    /// the endpoints that this process knows as disabled are stored with it.
    pub fn store<'a>(
        &self,
        endpoint: &str,
        state: AdminState,
        disabled: impl Iterator<Item = &'a str>,
    ) {
        let mut stored = self
            .load()
            .unwrap_or_else(|| disabled.map(String::from).collect());
        match state {
            AdminState::Disabled => stored.insert(endpoint.into()),
            AdminState::Enabled => stored.remove(endpoint),
        };
        let written = self.write(&stored);
        self.is_stale.set(written.is_err());
        if let Err(error) = written {
            log!("disabled endpoints: not stored for the next process: {error}");
        }
    }

    /// Writes a new version beside the file and renames it, so that no process reads half of one.
    fn write(&self, disabled: &BTreeSet<String>) -> io::Result<()> {
        std::fs::write(&self.temporary_path, serde_json::to_vec(disabled)?)?;
        std::fs::rename(&self.temporary_path, &self.path)
    }
}
