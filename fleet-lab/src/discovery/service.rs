//! The state that all connections of a service share: the registry, the call queue, the stream of changes and the
//! counters.

use super::call_queue::{Admission, CallQueue, CallTimes};
use super::entry::EndpointEntry;
use super::options::{DiscoveryOptions, ListChangeAction};
use super::registry::{Change, Registry};
use super::usage::DiscoveryUsage;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::broadcast;
use tokio::time::{Instant, sleep_until};

/// The number of versions by which a watch may lag behind. A watch that lags further gets the full list.
const MAX_WATCH_LAG: usize = 1024;

/// The way in which a call left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueOutcome {
    /// The call is to be handled now.
    Handled,
    /// The call was queued for longer than the queue timeout.
    TimedOut,
}

/// The state that all connections share. It is used only on the service's thread.
pub(super) struct Service {
    /// The time between the empty lines on a watch without changes.
    pub(super) heartbeat: Duration,
    /// The endpoints and their version.
    pub(super) registry: RefCell<Registry>,
    /// The action on open watches when the list changes.
    pub(super) on_change: ListChangeAction,
    /// The counters. Open watches and processor time are not kept here but read on demand.
    pub(super) usage: RefCell<DiscoveryUsage>,
    call_queue: RefCell<CallQueue>,
    /// The number of calls that wait in the queue.
    queued: Rc<Cell<u64>>,
    changes: broadcast::Sender<Change>,
}

impl Service {
    /// Creates the service with these endpoints as version 1.
    pub(super) fn new(
        options: &DiscoveryOptions,
        times: CallTimes,
        endpoints: &[EndpointEntry],
    ) -> Self {
        Service {
            heartbeat: options.heartbeat,
            registry: RefCell::new(Registry::new(endpoints, options.retained_changes)),
            on_change: options.on_change,
            usage: RefCell::default(),
            call_queue: RefCell::new(CallQueue::new(times, options.queue_timeout, Instant::now())),
            queued: Rc::default(),
            changes: broadcast::Sender::new(MAX_WATCH_LAG),
        }
    }

    /// Publishes changes to all watches and returns their version.
    pub(super) fn publish(&self, changes: Vec<EndpointEntry>) -> u64 {
        let change = self.registry.borrow_mut().publish(changes);
        let version = change.version;
        // Sending fails only if no watch is open.
        let _ = self.changes.send(change);
        version
    }

    /// Returns the stream of all changes that are published from now on.
    pub(super) fn subscribe(&self) -> broadcast::Receiver<Change> {
        self.changes.subscribe()
    }

    /// Queues a call with this number of list entries in its response, and waits until it is handled or times out.
    pub(super) async fn wait_in_queue(&self, entries: usize) -> QueueOutcome {
        let now = Instant::now();
        let admission = self.call_queue.borrow_mut().enqueue(now, entries);
        let (until, outcome) = match admission {
            Admission::HandledAt(slot) => (slot, QueueOutcome::Handled),
            Admission::TimesOutAt(timeout) => (timeout, QueueOutcome::TimedOut),
        };
        if until > now {
            let _queued = CountGuard::new(&self.queued);
            let length = self.queued.get();
            self.update_usage(|usage| usage.max_queue_length = usage.max_queue_length.max(length));
            sleep_until(until).await;
        }
        outcome
    }

    /// Changes the time that calls need. Calls that are already queued keep their slots.
    pub(super) fn set_times(&self, times: CallTimes) {
        self.call_queue.borrow_mut().set_times(times);
    }

    /// Removes all queued calls and resets the length of the longest queue.
    pub(super) fn clear_queue(&self) {
        self.call_queue.borrow_mut().clear(Instant::now());
        self.update_usage(|usage| usage.max_queue_length = 0);
    }

    /// Updates the counters.
    pub(super) fn update_usage(&self, change: impl FnOnce(&mut DiscoveryUsage)) {
        change(&mut self.usage.borrow_mut());
    }
}

/// Keeps a count raised by one until the guard is dropped.
pub(super) struct CountGuard(Rc<Cell<u64>>);

impl CountGuard {
    /// Raises the count.
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
