//! The endpoints listed by discovery, and the wait for the first list.

use super::list_status::ListStatus;
use crate::discovery::{
    EndpointList, ListConsumer, ListOrigin, ListUpdate, Source, SourceChange, StaleListError,
    Subscription,
};
use crate::policy::{DiscoveryMode, EndpointId, ListKind, Readiness, Timestamp};
use crate::sidecar::endpoint::EndpointProcess;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum time for which the new process of a hot restart waits for its first list. It is then ready with the
/// cached list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum time for which the first list is awaited after its watch has opened. Discovery sends the list in the TCP
/// segment after the response head.
const FIRST_LIST_AFTER_WATCH_TIMEOUT: Duration = Duration::from_millis(100);

/// The endpoints listed by discovery, and the watches on it.
#[derive(Debug)]
pub struct Endpoints {
    subscription: Subscription,
    /// The end of the wait for the first list. Until then, the node is not ready without a list from discovery, and the
    /// old process serves callers. `None` if the node does not wait for a list.
    first_list_deadline: Option<Timestamp>,
    status: ListStatus,
}

impl Endpoints {
    /// Creates an empty list for a discovery service that is not watched yet.
    pub fn new(discovery: SocketAddr, now: Timestamp) -> Self {
        Endpoints {
            subscription: Subscription::new(discovery),
            first_list_deadline: None,
            status: ListStatus::unconfirmed(now),
        }
    }

    /// Returns how current the list is.
    pub fn status(&self) -> &ListStatus {
        &self.status
    }

    /// Returns a mutable reference to the status of the list.
    pub fn status_mut(&mut self) -> &mut ListStatus {
        &mut self.status
    }

    /// Returns the discovery service in force.
    pub fn source(&self) -> Source {
        self.subscription.source()
    }

    /// Returns the version of the list from a source, or `None` if that is not the current source.
    pub fn known_version(&self, source: Source) -> Option<u64> {
        self.subscription.known_version(source)
    }

    /// Returns the version of the last list from the current source, if it has sent one.
    pub fn list_version(&self) -> Option<u64> {
        self.subscription.membership().version()
    }

    /// Returns whether a watch on the current source is running.
    pub fn is_watching(&self) -> bool {
        self.subscription.is_watching()
    }

    /// Starts a watch on the current source, which replaces any earlier watch on it.
    pub fn start_watch<C: ListConsumer>(&mut self, consumer: C, mode: DiscoveryMode) {
        self.subscription.start_watch(consumer, mode);
    }

    /// Ends the watch on the current source.
    pub fn stop_watch(&mut self) {
        self.subscription.stop_watch();
    }

    /// Moves to the discovery service at an address, unless it is the current one.
    pub fn move_to(&mut self, discovery: SocketAddr) -> SourceChange {
        self.subscription.move_to(discovery)
    }

    /// Sets the version of the cached list. Discovery may send changes relative to this version.
    pub fn set_cached_version(&mut self, version: u64) {
        self.subscription
            .membership_mut()
            .set_cached_version(version);
    }

    /// Checks a list that a source has sent.
    ///
    /// # Errors
    /// The list is older than one that the current source sent before.
    pub fn accept(
        &mut self,
        source: Source,
        list: &mut EndpointList,
    ) -> Result<ListOrigin, StaleListError> {
        let origin = self.subscription.accept(source, list)?;
        if origin == ListOrigin::Current {
            self.first_list_deadline = None;
        }
        Ok(origin)
    }

    /// Updates the endpoints by an accepted list. Removes those at whose addresses a later process runs under another
    /// name.
    pub fn update(&mut self, list: &EndpointList, kind: ListKind) -> ListUpdate {
        let membership = self.subscription.membership_mut();
        let mut update = membership.update(list, kind);
        membership.remove_replaced(&mut update);
        update
    }

    /// Returns the endpoints that the list names as serving, with the start of their processes.
    pub fn serving_processes(&self) -> impl Iterator<Item = (&EndpointId, Option<Timestamp>)> {
        self.subscription.membership().serving_processes()
    }

    /// Removes the serving endpoints whose listed processes do not serve according to `is_serving`. Returns the effect.
    pub fn retain_serving(
        &mut self,
        is_serving: impl Fn(&EndpointId, Option<Timestamp>) -> bool,
    ) -> ListUpdate {
        self.subscription
            .membership_mut()
            .retain_serving(is_serving)
    }

    /// Begins the wait for the first list.
    pub fn await_first_list(&mut self, now: Timestamp) {
        self.first_list_deadline = Some(now + FIRST_LIST_TIMEOUT);
    }

    /// Shortens the wait for the first list, because discovery is reachable. It sends a list right away, or none until
    /// the next change.
    pub fn expect_first_list_soon(&mut self, now: Timestamp) {
        let soon = now + FIRST_LIST_AFTER_WATCH_TIMEOUT;
        self.first_list_deadline = self.first_list_deadline.map(|deadline| deadline.min(soon));
    }

    /// Returns whether the node still waits for its first list.
    pub fn awaits_first_list(&self, now: Timestamp) -> bool {
        self.first_list_deadline
            .is_some_and(|deadline| now < deadline)
    }

    /// Returns the listed process of an endpoint. Returns `None` if the endpoint is not listed.
    pub fn listed_process(&self, endpoint: &EndpointId) -> Option<EndpointProcess> {
        let member = self.subscription.membership().get(endpoint)?;
        Some(EndpointProcess {
            endpoint: endpoint.clone(),
            address: member.address,
            started_at: member.started_at,
        })
    }

    /// Returns whether an endpoint is still listed as serving with the same process and address.
    pub fn is_serving(&self, target: &EndpointProcess) -> bool {
        let member = self.subscription.membership().get(&target.endpoint);
        member.is_some_and(|member| {
            member.readiness == Readiness::Serving
                && member.started_at == target.started_at
                && member.address == target.address
        })
    }

    /// Returns whether an endpoint is still listed with the same process.
    pub fn is_same_process(&self, target: &EndpointProcess) -> bool {
        let member = self.subscription.membership().get(&target.endpoint);
        member.is_some_and(|member| member.started_at == target.started_at)
    }

    /// Returns the endpoints that the list names as serving.
    pub fn serving(&self) -> impl Iterator<Item = &EndpointId> {
        self.subscription.membership().serving()
    }

    /// Returns how many endpoints are listed.
    pub fn len(&self) -> usize {
        self.subscription.membership().len()
    }
}
