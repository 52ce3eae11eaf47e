//! Threads that host simulated sidecars. Each sidecar has its own set of local tasks, which ends with the sidecar.

use super::fleet_state::FleetState;
use super::sidecar::{Incarnation, SidecarHandle};
use super::sidecar_plan::SidecarPlan;
use balancer_sidecar::policy::SettingsError;
use balancer_sidecar::task::Task;
use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tokio::runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

/// A command to a host thread.
#[derive(Debug)]
pub(super) enum Command {
    /// Start a sidecar. If it is already running, kill it first.
    Start {
        /// The sidecar's index and its number of restarts.
        incarnation: Incarnation,
        /// The sidecar's configuration.
        plan: Arc<SidecarPlan>,
    },
    /// Reload a sidecar with a new configuration.
    Reload {
        /// The sidecar's index.
        index: usize,
        /// The new configuration.
        plan: Arc<SidecarPlan>,
    },
}

/// A thread with its own runtime. It is stopped when this value is dropped.
#[derive(Debug)]
pub(super) struct HostThread {
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl HostThread {
    /// Starts a thread that hosts no sidecars yet.
    pub fn start(number: usize, fleet: Arc<FleetState>) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (commands, receiver) = unbounded_channel();
        let thread = Builder::new()
            .name(format!("simulated-{number}"))
            .spawn(move || {
                LocalSet::new().block_on(&runtime, execute_commands(fleet, receiver));
            })?;
        Ok(HostThread {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Sends a command to the thread. Commands are executed in order.
    pub fn send(&self, command: Command) {
        let sent = self
            .commands
            .as_ref()
            .is_some_and(|commands| commands.send(command).is_ok());
        if !sent {
            tracing::error!("command not sent: a thread of simulated sidecars has ended");
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("a thread of simulated sidecars has panicked");
        }
    }
}

/// Hosts sidecars and executes commands until the sender of commands is dropped.
async fn execute_commands(fleet: Arc<FleetState>, mut commands: UnboundedReceiver<Command>) {
    let mut sidecars: HashMap<usize, HostedSidecar> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Start { incarnation, plan } => {
                sidecars.remove(&incarnation.index);
                match HostedSidecar::start(incarnation, fleet.clone(), &plan) {
                    Ok(sidecar) => drop(sidecars.insert(incarnation.index, sidecar)),
                    Err(error) => {
                        tracing::error!(index = incarnation.index, %error, "could not start a simulated sidecar");
                    }
                }
            }
            Command::Reload { index, plan } => {
                if let Some(sidecar) = sidecars.get(&index) {
                    sidecar.reload(&plan);
                }
            }
        }
    }
}

/// A sidecar and its tasks. Dropping this value kills the sidecar: its connections are closed and its pending calls are
/// lost.
struct HostedSidecar {
    handle: SidecarHandle,
    tasks: Rc<LocalSet>,
    _driver: Task,
}

impl HostedSidecar {
    fn start(
        incarnation: Incarnation,
        fleet: Arc<FleetState>,
        plan: &SidecarPlan,
    ) -> Result<Self, SettingsError> {
        let tasks = Rc::new(LocalSet::new());
        let handle = {
            let _entered = tasks.enter();
            SidecarHandle::start(incarnation, fleet, plan)?
        };
        let driven_tasks = tasks.clone();
        let driver = Task::spawn(async move { driven_tasks.run_until(pending::<()>()).await });
        Ok(HostedSidecar {
            handle,
            tasks,
            _driver: driver,
        })
    }

    fn reload(&self, plan: &SidecarPlan) {
        let _entered = self.tasks.enter();
        self.handle.reload(plan);
    }
}
