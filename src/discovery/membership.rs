//! The endpoints that discovery lists, and the version of the list.

use super::error::StaleListError;
use super::list::{EndpointList, EntryStatus, ListEntry};
use crate::policy::{EndpointEntry, EndpointId, GroupId, ListKind, Readiness, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The listed endpoints with their addresses, and the version of the list.
///
/// The [`Balancer`](crate::policy::Balancer) has an endpoint table of its own, without addresses.
/// [`Membership::update`] returns the changes to pass to it.
#[derive(Debug, Default)]
pub struct Membership {
    members: HashMap<EndpointId, Member>,
    /// The version of the last list from the current source. Versions of different sources are not comparable.
    version: Option<u64>,
    /// True if the last list from the current source was a full list that was rejected as stale.
    has_rejected_stale_full_list: bool,
}

/// The last listed state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The readiness of the endpoint, from its status in the list.
    pub readiness: Readiness,
    /// The time at which the endpoint's process started, or `None` if it started long ago.
    pub started_at: Option<Timestamp>,
}

impl Member {
    /// Returns whether both states belong to the same process.
    fn is_same_process(&self, other: &Member) -> bool {
        self.address == other.address && self.started_at == other.started_at
    }
}

/// The effect of a list on the membership.
#[derive(Debug)]
pub struct ListUpdate {
    /// The changed endpoints, as entries for the balancer.
    pub entries: Vec<EndpointEntry>,
    /// The endpoints to which idle connections must be closed. They accept no more requests, were not listed before, or
    /// run in another process than before.
    pub close_idle_connections_to: Vec<EndpointId>,
}

