//! The versioned list of endpoints, and the past changes that a resumed watch needs.

use super::entry::{EndpointEntry, EndpointStatus, ListSnapshot};
use super::protocol;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The version of the initial endpoints.
const FIRST_VERSION: u64 = 1;

/// The changes of one version, as all watches send them.
#[derive(Clone, Debug)]
pub(super) struct Change {
    /// The version that they lead to.
    pub(super) version: u64,
    /// The serialized changes, as a chunk.
    pub(super) chunk: Bytes,
}

/// The list of endpoints, its version, and the changes of the latest versions.
pub(super) struct Registry {
    version: u64,
    endpoints: BTreeMap<String, EndpointEntry>,
    /// The changes of the latest versions, oldest first. The last item has the changes that led to `version`.
    changes: VecDeque<Vec<EndpointEntry>>,
    /// The largest number of versions in `changes`.
    retained_changes: usize,
    serialized: Serialized,
}

/// The serialized forms of the current version. They are created on demand and shared by all connections.
#[derive(Default)]
struct Serialized {
    full_list: Option<Bytes>,
    full_list_chunk: Option<Bytes>,
    /// The first chunk of a watch, by the version from which it resumes.
    chunk_since: HashMap<u64, Bytes>,
}

impl Registry {
    /// Creates a registry with these endpoints as version 1.
    pub(super) fn new(endpoints: &[EndpointEntry], retained_changes: usize) -> Self {
        let mut registry = Registry {
            version: FIRST_VERSION,
            endpoints: BTreeMap::new(),
            changes: VecDeque::new(),
            retained_changes,
            serialized: Serialized::default(),
        };
        registry.apply(endpoints);
        registry
    }

    /// Returns the current version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the current version with all its endpoints.
    pub(super) fn snapshot(&self) -> ListSnapshot {
        ListSnapshot {
            version: self.version,
            endpoints: self.endpoints.values().cloned().collect(),
        }
    }

    /// Applies changes as the next version and returns their chunk.
    pub(super) fn publish(&mut self, changes: Vec<EndpointEntry>) -> Change {
        self.version += 1;
        self.apply(&changes);
        let chunk =
            protocol::encode_chunk(&protocol::serialize_changes(self.version, changes.iter()));
        self.changes.push_back(changes);
        if self.changes.len() > self.retained_changes {
            self.changes.pop_front();
        }
        self.serialized = Serialized::default();
        Change {
            version: self.version,
            chunk,
        }
    }

    /// Returns the full list as the body of a response.
    pub(super) fn full_list(&mut self) -> Bytes {
        let (version, endpoints) = (self.version, &self.endpoints);
        let full_list = self.serialized.full_list.get_or_insert_with(|| {
            let line = protocol::serialize_full_list(version, endpoints.values());
            line.into()
        });
        full_list.clone()
    }

    /// Returns the full list as one chunk of a watch.
    pub(super) fn full_list_chunk(&mut self) -> Bytes {
        let full_list = self.full_list();
        self.serialized
            .full_list_chunk
            .get_or_insert_with(|| protocol::encode_chunk(&full_list))
            .clone()
    }

    /// Returns the first chunk of a watch that resumes from `since`. If that is the current version, there is none. The
    /// chunk has all later changes as one object, or the full list if they are not retained or `since` is `None`.
    pub(super) fn chunk_since(&mut self, since: Option<u64>) -> Option<Bytes> {
        let since = match since {
            Some(since) if since == self.version => return None,
            Some(since) if self.retains_changes_after(since) => since,
            _ => return Some(self.full_list_chunk()),
        };
        if let Some(chunk) = self.serialized.chunk_since.get(&since) {
            return Some(chunk.clone());
        }
        let merged = self.changes_after(since);
        let chunk = protocol::encode_chunk(&protocol::serialize_changes(
            self.version,
            merged.into_values(),
        ));
        self.serialized.chunk_since.insert(since, chunk.clone());
        Some(chunk)
    }

    /// Returns the number of entries in the full list.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of entries in the first chunk of a watch that resumes from `since`.
    pub(super) fn entries_since(&self, since: Option<u64>) -> usize {
        match since {
            Some(since) if since == self.version => 0,
            Some(since) if self.retains_changes_after(since) => self.changes_after(since).len(),
            _ => self.len(),
        }
    }

    fn apply(&mut self, changes: &[EndpointEntry]) {
        for entry in changes {
            if entry.status == EndpointStatus::Deleted {
                self.endpoints.remove(&entry.name);
            } else {
                self.endpoints.insert(entry.name.clone(), entry.clone());
            }
        }
    }

    /// Returns true if this is a past version and all changes after it are retained.
    fn retains_changes_after(&self, since: u64) -> bool {
        let oldest_retained = self.version - self.changes.len() as u64;
        (oldest_retained..self.version).contains(&since)
    }

    /// Returns the latest entry of each endpoint that changed after this version. The changes must be retained.
    fn changes_after(&self, since: u64) -> BTreeMap<&str, &EndpointEntry> {
        let versions = (self.version - since) as usize;
        let first = self.changes.len() - versions;
        let entries = self.changes.iter().skip(first).flatten();
        entries.map(|entry| (entry.name.as_str(), entry)).collect()
    }
}
