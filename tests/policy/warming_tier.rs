//! Cold endpoints in a tier whose warm ones are gone or fail: they get their share of the requests all the same.

use crate::host::*;
use balancer_sidecar::policy::*;

/// Requests come this far apart.
const APART_MS: u64 = 20;

/// An endpoint that has just started.
fn started(host: &Host, name: &str) -> EndpointEntry {
    EndpointEntry {
        started_at: Some(host.now),
        ..listing(name, "a", 0)
    }
}

/// Has `requests` come one after another. Endpoints named in `silent` let each attempt time out, the others serve it.
/// Tells the endpoint of each attempt, in their order.
fn attempts(host: &mut Host, requests: usize, silent: &[&str]) -> Vec<EndpointId> {
    let mut sent = Vec::new();
    for _ in 0..requests {
        let (id, actions) = host.request(0);
        host.now = host.now + ms(APART_MS);
        let mut to = sends(&actions);
        let mut attempt = 0;
        while let Some(endpoint) = to.pop() {
            let is_silent = silent.iter().any(|name| endpoint == (*name).into());
            let (outcome, took) = if is_silent {
                (Outcome::TimedOut, 1000)
            } else {
                (Outcome::Served, 10)
            };
            to = sends(&host.end(&id, attempt, outcome, took, 0.0));
            attempt += 1;
            sent.push(endpoint);
        }
        // Held ones leave, which keeps the queue out of this.
        host.tell(Event::ClientDisconnected { request: id });
    }
    sent
}

fn of(sent: &[EndpointId], name: &str) -> usize {
    sent.iter()
        .filter(|endpoint| **endpoint == name.into())
        .count()
}

/// Guards a tier of which every endpoint was replaced within the time that it takes one to get warm.
#[test]
fn a_tier_that_is_cold_throughout_is_used() {
    let mut host = Host::new(settings(), listings(4));
    attempts(&mut host, 100, &[]);
    let all: Vec<EndpointEntry> = (0..4).map(|n| started(&host, &format!("e{n}"))).collect();
    host.members(ListKind::Full, all);
    let sent = attempts(&mut host, 200, &[]);
    assert!(sent.len() > 100, "{} of 200 requests were sent", sent.len());
    for name in ["e0", "e1", "e2", "e3"] {
        let share = of(&sent, name);
        assert!((1..100).contains(&share), "{name} got {share} of 200");
    }
}

/// Guards cold endpoints beside a warm one that has fallen silent: hardly anything is sent to that one, and the others'
/// turns come all the same.
#[test]
fn cold_endpoints_beside_a_silent_one_are_used() {
    let mut host = Host::new(settings(), listings(4));
    attempts(&mut host, 100, &[]);
    let cold: Vec<EndpointEntry> = (1..4).map(|n| started(&host, &format!("e{n}"))).collect();
    host.members(ListKind::Changes, cold);
    let sent = attempts(&mut host, 200, &["e0"]);
    let served = sent.len() - of(&sent, "e0");
    assert!(served > 80, "{served} of 200 requests were served");
}

/// Guards the ramp: beside warm endpoints that serve, what is refused in overload brings no turn nearer.
#[test]
fn refusals_in_overload_do_not_hurry_the_ramp() {
    let mut set = settings();
    set.classes.truncate(1);
    let mut host = Host::new(set, listings(2));
    attempts(&mut host, 100, &[]);
    let cold = started(&host, "e1");
    host.members(ListKind::Changes, vec![cold]);
    let (mut sent, mut refused) = (Vec::new(), 0);
    for _ in 0..400 {
        host.now = host.now + ms(1);
        let (id, actions) = host.request(0);
        let to = sends(&actions);
        refused += answered(&actions, &id);
        if !to.is_empty() {
            // The only warm endpoint is full of work, and says so.
            host.end(&id, 0, Outcome::Served, 10, 9.0);
        }
        sent.extend(to);
    }
    assert!(refused > 100, "{refused} were refused");
    let cold = of(&sent, "e1");
    assert!(
        cold <= 1 + sent.len() / 2,
        "{cold} of {} went to the cold one",
        sent.len()
    );
}
