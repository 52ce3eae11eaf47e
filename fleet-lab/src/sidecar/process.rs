//! Real sidecars: processes of the sidecar program.

use crate::measure::ProcessUsage;
use crate::sidecar::child::{Addresses, LoggedChild};
use crate::sidecar::configuration::SidecarConfiguration;
use crate::sidecar::error::{SidecarError, SidecarProblem};
use rustix::process::Signal;
use std::ffi::OsStr;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The prefix of the name of a process's folder. It is short because the folder contains a Unix socket, whose path is
/// limited in length.
const FOLDER_PREFIX: &str = "lab-";
/// The name of the configuration file in that folder.
const CONFIGURATION_FILE: &str = "config.json";
/// The prefix of the program's environment variables.
const ENVIRONMENT_PREFIX: &str = "ROUTER_";
/// The longest time until a process listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest time until a process counts a reload.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a process may take to end after SIGTERM before it is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of the connection and of each read and write of a request to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which an awaited state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running sidecar process, which is killed when it is dropped.
#[derive(Debug)]
pub struct SidecarProcess {
    child: LoggedChild,
    addresses: Addresses,
    configuration_file: PathBuf,
    /// The folder with the configuration and the process's own files. It is removed after the process has ended.
    _folder: TempDir,
}

impl SidecarProcess {
    /// Starts a process of the program and waits until it listens.
    ///
    /// # Errors
    /// Fails if the process cannot be started, ends before it listens, or does not listen before a timeout.
    pub fn start(
        program: &Path,
        configuration: &SidecarConfiguration,
    ) -> Result<Self, SidecarError> {
        let folder = tempfile::Builder::new().prefix(FOLDER_PREFIX).tempdir()?;
        let configuration_file = folder.path().join(CONFIGURATION_FILE);
        write_configuration(&configuration_file, configuration)?;
        let (sender, addresses) = mpsc::channel();
        let child = LoggedChild::spawn(
            &mut program_command(program, &configuration_file, folder.path()),
            sender,
        )?;
        let addresses = child.wait_for_addresses(&addresses, START_TIMEOUT)?;
        Ok(SidecarProcess {
            child,
            addresses,
            configuration_file,
            _folder: folder,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the retained lines of the log.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.child.log()
    }

    /// Returns true if `GET /ready` gets status 200.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n";
        let response = send_request(self.address(), request).unwrap_or_default();
        response.split(' ').nth(1) == Some("200")
    }

    /// Waits until `GET /ready` gets status 200. Returns the time that this took, or `None` after the
    /// timeout.
    #[must_use]
    pub fn wait_until_ready(&self, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        wait_until(timeout, || self.is_ready()).then(|| started.elapsed())
    }

    /// Returns one metric of `STATS` by its name without the `app_` prefix, or `None` if the metrics cannot be read or
    /// do not contain it.
    #[must_use]
    pub fn metric(&self, name: &str) -> Option<u64> {
        let response = send_request(self.admin_address(), "STATS\n").ok()?;
        let value = response.lines().find_map(|line| {
            let metric = line.strip_prefix("app_")?;
            metric.strip_prefix(name)?.strip_prefix(' ')
        })?;
        value.parse().ok()
    }

    /// Replaces the configuration, sends SIGHUP, and waits until the process has counted the reload.
    ///
    /// # Errors
    /// Fails if the file cannot be written, the signal cannot be sent, the metrics cannot be read, or the reload is
    /// rejected or not counted before a timeout.
    pub fn reload(&self, configuration: &SidecarConfiguration) -> Result<(), SidecarError> {
        let previous = self.reloads()?;
        write_configuration(&self.configuration_file, configuration)?;
        self.child.signal(Signal::HUP)?;
        let mut current = previous;
        wait_until(RELOAD_TIMEOUT, || {
            current = self.reloads().unwrap_or(previous);
            current != previous
        });
        if current.applied > previous.applied {
            return Ok(());
        }
        let problem = if current == previous {
            SidecarProblem::ReloadNotCounted
        } else {
            SidecarProblem::ReloadRejected
        };
        Err(self.child.error(problem))
    }

    /// Returns the resources that the process uses.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        ProcessUsage::of(self.child.id())
    }

    /// Sends SIGTERM and waits for the end of the process. Kills it if it has not ended after a minute.
    pub fn terminate(mut self) {
        if self.child.signal(Signal::TERM).is_ok() {
            wait_until(TERMINATION_TIMEOUT, || self.child.has_ended());
        }
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(self) {
        drop(self);
    }

    fn reloads(&self) -> Result<Reloads, SidecarError> {
        let unreadable = || self.child.error(SidecarProblem::MetricsUnreadable);
        let metric = |name: &str| self.metric(name).ok_or_else(unreadable);
        Ok(Reloads {
            applied: metric("config_reloads")?,
            rejected: metric("config_reload_errors")?,
        })
    }
}

/// The metrics that count reloads.
#[derive(Clone, Copy, PartialEq)]
struct Reloads {
    applied: u64,
    rejected: u64,
}

/// Returns the command that starts the program. The program does not inherit variables with its prefix from the
/// environment of this process.
fn program_command(program: &Path, configuration_file: &Path, folder: &Path) -> Command {
    let mut command = Command::new(program);
    for (name, _) in std::env::vars_os().filter(|(name, _)| is_program_variable(name)) {
        command.env_remove(name);
    }
    command
        .env("ROUTER_CONFIG", configuration_file)
        .env("TMPDIR", folder);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

/// Returns true if the name has the prefix of the program's environment variables.
fn is_program_variable(name: &OsStr) -> bool {
    name.as_encoded_bytes()
        .starts_with(ENVIRONMENT_PREFIX.as_bytes())
}

/// Writes the document to a temporary file and renames it. The process never reads a partial document.
fn write_configuration(file: &Path, configuration: &SidecarConfiguration) -> io::Result<()> {
    let temporary = file.with_extension("new");
    fs::write(&temporary, configuration.document().to_string())?;
    fs::rename(temporary, file)
}

/// Sends a request on a new connection and returns everything that is received until the connection is closed.
fn send_request(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

/// Waits until a condition holds and returns true, or returns false after the timeout.
fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if started.elapsed() >= timeout {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
