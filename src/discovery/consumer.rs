//! Who hears of lists, watches and failures.

use super::error::{DiscoveryError, StaleListError};
use super::list::EndpointList;
use super::source::Source;
use std::fmt;

/// What lists, watches and failures are reported to.
pub trait ListConsumer: Clone + 'static {
    /// The version of the list that this source gave, which its changes may follow on.
    fn known_version(&self, source: Source) -> Option<u64>;

    /// Discovery has sent the whole list, or what has changed.
    ///
    /// # Errors
    /// It is older than what the source told before, and nothing of it is taken.
    fn list_received(&self, source: Source, list: EndpointList) -> Result<(), StaleListError>;

    /// A watch is open.
    fn watch_opened(&self, source: Source);

    /// A call failed, or a watch was lost, of which the decision module is to hear.
    fn discovery_failed(&self, source: Source);

    /// A watch ended or could not be opened, for consumers that count them; that of an agent is told here alone.
    fn watch_ended(&self, _source: Source, _failure: &DiscoveryError) {}

    /// A call for the whole list alone failed, for consumers that count them.
    fn fetch_failed(&self, _source: Source, _failure: &DiscoveryError) {}

    /// A call has no answer yet, and another is made beside it; for consumers that count or log them.
    fn call_hedged(&self, _source: Source) {}

    /// The seed of the jitter between calls: another for each sidecar of a fleet, lest they call in step.
    fn jitter_seed(&self) -> u64;

    /// A line of the log.
    fn log(&self, line: fmt::Arguments<'_>);
}
