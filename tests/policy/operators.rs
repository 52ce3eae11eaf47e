//! Endpoints that the operators take out and back in.

use crate::host::*;
use balancer_sidecar::policy::*;

fn ban(host: &mut Host, endpoint: &str, out: bool) -> Vec<Action> {
    let endpoint = endpoint.into();
    host.tell(if out {
        Event::EndpointDisabled(endpoint)
    } else {
        Event::EndpointEnabled(endpoint)
    })
}

/// Guards the operators' word in picks: it holds whatever lists say, is not undone by half, and only for that one.
#[test]
fn an_endpoint_that_is_taken_out_gets_nothing_whatever_lists_say() {
    let mut host = Host::new(settings(), listings(3));
    assert!(got(&mut host, "e1", 60) > 0);
    assert_eq!(
        closes(&ban(&mut host, "e1", true)),
        ["e1".into()],
        "its idle connections go"
    );
    assert_eq!(got(&mut host, "e1", 60), 0);
    host.members(ListKind::Full, listings(3));
    let restarted = EndpointEntry {
        started_at: Some(at(0)),
        ..listing("e1", "a", 0)
    };
    host.members(ListKind::Changes, vec![restarted]);
    assert_eq!(got(&mut host, "e1", 60), 0);
    host.members(
        ListKind::Full,
        listings(3)
            .into_iter()
            .filter(|l| l.endpoint != "e1".into())
            .collect(),
    );
    host.members(ListKind::Full, listings(3));
    assert_eq!(
        got(&mut host, "e1", 60),
        0,
        "also where it was missing for a while"
    );
    ban(&mut host, "e1", true);
    ban(&mut host, "e1", false);
    assert!(got(&mut host, "e1", 200) > 0, "one call back undoes both");
    ban(&mut host, "never-listed", false);
    assert!(
        host.balancer.is_listed_or_disabled(&"e1".into())
            && !host.balancer.is_listed_or_disabled(&"never-listed".into())
    );
}

/// Guards held calls and retries: neither finds its way to an endpoint that has been taken out meanwhile.
#[test]
fn held_calls_and_retries_keep_off_an_endpoint_that_is_taken_out() {
    let mut host = Host::new(settings(), listings(2));
    assert!(got(&mut host, "e0", 20) > 0);
    ban(&mut host, "e1", true);
    let (id, actions) = host.request(0);
    assert_eq!(sends(&actions), ["e0".into()]);
    assert!(
        sends(&host.end(&id, 0, Outcome::ConnectFailed, 1, 0.0)).is_empty(),
        "no retry at e1"
    );
    ban(&mut host, "e0", true);
    let (_, actions) = host.request(0);
    assert!(sends(&actions).is_empty(), "held");
    let mut back = ban(&mut host, "e0", false);
    for _ in 0..20 {
        host.now = host.now + ms(10);
        back.extend(host.tell(Event::Timer { token: 0 }));
    }
    assert!(!sends(&back).is_empty(), "it goes once one is back");
    assert!(sends(&back).iter().all(|e| *e == "e0".into()));
}

/// Guards probes: none goes to an endpoint that is taken out.
#[test]
fn an_endpoint_that_is_taken_out_is_not_probed() {
    let mut host = health_check(0.0);
    ban(&mut host, "e1", true);
    let mut asked = Vec::new();
    for _ in 0..60 {
        host.now = host.now + ms(200);
        let (id, actions) = host.request(0);
        asked.extend(probed(&actions));
        if !sends(&actions).is_empty() {
            asked.extend(probed(&host.end(&id, 0, Outcome::Served, 10, 0.0)));
        }
    }
    assert!(
        !asked.is_empty() && asked.iter().all(|e| *e != "e1".into()),
        "{asked:?}"
    );
}

/// Guards an endpoint that comes back: it counts as cold though the list still tells of an old start, and it gets its
/// first call soon, as the operators look for it.
#[test]
fn an_endpoint_that_comes_back_is_cold_and_used_soon() {
    let mut host = Host::new(settings(), listings(4));
    let before = got(&mut host, "e1", 200);
    ban(&mut host, "e1", true);
    got(&mut host, "e1", 20);
    ban(&mut host, "e1", false);
    assert!(got(&mut host, "e1", 20) > 0, "soon");
    let after = got(&mut host, "e1", 200);
    assert!(
        after > 0 && after * 3 < before * 2,
        "{after} of 200, {before} when it was warm"
    );
    host.members(ListKind::Full, listings(4));
    let later = got(&mut host, "e1", 200);
    assert!(
        later * 5 < before * 6,
        "an old list does not make it warm: {later}, {before}"
    );
    // Not listed as serving when it is called back, it has its turn once it is.
    let mut host = Host::new(settings(), listings(4));
    got(&mut host, "e1", 40);
    ban(&mut host, "e1", true);
    let gone = EndpointEntry {
        readiness: Readiness::Removed,
        ..listing("e1", "a", 0)
    };
    host.members(ListKind::Changes, vec![gone]);
    ban(&mut host, "e1", false);
    assert_eq!(got(&mut host, "e1", 20), 0);
    host.members(
        ListKind::Changes,
        vec![EndpointEntry {
            started_at: Some(host.now),
            ..listing("e1", "a", 0)
        }],
    );
    assert!(got(&mut host, "e1", 60) > 0);
}

/// Guards the return against a copy so quiet that it always goes to the endpoint that it knows as the quickest.
#[test]
fn an_endpoint_that_comes_back_is_used_beside_a_quicker_one() {
    let mut host = Host::new(settings(), listings(2));
    for _ in 0..100 {
        host.now = host.now + ms(20);
        let (id, actions) = host.request(0);
        // e1 is so much slower that it is left alone in the end.
        let took = if sends(&actions) == ["e1".into()] {
            100
        } else {
            10
        };
        host.end(&id, 0, Outcome::Served, took, 0.0);
    }
    ban(&mut host, "e1", true);
    ban(&mut host, "e1", false);
    let (_, actions) = host.request(0);
    assert_eq!(sends(&actions), ["e1".into()]);
}
