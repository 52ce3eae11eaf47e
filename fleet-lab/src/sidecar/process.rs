//! Real sidecars: processes of the built program.

use crate::measure::ProcessUsage;
use crate::sidecar::child::{Addresses, LoggedChild};
use crate::sidecar::configuration::SidecarConfiguration;
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

/// The start of the name of a process's folder; short, as the folder holds a Unix socket.
const FOLDER_PREFIX: &str = "lab-";
/// The configuration's file in that folder.
const CONFIGURATION_FILE: &str = "config.json";
/// Environment variables of the program begin with this.
const ENVIRONMENT_PREFIX: &str = "ROUTER_";
/// A process that has not told where it listens by then is given up.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// A reload that cannot be seen in the figures by then has failed.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// A process that has not ended so long after SIGTERM is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time-out of each read and write on a call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two looks at a state that is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running sidecar process, killed when it is dropped.
#[derive(Debug)]
pub struct SidecarProcess {
    child: LoggedChild,
    addresses: Addresses,
    configuration_file: PathBuf,
    /// Holds the configuration and the process's own files; removed after the process's end.
    _folder: TempDir,
}

impl SidecarProcess {
    /// Starts a process of the program and waits until it tells where it listens.
    ///
    /// # Errors
    /// It could not be started, or ended before it listened.
    pub fn start(program: &Path, configuration: &SidecarConfiguration) -> io::Result<Self> {
        let folder = tempfile::Builder::new().prefix(FOLDER_PREFIX).tempdir()?;
        let configuration_file = folder.path().join(CONFIGURATION_FILE);
        write_configuration(&configuration_file, configuration)?;
        let (sender, addresses) = mpsc::channel();
        let child = LoggedChild::spawn(
            &mut command(program, &configuration_file, folder.path()),
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

    /// Where its callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Where its operators call.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// The last lines of its log.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.child.log()
    }

    /// Whether `GET /ready` answers 200 now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n";
        let answer = call(self.address(), request).unwrap_or_default();
        answer.split(' ').nth(1) == Some("200")
    }

    /// Waits until `GET /ready` answers 200; how long that took, or none after `timeout`.
    #[must_use]
    pub fn wait_until_ready(&self, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        wait_until(timeout, || self.is_ready()).then(|| started.elapsed())
    }

    /// One figure of `STATS`, without its `app_` prefix, if it has it.
    #[must_use]
    pub fn metric(&self, name: &str) -> Option<u64> {
        let answer = call(self.admin_address(), "STATS\n").ok()?;
        let value = answer.lines().find_map(|line| {
            let metric = line.strip_prefix("app_")?;
            metric.strip_prefix(name)?.strip_prefix(' ')
        })?;
        value.parse().ok()
    }

    /// Replaces its configuration and sends SIGHUP; returns once the figure of reloads has risen.
    ///
    /// # Errors
    /// The file could not be written, or the signal not sent, or the reload was turned down or not seen in time.
    pub fn reload(&self, configuration: &SidecarConfiguration) -> io::Result<()> {
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
            "the reload was not seen"
        } else {
            "the reload was turned down"
        };
        Err(self.child.failure(io::ErrorKind::InvalidData, problem))
    }

    /// Processor time, memory and descriptors now.
    ///
    /// # Errors
    /// It has ended.
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        ProcessUsage::of(self.child.id())
    }

    /// Sends SIGTERM and waits for its end; one that takes longer than a minute is killed.
    pub fn terminate(mut self) {
        if self.child.signal(Signal::TERM).is_ok() {
            wait_until(TERMINATION_TIMEOUT, || self.child.has_ended());
        }
    }

    /// Sends SIGKILL and waits for its end.
    pub fn kill(self) {
        drop(self);
    }

    fn reloads(&self) -> io::Result<Reloads> {
        let metric = |name: &str| {
            let missing = || {
                self.child
                    .failure(io::ErrorKind::NotConnected, "the figures could not be read")
            };
            self.metric(name).ok_or_else(missing)
        };
        Ok(Reloads {
            applied: metric("config_reloads")?,
            rejected: metric("config_reload_errors")?,
        })
    }
}

/// The figures that count reloads.
#[derive(Clone, Copy, PartialEq)]
struct Reloads {
    applied: u64,
    rejected: u64,
}

/// The program's start, with nothing of its environment taken from this process.
fn command(program: &Path, configuration_file: &Path, folder: &Path) -> Command {
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

fn is_program_variable(name: &OsStr) -> bool {
    name.as_encoded_bytes()
        .starts_with(ENVIRONMENT_PREFIX.as_bytes())
}

/// Writes the document aside and moves it into place, so that it is never read half written.
fn write_configuration(file: &Path, configuration: &SidecarConfiguration) -> io::Result<()> {
    let temporary = file.with_extension("new");
    fs::write(&temporary, configuration.document().to_string())?;
    fs::rename(temporary, file)
}

/// The answer to a call on a connection of its own, up to the connection's end.
fn call(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Whether a condition has come to hold before `timeout` had passed.
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
