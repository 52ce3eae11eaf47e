//! A subscription to the endpoint list: the endpoints listed, and the watches that keep them up to date.

use super::client::{watch, watch_agent};
use super::consumer::ListConsumer;
use super::error::StaleListError;
use super::list::EndpointList;
use super::membership::Membership;
use super::source::Source;
use crate::policy::DiscoveryMode;
use crate::task::Task;
use std::net::SocketAddr;

/// The endpoint list of the current discovery, and the watches on it and on the previous one.
///
/// After a move to another discovery the previous one is followed until the current one has sent a list, so that no
/// change is missed in between. Watches end when the subscription is dropped.
#[derive(Debug)]
pub struct Subscription {
    source: Source,
    membership: Membership,
    watch: Option<Task>,
    /// Set after a move, until the current source has sent a list.
    previous_watch: Option<Task>,
}

/// What a received list counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The current source sent it.
    Current,
    /// The previous source sent it, and the current one has not sent any yet: it applies.
    Previous,
    /// The previous source sent it after the current one had sent its own: it is ignored.
    Superseded,
}

/// Whether a reload names another discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceChange {
    /// It names the same one.
    Unchanged,
    /// The subscription has moved to another one, which nothing follows yet.
    Moved,
}

impl Subscription {
    /// Creates a subscription to a discovery service that is not followed yet.
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

    /// Returns the endpoints listed.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the endpoints listed, for an update.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the version of the list that a source gave; `None` for any but the current source.
    #[must_use]
    pub fn known_version(&self, source: Source) -> Option<u64> {
        self.membership.version().filter(|_| source == self.source)
    }

    /// Returns whether a watch on the current source is running.
    #[must_use]
    pub fn is_followed(&self) -> bool {
        self.watch
            .as_ref()
            .is_some_and(|watch| !watch.is_finished())
    }

    /// Starts a watch on the current source, in place of the one that there was.
    pub fn follow<C: ListConsumer>(&mut self, consumer: C, mode: DiscoveryMode) {
        self.watch = Some(match mode {
            DiscoveryMode::Pushed => Task::spawn(watch_agent(consumer, self.source)),
            DiscoveryMode::OnRequest => {
                let version = self.membership.version();
                Task::spawn(watch(consumer, self.source, version))
            }
        });
    }

    /// Ends the watch on the current source.
    pub fn unfollow(&mut self) {
        self.watch = None;
    }

    /// Checks a list that a source has sent. The first list of the current source ends the watch on the previous one.
    ///
    /// # Errors
    /// The list is older than one that the current source sent before.
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

    /// Moves to the discovery service at an address, if it is another one. The watch on the one before goes on if that
    /// one has sent a list; else it ends, and the watch before it, if there is one, goes on.
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
