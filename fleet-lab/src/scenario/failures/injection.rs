//! Injection of faults into a fleet and its discovery service.

use crate::discovery::{EndpointEntry, EndpointStatus};
use crate::fault::{Fault, Impact};
use crate::scenario::fleet::RunningFleet;
use crate::topology::EndpointName;
use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time until discovery removes a failed machine. The platform checks each machine every second, and one failed check
/// is enough.
const DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time between draining an endpoint and stopping it. It equals the deadline of the calls that the endpoint may still
/// have in flight.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Time that a machine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Injects faults and ends them.
pub(super) struct FaultInjector<'a> {
    /// The fleet. It has one sidecar for each endpoint, in the order of the endpoints.
    pub fleet: &'a RunningFleet,
    /// All endpoints in their initial state.
    pub endpoints: &'a [EndpointEntry],
    /// The duration of a fault. The duration of rolling restarts depends on their waves instead.
    pub duration: Duration,
}

impl FaultInjector<'_> {
    /// Injects a fault and ends it. Returns the version of the last list change that it caused.
    pub fn inject(&self, fault: &Fault, impact: &Impact) -> u64 {
        match fault {
            Fault::Machines { .. } | Fault::Rack | Fault::Zone => self.fail_machines(impact),
            Fault::RollingRestart { wave, .. } => self.restart_in_waves(&impact.endpoints, *wave),
            Fault::RegionPartition => self.partition_region(impact),
            Fault::DiscoveryOutage => self.interrupt_discovery(),
        }
    }

    /// Makes machines fail, removes them from the list, and restarts them. The restarted machines warm up. Partitioned
    /// zones are healed just before the restart.
    fn fail_machines(&self, impact: &Impact) -> u64 {
        self.fleet.sidecars.make_unreachable(&impact.endpoints);
        self.partition_zones(impact);
        thread::sleep(DETECTION_DELAY);
        self.publish_status(&impact.endpoints, EndpointStatus::Deleted);
        thread::sleep(self.duration.saturating_sub(DETECTION_DELAY));
        self.heal_zones(impact);
        self.restart_machines(&impact.endpoints)
    }

    /// Restarts machines in waves. The machines of a wave are drained, stopped and restarted before the next wave.
    /// Restarted machines warm up.
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

    /// Partitions zones from discovery, and publishes one change meanwhile.
    fn partition_region(&self, impact: &Impact) -> u64 {
        self.partition_zones(impact);
        let version = self.publish_change_halfway();
        self.heal_zones(impact);
        version
    }

    /// Interrupts discovery, and publishes one change meanwhile.
    fn interrupt_discovery(&self) -> u64 {
        self.fleet.discovery.begin_outage();
        let version = self.publish_change_halfway();
        self.fleet.discovery.end_outage();
        version
    }

    /// Waits for the duration of a fault and publishes a change in the middle of it. Returns the version of the change.
    fn publish_change_halfway(&self) -> u64 {
        thread::sleep(self.duration / 2);
        let version = self.fleet.publish_change(0);
        thread::sleep(self.duration / 2);
        version
    }

    /// Restarts machines with their endpoints and sidecars. Returns the version that lists them as serving.
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

    /// Publishes a new status of these endpoints and returns its version. An endpoint that serves again has just
    /// started, and its entry says so.
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

    /// Returns the indices of these endpoints in the list. Their sidecars have the same indices in the fleet.
    fn indices(&self, endpoints: &[EndpointName]) -> Vec<usize> {
        let names: BTreeSet<&str> = endpoints.iter().map(EndpointName::as_str).collect();
        let entries = self.endpoints.iter().enumerate();
        entries
            .filter(|(_, entry)| names.contains(entry.name.as_str()))
            .map(|(index, _)| index)
            .collect()
    }
}

/// Returns the current Unix time in milliseconds.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
