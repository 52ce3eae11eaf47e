//! Tests that look into the table.

use crate::policy::*;
use std::time::Duration;

fn entry(name: &str, readiness: Readiness) -> EndpointEntry {
    EndpointEntry {
        endpoint: name.into(),
        zone: "a".into(),
        kind: "m".into(),
        group: GroupId(0),
        readiness,
        size: 1.0,
        started_at: None,
    }
}

/// Guards against growth where endpoints are replaced all day: those that are gone give up their places, but not
/// while an attempt names them.
#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let second = Duration::from_secs(1);
    let class = Class::new("c", 1.0, Idempotency::Idempotent, second, second);
    let mut balancer = Balancer::new(Settings::new("a".into(), vec![class]), 1).expect("settings");
    let mut out = Vec::new();
    let mut tell = |b: &mut Balancer, ms: u64, event| {
        out.clear();
        b.handle(Timestamp::from_nanos(ms * 1_000_000), event, &mut out);
        out.iter()
            .any(|a| matches!(a, Action::Send { endpoint, .. } if endpoint.0.starts_with("first")))
    };
    let delta = |entries: Vec<EndpointEntry>| Event::EndpointList {
        version: 1,
        kind: ListKind::Changes,
        entries: entries.into(),
    };
    tell(
        &mut balancer,
        1,
        delta(vec![entry("first", Readiness::Serving)]),
    );
    let request = Request {
        id: "r".into(),
        class: ClassId(0),
        tenant: None,
        key: None,
        deadline: Timestamp::from_nanos(10_000_000_000),
        cost_hint: None,
        client_retry: false,
        write: false,
    };
    assert!(
        tell(&mut balancer, 2, Event::Request(request)),
        "it is sent"
    );
    let mut last = "first".to_string();
    for n in 0..500 {
        let next = format!("e{n}");
        tell(
            &mut balancer,
            3 + n,
            delta(vec![
                entry(&last, Readiness::Removed),
                entry(&next, Readiness::Serving),
            ]),
        );
        last = next;
    }
    assert!(
        balancer
            .indices_by_id
            .contains_key(&EndpointId::from("first")),
        "its attempt is out"
    );
    assert_eq!(balancer.indices_by_id.len(), 2);
    assert!(
        balancer.endpoints.len() <= 4,
        "{}",
        balancer.endpoints.len()
    );
    tell(
        &mut balancer,
        600,
        Event::ClientDisconnected {
            request: "r".into(),
        },
    );
    let ended = AttemptEnd {
        request: "r".into(),
        attempt: 0,
        outcome: Outcome::Cancelled,
        took: second,
        request_ended: true,
        report: None,
    };
    tell(&mut balancer, 601, Event::AttemptEnded(ended));
    tell(
        &mut balancer,
        602,
        Event::EndpointList {
            version: 2,
            kind: ListKind::Full,
            entries: [entry("z", Readiness::Serving)].into(),
        },
    );
    assert_eq!(balancer.indices_by_id.len(), 1);
}
