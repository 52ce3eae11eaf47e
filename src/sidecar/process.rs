//! The sidecar's process: its start, its signals and its end.

use super::hot_restart::SharedDirectory;
use super::listener_handover::{self, OldProcess, PortSharing};
use super::node::{NodeHandle, StartMode, StartOptions};
use super::operators;
use super::report;
use super::shutdown;
use crate::configuration::{Config, ConfigError};
use crate::policy::SettingsError;
use crate::task::Task;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The reason why the sidecar could not start or take over.
#[derive(Debug, thiserror::Error)]
enum ProcessError {
    #[error("the runtime could not be started: {0}")]
    Runtime(#[source] io::Error),
    #[error("the handler of {name} could not be installed: {source}")]
    Signal {
        name: &'static str,
        source: io::Error,
    },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot listen for operators on {address}: {source}")]
    ListenForOperators {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("cannot listen for callers on {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("hot restart failed: {0}")]
    HotRestart(#[source] io::Error),
}

/// A sidecar that has started, and its background tasks.
struct Process {
    /// The sidecar's name, for the log.
    name: String,
    node: NodeHandle,
    /// The callers' listening socket.
    listener: TcpListener,
    /// Set if the sidecar has an operators' address, because only such a sidecar takes part in hot restarts.
    directory: Option<Rc<SharedDirectory>>,
    /// Set in a hot restart until this process takes over.
    old_process: Option<OldProcess>,
    /// The background tasks, which are aborted when this is dropped.
    _tasks: Vec<Task>,
}

/// The result of waiting for the take-over of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Takeover {
    /// This process serves callers.
    Completed,
    /// SIGTERM arrived first, so the old process continues to serve callers.
    Terminated,
}

/// Runs the sidecar until it has shut down.
#[must_use]
pub fn main() -> ExitCode {
    match run_on_new_runtime() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_new_runtime() -> Result<(), ProcessError> {
    // A local runtime's scheduler polls local tasks itself. A `LocalSet` on top of another runtime would be woken
    // through the event descriptor, which costs system calls.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default());
    runtime.map_err(ProcessError::Runtime)?.block_on(run())
}

async fn run() -> Result<(), ProcessError> {
    // Both signals are handled before anything else, because their default action kills the process.
    let mut terminate = handle_signal(SignalKind::terminate(), "SIGTERM")?;
    let hangup = handle_signal(SignalKind::hangup(), "SIGHUP")?;
    let mut process = Process::start(Config::from_environment()?, hangup).await?;
    if let Some(old_process) = process.old_process.take() {
        let takeover = process.take_over(old_process, &mut terminate).await?;
        if takeover == Takeover::Terminated {
            return Ok(());
        }
    }
    let listener_offer = process.offer_listener()?;
    let Process {
        name,
        node,
        listener,
        _tasks,
        ..
    } = process;
    shutdown::serve_until_shutdown(&node, listener, listener_offer, &mut terminate).await;
    report::write(&node);
    log!("{name} has stopped");
    Ok(())
}

impl Process {
    /// Listens for callers and operators, and starts the node and the background tasks.
    async fn start(config: Config, hangup: Signal) -> Result<Self, ProcessError> {
        let (name, address) = (config.name.clone(), config.listen);
        let operators = match config.admin_address {
            Some(address) => Some(listen_for_operators(address).await?),
            None => None,
        };
        let directory = operators
            .as_ref()
            .and_then(|_| SharedDirectory::from_environment())
            .map(Rc::new);
        let old_process = directory
            .as_deref()
            .and_then(listener_handover::request_listener);
        let sharing = match operators {
            Some(_) => PortSharing::Shared,
            None => PortSharing::Exclusive,
        };
        let listener = listener_handover::listen(address, sharing, old_process.as_ref())
            .map_err(|source| ProcessError::Listen { address, source })?;
        let address = listener
            .local_addr()
            .map_err(|source| ProcessError::Listen { address, source })?;
        let node = NodeHandle::start(StartOptions {
            config,
            directory: directory.clone(),
            mode: match &old_process {
                Some(_) => StartMode::HotRestart,
                None => StartMode::Fresh,
            },
            reserved_descriptors: operators.as_ref().map_or(0, |_| operators::MAX_CONNECTIONS),
        })?;
        let mut tasks = vec![
            Task::spawn(report::write_at_intervals(node.clone())),
            Task::spawn(reload_on_hangup(hangup, node.clone())),
        ];
        tasks.extend(operators.map(|listener| serve_operators(&node, &name, listener)));
        log!("{name} listens on {address}");
        Ok(Process {
            name,
            node,
            listener,
            directory,
            old_process,
            _tasks: tasks,
        })
    }

    /// Takes over from the old process, unless SIGTERM arrives first.
    async fn take_over(
        &self,
        old_process: OldProcess,
        terminate: &mut Signal,
    ) -> Result<Takeover, ProcessError> {
        let name = &self.name;
        tokio::select! {
            result = listener_handover::take_over(&self.node, old_process) => {
                result.map_err(ProcessError::HotRestart)?;
                log!("{name} takes over from the old process");
                Ok(Takeover::Completed)
            }
            _ = terminate.recv() => {
                log!("{name} received SIGTERM and stops before it has taken over");
                Ok(Takeover::Terminated)
            }
        }
    }

    /// Starts a task that offers the listening socket to new processes. Returns `None` without a shared directory.
    fn offer_listener(&self) -> Result<Option<Task>, ProcessError> {
        let Some(directory) = &self.directory else {
            return Ok(None);
        };
        let listener = self
            .duplicate_listener()
            .map_err(ProcessError::HotRestart)?;
        let offer =
            listener_handover::serve_new_processes(self.node.clone(), directory.clone(), listener);
        Ok(Some(Task::spawn(offer)))
    }

    fn duplicate_listener(&self) -> io::Result<std::net::TcpListener> {
        Ok(self.listener.as_fd().try_clone_to_owned()?.into())
    }
}

fn handle_signal(kind: SignalKind, name: &'static str) -> Result<Signal, ProcessError> {
    signal(kind).map_err(|source| ProcessError::Signal { name, source })
}

async fn listen_for_operators(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    operators::listen(address)
        .await
        .map_err(|source| ProcessError::ListenForOperators { address, source })
}

fn serve_operators(node: &NodeHandle, name: &str, listener: TcpListener) -> Task {
    match listener.local_addr() {
        Ok(address) => log!("{name} serves operators on {address}"),
        Err(error) => log!("{name} serves operators on an unknown address: {error}"),
    }
    Task::spawn(operators::serve(node.clone(), listener))
}

/// Reloads the configuration at each SIGHUP. An invalid configuration changes nothing.
///
/// Reloads also happen during a shutdown, because the address of discovery may change then too.
async fn reload_on_hangup(mut hangup: Signal, node: NodeHandle) {
    while hangup.recv().await.is_some() {
        let result = match Config::from_environment() {
            Ok(config) => node.reload(&config).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(error) = result {
            node.reload_failed();
            log!("reload rejected, the configuration is unchanged: {error}");
        }
    }
}
