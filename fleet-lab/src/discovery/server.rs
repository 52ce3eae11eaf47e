//! The service's thread. It executes commands from other threads and runs the tasks of the connections.

use super::call_queue::CallTimes;
use super::entry::{EndpointEntry, ListSnapshot};
use super::options::DiscoveryOptions;
use super::service::Service;
use super::usage::DiscoveryUsage;
use super::zone::Zone;
use crate::measure::thread_processor_time;
use crate::topology::ZoneName;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use tokio::runtime;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;

/// A command from another thread. The service replies when the command is complete.
#[derive(Debug)]
pub(super) enum Command {
    Snapshot {
        reply: SyncSender<ListSnapshot>,
    },
    Publish {
        changes: Vec<EndpointEntry>,
        reply: SyncSender<u64>,
    },
    SetTimes {
        times: CallTimes,
        reply: SyncSender<()>,
    },
    BeginOutage {
        reply: SyncSender<()>,
    },
    EndOutage {
        reply: SyncSender<io::Result<()>>,
    },
    PartitionZone {
        zone: ZoneName,
        reply: SyncSender<()>,
    },
    HealZone {
        zone: ZoneName,
        reply: SyncSender<()>,
    },
    Usage {
        reply: SyncSender<DiscoveryUsage>,
    },
    WatchesByZone {
        reply: SyncSender<BTreeMap<ZoneName, u64>>,
    },
}

/// Runs the service on the current thread. Reports the result of the start on `started`, then executes commands until
/// their channel is closed.
pub(super) fn run(
    commands: UnboundedReceiver<Command>,
    started: &SyncSender<io::Result<()>>,
    create_server: impl FnOnce() -> Server,
) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return reply_to(started, Err(error)),
    };
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let mut server = create_server();
        let listening = server.listen();
        let has_failed = listening.is_err();
        reply_to(started, listening);
        if !has_failed {
            server.execute_all(commands).await;
        }
    });
}

/// The service and its zones.
pub(super) struct Server {
    service: Rc<Service>,
    zones: Vec<Zone>,
}

impl Server {
    /// Creates a service that does not listen yet.
    pub(super) fn new(
        options: &DiscoveryOptions,
        times: CallTimes,
        zones: Vec<Zone>,
        endpoints: &[EndpointEntry],
    ) -> Self {
        Server {
            service: Rc::new(Service::new(options, times, endpoints)),
            zones,
        }
    }

    fn listen(&mut self) -> io::Result<()> {
        self.zones
            .iter_mut()
            .try_for_each(|zone| zone.listen(&self.service))
    }

    /// Executes commands until their channel is closed, then shuts down.
    async fn execute_all(&mut self, mut commands: UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            self.execute(command).await;
        }
        self.shut_down().await;
    }

    async fn execute(&mut self, command: Command) {
        match command {
            Command::Snapshot { reply } => {
                reply_to(&reply, self.service.registry.borrow().snapshot());
            }
            Command::Publish { changes, reply } => reply_to(&reply, self.service.publish(changes)),
            Command::SetTimes { times, reply } => {
                self.service.set_times(times);
                reply_to(&reply, ());
            }
            Command::BeginOutage { reply } => {
                self.shut_down().await;
                reply_to(&reply, ());
            }
            Command::EndOutage { reply } => reply_to(&reply, self.listen()),
            Command::PartitionZone { zone, reply } => {
                if let Some(zone) = self.zone(&zone) {
                    zone.partition();
                }
                reply_to(&reply, ());
            }
            Command::HealZone { zone, reply } => {
                if let Some(zone) = self.zone(&zone) {
                    zone.heal().await;
                }
                reply_to(&reply, ());
            }
            Command::Usage { reply } => reply_to(&reply, self.usage()),
            Command::WatchesByZone { reply } => reply_to(&reply, self.watches_by_zone()),
        }
    }

    fn zone(&self, name: &ZoneName) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name() == name)
    }

    /// Stops listening, resets all connections and empties the queue.
    async fn shut_down(&mut self) {
        for zone in &mut self.zones {
            zone.shut_down().await;
        }
        self.service.clear_queue();
    }

    fn usage(&self) -> DiscoveryUsage {
        DiscoveryUsage {
            watches_open: self.zones.iter().map(Zone::open_watches).sum(),
            processor_time: thread_processor_time(),
            ..*self.service.usage.borrow()
        }
    }

    fn watches_by_zone(&self) -> BTreeMap<ZoneName, u64> {
        self.zones
            .iter()
            .map(|zone| (zone.name().clone(), zone.open_watches()))
            .collect()
    }
}

/// Sends a reply. A failure is ignored: the receiver has stopped waiting.
fn reply_to<T>(reply: &SyncSender<T>, value: T) {
    let _ = reply.send(value);
}
