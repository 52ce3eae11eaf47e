//! The trait of the receiver of lists, watch states and failures.

use super::error::{DiscoveryFailure, StaleListError};
use super::list::EndpointList;
use super::source::Source;
use std::fmt;
use tokio::time::Instant;

/// Receives the results of the discovery client's calls, and passes them to a [`Balancer`](crate::policy::Balancer).
///
/// The client invokes the methods from tasks on the current thread. Most methods take the source of the result, because
/// a reload may have changed the source since the client's call began.
pub trait ListConsumer: Clone + 'static {
    /// Returns the version of the last list from a source, or `None` if there is no such list. A watch resumes from it.
    fn known_version(&self, source: Source) -> Option<u64>;

    /// Receives the full list or a watch event.
    ///
    /// # Errors
    /// Returns [`StaleListError`] if the list is older than the last list of the source. The client then ends the call
    /// or the watch.
    fn list_received(&self, source: Source, list: EndpointList) -> Result<(), StaleListError>;

    /// Records that a watch has been opened.
    fn watch_opened(&self, source: Source);

    /// Records that a call failed or a watch was lost. The balancer schedules the next call.
    ///
    /// The client does not invoke this method for watches on agents, which it reopens without the balancer.
    fn discovery_failed(&self, source: Source, failure: DiscoveryFailure);

    /// Records that the list is current because a list or a heartbeat was received on the open watch.
    fn list_confirmed(&self, _source: Source) {}

    /// Records that a watch was lost or could not be opened. Watches on agents are included.
    ///
    /// `last_received_at` is the time at which a list or a heartbeat was last received on the watch. It is `None` if
    /// the watch could not be opened.
    fn watch_ended(&self, _source: Source, _last_received_at: Option<Instant>) {}

    /// Records that a fetch of the full list failed. Consumers may count such failures.
    fn fetch_failed(&self, _source: Source) {}

    /// Records that a call without a response is hedged by another one. `is_reached` is true if discovery has accepted
    /// the connection of an outstanding call.
    fn call_hedged(&self, _source: Source, _is_reached: bool) {}

    /// Returns the seed of the jitter between calls. It must differ between the sidecars of a fleet.
    fn jitter_seed(&self) -> u64;

    /// Writes a line to the log.
    fn log(&self, line: fmt::Arguments<'_>);
}
