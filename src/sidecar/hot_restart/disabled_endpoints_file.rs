//! The file that stores the disabled endpoints across processes, as a JSON array of their ids.

use crate::sidecar::admin_state::AdminState;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::path::PathBuf;

/// The maximum number of bytes that are read from the file, enough for thousands of endpoints.
const MAX_FILE_LENGTH: u64 = 1 << 20;

/// The file of disabled endpoints, which each process of the sidecar reads and writes.
#[derive(Debug)]
pub struct DisabledEndpointsFile {
    path: PathBuf,
    /// The path at which this process writes a new version, which is then renamed to `path`.
    temporary_path: PathBuf,
    /// True if the last change by this process could not be written, so the file lacks it.
    is_stale: Cell<bool>,
}

/// The reason why the file cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl DisabledEndpointsFile {
    /// Creates the handle of a file that need not exist. New versions are written at `temporary_path`, which is in the
    /// same directory.
    pub(super) fn new(path: PathBuf, temporary_path: PathBuf) -> Self {
        DisabledEndpointsFile {
            path,
            temporary_path,
            is_stale: Cell::new(false),
        }
    }

    /// Returns whether the file lacks the last change by this process, because it could not be written.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Returns the ids of the disabled endpoints, including changes by other processes. Returns `None` if there is no
    /// file. Logs a file that cannot be read, and returns `None` for it too.
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

    /// Stores an endpoint's administrative state in addition to the states that other processes have stored.
    ///
    /// If nothing is stored yet, the endpoints in `disabled`, all those that this process knows to be disabled, are
    /// stored too.
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
            log!(
                "disabled endpoints: the change could not be stored for the next process: {error}"
            );
        }
    }

    /// Writes a new version to a temporary file and renames it, so no process reads an incomplete version.
    fn write(&self, disabled: &BTreeSet<String>) -> io::Result<()> {
        std::fs::write(&self.temporary_path, serde_json::to_vec(disabled)?)?;
        std::fs::rename(&self.temporary_path, &self.path)
    }
}
