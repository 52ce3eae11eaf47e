//! Simulated fleets with a discovery service: the states that their sidecars reach, and their counters.

#[path = "support/wait.rs"]
mod wait;

use balancer_sidecar::policy::DiscoveryMode;
use fleet_lab::discovery::{
    DiscoveryOptions, DiscoveryServer, EndpointEntry, EndpointStatus, ListChangeAction,
};
use fleet_lab::sidecar::configuration::{
    LoadReports, RequestClass, ResourceLimits, SidecarConfiguration, TierPosition,
};
use fleet_lab::sidecar::simulated::{ConvergenceTimes, FleetUsage, SimulatedFleet, SimulatedLoad};
use fleet_lab::topology::{EndpointName, ZoneName};
use std::time::{Duration, Instant};
use wait::wait_until;

const SIDECARS: u32 = 8;
const THREADS: usize = 2;
/// The longest time that a test waits for a state.
const TIMEOUT: Duration = Duration::from_secs(20);
/// A state must not be reached within this time.
const QUIET_TIME: Duration = Duration::from_millis(300);
const LOAD: SimulatedLoad = SimulatedLoad {
    calls_per_second: 20.0,
    mean_service_time: Duration::from_millis(5),
};

fn zone() -> ZoneName {
    "north".into()
}

/// Starts a discovery service that lists this number of serving endpoints.
fn start_discovery(endpoints: u32) -> DiscoveryServer {
    let options = DiscoveryOptions {
        calls_per_second: 400.0,
        queue_timeout: Duration::from_secs(2),
        heartbeat: Duration::from_secs(1),
        entries_per_second: None,
        on_change: ListChangeAction::SendChange,
        retained_changes: 16,
    };
    let endpoints = (0..endpoints)
        .map(|number| endpoint(number, EndpointStatus::Serving))
        .collect();
    DiscoveryServer::start(options, &[zone()], endpoints).expect("the discovery service starts")
}

fn endpoint(number: u32, status: EndpointStatus) -> EndpointEntry {
    EndpointEntry {
        name: format!("endpoint-{number}"),
        address: format!("127.0.0.1:{}", 20_000 + number)
            .parse()
            .expect("the address is valid"),
        zone: zone(),
        machine_type: "m2".into(),
        group: 0,
        status,
        weight: 1.0,
        since_ms: 0,
    }
}

fn configuration(
    number: u32,
    discovery: &DiscoveryServer,
    discovery_mode: DiscoveryMode,
) -> SidecarConfiguration {
    SidecarConfiguration {
        name: format!("sidecar-{number}"),
        zone: zone(),
        zones: vec![zone()],
        position: TierPosition {
            number,
            sidecars: SIDECARS,
            ..TierPosition::ONLY
        },
        discovery: discovery.address(&zone()),
        discovery_mode,
        cached_list: None,
        classes: vec![RequestClass {
            name: "look-up".into(),
            is_unsafe: false,
            priority_weight: 1.0,
            deadline: Duration::from_millis(300),
        }],
        load_reports: LoadReports::WithResponses,
        seed: u64::from(number) + 1,
        limits: ResourceLimits {
            memory_mb: 64,
            descriptors: 256,
        },
    }
}

/// Starts a fleet of [`SIDECARS`] sidecars without cached lists.
fn start_fleet(discovery: &DiscoveryServer, discovery_mode: DiscoveryMode) -> SimulatedFleet {
    let configurations: Vec<_> = (0..SIDECARS)
        .map(|number| configuration(number, discovery, discovery_mode))
        .collect();
    SimulatedFleet::start(&configurations, LOAD, THREADS).expect("the fleet starts")
}

fn assert_all_reached(times: &ConvergenceTimes) {
    assert_eq!(
        (times.reached_after.len(), times.missing),
        (SIDECARS as usize, 0)
    );
    assert!(times.reached_after.is_sorted());
}

fn assert_none_reached(times: &ConvergenceTimes) {
    assert_eq!(
        (times.reached_after.len(), times.missing),
        (0, SIDECARS as usize)
    );
}

/// Waits until all sidecars have an open watch, according to the fleet and to discovery.
fn wait_until_watching(fleet: &SimulatedFleet, discovery: &DiscoveryServer) {
    assert_all_reached(&fleet.wait_until_watching(Instant::now(), TIMEOUT));
    wait_until("each sidecar has an open watch", TIMEOUT, || {
        discovery.usage().watches_open == u64::from(SIDECARS)
    });
}

/// Waits until no call is pending. Only then the counts of served and unserved calls add up to that of all calls.
fn wait_until_calls_add_up(fleet: &SimulatedFleet) -> FleetUsage {
    wait_until("every call has ended", TIMEOUT, || {
        let usage = fleet.usage();
        usage.calls > 0 && usage.served + usage.unserved == usage.calls
    });
    fleet.usage()
}

