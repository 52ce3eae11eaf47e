//! The endpoints that discovery lists, and the version of its list.

use super::error::OlderList;
use super::list::{EndpointList, Entry};
use crate::policy::{EndpointEntry, EndpointId, GroupId, ListKind, Readiness, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The endpoints known, and the version of their list.
#[derive(Debug, Default)]
pub struct Membership {
    members: HashMap<EndpointId, Member>,
    /// The version of the list that the present discovery gave; none of another's counts there.
    version: Option<u64>,
    /// Its last list was older than that, and was not believed.
    has_told_older: bool,
}

/// What discovery last said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// When its process started.
    pub started_at: Option<Timestamp>,
}

/// What a list changes.
#[derive(Debug)]
pub struct ListUpdate {
    /// Its endpoints, as the decision module knows them.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints whose processes take no more work, or are others now: idle connections to them are of no use.
    pub outdated: Vec<EndpointId>,
}

impl Membership {
    /// The version of the list that the present discovery gave.
    #[must_use]
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

    /// What is known of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// How many endpoints are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether none is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The endpoints that take work, by the list.
    pub fn serving(&self) -> impl Iterator<Item = &EndpointId> {
        let serving = self
            .members
            .iter()
            .filter(|(_, member)| member.readiness == Readiness::Serving);
        serving.map(|(endpoint, _)| endpoint)
    }

    /// Takes a list's version, unless it is older than the one before. A discovery that was set back sends its whole
    /// list again when it is asked again, which is believed. In the first list after a move, or after discovery was set
    /// back, what drains goes on draining.
    ///
    /// # Errors
    /// The list is older than the one before.
    pub fn accept(&mut self, list: &mut EndpointList) -> Result<(), OlderList> {
        let is_older = self.version.is_some_and(|version| list.index < version);
        if is_older && !(list.snapshot && self.has_told_older) {
            self.has_told_older = list.snapshot;
            return Err(OlderList);
        }
        self.has_told_older = false;
        if self.version.replace(list.index).is_none() || is_older {
            list.endpoints
                .iter_mut()
                .for_each(|entry| self.keep_draining(entry));
        }
        Ok(())
    }

    /// What drains does so for as long as its process lives.
    fn keep_draining(&self, entry: &mut Entry) {
        let listed = entry.endpoint_entry();
        let known = self.members.get(&listed.endpoint);
        if known.is_some_and(|k| {
            k.readiness == Readiness::Draining && k.started_at == listed.started_at
        }) {
            entry.go_on_draining();
        }
    }

    /// Takes over a list's endpoints.
    pub fn update(&mut self, list: &EndpointList, kind: ListKind) -> ListUpdate {
        let entries: Vec<EndpointEntry> =
            list.endpoints.iter().map(Entry::endpoint_entry).collect();
        let mut outdated = Vec::new();
        if kind != ListKind::Changes {
            // What a whole list does not name has left it.
            let listed: HashSet<&EndpointId> =
                entries.iter().map(|entry| &entry.endpoint).collect();
            let removed = self
                .members
                .extract_if(|endpoint, _| !listed.contains(endpoint));
            outdated.extend(removed.map(|(endpoint, _)| endpoint));
        }
        for (Entry { address, .. }, entry) in list.endpoints.iter().zip(&entries) {
            let member = Member {
                address: *address,
                readiness: entry.readiness,
                started_at: entry.started_at,
            };
            let is_same = |before: &Member| {
                before.address == member.address && before.started_at == member.started_at
            };
            let is_known = self.members.get(&entry.endpoint).is_some_and(is_same);
            if member.readiness != Readiness::Serving || !is_known {
                outdated.push(entry.endpoint.clone());
            }
            if member.readiness == Readiness::Removed {
                self.members.remove(&entry.endpoint);
            } else {
                self.members.insert(entry.endpoint.clone(), member);
            }
        }
        ListUpdate { entries, outdated }
    }

    /// Removes endpoints at whose address another has started since: the change that removes them comes later, or got lost, and what
    /// is sent there meanwhile goes to the other, which is cold.
    pub fn remove_replaced(&mut self, update: &mut ListUpdate) {
        let mut latest_starts: HashMap<SocketAddr, Option<Timestamp>> = HashMap::new();
        for member in self
            .members
            .values()
            .filter(|member| member.readiness == Readiness::Serving)
        {
            let latest = latest_starts.entry(member.address).or_default();
            *latest = (*latest).max(member.started_at);
        }
        let is_replaced = |member: &Member| {
            latest_starts
                .get(&member.address)
                .is_some_and(|latest| *latest > member.started_at)
        };
        for (endpoint, _) in self.members.extract_if(|_, member| is_replaced(member)) {
            update.entries.retain(|entry| entry.endpoint != endpoint);
            update.entries.push(removed(endpoint.clone()));
            update.outdated.push(endpoint);
        }
    }
}

fn removed(endpoint: EndpointId) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: "".into(),
        kind: "".into(),
        group: GroupId(0),
        readiness: Readiness::Removed,
        size: 1.0,
        started_at: None,
    }
}
