//! The process: its start, its signals and its end.

use super::hot_restart::SharedDirectory;
use super::listener_handover::{self, PortSharing};
use super::node::{NodeHandle, StartMode, StartOptions};
use super::operators;
use super::report;
use super::server;
use crate::configuration::{Config, ConfigError};
use crate::policy::SettingsError;
use crate::task::Task;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, timeout, timeout_at};

/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(600);
/// A sidecar may be killed 0.7 s after the longest deadline, of which no more than this counts.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Part of that in which callers keep their connections: another sidecar may be down just then, and they have nowhere else
/// to go.
const KEPT_PART: f64 = 0.7;
/// The sidecar has ended this long after the longest deadline, as it may be killed 0.7 s after it.
const LAST_MOMENT: Duration = Duration::from_millis(400);

/// Why the sidecar ended with a failure.
#[derive(Debug, thiserror::Error)]
enum ProcessError {
    #[error("the runtime: {0}")]
    Runtime(io::Error),
    #[error("{name}: {failure}")]
    Signal {
        name: &'static str,
        failure: io::Error,
    },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("the second address, {address}: {failure}")]
    Operators {
        address: SocketAddr,
        failure: io::Error,
    },
    #[error("{address}: {failure}")]
    Listen {
        address: SocketAddr,
        failure: io::Error,
    },
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("hot restart: {0}")]
    Handover(io::Error),
}

/// Runs the sidecar until it has stopped.
#[must_use]
pub fn main() -> ExitCode {
    match run_to_end() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_end() -> Result<(), ProcessError> {
    // Its scheduler polls local tasks itself. A `LocalSet` on top of it is woken through the event descriptor.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default());
    runtime.map_err(ProcessError::Runtime)?.block_on(run())
}

async fn run() -> Result<(), ProcessError> {
    // Heard from the first moment on: not yet caught, either would end the process on the spot.
    let mut stop = catch(SignalKind::terminate(), "SIGTERM")?;
    let reload = catch(SignalKind::hangup(), "SIGHUP")?;
    let config = Config::from_environment()?;
    let (name, address) = (config.name.clone(), config.listen);
    let operators = match config.admin {
        Some(address) => Some(listen_for_operators(address).await?),
        None => None,
    };
    // Only one that is run day by day is replaced while it serves.
    let directory = operators
        .as_ref()
        .and_then(|_| SharedDirectory::from_environment())
        .map(Rc::new);
    let old_process = directory
        .as_deref()
        .and_then(listener_handover::request_listener);
    let listen_failed = |failure| ProcessError::Listen { address, failure };
    let sharing = if operators.is_some() {
        PortSharing::Shared
    } else {
        PortSharing::Exclusive
    };
    let listener =
        listener_handover::listen(address, sharing, old_process.as_ref()).map_err(listen_failed)?;
    let address = listener.local_addr().map_err(listen_failed)?;
    let node = NodeHandle::start(StartOptions {
        config,
        directory: directory.clone(),
        mode: if old_process.is_some() {
            StartMode::HotRestart
        } else {
            StartMode::Fresh
        },
        reserved_descriptors: operators.as_ref().map_or(0, |_| operators::MAX_CONNECTIONS),
    })?;
    let _counts = Task::spawn(report::write_at_intervals(node.clone()));
    let _reloads = Task::spawn(reload_on(node.clone(), reload));
    let _calls = operators.map(|listener| serve_operators(&node, &name, listener));
    log!("{name} listens on {address}");
    if let Some(old_process) = old_process {
        let taken_over = tokio::select! {
            taken_over = listener_handover::take_over(&node, old_process) => taken_over,
            _ = stop.recv() => {
                log!("{name} stops before it has taken over");
                return Ok(());
            }
        };
        taken_over.map_err(ProcessError::Handover)?;
        log!("{name} takes over from the old process");
    }
    let offer = match directory {
        Some(directory) => {
            let descriptor = listener
                .as_fd()
                .try_clone_to_owned()
                .map_err(listen_failed)?;
            Some(Task::spawn(listener_handover::serve_new_processes(
                node.clone(),
                directory,
                descriptor.into(),
            )))
        }
        None => None,
    };
    serve(&node, listener, offer, &mut stop).await;
    report::write(&node);
    log!("{name} has stopped");
    Ok(())
}

fn catch(kind: SignalKind, name: &'static str) -> Result<Signal, ProcessError> {
    signal(kind).map_err(|failure| ProcessError::Signal { name, failure })
}

async fn listen_for_operators(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listening = operators::listen(address).await;
    listening.map_err(|failure| ProcessError::Operators { address, failure })
}

fn serve_operators(node: &NodeHandle, name: &str, listener: TcpListener) -> Task {
    match listener.local_addr() {
        Ok(address) => log!("{name} is called at {address}"),
        Err(failure) => log!("{name} is called at an address unknown: {failure}"),
    }
    Task::spawn(operators::serve(node.clone(), listener))
}

/// Reads the configuration again at each SIGHUP, also while the sidecar stops: discovery may move then too. What is wrong
/// with it is one line of the log, and all stays as it was.
async fn reload_on(node: NodeHandle, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let problem = match Config::from_environment() {
            Ok(config) => node.reload(&config).err().map(|error| error.to_string()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(problem) = problem {
            node.reload_failed();
            log!("the configuration stays as it was: {problem}");
        }
    }
}

/// Serves until SIGTERM, for a while longer on the connections that callers have, and then until all that was taken is
/// answered. The listening socket is on offer to the next process for as long.
async fn serve(
    node: &NodeHandle,
    listener: TcpListener,
    mut offer: Option<Task>,
    stop: &mut Signal,
) {
    tokio::select! {
        () = server::accept(node.clone(), &listener) => {}
        _ = stop.recv() => {}
    }
    let longest = longest_deadline(node);
    let end = Instant::now() + longest + LAST_MOMENT;
    let counted = longest.min(LONGEST_COUNTED);
    report::write(node);
    node.borrow().begin_shutdown(counted);
    node.announce_shutdown();
    let _ = timeout(
        counted.mul_f64(KEPT_PART),
        server::accept(node.clone(), &listener),
    )
    .await;
    node.borrow().callers_mut().begin_shutdown();
    // It never ends by itself, so this only ever times out.
    let _ = timeout(STILL_COMING, server::accept(node.clone(), &listener)).await;
    // With nobody to take it, the part of it on offer would keep it open, and callers waiting there.
    let nobody_has_it = !node.borrow().has_new_process();
    if let Some(offer) = offer.take_if(|_| nobody_has_it) {
        offer.stop().await;
    }
    let is_last = !node.borrow().callers().are_accepted_elsewhere();
    if let Some(listener) = listener.into_std().ok().filter(|_| is_last) {
        server::accept_backlog(node, listener);
    }
    node.borrow().callers_mut().begin_shutdown(); // also those that have come since
    if timeout_at(end, all_closed(node)).await.is_err() {
        log!("some connections were still open at the last moment");
    }
}

fn longest_deadline(node: &NodeHandle) -> Duration {
    let node = node.borrow();
    let deadlines = node
        .configuration()
        .settings()
        .classes
        .iter()
        .map(|class| class.deadline);
    deadlines.max().unwrap_or_default()
}

/// Waits until the last connection of a caller has closed.
async fn all_closed(node: &NodeHandle) {
    let closed = node.borrow().callers().all_closed();
    while !node.borrow().callers().is_empty() {
        closed.notified().await;
    }
}
