//! The node as the consumer of endpoint lists.

use super::state::{Node, NodeHandle};
use crate::discovery::{
    DiscoveryFailure, EndpointList, EntryStatus, ListConsumer, ListOrigin, Source, StaleListError,
};
use crate::policy::{DiscoveryMode, Event, ListKind};
use std::fmt;
use std::sync::Arc;
use tokio::time::Instant;

impl NodeHandle {
    /// Applies an accepted list: updates the endpoints, closes idle connections to processes that take no more work,
    /// and gives the list to the balancer.
    pub(super) fn apply_list(&self, list: &EndpointList, kind: ListKind) {
        let mut node = self.borrow();
        let update = node.endpoints.update(list, kind);
        let listed = node.endpoints.len();
        node.memory.set_endpoints(listed);
        log_list(list, kind, listed);
        for endpoint in &update.close_idle_connections_to {
            node.connections.close_idle(endpoint);
        }
        if node.has_new_process() {
            node.send_serving_endpoints();
        }
        drop(node);
        self.handle(Event::EndpointList {
            version: list.version,
            kind,
            entries: update.entries.into(),
        });
    }
}

/// Logs the version of a list and how many entries it has of each status.
fn log_list(list: &EndpointList, kind: ListKind, listed: usize) {
    let count = |status| {
        let entries = list.endpoints.iter();
        entries.filter(|entry| entry.status == status).count()
    };
    log!(
        "endpoint list: version {version}, {kind}: {serving} serving, {draining} draining, {deleted} deleted; \
         {listed} listed",
        version = list.version,
        kind = match kind {
            ListKind::Full => "full",
            ListKind::Cached => "cached",
            ListKind::Changes => "changes",
        },
        serving = count(EntryStatus::Serving),
        draining = count(EntryStatus::Draining),
        deleted = count(EntryStatus::Deleted),
    );
}

impl Node {
    /// Returns how lists are received.
    pub(super) fn discovery_mode(&self) -> DiscoveryMode {
        self.configuration.settings().discovery
    }

    /// Starts a watch on discovery, which replaces the current one.
    pub(super) fn start_discovery_watch(&mut self, handle: &NodeHandle) {
        let mode = self.discovery_mode();
        self.endpoints.start_watch(handle.clone(), mode);
        let now = self.clock.now();
        if let Some(since) = self.endpoints.status_mut().watch_replaced(now) {
            self.queue_event(Event::ListUnconfirmed { since });
        }
    }
}

impl ListConsumer for NodeHandle {
    fn known_version(&self, source: Source) -> Option<u64> {
        self.borrow().endpoints.known_version(source)
    }

    fn list_received(&self, source: Source, mut list: EndpointList) -> Result<(), StaleListError> {
        let origin = self.borrow().endpoints.accept(source, &mut list)?;
        if origin == ListOrigin::Superseded {
            return Ok(());
        }
        let kind = list.kind();
        self.apply_list(&list, kind);
        Ok(())
    }

    /// Gives the balancer an update without changes. An open watch confirms the known version, because discovery sends
    /// nothing on it until the first change.
    fn watch_opened(&self, source: Source) {
        let Some(version) = self.known_version(source) else {
            return;
        };
        let mut node = self.borrow();
        node.endpoints.status_mut().watch_opened();
        let now = node.clock.now();
        node.endpoints.expect_first_list_soon(now);
        drop(node);
        self.handle(Event::EndpointList {
            version,
            kind: ListKind::Changes,
            entries: Arc::from([]),
        });
    }

    fn list_confirmed(&self, source: Source) {
        let mut node = self.borrow();
        if source != node.endpoints.source() {
            return;
        }
        let now = node.clock.now();
        let Some(unconfirmed) = node.endpoints.status_mut().confirm(now) else {
            return;
        };
        drop(node);
        let seconds = unconfirmed.as_secs_f64();
        log!("endpoint list: current again after {seconds:.3} s without a watch");
        self.handle(Event::ListConfirmed);
    }

    fn watch_ended(&self, source: Source, last_received_at: Option<Instant>) {
        let mut node = self.borrow();
        if source != node.endpoints.source() {
            return;
        }
        let clock = node.clock;
        let last_received_at = last_received_at.map(|at| clock.timestamp(at));
        let status = node.endpoints.status_mut();
        let unconfirmed_since = status.watch_ended(clock.now(), last_received_at);
        drop(node);
        if let Some(since) = unconfirmed_since {
            self.handle(Event::ListUnconfirmed { since });
        }
    }

    /// Ignores a failure of the previous source, which is expected after a move to another one.
    fn discovery_failed(&self, source: Source, failure: DiscoveryFailure) {
        let mut node = self.borrow();
        if source != node.endpoints.source() {
            return;
        }
        node.endpoints.stop_watch();
        drop(node);
        self.handle(match failure {
            DiscoveryFailure::Rejected => Event::DiscoveryRejected,
            DiscoveryFailure::Silent => Event::WatchSilent,
            DiscoveryFailure::Lost => Event::DiscoveryFailed,
        });
    }

    /// Ignores hedged calls to an agent that pushes lists. Such an agent sends nothing while discovery is down, so its
    /// silence does not show whether discovery is slow.
    fn call_hedged(&self, _source: Source, is_reached: bool) {
        if self.borrow().discovery_mode() != DiscoveryMode::OnRequest {
            return;
        }
        log!("discovery call hedged by a second one: no response yet");
        self.handle(if is_reached {
            Event::DiscoverySlow
        } else {
            Event::DiscoveryUnreachable
        });
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        log!("{line}");
    }
}
