//! Tests of slow start: the number of requests that warming endpoints are sent.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Guards a warming endpoint against the combined load of many balancers. 200 balancers with few requests share 10
/// endpoints. One of these has just started, and serves 0.3 of its share at first.
#[test]
fn many_balancers_together_respect_slow_start() {
    let (balancer_count, requests) = (200, 40);
    let (mut sent_to_warming, mut sent_total) = (0, 0);
    for seed in 0..balancer_count {
        let settings = Settings {
            balancers: balancer_count as u32,
            peer_id: PeerId(seed as u32),
            ..default_settings()
        };
        let mut balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut actions = Vec::new();
        let mut entries = endpoint_entries(10);
        entries[3].started_at = Some(at(0));
        let list = Event::EndpointList {
            version: 1,
            kind: ListKind::Cached,
            entries: entries.into(),
        };
        balancer.handle(at(0), list, &mut actions);
        for request_number in 0..requests {
            let now = at(50 * request_number);
            let id = RequestId::from(format!("r{request_number}").as_str());
            let request = Request {
                id: id.clone(),
                class: ClassId(1),
                tenant: None,
                key: None,
                deadline: now + ms(2000),
                cost_hint: None,
                client_retry: false,
                write: false,
            };
            actions.clear();
            balancer.handle(now, Event::Request(request), &mut actions);
            let request_targets = send_targets(&actions);
            sent_total += request_targets.len();
            sent_to_warming += request_targets
                .iter()
                .filter(|e| **e == EndpointId::from("e3"))
                .count();
            let report = Some(LoadReport {
                queue_length: Some(0.0),
                ..LoadReport::default()
            });
            let elapsed = ms(20);
            let ended = AttemptEnd {
                request: id,
                attempt: 0,
                outcome: Outcome::Served,
                elapsed,
                request_ended: true,
                report,
            };
            balancer.handle(now + elapsed, Event::AttemptEnded(ended), &mut actions);
        }
    }
    let share = sent_to_warming as f64 / (sent_total as f64 / 10.0);
    assert!(
        share > 0.05 && share < 0.5,
        "{share} of an equal share, with 0.3 to 0.44 of the capacity"
    );
}

/// Guards a balancer whose preferred endpoints are warming up. Half of the tier has just started and may be sent only
/// few requests. The subset must therefore include warm endpoints.
#[test]
fn subset_includes_warm_endpoints() {
    let mut entries = endpoint_entries(12);
    entries
        .iter_mut()
        .take(6)
        .for_each(|e| e.started_at = Some(at(0)));
    let mut warm = std::collections::BTreeSet::new();
    let mut host = Host::new(default_settings(), entries);
    for _ in 0..60 {
        host.now = host.now + ms(10);
        let (id, actions) = host.request(1);
        let target = send_targets(&actions)[0].clone();
        host.end_attempt(&id, 0, Outcome::Served, 10, 0.2);
        if target.0[1..].parse::<usize>().expect("a number") >= 6 {
            warm.insert(target);
        }
    }
    assert!(warm.len() >= 2, "{warm:?}");
}

/// Guards a half warm endpoint while all others are throttled. Five seconds after its start it may be sent more than an
/// equal share, but not all requests that the others cannot take.
#[test]
fn slow_start_holds_while_warm_endpoints_are_throttled() {
    let mut entries = endpoint_entries(4);
    entries[3].started_at = Some(at(0));
    let mut host = Host::new(default_settings(), entries);
    host.now = at(5000);
    let (mut sent_to_warming, requests) = (0, 400);
    for _ in 0..requests {
        host.now = host.now + ms(10);
        let (id, actions) = host.request(1);
        for target in send_targets(&actions) {
            let queue_length = if target == EndpointId::from("e3") {
                0.0
            } else {
                5.0
            };
            sent_to_warming += usize::from(queue_length == 0.0);
            host.end_attempt(&id, 0, Outcome::Served, 5, queue_length);
        }
        host.handle(Event::ClientDisconnected { request: id });
    }
    assert!(
        sent_to_warming < requests / 2,
        "{sent_to_warming} of {requests} requests were sent to the warming endpoint"
    );
}

/// Guards against a slow start that never advances. The only endpoint of the balancer's zone is warming up and may be
/// sent its first request only after some sends to others. The other endpoints have failed some requests, for example
/// because of network faults, but must still be used.
#[test]
fn warming_endpoint_is_used_beside_faulty_ones() {
    let mut settings = default_settings();
    settings.prices.cross_zone = 0.1;
    let remote = |number: usize| endpoint_entry(&format!("e{number}"), "b", 0);
    let mut host = Host::new(settings, vec![remote(1), remote(2)]);
    for request_number in 0..12 {
        let (id, actions) = host.request(0);
        host.now = host.now + ms(50);
        let fails = request_number % 2 == 0;
        if !send_targets(&actions).is_empty() {
            let actions = host.end_attempt(
                &id,
                0,
                if fails {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Served
                },
                10,
                0.0,
            );
            if !send_targets(&actions).is_empty() {
                host.end_attempt(&id, 1, Outcome::ConnectFailed, 10, 0.0);
            }
        }
    }
    let warming = EndpointEntry {
        started_at: Some(host.now),
        ..endpoint_entry("e0", "a", 0)
    };
    host.apply_list(ListKind::Changes, vec![warming]);
    let mut targets: Vec<EndpointId> = Vec::new();
    for _ in 0..60 {
        let (id, actions) = host.request(0);
        host.now = host.now + ms(20);
        let request_targets = send_targets(&actions);
        if !request_targets.is_empty() {
            host.end_attempt(&id, 0, Outcome::Served, 10, 0.0);
        }
        targets.extend(request_targets);
    }
    assert!(
        targets.len() > 50,
        "only {} of 60 requests were sent",
        targets.len()
    );
    assert!(
        targets.contains(&"e0".into()),
        "the warming endpoint was sent no request"
    );
    let sent_to_warming = targets.iter().filter(|e| **e == "e0".into()).count();
    assert!(
        sent_to_warming < 40,
        "the warming endpoint was sent more than it can serve: {sent_to_warming} of {}",
        targets.len()
    );
}
