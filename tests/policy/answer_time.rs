//! How long requests are expected to take.

use crate::host::*;
use balancer_sidecar::policy::*;
use std::time::Duration;

/// A request of the class with worth 3 and a time of 2 s left, with this hint.
fn hinted(host: &mut Host, n: usize, hint: Duration) -> (RequestId, Vec<Action>) {
    let id = RequestId::from(format!("h{n}").as_str());
    let deadline = host.now + ms(2000);
    let request = Request {
        id: id.clone(),
        class: ClassId(1),
        tenant: None,
        key: None,
        deadline,
        cost_hint: Some(hint),
        client_retry: false,
        write: false,
    };
    let actions = host.tell(Event::Request(request));
    (id, actions)
}

#[test]
fn one_tiny_request_does_not_make_the_usual_time_endless() {
    let mut host = Host::new(settings(), listings(4));
    for n in 0..40 {
        host.now = host.now + ms(50);
        let hint = if n % 10 == 9 {
            Duration::from_nanos(1000)
        } else {
            ms(30)
        };
        let (id, actions) = hinted(&mut host, n, hint);
        assert_eq!(
            sends(&actions).len(),
            1,
            "call {n} is sent, not refused as nearly out of time"
        );
        host.end(&id, 0, Outcome::Served, 40, 0.0);
    }
}

#[test]
fn a_heavy_hint_counts_as_far_as_answer_times_go_with_hints() {
    for (rough, sent) in [(true, 1), (false, 0)] {
        let mut host = Host::new(settings(), listings(4));
        for n in 0..200 {
            host.now = host.now + ms(50);
            let hint = [5, 20, 40, 100, 300][n * 7 % 5];
            let (id, _) = hinted(&mut host, n, ms(hint));
            host.end(
                &id,
                0,
                Outcome::Served,
                if rough {
                    90 + (n as u64 * 13) % 20
                } else {
                    hint
                },
                0.0,
            );
        }
        // Forty times the mean hint: by the hint alone it takes longer than anybody waits.
        let (id, actions) = hinted(&mut host, 200, ms(3700));
        assert_eq!(
            (sends(&actions).len(), answered(&actions, &id)),
            (sent, 1 - sent),
            "{rough}"
        );
    }
}
