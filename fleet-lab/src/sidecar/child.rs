//! A child process that runs the sidecar program, and its log.

use super::error::{SidecarError, SidecarProblem};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The number of log lines that are retained.
const MAX_LOG_LINES: usize = 200;
/// The text before the callers' address in the program's log.
const CALLERS_ADDRESS_MARKER: &str = " listens on ";
/// The text before the operators' address in the program's log. The program logs this address before that for callers.
const OPERATORS_ADDRESS_MARKER: &str = " serves operators on ";
/// The number of log lines that an error quotes.
const QUOTED_LOG_LINES: usize = 5;

/// The addresses at which a process listens, as found in its log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// A child process whose log is read. Dropping it kills the process.
#[derive(Debug)]
pub(super) struct LoggedChild {
    child: Child,
    log: LogTail,
    /// The thread that reads the log until the process ends.
    log_reader: Option<JoinHandle<()>>,
}

impl LoggedChild {
    /// Starts a process and a thread that reads its standard error. The thread sends both addresses once they have been
    /// logged.
    pub fn spawn(command: &mut Command, sender: Sender<Addresses>) -> io::Result<Self> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = LogTail::default();
        let log_reader = child
            .stderr
            .take()
            .map(|stderr| log.clone().spawn_reader(stderr, sender));
        Ok(LoggedChild {
            child,
            log,
            log_reader,
        })
    }

    /// Waits until both addresses have been logged.
    pub fn wait_for_addresses(
        &self,
        addresses: &Receiver<Addresses>,
        timeout: Duration,
    ) -> Result<Addresses, SidecarError> {
        addresses.recv_timeout(timeout).map_err(|error| {
            self.error(match error {
                RecvTimeoutError::Timeout => SidecarProblem::NotListening,
                RecvTimeoutError::Disconnected => SidecarProblem::Ended,
            })
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the retained lines of the log.
    pub fn log(&self) -> Vec<String> {
        self.log.last(MAX_LOG_LINES)
    }

    /// Returns an error that quotes the last lines of the log.
    pub fn error(&self, problem: SidecarProblem) -> SidecarError {
        SidecarError::Process {
            problem,
            log: self.log.last(QUOTED_LOG_LINES),
        }
    }
}

impl Drop for LoggedChild {
    fn drop(&mut self) {
        let _ = self.child.kill(); // fails only if the process has ended
        let _ = self.child.wait();
        if let Some(reader) = self.log_reader.take() {
            let _ = reader.join();
        }
    }
}

/// The last lines of a process's log.
#[derive(Debug, Clone, Default)]
struct LogTail(Arc<Mutex<VecDeque<String>>>);

impl LogTail {
    /// Starts a thread that reads the log to its end, and that sends the addresses once both have been logged.
    fn spawn_reader(self, stderr: ChildStderr, sender: Sender<Addresses>) -> JoinHandle<()> {
        thread::spawn(move || {
            let mut sender = Some(sender);
            let mut admin = None;
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                admin = admin.or_else(|| address_after(&line, OPERATORS_ADDRESS_MARKER));
                let addresses = both_addresses(admin, address_after(&line, CALLERS_ADDRESS_MARKER));
                self.push(line);
                if let Some(addresses) = addresses
                    && let Some(sender) = sender.take()
                {
                    let _ = sender.send(addresses); // fails only if the start has timed out
                }
            }
        })
    }

    fn push(&self, line: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LOG_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    fn last(&self, count: usize) -> Vec<String> {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let skipped = lines.len().saturating_sub(count);
        lines.iter().skip(skipped).cloned().collect()
    }
}

/// Returns the addresses if both are known.
fn both_addresses(admin: Option<SocketAddr>, callers: Option<SocketAddr>) -> Option<Addresses> {
    Some(Addresses {
        callers: callers?,
        admin: admin?,
    })
}

/// Returns the address that follows the marker in a log line, or `None` if there is none.
fn address_after(line: &str, marker: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(marker)?;
    address.parse().ok()
}