fn assert_versions_reach_all_sidecars(discovery_mode: DiscoveryMode) {
    let discovery = start_discovery(8);
    let started = Instant::now();
    let fleet = start_fleet(&discovery, discovery_mode);
    assert_all_reached(&fleet.wait_until_ready(started, TIMEOUT));
    wait_until_watching(&fleet, &discovery);
    assert_none_reached(&fleet.wait_for_version(2, started, QUIET_TIME));
    for change in 0..3 {
        let published = Instant::now();
        let version = discovery.publish(vec![endpoint(change, EndpointStatus::Draining)]);
        assert_eq!(version, u64::from(change) + 2);
        assert_all_reached(&fleet.wait_for_version(version, published, TIMEOUT));
    }
    let usage = discovery.usage();
    assert_eq!(
        (usage.lists, usage.watches_opened),
        (u64::from(SIDECARS), u64::from(SIDECARS))
    );
    assert_eq!(fleet.usage().discovery_failures, 0);
    // The time of a version that was received before is zero.
    let earlier = fleet.wait_for_version(1, Instant::now(), TIMEOUT);
    assert_eq!(
        earlier.reached_after,
        vec![Duration::ZERO; SIDECARS as usize]
    );
}

#[test]
fn pushed_versions_reach_all_sidecars() {
    assert_versions_reach_all_sidecars(DiscoveryMode::Pushed);
}

#[test]
fn requested_versions_reach_all_sidecars() {
    assert_versions_reach_all_sidecars(DiscoveryMode::OnRequest);
}

#[test]
fn call_counts_add_up() {
    let discovery = start_discovery(16);
    let fleet = start_fleet(&discovery, DiscoveryMode::Pushed);
    wait_until("100 calls are served", TIMEOUT, || {
        fleet.usage().served >= 100
    });
    let usage = wait_until_calls_add_up(&fleet);
    assert!(usage.attempts >= usage.served, "{usage:?}");
    assert!(usage.max_attempts_at_an_endpoint >= 1, "{usage:?}");
    assert_eq!(usage.health_checks, 0);
    let (usage_before, seconds, usage_after) = (fleet.usage(), fleet.timeline(), fleet.usage());
    let calls: u64 = seconds.iter().map(|second| second.calls).sum();
    let served: u64 = seconds.iter().map(|second| second.served).sum();
    assert!((usage_before.calls..=usage_after.calls).contains(&calls));
    assert!((usage_before.served..=usage_after.served).contains(&served));
}

#[test]
fn cached_list_serves_calls_during_outage() {
    let discovery = start_discovery(4);
    discovery.begin_outage();
    let cached_list = Some(discovery.snapshot());
    let configurations: Vec<_> = (0..SIDECARS)
        .map(|number| SidecarConfiguration {
            cached_list: cached_list.clone(),
            ..configuration(number, &discovery, DiscoveryMode::OnRequest)
        })
        .collect();
    let fleet = SimulatedFleet::start(&configurations, LOAD, THREADS).expect("the fleet starts");
    assert_all_reached(&fleet.wait_until_ready(Instant::now(), TIMEOUT));
    assert_all_reached(&fleet.wait_for_version(1, Instant::now(), TIMEOUT));
    assert_none_reached(&fleet.wait_until_watching(Instant::now(), QUIET_TIME));
    wait_until("calls are served", TIMEOUT, || fleet.usage().served > 0);
}

/// Without a cached list, a sidecar is not ready before discovery has sent a list.
#[test]
fn first_call_waits_until_sidecar_is_ready() {
    let discovery = start_discovery(4);
    discovery.begin_outage();
    let fleet = start_fleet(&discovery, DiscoveryMode::Pushed);
    assert_none_reached(&fleet.wait_until_ready(Instant::now(), QUIET_TIME));
    assert_eq!(fleet.usage().calls, 0);
    discovery.end_outage();
    assert_all_reached(&fleet.wait_until_ready(Instant::now(), TIMEOUT));
    wait_until("calls are served", TIMEOUT, || fleet.usage().served > 0);
}

#[test]
fn restarted_sidecars_open_new_watches() {
    let discovery = start_discovery(4);
    let fleet = start_fleet(&discovery, DiscoveryMode::Pushed);
    wait_until_watching(&fleet, &discovery);
    fleet.restart(&[1, 4]);
    assert_all_reached(&fleet.wait_until_ready(Instant::now(), TIMEOUT));
    wait_until_watching(&fleet, &discovery);
    assert_eq!(discovery.usage().watches_opened, u64::from(SIDECARS) + 2);
    assert_eq!(fleet.usage().discovery_failures, 0);
    let version = discovery.publish(vec![endpoint(0, EndpointStatus::Draining)]);
    assert_all_reached(&fleet.wait_for_version(version, Instant::now(), TIMEOUT));
    wait_until_calls_add_up(&fleet);
}

