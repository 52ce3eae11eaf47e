//! The node as the client of discovery sees it.

use super::state::{Node, NodeHandle};
use crate::discovery::{EndpointList, ListConsumer, ListOrigin, Source, StaleListError};
use crate::policy::{DiscoveryMode, Event, ListKind};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The first list of a watch follows its head, in another piece at the most.
const FIRST_LIST_AFTER_WATCH: Duration = Duration::from_millis(100);

impl NodeHandle {
    /// Takes over a list's endpoints.
    pub(super) fn take_list(&self, list: &EndpointList, kind: ListKind) {
        let mut node = self.borrow();
        let membership = node.subscription.membership_mut();
        let mut update = membership.update(list, kind);
        membership.remove_replaced(&mut update);
        update
            .stale_endpoints
            .iter()
            .for_each(|endpoint| node.pool.close_idle(endpoint));
        drop(node);
        self.handle(Event::EndpointList {
            version: list.index,
            kind,
            entries: update.entries.into(),
        });
    }
}

impl Node {
    /// Discovery has been reached. What has changed since the version that is held comes right behind, or nothing has.
    fn expect_first_list_soon(&mut self) {
        let soon = self.clock.now() + FIRST_LIST_AFTER_WATCH;
        self.first_list_due = self.first_list_due.map(|due| due.min(soon));
    }

    /// Begins to follow discovery.
    pub(super) fn begin_watch(&mut self, handle: &NodeHandle) {
        let mode = self.settings.current().discovery;
        self.subscription.follow(handle.clone(), mode);
    }
}

impl ListConsumer for NodeHandle {
    fn known_version(&self, source: Source) -> Option<u64> {
        self.borrow().subscription.known_version(source)
    }

    fn list_received(&self, source: Source, mut list: EndpointList) -> Result<(), StaleListError> {
        let mut node = self.borrow();
        match node.subscription.accept(source, &mut list)? {
            ListOrigin::Current => node.first_list_due = None,
            ListOrigin::Previous => {}
            ListOrigin::Superseded => return Ok(()),
        }
        drop(node);
        let kind = if list.snapshot {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        self.take_list(&list, kind);
        Ok(())
    }

    /// That says no less than that nothing has changed, which discovery may not say before the first change.
    fn watch_opened(&self, source: Source) {
        let version = self.known_version(source);
        if let Some(version) = version {
            self.borrow().expect_first_list_soon();
            let entries = Arc::from([]);
            self.handle(Event::EndpointList {
                version,
                kind: ListKind::Changes,
                entries,
            });
        }
    }

    /// That of a discovery that is no longer asked was to be.
    fn discovery_failed(&self, source: Source) {
        let mut node = self.borrow();
        if source == node.subscription.source() {
            node.subscription.unfollow();
            drop(node);
            self.handle(Event::DiscoveryFailed);
        }
    }

    /// An agent says nothing while discovery is down.
    fn call_hedged(&self, _source: Source) {
        if self.borrow().settings.current().discovery == DiscoveryMode::OnRequest {
            log!("discovery is late with an answer and is called again");
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        log!("{line}");
    }
}
