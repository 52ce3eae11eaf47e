//! Real sidecars: processes of the built program.

use crate::measure::ProcessUsage;
use crate::sidecar::configuration::SidecarConfiguration;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A running sidecar process, killed when it is dropped.
pub struct SidecarProcess {}

impl SidecarProcess {
    /// Starts a process of the program and waits until it tells where it listens.
    ///
    /// # Errors
    /// It could not be started, or ended before it listened.
    pub fn start(_program: &Path, _configuration: &SidecarConfiguration) -> io::Result<Self> {
        todo!()
    }

    /// Where its callers connect.
    pub fn address(&self) -> SocketAddr {
        todo!()
    }

    /// Where its operators call.
    pub fn admin_address(&self) -> SocketAddr {
        todo!()
    }

    /// Whether `GET /ready` answers 200 now.
    pub fn is_ready(&self) -> bool {
        todo!()
    }

    /// Waits until `GET /ready` answers 200; how long that took, or none after `longest`.
    pub fn wait_until_ready(&self, _longest: Duration) -> Option<Duration> {
        todo!()
    }

    /// One figure of `STATS`, without its `app_` prefix, if it has it.
    pub fn figure(&self, _name: &str) -> Option<u64> {
        todo!()
    }

    /// Replaces its configuration and sends SIGHUP; returns once the figure of reloads has risen.
    ///
    /// # Errors
    /// The file could not be written, or the signal not sent, or the reload was turned down or not seen in time.
    pub fn reload(&self, _configuration: &SidecarConfiguration) -> io::Result<()> {
        todo!()
    }

    /// Processor time, memory and descriptors now.
    ///
    /// # Errors
    /// It has ended.
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        todo!()
    }

    /// Sends SIGTERM and waits for its end.
    pub fn terminate(self) {
        todo!()
    }

    /// Sends SIGKILL and waits for its end.
    pub fn kill(self) {
        todo!()
    }
}
