//! The directory that a sidecar's processes share, one after another: `$TMPDIR`, which they have and nobody else does.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

/// Names the directory.
const DIRECTORY_VARIABLE: &str = "TMPDIR";
/// The longest path that an address of a Unix socket holds.
const LONGEST_SOCKET_PATH: usize = 107;
const SOCKET_NAME: &str = "pipittray.sock";
const DISABLED_NAME: &str = "pipittray.disabled";
/// The largest file of disabled endpoints that is read: thousands of them.
const LARGEST_FILE: u64 = 1 << 20;

/// The directory, and what is kept there.
pub struct SharedDirectory {
    path: PathBuf,
    /// Open, so that a path too long for a socket's address can be named through it.
    opened: File,
    /// What is kept there is short of what this process was told, as the last change could not be written.
    is_behind: Cell<bool>,
}

/// Why the file of disabled endpoints cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl SharedDirectory {
    /// `$TMPDIR`, if there is one that can be used.
    pub fn from_environment() -> Option<Self> {
        let path =
            PathBuf::from(std::env::var_os(DIRECTORY_VARIABLE).filter(|path| !path.is_empty())?);
        let opened = File::open(&path).ok()?;
        let is_directory = opened.metadata().is_ok_and(|metadata| metadata.is_dir());
        is_directory.then(|| SharedDirectory {
            path,
            opened,
            is_behind: Cell::new(false),
        })
    }

    /// Where a process hands its listening socket over.
    pub fn socket(&self) -> PathBuf {
        self.file(SOCKET_NAME)
    }

    /// The same for this process alone, until it is moved into place.
    pub fn own_socket(&self) -> PathBuf {
        self.file(&format!("{}.sock", std::process::id()))
    }

    fn file(&self, name: &str) -> PathBuf {
        let path = self.path.join(name);
        if path.as_os_str().len() <= LONGEST_SOCKET_PATH {
            return path;
        }
        PathBuf::from(format!("/proc/self/fd/{}/{name}", self.opened.as_raw_fd()))
    }

    /// Whether what is kept is short of what this process was told.
    pub fn is_behind(&self) -> bool {
        self.is_behind.get()
    }

    /// The endpoints that the operators had disabled when the process before ended, or as it goes on; none where nothing
    /// is kept. What cannot be read is one line of the log.
    pub fn disabled_endpoints(&self) -> Option<BTreeSet<String>> {
        match self.read_disabled() {
            Ok(disabled) => Some(disabled),
            Err(ReadError::Io(failure)) if failure.kind() == io::ErrorKind::NotFound => None,
            Err(failure) => {
                log!("the file of disabled endpoints is ignored: {failure}");
                None
            }
        }
    }

    fn read_disabled(&self) -> Result<BTreeSet<String>, ReadError> {
        let mut text = String::new();
        File::open(self.file(DISABLED_NAME))?
            .take(LARGEST_FILE)
            .read_to_string(&mut text)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Keeps for the other processes that an endpoint is disabled, or enabled, beside what they have kept; where nothing
    /// is, with all that this one knows.
    pub fn store_admin_state<'a>(
        &self,
        endpoint: &str,
        disabled: bool,
        known: impl Iterator<Item = &'a str>,
    ) {
        let mut all = self
            .disabled_endpoints()
            .unwrap_or_else(|| known.map(String::from).collect());
        if disabled {
            all.insert(endpoint.into());
        } else {
            all.remove(endpoint);
        }
        let kept = self.write_disabled(&all);
        self.is_behind.set(kept.is_err());
        if let Err(failure) = kept {
            log!("an upgrade will not know what is disabled: {failure}");
        }
    }

    /// Written aside and moved into place, so that no reader finds half of it.
    fn write_disabled(&self, disabled: &BTreeSet<String>) -> io::Result<()> {
        let aside = self.file(&format!("{}.disabled", std::process::id()));
        std::fs::write(&aside, serde_json::to_vec(disabled)?)?;
        std::fs::rename::<&Path, PathBuf>(&aside, self.file(DISABLED_NAME))
    }
}