impl Membership {
    /// Returns the version of the last list from the current source, if it has sent one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Sets the version of the cached list. It counts as a version of the current source until the source sends a list.
    pub fn set_cached_version(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Clears the version because the source has changed. Returns whether there was a version.
    pub fn clear_version(&mut self) -> bool {
        self.version.take().is_some()
    }

    /// Returns the last listed state of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// Returns the number of listed endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no endpoint is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the endpoints that are listed as serving.
    pub fn serving(&self) -> impl Iterator<Item = &EndpointId> {
        self.serving_processes().map(|(endpoint, _)| endpoint)
    }

    /// Checks a list's version against the last one and records it.
    ///
    /// A stale list is rejected, because it may come from a replica that lags behind. Two stale full lists in
    /// succession show that discovery itself was reset to an older state, and the second one is accepted.
    ///
    /// In the first list of a source, and in the first list accepted after a reset, endpoints that are known to be
    /// draining keep that status even if the list says that they are serving.
    ///
    /// # Errors
    /// Returns [`StaleListError`] if the list is rejected and must not be applied.
    pub fn accept(&mut self, list: &mut EndpointList) -> Result<(), StaleListError> {
        let is_stale = self.version.is_some_and(|version| list.version < version);
        if is_stale && !(list.is_full && self.has_rejected_stale_full_list) {
            self.has_rejected_stale_full_list = list.is_full;
            return Err(StaleListError);
        }
        self.has_rejected_stale_full_list = false;
        let is_first = self.version.replace(list.version).is_none();
        if is_first || is_stale {
            for entry in &mut list.endpoints {
                self.preserve_draining(entry);
            }
        }
        Ok(())
    }

    /// Marks a serving entry as draining if the same process of the endpoint is known to be draining. A draining
    /// process never serves again.
    fn preserve_draining(&self, entry: &mut ListEntry) {
        let member = self.members.get(&EndpointId::from(entry.name.as_str()));
        let is_draining = member.is_some_and(|member| {
            member.readiness == Readiness::Draining && member.started_at == entry.started_at()
        });
        if is_draining && entry.status == EntryStatus::Serving {
            entry.status = EntryStatus::Draining;
        }
    }

    /// Applies an accepted list and returns its effect.
    pub fn update(&mut self, list: &EndpointList, kind: ListKind) -> ListUpdate {
        let entries: Vec<EndpointEntry> = list.endpoints.iter().map(EndpointEntry::from).collect();
        let mut close_idle_connections_to = Vec::new();
        if kind != ListKind::Changes {
            self.remove_unlisted(&entries, &mut close_idle_connections_to);
        }
        for (ListEntry { address, .. }, entry) in list.endpoints.iter().zip(&entries) {
            let member = Member {
                address: *address,
                readiness: entry.readiness,
                started_at: entry.started_at,
            };
            self.apply_entry(&entry.endpoint, member, &mut close_idle_connections_to);
        }
        ListUpdate {
            entries,
            close_idle_connections_to,
        }
    }

    /// Removes the endpoints that a full list does not name.
    fn remove_unlisted(
        &mut self,
        entries: &[EndpointEntry],
        close_idle_connections_to: &mut Vec<EndpointId>,
    ) {
        let listed: HashSet<&EndpointId> = entries.iter().map(|entry| &entry.endpoint).collect();
        let unlisted = self
            .members
            .extract_if(|endpoint, _| !listed.contains(endpoint));
        close_idle_connections_to.extend(unlisted.map(|(endpoint, _)| endpoint));
    }

    /// Applies one entry of a list.
    fn apply_entry(
        &mut self,
        endpoint: &EndpointId,
        member: Member,
        close_idle_connections_to: &mut Vec<EndpointId>,
    ) {
        let is_same_process = self
            .members
            .get(endpoint)
            .is_some_and(|previous| previous.is_same_process(&member));
        if member.readiness != Readiness::Serving || !is_same_process {
            close_idle_connections_to.push(endpoint.clone());
        }
        if member.readiness == Readiness::Removed {
            self.members.remove(endpoint);
        } else {
            self.members.insert(endpoint.clone(), member);
        }
    }

    /// Returns the endpoints that are listed as serving, with the start of their processes.
    pub fn serving_processes(&self) -> impl Iterator<Item = (&EndpointId, Option<Timestamp>)> {
        let serving = self
            .members
            .iter()
            .filter(|(_, member)| member.readiness == Readiness::Serving);
        serving.map(|(endpoint, member)| (endpoint, member.started_at))
    }

    /// Removes the serving endpoints whose listed processes do not serve according to `is_serving`. Returns the effect.
    pub fn retain_serving(
        &mut self,
        is_serving: impl Fn(&EndpointId, Option<Timestamp>) -> bool,
    ) -> ListUpdate {
        let has_ended = |endpoint: &EndpointId, member: &Member| {
            member.readiness == Readiness::Serving && !is_serving(endpoint, member.started_at)
        };
        let removed: Vec<EndpointId> = self
            .members
            .extract_if(|endpoint, member| has_ended(endpoint, member))
            .map(|(endpoint, _)| endpoint)
            .collect();
        ListUpdate {
            entries: removed.iter().cloned().map(removal_entry).collect(),
            close_idle_connections_to: removed,
        }
    }

    /// Removes endpoints whose address is used by a later serving process under another name.
    ///
    /// The change that removes the former endpoint may be late or lost. Until it arrives, requests for the former
    /// endpoint would reach the new process in addition to its own share, possibly during its warm-up.
    pub fn remove_replaced(&mut self, update: &mut ListUpdate) {
        let latest_starts = self.latest_start_by_address();
        let is_replaced = |member: &Member| {
            latest_starts
                .get(&member.address)
                .is_some_and(|latest| *latest > member.started_at)
        };
        for (endpoint, _) in self.members.extract_if(|_, member| is_replaced(member)) {
            update.entries.retain(|entry| entry.endpoint != endpoint);
            update.entries.push(removal_entry(endpoint.clone()));
            update.close_idle_connections_to.push(endpoint);
        }
    }

    /// Returns the latest start of a serving process for each address. `None` stands for a start long ago, and is
    /// earlier than any time.
    fn latest_start_by_address(&self) -> HashMap<SocketAddr, Option<Timestamp>> {
        let mut latest_starts: HashMap<SocketAddr, Option<Timestamp>> = HashMap::new();
        let is_serving = |member: &&Member| member.readiness == Readiness::Serving;
        for member in self.members.values().filter(is_serving) {
            let latest = latest_starts.entry(member.address).or_default();
            *latest = (*latest).max(member.started_at);
        }
        latest_starts
    }
}

/// Returns the entry that removes an endpoint. The values of its other fields are not used.
fn removal_entry(endpoint: EndpointId) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        zone: "".into(),
        machine_type: "".into(),
        group: GroupId(0),
        readiness: Readiness::Removed,
        weight: 1.0,
        started_at: None,
    }
}
