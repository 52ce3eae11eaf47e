//! Threads that host hollow sidecars, each sidecar on a set of local tasks of its own, which end with it.

use super::fleet_state::FleetState;
use super::member::{Identity, MemberHandle};
use super::plan::MemberPlan;
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

/// What a thread is to do.
pub(super) enum Command {
    /// Start a sidecar, in place of the one that runs there.
    Start {
        /// Which sidecar, and which of its starts.
        identity: Identity,
        /// What it is started from.
        plan: Arc<MemberPlan>,
    },
    /// Have a sidecar take over a configuration.
    Reload {
        /// Its place.
        place: usize,
        /// The configuration.
        plan: Arc<MemberPlan>,
    },
}

/// A thread with a runtime of its own, ended when it is dropped.
pub(super) struct HostThread {
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl HostThread {
    pub fn start(number: usize, fleet: Arc<FleetState>) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (commands, receiver) = unbounded_channel();
        let thread = Builder::new()
            .name(format!("hollow-{number}"))
            .spawn(move || {
                LocalSet::new().block_on(&runtime, host(fleet, receiver));
            })?;
        Ok(HostThread {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Sends a command; commands are carried out in order.
    pub fn send(&self, command: Command) {
        let sent = self
            .commands
            .as_ref()
            .is_some_and(|commands| commands.send(command).is_ok());
        if !sent {
            tracing::error!("a thread of hollow sidecars has ended");
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("a thread of hollow sidecars has panicked");
        }
    }
}

/// Carries out commands until their sender is gone.
async fn host(fleet: Arc<FleetState>, mut commands: UnboundedReceiver<Command>) {
    let mut members: HashMap<usize, HostedMember> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Start { identity, plan } => {
                members.remove(&identity.place);
                match HostedMember::start(identity, fleet.clone(), &plan) {
                    Ok(member) => drop(members.insert(identity.place, member)),
                    Err(problem) => {
                        tracing::error!(place = identity.place, "not started: {problem}");
                    }
                }
            }
            Command::Reload { place, plan } => {
                if let Some(member) = members.get(&place) {
                    member.reload(&plan);
                }
            }
        }
    }
}

/// A sidecar with its tasks. Dropped, it ends at once: its connections are closed, and what it has open is lost.
struct HostedMember {
    handle: MemberHandle,
    tasks: Rc<LocalSet>,
    _driver: Task,
}

impl HostedMember {
    fn start(
        identity: Identity,
        fleet: Arc<FleetState>,
        plan: &MemberPlan,
    ) -> Result<Self, SettingsError> {
        let tasks = Rc::new(LocalSet::new());
        let handle = {
            let _entered = tasks.enter();
            MemberHandle::start(identity, fleet, plan)?
        };
        let driven = tasks.clone();
        let driver = Task::spawn(async move { driven.run_until(pending::<()>()).await });
        Ok(HostedMember {
            handle,
            tasks,
            _driver: driver,
        })
    }

    fn reload(&self, plan: &MemberPlan) {
        let _entered = self.tasks.enter();
        self.handle.reload(plan);
    }
}
