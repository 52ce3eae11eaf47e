//! Tests of warming endpoints in a tier whose warm endpoints are removed or fail: they are still sent their share.

use crate::host::*;
use balancer_sidecar::policy::*;

/// The time between two requests.
const REQUEST_INTERVAL_MS: u64 = 20;

/// Returns the entry of an endpoint that has just started.
fn just_started(host: &Host, name: &str) -> EndpointEntry {
    EndpointEntry {
        started_at: Some(host.now),
        ..endpoint_entry(name, "a", 0)
    }
}

/// Sends requests one after another. Attempts at the endpoints in `silent` time out, and all others are served. Returns
/// the endpoint of each attempt, in order.
fn attempt_targets(host: &mut Host, requests: usize, silent: &[&str]) -> Vec<EndpointId> {
    let mut targets = Vec::new();
    for _ in 0..requests {
        let (id, actions) = host.request(0);
        host.now = host.now + ms(REQUEST_INTERVAL_MS);
        let mut next_targets = send_targets(&actions);
        let mut attempt = 0;
        while let Some(endpoint) = next_targets.pop() {
            let is_silent = silent.iter().any(|name| endpoint == (*name).into());
            let (outcome, elapsed_ms) = if is_silent {
                (Outcome::TimedOut, 1000)
            } else {
                (Outcome::Served, 10)
            };
            next_targets = send_targets(&host.end_attempt(&id, attempt, outcome, elapsed_ms, 0.0));
            attempt += 1;
            targets.push(endpoint);
        }
        // Removes the request if it is queued. Queued requests would affect the next ones.
        host.handle(Event::ClientDisconnected { request: id });
    }
    targets
}

/// Returns how many attempts were sent to an endpoint.
fn count_attempts_at(targets: &[EndpointId], name: &str) -> usize {
    targets
        .iter()
        .filter(|endpoint| **endpoint == name.into())
        .count()
}

/// Guards a tier in which every endpoint was replaced within the warm-up time.
#[test]
fn tier_of_only_warming_endpoints_is_used() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    attempt_targets(&mut host, 100, &[]);
    let all: Vec<EndpointEntry> = (0..4)
        .map(|n| just_started(&host, &format!("e{n}")))
        .collect();
    host.apply_list(ListKind::Full, all);
    let targets = attempt_targets(&mut host, 200, &[]);
    assert!(
        targets.len() > 100,
        "only {} of 200 requests were sent",
        targets.len()
    );
    for name in ["e0", "e1", "e2", "e3"] {
        let share = count_attempts_at(&targets, name);
        assert!(
            (1..100).contains(&share),
            "{name} was sent {share} of 200 requests"
        );
    }
}

/// Guards warming endpoints next to a warm endpoint that no longer answers. Few requests are sent to that endpoint, but
/// the slow start of the others must still advance.
#[test]
fn warming_endpoints_beside_silent_one_are_used() {
    let mut host = Host::new(default_settings(), endpoint_entries(4));
    attempt_targets(&mut host, 100, &[]);
    let warming: Vec<EndpointEntry> = (1..4)
        .map(|n| just_started(&host, &format!("e{n}")))
        .collect();
    host.apply_list(ListKind::Changes, warming);
    let targets = attempt_targets(&mut host, 200, &["e0"]);
    let served = targets.len() - count_attempts_at(&targets, "e0");
    assert!(served > 80, "only {served} of 200 requests were served");
}

/// Guards slow start under overload: while a warm endpoint serves requests, rejected requests do not advance slow
/// start.
#[test]
fn rejections_under_overload_do_not_advance_slow_start() {
    let mut settings = default_settings();
    settings.classes.truncate(1);
    let mut host = Host::new(settings, endpoint_entries(2));
    attempt_targets(&mut host, 100, &[]);
    let warming = just_started(&host, "e1");
    host.apply_list(ListKind::Changes, vec![warming]);
    let (mut targets, mut rejected) = (Vec::new(), 0);
    for _ in 0..400 {
        host.now = host.now + ms(1);
        let (id, actions) = host.request(0);
        let request_targets = send_targets(&actions);
        rejected += count_final_answers(&actions, &id);
        if !request_targets.is_empty() {
            // The only warm endpoint reports an overload.
            host.end_attempt(&id, 0, Outcome::Served, 10, 9.0);
        }
        targets.extend(request_targets);
    }
    assert!(
        rejected > 100,
        "only {rejected} of 400 requests were rejected"
    );
    let sent_to_warming = count_attempts_at(&targets, "e1");
    assert!(
        sent_to_warming <= 1 + targets.len() / 2,
        "{sent_to_warming} of {} requests were sent to the warming endpoint",
        targets.len()
    );
}
