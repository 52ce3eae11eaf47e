//! Tests of subsets: the endpoints that a balancer uses, and the requests that it sends to other zones.

use crate::host::*;
use balancer_sidecar::policy::*;

#[test]
fn subset_grows_with_arrival_rate() {
    let settings = Settings {
        balancers: 4,
        ..default_settings()
    };
    let mut host = Host::new(settings, endpoint_entries(20));
    let mut used = std::collections::BTreeSet::new();
    for request_number in 0..400 {
        host.now = host.now + ms(25);
        let (id, actions) = host.request(1);
        let request_targets = send_targets(&actions);
        assert_eq!(request_targets.len(), 1);
        host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
        if request_number >= 300 {
            used.insert(request_targets[0].clone());
        }
    }
    assert!(
        used.len() >= 12,
        "a balancer with 40 requests per second uses only {} endpoints",
        used.len()
    );
}

/// Returns the endpoints used by each of 40 balancers with few requests.
fn used_by_balancers(entries: &[EndpointEntry]) -> Vec<std::collections::BTreeSet<EndpointId>> {
    let used_by = |number| {
        let settings = Settings {
            balancers: 40,
            peer_id: PeerId(number),
            ..default_settings()
        };
        let mut host = Host::new(settings, entries.to_vec());
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            host.now = host.now + ms(1000);
            let (id, actions) = host.request(1);
            used.extend(send_targets(&actions));
            host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
        }
        used
    };
    (0..40).map(used_by).collect()
}

/// Guards the balance of subsets over the endpoints, and their stability when an endpoint is removed.
#[test]
fn subsets_are_balanced_and_stable() {
    let entries = endpoint_entries(12);
    let used = used_by_balancers(&entries);
    for entry in &entries {
        let balancer_count = used
            .iter()
            .filter(|endpoints| endpoints.contains(&entry.endpoint))
            .count();
        assert!(
            (6..=7).contains(&balancer_count),
            "{:?} is in {balancer_count} subsets",
            entry.endpoint
        );
    }
    // Most members stay in their subsets after one endpoint is removed.
    let used_without_first = used_by_balancers(&entries[1..]);
    let kept = used
        .iter()
        .zip(&used_without_first)
        .map(|(before, after)| before.intersection(after).count())
        .sum::<usize>();
    assert!(kept >= 40, "only {kept} of 80 members kept");
}

/// Returns how many endpoints of its own zone and of the other zone a balancer uses, with a price for requests to
/// another zone.
fn count_used_by_zone(cross_zone: f64) -> [usize; 2] {
    let prices = Prices {
        cross_zone,
        ..Prices::default()
    };
    let entries =
        (0..12).map(|i| endpoint_entry(&format!("e{i}"), if i % 2 == 0 { "a" } else { "b" }, 0));
    let mut host = Host::new(
        Settings {
            prices,
            zones: 2,
            ..default_settings()
        },
        entries.collect(),
    );
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..300 {
        host.now = host.now + ms(20);
        let (id, actions) = host.request(1);
        used.extend(
            send_targets(&actions)
                .iter()
                .map(|e| e.0[1..].parse::<usize>().expect("a number")),
        );
        host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
    }
    [
        used.iter().filter(|number| *number % 2 == 0).count(),
        used.iter().filter(|number| *number % 2 == 1).count(),
    ]
}

/// Guards the price of requests to another zone: the subset has both zones only if the price is low.
#[test]
fn high_cross_zone_price_keeps_the_subset_in_its_zone() {
    assert_eq!(count_used_by_zone(0.015)[1], 0);
    let [own, other] = count_used_by_zone(0.005);
    assert!(
        other >= 3 && own >= 3,
        "{own} endpoints used in its own zone, {other} in the other"
    );
}

/// Returns how many of 400 requests are sent to the own zone, to the other zone, and not at all, if the endpoints of
/// each zone report the given queue length.
fn count_sent_by_zone(own_queue_length: f64, other_queue_length: f64) -> [usize; 3] {
    let prices = Prices {
        cross_zone: 0.03,
        ..Prices::default()
    };
    let entries =
        (0..8).map(|i| endpoint_entry(&format!("e{i}"), if i < 4 { "a" } else { "b" }, 0));
    let mut host = Host::new(
        Settings {
            prices,
            zones: 2,
            ..default_settings()
        },
        entries.collect(),
    );
    let mut counts = [0; 3];
    for request_number in 0..600 {
        host.now = host.now + ms(10);
        let (id, actions) = host.request(1);
        let is_remote = send_targets(&actions)
            .first()
            .map(|e| e.0[1..].parse::<usize>().expect("a number") >= 4);
        if request_number >= 200 {
            counts[is_remote.map_or(2, usize::from)] += 1;
        }
        if let Some(is_remote) = is_remote {
            host.end_attempt(
                &id,
                0,
                Outcome::Served,
                9,
                if is_remote {
                    other_queue_length
                } else {
                    own_queue_length
                },
            );
        }
        host.handle(Event::ClientDisconnected { request: id });
    }
    counts
}

/// Guards requests to another zone: they are sent there only while the own zone is overloaded and the other is clear.
#[test]
fn requests_leave_overloaded_zone_only_for_clear_one() {
    let [own, other, none] = count_sent_by_zone(5.0, 0.0);
    assert!(
        other > own && none < 100,
        "own zone overloaded: {own} sent to the own zone, {other} to the other, {none} not sent"
    );
    let [own, other, none] = count_sent_by_zone(5.0, 5.0);
    assert!(
        other < 40 && none > 200,
        "both zones overloaded: {own} sent to the own zone, {other} to the other, {none} not sent"
    );
    assert_eq!(
        count_sent_by_zone(0.0, 0.0)[1],
        0,
        "requests sent to the other zone without overload"
    );
}

/// Returns the highest number of attempts in flight outside an overloaded zone, with a price for new connections.
fn max_remote_in_flight(handshake: f64) -> usize {
    let prices = Prices {
        cross_zone: 0.03,
        handshake,
        ..Prices::default()
    };
    let entries =
        (0..8).map(|i| endpoint_entry(&format!("e{i}"), if i < 4 { "a" } else { "b" }, 0));
    let mut host = Host::new(
        Settings {
            prices,
            zones: 2,
            ..default_settings()
        },
        entries.collect(),
    );
    let (mut in_flight, mut max_in_flight) = (0, 0);
    for _ in 0..200 {
        host.now = host.now + ms(2);
        let (id, actions) = host.request(1);
        for target in send_targets(&actions) {
            if target.0[1..].parse::<usize>().expect("a number") < 4 {
                host.end_attempt(&id, 0, Outcome::Served, 1, 5.0);
            } else {
                in_flight += 1; // the attempt never ends
            }
        }
        max_in_flight = max_in_flight.max(in_flight);
    }
    max_in_flight
}

/// Guards against new connections for each request to another zone: with a price for connections, only one such request
/// is in flight at a time.
#[test]
fn handshake_price_limits_requests_to_other_zones() {
    assert_eq!(max_remote_in_flight(0.08), 1);
    assert!(max_remote_in_flight(0.0) > 1);
}
