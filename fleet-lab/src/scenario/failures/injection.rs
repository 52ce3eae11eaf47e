//! Injection of faults into a fleet and its discovery, step by step.

use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::fault::{Fault, Impact};
use crate::scenario::fleet::RunningFleet;
use crate::topology::EndpointName;
use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time until discovery removes a failed machine: one failed check by a platform that checks each machine every
/// second.
const DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time between draining an endpoint and stopping it: the deadline of the calls that it may have taken.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Time that a machine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Injects faults and ends them.
pub(super) struct FaultInjector<'a> {
    /// The fleet, with one sidecar for each endpoint, in the same order.
    pub fleet: &'a RunningFleet,
    /// All endpoints as they were at the start.
    pub endpoints: &'a [EndpointEntry],
    /// How long a fault lasts. Rolling restarts take the time of their waves instead.
    pub duration: Duration,
}

impl FaultInjector<'_> {
    /// Injects a fault and ends it; returns the version of the last change that it caused.
    pub fn inject(&self, fault: &Fault, impact: &Impact) -> u64 {
        match fault {
            Fault::Machines { .. } | Fault::Rack | Fault::Zone => self.fail_machines(impact),
            Fault::RollingRestart { wave, .. } => self.restart_in_waves(&impact.endpoints, *wave),
            Fault::RegionPartition => self.partition_region(impact),
            Fault::DiscoveryOutage => self.interrupt_discovery(),
        }
    }

    /// Machines fail, are removed from the list, and come back warming up. Partitioned zones heal before that.
    fn fail_machines(&self, impact: &Impact) -> u64 {
        self.fleet.sidecars.make_unreachable(&impact.endpoints);
        self.partition_zones(impact);
        thread::sleep(DETECTION_DELAY);
        self.publish_status(&impact.endpoints, EndpointStatus::Deleted);
        thread::sleep(self.duration.saturating_sub(DETECTION_DELAY));
        self.heal_zones(impact);
        self.restart_machines(&impact.endpoints)
    }

    /// Each wave drains, stops and comes back warming up before the next one starts.
    fn restart_in_waves(&self, endpoints: &[EndpointName], wave: u32) -> u64 {
        let mut version = 0;
        for endpoints in endpoints.chunks(wave.max(1) as usize) {
            self.publish_status(endpoints, EndpointStatus::Draining);
            thread::sleep(DRAIN_TIME);
            self.fleet.sidecars.make_unreachable(endpoints);
            self.publish_status(endpoints, EndpointStatus::Deleted);
            thread::sleep(RESTART_TIME);
            version = self.restart_machines(endpoints);
        }
        version
    }

    /// Zones are partitioned from discovery while one change is published.
    fn partition_region(&self, impact: &Impact) -> u64 {
        self.partition_zones(impact);
        let version = self.publish_change_halfway();
        self.heal_zones(impact);
        version
    }

    /// Discovery is down while one change is published.
    fn interrupt_discovery(&self) -> u64 {
        self.fleet.discovery.begin_outage();
        let version = self.publish_change_halfway();
        self.fleet.discovery.end_outage();
        version
    }

    fn publish_change_halfway(&self) -> u64 {
        thread::sleep(self.duration / 2);
        let version = self.fleet.publish_change(0);
        thread::sleep(self.duration / 2);
        version
    }

    /// Restarts machines with their endpoints and sidecars.
    fn restart_machines(&self, endpoints: &[EndpointName]) -> u64 {
        self.fleet.sidecars.make_reachable(endpoints);
        self.fleet.sidecars.restart(&self.indices(endpoints));
        self.publish_status(endpoints, EndpointStatus::Serving)
    }

    fn partition_zones(&self, impact: &Impact) {
        for zone in &impact.partitioned_zones {
            self.fleet.discovery.partition_zone(zone);
        }
    }

    fn heal_zones(&self, impact: &Impact) {
        for zone in &impact.partitioned_zones {
            self.fleet.discovery.heal_zone(zone);
        }
    }

    /// Publishes another status of these endpoints. An endpoint that serves again has just started.
    fn publish_status(&self, endpoints: &[EndpointName], status: EndpointStatus) -> u64 {
        let since_ms = match status {
            EndpointStatus::Serving => now_ms(),
            EndpointStatus::Draining | EndpointStatus::Deleted => 0,
        };
        let entries = self
            .indices(endpoints)
            .into_iter()
            .map(|index| EndpointEntry {
                status,
                since_ms,
                ..self.endpoints[index].clone()
            });
        self.fleet.discovery.publish(entries.collect())
    }

    /// Returns the indices of these endpoints in the list, which are those of their sidecars in the fleet.
    fn indices(&self, endpoints: &[EndpointName]) -> Vec<usize> {
        let names: BTreeSet<&str> = endpoints.iter().map(EndpointName::as_str).collect();
        let entries = self.endpoints.iter().enumerate();
        entries
            .filter(|(_, entry)| names.contains(entry.name.as_str()))
            .map(|(index, _)| index)
            .collect()
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
