//! The threads of a host. Commands start and stop endpoints on them; each endpoint has a task that accepts connections.

use super::connection::{self, RunningEndpoint};
use super::state::EndpointState;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::{Arc, mpsc as blocking_mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{self, JoinSet, LocalSet};

/// The pause after a failed accept, for example when the process has no free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A command to a host's thread.
#[derive(Debug)]
enum Command {
    /// Run an endpoint with this listener.
    Run {
        state: Arc<EndpointState>,
        listener: TcpListener,
    },
    /// Stop an endpoint if it is running, then send a message on `stopped`.
    Stop {
        number: u64,
        stopped: blocking_mpsc::Sender<()>,
    },
    /// Stop all endpoints and end the thread.
    End,
}

/// Sends commands to a host's thread.
#[derive(Clone, Debug)]
pub(super) struct CommandSender(mpsc::UnboundedSender<Command>);

impl CommandSender {
    /// Starts an endpoint.
    pub fn run(&self, state: Arc<EndpointState>, listener: TcpListener) -> io::Result<()> {
        let sent = self.0.send(Command::Run { state, listener });
        sent.map_err(|_| io::Error::new(io::ErrorKind::BrokenPipe, "the endpoint's host has ended"))
    }

    /// Stops an endpoint and waits until its connections are reset. Does nothing if the thread has ended.
    pub fn stop(&self, number: u64) {
        let (stopped, wait) = blocking_mpsc::channel();
        if self.0.send(Command::Stop { number, stopped }).is_ok() {
            // An error means that the thread has ended, and its endpoints with it.
            let _ = wait.recv();
        }
    }
}

/// A thread that runs endpoints. Dropping it stops them and ends the thread.
#[derive(Debug)]
pub(super) struct HostThread {
    commands: CommandSender,
    thread: Option<JoinHandle<()>>,
}

impl HostThread {
    pub fn start(number: usize, host_seed: u64) -> io::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let thread = thread::Builder::new()
            .name(format!("endpoints-{number}"))
            .spawn(move || run_thread(&runtime, receiver, host_seed))?;
        Ok(Self {
            commands: CommandSender(sender),
            thread: Some(thread),
        })
    }

    pub fn commands(&self) -> CommandSender {
        self.commands.clone()
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        let _ = self.commands.0.send(Command::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_thread(runtime: &Runtime, commands: mpsc::UnboundedReceiver<Command>, host_seed: u64) {
    LocalSet::new().block_on(runtime, execute_all(commands, host_seed));
}

/// Executes commands until [`Command::End`].
async fn execute_all(mut commands: mpsc::UnboundedReceiver<Command>, host_seed: u64) {
    let mut running = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Run { state, listener } => {
                running.insert(
                    state.number,
                    EndpointTask::start(state, listener, host_seed),
                );
            }
            Command::Stop { number, stopped } => {
                if let Some(endpoint_task) = running.remove(&number) {
                    endpoint_task.stop().await;
                }
                let _ = stopped.send(());
            }
            Command::End => break,
        }
    }
    for endpoint_task in running.into_values() {
        endpoint_task.stop().await;
    }
}

/// The task of a running endpoint.
struct EndpointTask {
    stop: oneshot::Sender<()>,
    task: task::JoinHandle<()>,
}

impl EndpointTask {
    fn start(state: Arc<EndpointState>, listener: TcpListener, host_seed: u64) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = task::spawn_local(accept_until(stopped, state, listener, host_seed));
        EndpointTask { stop, task }
    }

    /// Stops the endpoint and waits until its connections are reset.
    async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

/// Accepts connections until the endpoint is stopped, then resets all of them.
async fn accept_until(
    mut stopped: oneshot::Receiver<()>,
    state: Arc<EndpointState>,
    listener: TcpListener,
    host_seed: u64,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(endpoint = %state.name, %error, "cannot listen for connections");
            return;
        }
    };
    let endpoint = Rc::new(RunningEndpoint::new(state, host_seed));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            _ = &mut stopped => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(connection::serve(stream, Rc::clone(&endpoint)));
                }
                Err(error) => {
                    tracing::warn!(endpoint = %endpoint.state.name, %error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    connections.shutdown().await;
}
