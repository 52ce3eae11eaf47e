//! Faults as they happen to a fleet and to discovery, step by step.

use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::fault::{Fault, Impact};
use crate::scenario::fleet::RunningFleet;
use crate::topology::EndpointName;
use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time until discovery is told that a machine has vanished: one failed check of a platform that checks each machine
/// every second.
const DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time that a draining endpoint is left before it ends: the deadline of the calls that it may have taken.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Time that a machine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Brings faults upon a fleet and takes them away again.
pub(super) struct FaultInjector<'a> {
    /// The fleet, with one sidecar for each endpoint, in the same order.
    pub fleet: &'a RunningFleet,
    /// All endpoints as they were at the start.
    pub endpoints: &'a [EndpointEntry],
    /// How long a fault lasts; restarts take the time of their waves.
    pub duration: Duration,
}

impl FaultInjector<'_> {
    /// Lets a fault happen and end; returns the version of the last change that came of it.
    pub fn inject(&self, fault: &Fault, impact: &Impact) -> u64 {
        match fault {
            Fault::Machines { .. } | Fault::Rack | Fault::Zone => self.lose_machines(impact),
            Fault::Restarts { wave, .. } => self.restart_in_waves(&impact.endpoints, *wave),
            Fault::RegionCut => self.cut_off(impact),
            Fault::DiscoveryOutage => self.stop_discovery(),
        }
    }

    /// Machines vanish, are missed, and come back cold. Zones that were silent are heard again before.
    fn lose_machines(&self, impact: &Impact) -> u64 {
        self.fleet.sidecars.make_unreachable(&impact.endpoints);
        self.partition_zones(impact);
        thread::sleep(DETECTION_DELAY);
        self.publish_status(&impact.endpoints, EndpointStatus::Deleted);
        thread::sleep(self.duration.saturating_sub(DETECTION_DELAY));
        self.heal_zones(impact);
        self.bring_back(&impact.endpoints)
    }

    /// Each wave drains, ends and comes back cold before the next begins.
    fn restart_in_waves(&self, endpoints: &[EndpointName], wave: u32) -> u64 {
        let mut version = 0;
        for endpoints in endpoints.chunks(wave.max(1) as usize) {
            self.publish_status(endpoints, EndpointStatus::Draining);
            thread::sleep(DRAIN_TIME);
            self.fleet.sidecars.make_unreachable(endpoints);
            self.publish_status(endpoints, EndpointStatus::Deleted);
            thread::sleep(RESTART_TIME);
            version = self.bring_back(endpoints);
        }
        version
    }

    /// Zones hear nothing of discovery while one change is published.
    fn cut_off(&self, impact: &Impact) -> u64 {
        self.partition_zones(impact);
        let version = self.publish_change_halfway();
        self.heal_zones(impact);
        version
    }

    /// Discovery is down while one change is published.
    fn stop_discovery(&self) -> u64 {
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

    /// Machines come back, and their endpoints and sidecars with them.
    fn bring_back(&self, endpoints: &[EndpointName]) -> u64 {
        self.fleet.sidecars.make_reachable(endpoints);
        self.fleet.sidecars.restart(&self.numbers(endpoints));
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

    /// Publishes another status for these endpoints; one that serves again has just started.
    fn publish_status(&self, endpoints: &[EndpointName], status: EndpointStatus) -> u64 {
        let since_ms = match status {
            EndpointStatus::Serving => now_ms(),
            EndpointStatus::Draining | EndpointStatus::Deleted => 0,
        };
        let entries = self
            .numbers(endpoints)
            .into_iter()
            .map(|number| EndpointEntry {
                status,
                since_ms,
                ..self.endpoints[number].clone()
            });
        self.fleet.discovery.publish(entries.collect())
    }

    /// The places of these endpoints in the list, which are those of their sidecars in the fleet.
    fn numbers(&self, endpoints: &[EndpointName]) -> Vec<usize> {
        let names: BTreeSet<&str> = endpoints.iter().map(EndpointName::as_str).collect();
        let places = self.endpoints.iter().enumerate();
        places
            .filter(|(_, entry)| names.contains(entry.name.as_str()))
            .map(|(number, _)| number)
            .collect()
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
