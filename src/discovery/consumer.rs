//! The receiver of lists, watches and failures.

use super::error::{DiscoveryFailure, StaleListError};
use super::list::EndpointList;
use super::source::Source;
use std::fmt;
use tokio::time::Instant;

/// Receives what the discovery client learns.
///
/// The client calls it from tasks on the current thread, and each call names the source that it concerns: a reload may
/// have moved discovery since the client's call began.
pub trait ListConsumer: Clone + 'static {
    /// Returns the version of the last list from a source, from which a watch can resume; `None` if there is none.
    fn known_version(&self, source: Source) -> Option<u64>;

    /// Receives the full list or a watch event.
    ///
    /// # Errors
    /// Returns [`StaleListError`] if the list is older than the source's last one; the client then gives the watch up.
    fn list_received(&self, source: Source, list: EndpointList) -> Result<(), StaleListError>;

    /// Notes that a watch has been opened.
    fn watch_opened(&self, source: Source);

    /// Notes that a call failed or a watch was lost, so that the decision module schedules the next call. It is not used
    /// for agents, which the client follows without the module.
    fn discovery_failed(&self, source: Source, failure: DiscoveryFailure);

    /// Notes that the open watch has shown the list to be current: a list or a heartbeat was received on it.
    fn list_confirmed(&self, _source: Source) {}

    /// Notes that a watch was lost or could not be opened, on an agent too. `last_received_at` is when something was last
    /// received on it, `None` if it could not be opened.
    fn watch_ended(&self, _source: Source, _last_received_at: Option<Instant>) {}

    /// Notes that a fetch of the full list failed. Only for consumers that count failures.
    fn fetch_failed(&self, _source: Source) {}

    /// Notes that a call has no response yet and is hedged by another one; `is_reached` says whether discovery has accepted
    /// a connection.
    fn call_hedged(&self, _source: Source, _is_reached: bool) {}

    /// Returns the seed of the jitter between calls. It must differ between the sidecars of a fleet.
    fn jitter_seed(&self) -> u64;

    /// Writes a line to the log.
    fn log(&self, line: fmt::Arguments<'_>);
}
