//! The node as the consumer of endpoint lists.

use super::state::{Node, NodeHandle};
use crate::discovery::{EndpointList, ListConsumer, ListOrigin, Source, StaleListError};
use crate::policy::{DiscoveryMode, Event, ListKind};
use std::fmt;
use std::sync::Arc;

impl NodeHandle {
    /// Applies an accepted list: updates the endpoints, closes idle connections to processes that take no more work, and
    /// gives the list to the balancer.
    pub(super) fn apply_list(&self, list: &EndpointList, kind: ListKind) {
        let mut node = self.borrow();
        let update = node.endpoints.update(list, kind);
        for endpoint in &update.stale_endpoints {
            node.connections.close_idle(endpoint);
        }
        drop(node);
        self.handle(Event::EndpointList {
            version: list.index,
            kind,
            entries: update.entries.into(),
        });
    }
}

impl Node {
    /// Returns how lists are received.
    pub(super) fn discovery_mode(&self) -> DiscoveryMode {
        self.configuration.settings().discovery
    }

    /// Starts a watch on discovery, in place of the one that there was.
    pub(super) fn follow_discovery(&mut self, handle: &NodeHandle) {
        let mode = self.discovery_mode();
        self.endpoints.start_watch(handle.clone(), mode);
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

    /// An open watch confirms the known version, as discovery sends nothing until the first change.
    fn watch_opened(&self, source: Source) {
        let Some(version) = self.known_version(source) else {
            return;
        };
        let mut node = self.borrow();
        let now = node.clock.now();
        node.endpoints.expect_first_list_soon(now);
        drop(node);
        self.handle(Event::EndpointList {
            version,
            kind: ListKind::Changes,
            entries: Arc::from([]),
        });
    }

    /// A failure of the previous source is ignored: it was to be expected after the move.
    fn discovery_failed(&self, source: Source) {
        let mut node = self.borrow();
        if source != node.endpoints.source() {
            return;
        }
        node.endpoints.stop_watch();
        drop(node);
        self.handle(Event::DiscoveryFailed);
    }

    /// Not logged for an agent, which sends nothing while discovery is down.
    fn call_hedged(&self, _source: Source) {
        if self.borrow().discovery_mode() == DiscoveryMode::OnRequest {
            log!("discovery is late with an answer and is called again");
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        log!("{line}");
    }
}
