//! The endpoints by version, and the past changes from which a watch can go on.

use super::entry::{EndpointEntry, EndpointStatus};
use super::protocol;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The version that the endpoints of the start have.
const FIRST_VERSION: u64 = 1;

/// One published change, as all watches get it.
#[derive(Clone, Debug)]
pub(super) struct Change {
    /// The version that it leads to.
    pub(super) version: u64,
    /// The chunk that tells it.
    pub(super) chunk: Bytes,
}

/// The list of endpoints, its version and the changes that led to it.
pub(super) struct Registry {
    version: u64,
    endpoints: BTreeMap<String, EndpointEntry>,
    /// Entries of the latest versions, oldest first; the last one led to `version`.
    changes: VecDeque<Vec<EndpointEntry>>,
    remembered_changes: usize,
    serialized: Serialized,
}

/// What has been serialized for this version, shared by all who ask for it.
#[derive(Default)]
struct Serialized {
    whole_list: Option<Bytes>,
    whole_list_chunk: Option<Bytes>,
    chunk_since: HashMap<u64, Bytes>,
}

impl Registry {
    /// The first version.
    pub(super) fn new(endpoints: Vec<EndpointEntry>, remembered_changes: usize) -> Self {
        let mut registry = Registry {
            version: FIRST_VERSION,
            endpoints: BTreeMap::new(),
            changes: VecDeque::new(),
            remembered_changes,
            serialized: Serialized::default(),
        };
        registry.apply(&endpoints);
        registry
    }

    /// The current version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// All endpoints, by name.
    pub(super) fn endpoints(&self) -> Vec<EndpointEntry> {
        self.endpoints.values().cloned().collect()
    }

    /// Makes these changes the next version.
    pub(super) fn publish(&mut self, changes: Vec<EndpointEntry>) -> Change {
        self.version += 1;
        self.apply(&changes);
        let chunk = protocol::chunk(&protocol::changes(self.version, changes.iter()));
        self.changes.push_back(changes);
        if self.changes.len() > self.remembered_changes {
            self.changes.pop_front();
        }
        self.serialized = Serialized::default();
        Change {
            version: self.version,
            chunk,
        }
    }

    /// The whole list as the body of an answer.
    pub(super) fn whole_list(&mut self) -> Bytes {
        let (version, endpoints) = (self.version, &self.endpoints);
        let whole_list = self.serialized.whole_list.get_or_insert_with(|| {
            let line = protocol::whole_list(version, endpoints.values());
            line.into()
        });
        whole_list.clone()
    }

    /// The whole list as a chunk of a watch.
    pub(super) fn whole_list_chunk(&mut self) -> Bytes {
        let whole_list = self.whole_list();
        self.serialized
            .whole_list_chunk
            .get_or_insert_with(|| protocol::chunk(&whole_list))
            .clone()
    }

    /// The first chunk of a watch: nothing if `since` is the current version, all changes after it as one object, or
    /// the whole list where those are no longer (or not yet) known.
    pub(super) fn chunk_since(&mut self, since: Option<u64>) -> Option<Bytes> {
        let since = match since {
            Some(since) if since == self.version => return None,
            Some(since) if self.remembers_changes_after(since) => since,
            _ => return Some(self.whole_list_chunk()),
        };
        if let Some(chunk) = self.serialized.chunk_since.get(&since) {
            return Some(chunk.clone());
        }
        let merged = self.changes_after(since);
        let chunk = protocol::chunk(&protocol::changes(self.version, merged.into_values()));
        self.serialized.chunk_since.insert(since, chunk.clone());
        Some(chunk)
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

    fn remembers_changes_after(&self, since: u64) -> bool {
        let oldest_remembered = self.version - self.changes.len() as u64;
        (oldest_remembered..self.version).contains(&since)
    }

    /// The last entry of each endpoint that changed after this version.
    fn changes_after(&self, since: u64) -> BTreeMap<&str, &EndpointEntry> {
        let versions = (self.version - since) as usize;
        let first = self.changes.len() - versions;
        let entries = self.changes.iter().skip(first).flatten();
        entries.map(|entry| (entry.name.as_str(), entry)).collect()
    }
}