fn assert_change_arrives_after_outage(discovery_mode: DiscoveryMode) {
    let discovery = start_discovery(4);
    let fleet = start_fleet(&discovery, discovery_mode);
    wait_until_watching(&fleet, &discovery);
    discovery.begin_outage();
    let version = discovery.publish(vec![endpoint(0, EndpointStatus::Draining)]);
    assert_none_reached(&fleet.wait_for_version(version, Instant::now(), QUIET_TIME));
    assert_none_reached(&fleet.wait_until_watching(Instant::now(), Duration::ZERO));
    let outage_end = Instant::now();
    discovery.end_outage();
    assert_all_reached(&fleet.wait_for_version(version, outage_end, TIMEOUT));
    wait_until_watching(&fleet, &discovery);
    assert!(fleet.usage().discovery_failures >= u64::from(SIDECARS));
}

#[test]
fn pushed_change_arrives_after_outage() {
    assert_change_arrives_after_outage(DiscoveryMode::Pushed);
}

#[test]
fn requested_change_arrives_after_outage() {
    assert_change_arrives_after_outage(DiscoveryMode::OnRequest);
}

#[test]
fn reloaded_sidecars_watch_new_discovery() {
    let (first, second) = (start_discovery(4), start_discovery(4));
    let fleet = start_fleet(&first, DiscoveryMode::Pushed);
    wait_until_watching(&fleet, &first);
    let reloaded = [0, 3, 5];
    fleet.reload(&reloaded, |index| {
        let number = u32::try_from(index).expect("the index fits into u32");
        configuration(number, &second, DiscoveryMode::Pushed)
    });
    assert_all_reached(&fleet.wait_until_watching(Instant::now(), TIMEOUT));
    wait_until("three watches have moved", TIMEOUT, || {
        (first.usage().watches_open, second.usage().watches_open) == (5, 3)
    });
    let version = second.publish(vec![endpoint(0, EndpointStatus::Draining)]);
    wait_until("the reloaded sidecars have the version", TIMEOUT, || {
        fleet
            .wait_for_version(version, Instant::now(), Duration::ZERO)
            .reached_after
            .len()
            == reloaded.len()
    });
}

#[test]
fn unreachable_endpoint_serves_no_calls() {
    let discovery = start_discovery(1);
    let fleet = start_fleet(&discovery, DiscoveryMode::Pushed);
    wait_until("calls are served", TIMEOUT, || fleet.usage().served >= 20);
    let only_endpoint: [EndpointName; 1] = ["endpoint-0".into()];
    fleet.make_unreachable(&only_endpoint);
    let unserved = fleet.usage().unserved;
    wait_until("more calls are not served", TIMEOUT, || {
        fleet.usage().unserved >= unserved + 10
    });
    let served = fleet.usage().served;
    wait_until("further calls are not served", TIMEOUT, || {
        fleet.usage().unserved >= unserved + 60
    });
    assert_eq!(fleet.usage().served, served);
    fleet.make_reachable(&only_endpoint);
    wait_until("calls are served again", TIMEOUT, || {
        fleet.usage().served >= served + 20
    });
    wait_until_calls_add_up(&fleet);
}

/// Attempts take 60 ms on average, so some are in flight when the endpoint becomes unreachable.
#[test]
fn unreachable_endpoint_loses_attempts_in_flight() {
    let discovery = start_discovery(1);
    let configurations: Vec<_> = (0..SIDECARS)
        .map(|number| configuration(number, &discovery, DiscoveryMode::Pushed))
        .collect();
    let slow = SimulatedLoad {
        mean_service_time: Duration::from_millis(60),
        ..LOAD
    };
    let fleet = SimulatedFleet::start(&configurations, slow, THREADS).expect("the fleet starts");
    wait_until("calls are served", TIMEOUT, || fleet.usage().served >= 20);
    fleet.make_unreachable(&["endpoint-0".into()]);
    let FleetUsage {
        served, unserved, ..
    } = fleet.usage();
    wait_until("more calls are not served", TIMEOUT, || {
        fleet.usage().unserved >= unserved + 60
    });
    // About ten attempts were in flight. Each thread may still have counted one that had already been answered.
    let served_since = fleet.usage().served - served;
    assert!(
        served_since <= THREADS as u64,
        "{served_since} calls were served after the endpoint became unreachable"
    );
}
