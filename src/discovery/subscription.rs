//! A subscription to the endpoint list: the listed endpoints and the watches that keep them up to date.

use super::client::{watch, watch_agent};
use super::consumer::ListConsumer;
use super::error::StaleListError;
use super::list::EndpointList;
use super::membership::Membership;
use super::source::Source;
use crate::policy::DiscoveryMode;
use crate::task::Task;
use std::net::SocketAddr;

/// The endpoint list of the current discovery service, and the watches on this service and on the previous one.
///
/// After a move to another discovery service, the watch on the previous one continues until the current one has sent a
/// list, so that no change is missed in between. Watches end when the subscription is dropped.
#[derive(Debug)]
pub struct Subscription {
    source: Source,
    membership: Membership,
    watch: Option<Task>,
    /// The watch on a previous source, after a move until the current source has sent a list.
    previous_watch: Option<Task>,
}

/// The origin of a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The current source sent it.
    Current,
    /// The previous source sent it, and the current one has sent no list yet. The list must be applied.
    Previous,
    /// A previous source sent it, but the current one has already sent a list. The list must be ignored.
    Superseded,
}

/// The effect of [`Subscription::move_to`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceChange {
    /// The address is that of the current source.
    Unchanged,
    /// The subscription has moved to another source, on which no watch is running yet.
    Moved,
}

impl Subscription {
    /// Creates a subscription to the discovery service at an address, without a watch.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let source = Source {
            address,
            generation: 0,
        };
        Subscription {
            source,
            membership: Membership::default(),
            watch: None,
            previous_watch: None,
        }
    }

    /// Returns the current source.
    #[must_use]
    pub fn source(&self) -> Source {
        self.source
    }

    /// Returns the listed endpoints.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the listed endpoints for modification.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the last known version of a source. Returns `None` if it is not the current source or has no known
    /// version.
    #[must_use]
    pub fn known_version(&self, source: Source) -> Option<u64> {
        self.membership.version().filter(|_| source == self.source)
    }

    /// Returns whether a watch on the current source is running.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watch
            .as_ref()
            .is_some_and(|watch| !watch.is_finished())
    }

    /// Starts a watch on the current source. A running one is replaced.
    pub fn start_watch<C: ListConsumer>(&mut self, consumer: C, mode: DiscoveryMode) {
        self.watch = Some(match mode {
            DiscoveryMode::Pushed => Task::spawn(watch_agent(consumer, self.source)),
            DiscoveryMode::OnRequest => {
                let version = self.membership.version();
                Task::spawn(watch(consumer, self.source, version))
            }
        });
    }

    /// Ends the watch on the current source.
    pub fn stop_watch(&mut self) {
        self.watch = None;
    }

    /// Checks a list and returns its origin. A list from the current source is checked by [`Membership::accept`] and
    /// ends the watch on the previous source.
    ///
    /// # Errors
    /// Returns [`StaleListError`] if the list is older than the last one from the current source.
    pub fn accept(
        &mut self,
        source: Source,
        list: &mut EndpointList,
    ) -> Result<ListOrigin, StaleListError> {
        if source == self.source {
            self.membership.accept(list)?;
            self.previous_watch = None;
            return Ok(ListOrigin::Current);
        }
        if self.membership.version().is_some() {
            return Ok(ListOrigin::Superseded);
        }
        Ok(ListOrigin::Previous)
    }

    /// Moves to the discovery service at an address, unless it is the current source.
    ///
    /// If the version of the list is known, the watch on the current source continues as the watch on the previous one.
    /// Otherwise the watch on the current source ends, and the watch on the previous one, if any, continues.
    pub fn move_to(&mut self, address: SocketAddr) -> SourceChange {
        if address == self.source.address {
            return SourceChange::Unchanged;
        }
        self.source = Source {
            address,
            generation: self.source.generation + 1,
        };
        let watch = self.watch.take();
        if self.membership.clear_version() {
            self.previous_watch = watch;
        }
        SourceChange::Moved
    }
}
