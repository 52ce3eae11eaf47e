//! The hollow sidecar as the client of discovery sees it: the lists it is told, and its watch.

use super::super::calls;
use super::{Identity, Member, MemberHandle};
use balancer_sidecar::discovery::{
    DiscoveryError, EndpointList, ListConsumer, ListOrigin, Source, StaleListError,
};
use balancer_sidecar::policy::{Event, ListKind};
use std::fmt;
use std::sync::Arc;
use tokio::task::spawn_local;

impl MemberHandle {
    /// Takes over a list's endpoints, and has calls arrive once there is one that serves.
    pub(super) fn learn(&self, list: EndpointList, kind: ListKind) {
        let mut member = self.borrow();
        let entries = member
            .subscription
            .membership_mut()
            .update(&list, kind)
            .entries
            .into();
        let Identity { place, start } = member.identity;
        let milestones = &member.fleet.milestones[place];
        milestones.has_version(start, list.index);
        let is_ready = member.subscription.membership().serving().next().is_some();
        milestones.is_ready(start, is_ready);
        if is_ready && !member.has_callers {
            member.has_callers = true;
            spawn_local(calls::arrivals(self.clone()));
        }
        drop(member);
        self.tell(Event::EndpointList {
            version: list.index,
            kind,
            entries,
        });
    }
}

impl Member {
    /// Begins to follow discovery, in place of the watch that there was.
    pub(super) fn begin_watch(&mut self, handle: &MemberHandle) {
        self.subscription
            .follow(handle.clone(), self.settings.discovery);
    }

    /// Follows discovery no more.
    pub(super) fn end_watch(&mut self) {
        self.subscription.unfollow();
        let Identity { place, start } = self.identity;
        self.fleet.milestones[place].lost_watch(start, self.subscription.source().generation);
    }
}

impl ListConsumer for MemberHandle {
    fn known_version(&self, source: Source) -> Option<u64> {
        self.borrow().subscription.known_version(source)
    }

    fn list_received(&self, source: Source, mut list: EndpointList) -> Result<(), StaleListError> {
        let mut member = self.borrow();
        if member.subscription.accept(source, &mut list)? == ListOrigin::Superseded {
            return Ok(());
        }
        drop(member);
        let kind = if list.snapshot {
            ListKind::Snapshot
        } else {
            ListKind::Changes
        };
        self.learn(list, kind);
        Ok(())
    }

    /// That is no less than word that nothing has changed, which may not come before the first change.
    fn watch_opened(&self, source: Source) {
        let member = self.borrow();
        member.fleet.milestones[member.identity.place]
            .watches(member.identity.start, source.generation);
        drop(member);
        if let Some(version) = self.known_version(source) {
            self.tell(Event::EndpointList {
                version,
                kind: ListKind::Changes,
                entries: Arc::from([]),
            });
        }
    }

    /// That of a discovery that is no longer asked was to be.
    fn discovery_failed(&self, source: Source) {
        let mut member = self.borrow();
        if source == member.subscription.source() {
            member.subscription.unfollow();
            drop(member);
            self.tell(Event::DiscoveryFailed);
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        tracing::debug!(place = self.borrow().identity.place, "{line}");
    }

    fn watch_ended(&self, source: Source, _failure: &DiscoveryError) {
        let member = self.borrow();
        member.fleet.counters.discovery_failure();
        member.fleet.milestones[member.identity.place]
            .lost_watch(member.identity.start, source.generation);
    }

    fn fetch_failed(&self, _source: Source, _failure: &DiscoveryError) {
        self.borrow().fleet.counters.discovery_failure();
    }
}
