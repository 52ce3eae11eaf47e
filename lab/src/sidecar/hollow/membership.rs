//! The endpoints that a hollow sidecar was told of, kept as the real one keeps them. In-memory answers have no
//! addresses, so an endpoint that starts at another's address does not replace it here.

use passproxy::api::{EndpointId, Listing, Moment, News, Readiness};
use passproxy::discovery::{EndpointList, Entry, OlderList};
use std::collections::{HashMap, HashSet};

/// The endpoints known, and the version of their list.
#[derive(Default)]
pub(super) struct Membership {
    endpoints: HashMap<EndpointId, KnownEndpoint>,
    /// The version of the list that the present discovery gave; none of another's counts there.
    version: Option<u64>,
    /// Its last list was older than that, and was not believed.
    told_older: bool,
}

/// What discovery last said of an endpoint.
struct KnownEndpoint {
    readiness: Readiness,
    up_since: Option<Moment>,
}

impl Membership {
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Sets the version of a list that was known before discovery was asked.
    pub fn assume_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Forgets the version, as discovery has moved; tells whether there was one.
    pub fn forget_version(&mut self) -> bool {
        self.version.take().is_some()
    }

    pub fn knows(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// When an endpoint last started; none where it is not known.
    pub fn up_since(&self, endpoint: &EndpointId) -> Option<Option<Moment>> {
        self.endpoints.get(endpoint).map(|known| known.up_since)
    }

    /// Whether any endpoint takes work.
    pub fn is_ready(&self) -> bool {
        self.endpoints.values().any(|known| known.readiness == Readiness::Up)
    }

    /// Takes a list's version, unless it is older than what was told before: a discovery that was set back is
    /// believed when it tells its whole list again.
    pub fn accept(&mut self, list: &mut EndpointList) -> Result<(), OlderList> {
        let is_older = self.version.is_some_and(|version| list.index < version);
        if is_older && !(list.snapshot && self.told_older) {
            self.told_older = list.snapshot;
            return Err(OlderList);
        }
        self.told_older = false;
        if self.version.replace(list.index).is_none() || is_older {
            list.endpoints.iter_mut().for_each(|entry| self.keep_draining(entry));
        }
        Ok(())
    }

    /// What was told to drain does so for as long as its process lives.
    fn keep_draining(&self, entry: &mut Entry) {
        let listing = entry.listing();
        let known = self.endpoints.get(&listing.endpoint);
        if known.is_some_and(|k| k.readiness == Readiness::Draining && k.up_since == listing.up_since) {
            entry.go_on_draining();
        }
    }

    /// Takes over a list's endpoints; returns them as the decision module knows them.
    pub fn apply(&mut self, list: &EndpointList, news: News) -> Vec<Listing> {
        let listings: Vec<Listing> = list.endpoints.iter().map(Entry::listing).collect();
        if news != News::Delta {
            let listed: HashSet<&EndpointId> = listings.iter().map(|l| &l.endpoint).collect();
            self.endpoints.retain(|endpoint, _| listed.contains(endpoint));
        }
        for listing in &listings {
            if listing.readiness == Readiness::Gone {
                self.endpoints.remove(&listing.endpoint);
            } else {
                let known = KnownEndpoint { readiness: listing.readiness, up_since: listing.up_since };
                self.endpoints.insert(listing.endpoint.clone(), known);
            }
        }
        listings
    }
}
