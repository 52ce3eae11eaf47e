//! The hand-over of what one process of a hot restart knows of the endpoints to the other.
//!
//! The new process starts with the cached list of its configuration, which may be old. While discovery is unreachable or
//! crowded, it gets no other list, and would send requests to endpoints that the old process knows to drain or to be
//! gone. What one process was told counts as told to both.
//!
//! Only the names of serving endpoints are handed over. Endpoints that the receiver does not know are not added: it uses
//! them once discovery has described them.

use super::state::{Node, NodeHandle};
use crate::policy::{Event, Timestamp};
use crate::sidecar::hot_restart::{ProcessMessage, ServingEndpoints};

/// The maximum length of all names in one message in bytes. Each byte of a name may be escaped, and a message has 4 KiB at
/// most.
const MAX_NAMES_LENGTH: usize = 1 << 10;
/// The length in bytes that a message takes for an endpoint in addition to its name.
const ENTRY_OVERHEAD: usize = 24;
const NANOS_PER_MILLI: u64 = 1_000_000;

impl Node {
    /// Sends the names of the endpoints that the list names as serving to the other processes.
    pub(super) fn send_serving_endpoints(&self) {
        let Some(version) = self.endpoints.list_version() else {
            return;
        };
        let mut part = Vec::new();
        let mut length = 0;
        let total = self.endpoints.serving().count();
        let send = |serving| {
            let message = ServingEndpoints {
                discovery: self.endpoints.source().address,
                version,
                serving,
                total,
            };
            self.hot_restart
                .broadcast(&ProcessMessage::ServingEndpoints(message));
        };
        for (endpoint, started_at) in self.endpoints.serving_processes() {
            if length + endpoint.0.len() > MAX_NAMES_LENGTH {
                send(std::mem::take(&mut part));
                length = 0;
            }
            length += endpoint.0.len() + ENTRY_OVERHEAD;
            part.push((endpoint.0.to_string(), start_in_millis(started_at)));
        }
        send(part);
    }
}

impl NodeHandle {
    /// Sends the names of the serving endpoints to the other processes.
    pub fn send_serving_endpoints(&self) {
        self.borrow().send_serving_endpoints();
    }

    /// Removes the endpoints that do not serve according to another process, if its list is not older than this one's.
    pub(super) fn receive_serving_endpoints(&self, mut message: ServingEndpoints) {
        let mut guard = self.borrow();
        let node = &mut *guard;
        let Some(serving) = node.list_of_other_process.add(&mut message) else {
            return;
        };
        let is_older = node
            .endpoints
            .list_version()
            .is_none_or(|own| message.version < own);
        if is_older || message.discovery != node.endpoints.source().address {
            return;
        }
        let update = node.endpoints.retain_serving(|endpoint, started_at| {
            serving.get(&*endpoint.0) == Some(&start_in_millis(started_at))
        });
        if update.entries.is_empty() {
            return;
        }
        for endpoint in &update.close_idle_connections_to {
            node.connections.close_idle(endpoint);
        }
        drop(guard);
        log!(
            "hot restart: {count} endpoints do not serve any more in version {version} of the other process's list",
            count = update.entries.len(),
            version = message.version,
        );
        self.handle(Event::EndpointsRemoved {
            entries: update.entries,
        });
    }
}

/// Returns the time of a process's start in the form of endpoint lists: in milliseconds; 0 if it started long ago.
fn start_in_millis(started_at: Option<Timestamp>) -> u64 {
    started_at.map_or(0, |at| at.as_nanos() / NANOS_PER_MILLI)
}
