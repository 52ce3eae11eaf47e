//! What all connections share: the registry, the queue of calls, the stream of changes and the counts.

use super::entry::EndpointEntry;
use super::options::DiscoveryOptions;
use super::registry::{Change, Registry};
use super::turns::{Turn, Turns};
use super::usage::DiscoveryUsage;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::broadcast;
use tokio::time::{Instant, sleep_until};

/// Changes that a watch may lag behind before it is given the whole list in their place.
const CHANGES_IN_FLIGHT: usize = 1024;

/// How the wait for a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitOutcome {
    /// It is the call's turn.
    Turn,
    /// The call has waited too long.
    TooLate,
}

/// The state of the service's thread.
pub(super) struct Service {
    /// Time between empty lines on a watch.
    pub(super) heartbeat: Duration,
    /// The endpoints.
    pub(super) registry: RefCell<Registry>,
    /// Counts; open watches and processor time are put in when they are asked for.
    pub(super) usage: RefCell<DiscoveryUsage>,
    turns: RefCell<Turns>,
    waiting: Rc<Cell<u64>>,
    changes: broadcast::Sender<Change>,
}

impl Service {
    pub(super) fn new(
        options: &DiscoveryOptions,
        time_per_call: Duration,
        endpoints: Vec<EndpointEntry>,
    ) -> Self {
        Service {
            heartbeat: options.heartbeat,
            registry: RefCell::new(Registry::new(endpoints, options.remembered_changes)),
            usage: RefCell::default(),
            turns: RefCell::new(Turns::new(
                time_per_call,
                options.longest_wait,
                Instant::now(),
            )),
            waiting: Rc::default(),
            changes: broadcast::Sender::new(CHANGES_IN_FLIGHT),
        }
    }

    /// Publishes changes to all watches and returns their version.
    pub(super) fn publish(&self, changes: Vec<EndpointEntry>) -> u64 {
        let change = self.registry.borrow_mut().publish(changes);
        let version = change.version;
        // Without watches there is nobody to tell.
        let _ = self.changes.send(change);
        version
    }

    /// All changes from now on.
    pub(super) fn subscribe(&self) -> broadcast::Receiver<Change> {
        self.changes.subscribe()
    }

    /// Waits in the queue for a call's turn.
    pub(super) async fn wait_for_turn(&self) -> WaitOutcome {
        let now = Instant::now();
        let turn = self.turns.borrow_mut().enter(now);
        let (until, outcome) = match turn {
            Turn::At(turn) => (turn, WaitOutcome::Turn),
            Turn::TooLate(until) => (until, WaitOutcome::TooLate),
        };
        if until > now {
            let _waiting = CountGuard::new(&self.waiting);
            self.count(|usage| usage.longest_queue = usage.longest_queue.max(self.waiting.get()));
            sleep_until(until).await;
        }
        outcome
    }

    /// Changes the rate at which calls are handled; those that wait keep their turns.
    pub(super) fn set_time_per_call(&self, time_per_call: Duration) {
        self.turns.borrow_mut().set_time_per_call(time_per_call);
    }

    /// Forgets the calls that wait, and how many did.
    pub(super) fn clear_queue(&self) {
        self.turns.borrow_mut().clear(Instant::now());
        self.count(|usage| usage.longest_queue = 0);
    }

    /// Changes the counts.
    pub(super) fn count(&self, change: impl FnOnce(&mut DiscoveryUsage)) {
        change(&mut self.usage.borrow_mut());
    }
}

/// Counts one in for as long as it lives.
pub(super) struct CountGuard(Rc<Cell<u64>>);

impl CountGuard {
    pub(super) fn new(count: &Rc<Cell<u64>>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
