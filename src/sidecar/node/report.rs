//! The node's state and counters, for the log and the operators' metrics.

use super::state::Node;
use crate::policy::BalancerStatus;
#[cfg(test)]
use crate::sidecar::counters::Counters;
use crate::sidecar::counters::CountersLine;
use crate::sidecar::descriptors::OpenConnections;
use crate::sidecar::metrics::{EndpointCounts, ListMetrics};

/// The figures of the log's counters line.
pub struct NodeReport {
    /// The counters since the last line.
    pub counters: CountersLine,
    /// The balancer's current state.
    pub status: BalancerStatus,
    /// The state of the endpoint list.
    pub list: ListMetrics,
    /// The connections open now.
    pub connections: OpenConnections,
    /// The bytes that are reserved for connections, requests and bodies now.
    pub reserved_bytes: usize,
}

impl Node {
    /// Appends the metrics to `text`, one per line.
    pub fn write_metrics(&self, text: &mut String) {
        let status = self.balancer_status();
        let endpoints = EndpointCounts {
            listed: self.endpoints.len(),
            unavailable: status.unavailable,
            suspended: status.suspended,
        };
        self.metrics.write(&endpoints, &self.list_metrics(), text);
    }

    /// Returns the current state and the counters since the last report, and resets the counters.
    pub fn take_report(&mut self) -> NodeReport {
        let answered = self.metrics.answered();
        NodeReport {
            counters: self.counters.take(answered),
            status: self.balancer_status(),
            list: self.list_metrics(),
            connections: self.open_connections(),
            reserved_bytes: self.memory.process().reserved(),
        }
    }

    fn list_metrics(&self) -> ListMetrics {
        let status = self.endpoints.status();
        ListMetrics {
            version: self.endpoints.list_version().unwrap_or(0),
            unconfirmed_for: status.unconfirmed_for(self.clock.now()),
            watches_opened: status.watches_opened(),
            discovery_failures: status.failures(),
        }
    }

    /// Returns the counters since the last report.
    #[cfg(test)]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn balancer_status(&self) -> BalancerStatus {
        self.balancer.status(self.clock.now())
    }
}
