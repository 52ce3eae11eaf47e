//! A child process of the sidecar program and what it writes to its log.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Lines of the log that are kept.
const KEPT_LOG_LINES: usize = 200;
/// Lines of the log that an error quotes.
const QUOTED_LOG_LINES: usize = 5;

/// Where a process listens, as its log tells.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    /// For its callers.
    pub callers: SocketAddr,
    /// For its operators.
    pub admin: SocketAddr,
}

/// A child process whose log is read, killed when it is dropped.
#[derive(Debug)]
pub(super) struct LoggedChild {
    child: Child,
    log: Log,
    /// Ends when the process does.
    log_reader: Option<JoinHandle<()>>,
}

impl LoggedChild {
    /// Starts a process and reads its standard error; both addresses are sent once it has told them.
    pub fn spawn(command: &mut Command, sender: Sender<Addresses>) -> io::Result<Self> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = Log::default();
        let log_reader = child
            .stderr
            .take()
            .map(|stderr| log.clone().read(stderr, sender));
        Ok(LoggedChild {
            child,
            log,
            log_reader,
        })
    }

    /// Waits until the log has told both addresses.
    pub fn wait_for_addresses(
        &self,
        addresses: &Receiver<Addresses>,
        longest: Duration,
    ) -> io::Result<Addresses> {
        let problem = match addresses.recv_timeout(longest) {
            Ok(addresses) => return Ok(addresses),
            Err(RecvTimeoutError::Timeout) => "the sidecar did not tell in time where it listens",
            Err(RecvTimeoutError::Disconnected) => "the sidecar ended before it listened",
        };
        Err(self.failure(io::ErrorKind::NotConnected, problem))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The last lines of the log.
    pub fn log(&self) -> Vec<String> {
        self.log.last(KEPT_LOG_LINES)
    }

    /// An error that quotes the end of the log.
    pub fn failure(&self, kind: io::ErrorKind, problem: &str) -> io::Error {
        let quoted = self.log.last(QUOTED_LOG_LINES).join("; ");
        io::Error::new(kind, format!("{problem}: {quoted}"))
    }
}

impl Drop for LoggedChild {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
        if let Some(reader) = self.log_reader.take() {
            let _ = reader.join();
        }
    }
}

/// The last lines that a process has written to its log.
#[derive(Debug, Clone, Default)]
struct Log(Arc<Mutex<VecDeque<String>>>);

impl Log {
    /// Reads the log to its end on a thread of its own, and sends the addresses once it has told both.
    fn read(self, stderr: ChildStderr, sender: Sender<Addresses>) -> JoinHandle<()> {
        thread::spawn(move || {
            let mut sender = Some(sender);
            let mut admin = None;
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                admin = admin.or_else(|| address_after(&line, " serves operators on "));
                let addresses = addresses(admin, address_after(&line, " listens on "));
                self.push(line);
                if let Some(addresses) = addresses
                    && let Some(sender) = sender.take()
                {
                    let _ = sender.send(addresses); // nobody waits any more
                }
            }
        })
    }

    fn push(&self, line: String) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == KEPT_LOG_LINES {
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

fn addresses(admin: Option<SocketAddr>, callers: Option<SocketAddr>) -> Option<Addresses> {
    Some(Addresses {
        callers: callers?,
        admin: admin?,
    })
}

fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, address) = line.split_once(words)?;
    address.parse().ok()
}
