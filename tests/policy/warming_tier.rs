//! Warming endpoints in a tier whose warm endpoints are removed or fail: they are sent their share all the same.

use crate::host::*;
use balancer_sidecar::policy::*;

/// The time between two requests.
const INTERVAL_MS: u64 = 20;

/// Returns the entry of an endpoint that has just started.
fn just_started(host: &Host, name: &str) -> EndpointEntry {
    EndpointEntry {
        started_at: Some(host.now),
        ..endpoint_entry(name, "a", 0)
    }
}

/// Sends requests one after another. Attempts at the endpoints in `silent` time out, the others are served. Returns the
/// endpoint of each attempt, in order.
fn attempted_endpoints(host: &mut Host, requests: usize, silent: &[&str]) -> Vec<EndpointId> {
    let mut sent_requests = Vec::new();
    for _ in 0..requests {
        let (id, actions) = host.request(0);
        host.now = host.now + ms(INTERVAL_MS);
        let mut to = send_targets(&actions);
        let mut attempt = 0;
        while let Some(endpoint) = to.pop() {
            let is_silent = silent.iter().any(|name| endpoint == (*name).into());
            let (outcome, took) = if is_silent {
                (Outcome::TimedOut, 1000)
            } else {
                (Outcome::Served, 10)
            };
            to = send_targets(&host.end(&id, attempt, outcome, took, 0.0));
            attempt += 1;
            sent_requests.push(endpoint);
        }
        // Queued requests are removed, so that the queue has no effect.
        host.handle(Event::ClientDisconnected { request: id });
    }
    sent_requests
}

/// Returns how many attempts were sent to an endpoint.
fn count_of(sent_requests: &[EndpointId], name: &str) -> usize {
    sent_requests
        .iter()
        .filter(|endpoint| **endpoint == name.into())
        .count()
}

/// Guards a tier in which every endpoint was replaced within the warm-up time.
#[test]
fn a_tier_of_warming_endpoints_alone_is_used() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    attempted_endpoints(&mut host, 100, &[]);
    let all: Vec<EndpointEntry> = (0..4)
        .map(|n| just_started(&host, &format!("e{n}")))
        .collect();
    host.apply_list(ListKind::Full, all);
    let sent_requests = attempted_endpoints(&mut host, 200, &[]);
    assert!(
        sent_requests.len() > 100,
        "{} of 200 requests were sent",
        sent_requests.len()
    );
    for name in ["e0", "e1", "e2", "e3"] {
        let share = count_of(&sent_requests, name);
        assert!((1..100).contains(&share), "{name} was sent {share} of 200");
    }
}

/// Guards warming endpoints beside a warm one that no longer answers: hardly any request is sent to that one, and the
/// slow start of the others advances all the same.
#[test]
fn warming_endpoints_beside_a_silent_one_are_used() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    attempted_endpoints(&mut host, 100, &[]);
    let warming: Vec<EndpointEntry> = (1..4)
        .map(|n| just_started(&host, &format!("e{n}")))
        .collect();
    host.apply_list(ListKind::Changes, warming);
    let sent_requests = attempted_endpoints(&mut host, 200, &["e0"]);
    let served = sent_requests.len() - count_of(&sent_requests, "e0");
    assert!(served > 80, "{served} of 200 requests were served");
}

/// Guards slow start: beside warm endpoints that serve, rejected requests do not advance its clock.
#[test]
fn rejections_under_overload_do_not_advance_slow_start() {
    let mut settings = default_settings();
    settings.classes.truncate(1);
    let mut host = Host::new(settings, endpoint_entries(2));
    attempted_endpoints(&mut host, 100, &[]);
    let warming = just_started(&host, "e1");
    host.apply_list(ListKind::Changes, vec![warming]);
    let (mut sent_requests, mut rejected) = (Vec::new(), 0);
    for _ in 0..400 {
        host.now = host.now + ms(1);
        let (id, actions) = host.request(0);
        let to = send_targets(&actions);
        rejected += final_answers(&actions, &id);
        if !to.is_empty() {
            // The only warm endpoint is overloaded, and reports that.
            host.end(&id, 0, Outcome::Served, 10, 9.0);
        }
        sent_requests.extend(to);
    }
    assert!(rejected > 100, "{rejected} were rejected");
    let warming = count_of(&sent_requests, "e1");
    assert!(
        warming <= 1 + sent_requests.len() / 2,
        "{warming} of {} were sent to the warming endpoint",
        sent_requests.len()
    );
}
