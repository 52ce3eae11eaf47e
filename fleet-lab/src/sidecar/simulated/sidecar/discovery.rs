//! The simulated sidecar as a consumer of the discovery client: its watch, and the lists that it receives.

use super::super::pending_calls;
use super::{Incarnation, SidecarHandle, SimulatedSidecar};
use balancer_sidecar::discovery::{
    DiscoveryFailure, EndpointList, ListConsumer, ListOrigin, Source, StaleListError,
};
use balancer_sidecar::policy::{Event, ListKind};
use std::fmt;
use std::sync::Arc;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl SidecarHandle {
    /// Applies a list. Starts the generation of calls once an endpoint serves.
    pub(super) fn apply_list(&self, list: &EndpointList, kind: ListKind) {
        let mut sidecar = self.borrow();
        let entries = sidecar
            .subscription
            .membership_mut()
            .update(list, kind)
            .entries
            .into();
        let Incarnation { index, restarts } = sidecar.incarnation;
        let milestones = &sidecar.fleet.milestones[index];
        milestones.record_version(restarts, list.version);
        let is_ready = sidecar.subscription.membership().serving().next().is_some();
        milestones.record_readiness(restarts, is_ready);
        if is_ready && !sidecar.callers_started {
            sidecar.callers_started = true;
            spawn_local(pending_calls::generate_calls(self.clone()));
        }
        drop(sidecar);
        self.handle_event(Event::EndpointList {
            version: list.version,
            kind,
            entries,
        });
    }
}

impl SimulatedSidecar {
    /// Starts a watch on discovery, which replaces the present one.
    pub(super) fn start_watch(&mut self, handle: &SidecarHandle) {
        self.subscription
            .start_watch(handle.clone(), self.settings.discovery);
    }

    /// Stops the watch on discovery.
    pub(super) fn stop_watch(&mut self) {
        self.subscription.stop_watch();
        let Incarnation { index, restarts } = self.incarnation;
        self.fleet.milestones[index]
            .record_watch_lost(restarts, self.subscription.source().generation);
    }
}

impl ListConsumer for SidecarHandle {
    fn known_version(&self, source: Source) -> Option<u64> {
        self.borrow().subscription.known_version(source)
    }

    fn list_received(&self, source: Source, mut list: EndpointList) -> Result<(), StaleListError> {
        let mut sidecar = self.borrow();
        if sidecar.subscription.accept(source, &mut list)? == ListOrigin::Superseded {
            return Ok(());
        }
        drop(sidecar);
        self.apply_list(&list, list.kind());
        Ok(())
    }

    /// Passes an empty list of changes to the balancer. The opening of a watch confirms the present version, and the
    /// next list may come only with the next change.
    fn watch_opened(&self, source: Source) {
        let sidecar = self.borrow();
        sidecar.fleet.milestones[sidecar.incarnation.index]
            .record_watch_opened(sidecar.incarnation.restarts, source.generation);
        drop(sidecar);
        if let Some(version) = self.known_version(source) {
            self.handle_event(Event::EndpointList {
                version,
                kind: ListKind::Changes,
                entries: Arc::from([]),
            });
        }
    }

    /// Passes a failure to the balancer, unless the sidecar no longer uses this source.
    fn discovery_failed(&self, source: Source, failure: DiscoveryFailure) {
        let mut sidecar = self.borrow();
        if source == sidecar.subscription.source() {
            sidecar.subscription.stop_watch();
            drop(sidecar);
            self.handle_event(match failure {
                DiscoveryFailure::Rejected => Event::DiscoveryRejected,
                DiscoveryFailure::Silent => Event::WatchSilent,
                DiscoveryFailure::Lost => Event::DiscoveryFailed,
            });
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.borrow().seed
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        tracing::debug!(index = self.borrow().incarnation.index, "{line}");
    }

    fn watch_ended(&self, source: Source, _last_received_at: Option<Instant>) {
        let sidecar = self.borrow();
        sidecar.fleet.counters.count_discovery_failure();
        sidecar.fleet.milestones[sidecar.incarnation.index]
            .record_watch_lost(sidecar.incarnation.restarts, source.generation);
    }

    fn fetch_failed(&self, _source: Source) {
        self.borrow().fleet.counters.count_discovery_failure();
    }
}
