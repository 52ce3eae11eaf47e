//! The directory that the processes of one sidecar share: `$TMPDIR`. No other program uses it.

use super::disabled_endpoints_file::DisabledEndpointsFile;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

/// The environment variable with the directory's path.
const DIRECTORY_VARIABLE: &str = "TMPDIR";
/// The maximum length in bytes of a path in the address of a Unix socket.
const MAX_SOCKET_PATH_LENGTH: usize = 107;
const SOCKET_NAME: &str = "pipittray.sock";
const DISABLED_ENDPOINTS_NAME: &str = "pipittray.disabled";

/// The shared directory.
#[derive(Debug)]
pub struct SharedDirectory {
    path: PathBuf,
    /// The opened directory. Its descriptor gives a short path if the actual one is too long for a socket's address.
    directory: File,
    disabled_endpoints: DisabledEndpointsFile,
}

impl SharedDirectory {
    /// Opens `$TMPDIR`. Returns `None` if the variable is not set or the directory cannot be opened.
    pub fn from_environment() -> Option<Self> {
        let path =
            PathBuf::from(std::env::var_os(DIRECTORY_VARIABLE).filter(|path| !path.is_empty())?);
        let directory = File::open(&path).ok()?;
        let is_directory = directory.metadata().is_ok_and(|metadata| metadata.is_dir());
        is_directory.then(|| {
            let temporary_name = format!("{}.disabled", std::process::id());
            SharedDirectory {
                disabled_endpoints: DisabledEndpointsFile::new(
                    file_path(&path, &directory, DISABLED_ENDPOINTS_NAME),
                    file_path(&path, &directory, &temporary_name),
                ),
                path,
                directory,
            }
        })
    }

    /// Returns the path of the socket at which the serving process hands its listener over.
    pub fn socket(&self) -> PathBuf {
        file_path(&self.path, &self.directory, SOCKET_NAME)
    }

    /// Returns the path at which this process binds its socket before it renames it to [`Self::socket`].
    pub fn temporary_socket(&self) -> PathBuf {
        let name = format!("{}.sock", std::process::id());
        file_path(&self.path, &self.directory, &name)
    }

    /// Returns the file of disabled endpoints.
    pub fn disabled_endpoints(&self) -> &DisabledEndpointsFile {
        &self.disabled_endpoints
    }
}

/// Returns a path of a file in the directory. The path is short enough for a socket's address.
fn file_path(path: &Path, directory: &File, name: &str) -> PathBuf {
    let path = path.join(name);
    if path.as_os_str().len() <= MAX_SOCKET_PATH_LENGTH {
        return path;
    }
    PathBuf::from(format!("/proc/self/fd/{}/{name}", directory.as_raw_fd()))
}
