//! Tests of the endpoint table.

use crate::policy::*;
use std::time::Duration;

fn entry(name: &str, readiness: Readiness) -> EndpointEntry {
    EndpointEntry {
        endpoint: name.into(),
        zone: "a".into(),
        machine_type: "m".into(),
        group: GroupId(0),
        readiness,
        weight: 1.0,
        started_at: None,
    }
}

fn list(version: u64, kind: ListKind, entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointList {
        version,
        kind,
        entries: entries.into(),
    }
}

fn changes(entries: Vec<EndpointEntry>) -> Event {
    list(1, ListKind::Changes, entries)
}

fn request(id: &str) -> Request {
    Request {
        id: id.into(),
        class: ClassId(0),
        tenant: None,
        key: None,
        deadline: Timestamp::from_nanos(10_000_000_000),
        cost_hint: None,
        client_retry: false,
        write: false,
    }
}

fn new_balancer() -> Balancer {
    let second = Duration::from_secs(1);
    let class = Class::new("c", 1.0, Idempotency::Idempotent, second, second);
    Balancer::new(Settings::new("a".into(), vec![class]), 1).expect("valid settings")
}

/// Handles an event, and returns the endpoints that requests were sent to.
fn handle(balancer: &mut Balancer, now_ms: u64, event: Event) -> Vec<EndpointId> {
    let mut actions = Vec::new();
    let now = Timestamp::from_nanos(now_ms * 1_000_000);
    balancer.handle(now, event, &mut actions);
    let send_target = |action| match action {
        Action::Send { endpoint, .. } => Some(endpoint),
        _ => None,
    };
    actions.into_iter().filter_map(send_target).collect()
}

/// Guards against unbounded growth of the table when endpoints are replaced continually. The index of a removed
/// endpoint is reused, but not while an attempt refers to the endpoint.
#[test]
fn removed_endpoints_without_attempts_leave_the_table() {
    let mut balancer = new_balancer();
    let first_listed = changes(vec![entry("first", Readiness::Serving)]);
    handle(&mut balancer, 1, first_listed);
    let sent_to = handle(&mut balancer, 2, Event::Request(request("r")));
    assert!(
        sent_to.iter().any(|id| id.0.starts_with("first")),
        "the request is sent to the first endpoint"
    );
    let mut last = "first".to_string();
    for number in 0..500 {
        let next = format!("e{number}");
        let replaced = vec![
            entry(&last, Readiness::Removed),
            entry(&next, Readiness::Serving),
        ];
        handle(&mut balancer, 3 + number, changes(replaced));
        last = next;
    }
    assert!(
        balancer.endpoints.index_of(&"first".into()).is_some(),
        "the first endpoint has an attempt in flight"
    );
    assert_eq!(balancer.endpoints.len(), 2);
    let slots = balancer.endpoints.indices().len();
    assert!(slots <= 4, "{slots} indices are in use or free");

    let disconnected = Event::ClientDisconnected {
        request: "r".into(),
    };
    handle(&mut balancer, 600, disconnected);
    let ended = AttemptEnd {
        request: "r".into(),
        attempt: 0,
        outcome: Outcome::Cancelled,
        elapsed: Duration::from_secs(1),
        request_ended: true,
        report: None,
    };
    handle(&mut balancer, 601, Event::AttemptEnded(ended));
    let full_list = list(2, ListKind::Full, vec![entry("z", Readiness::Serving)]);
    handle(&mut balancer, 602, full_list);
    assert_eq!(balancer.endpoints.len(), 1);
}
