//! Requests that come again under the id of an earlier one.

use crate::stubs::*;
use std::sync::atomic::{AtomicBool, Ordering};

/// Guards against a request that must not run twice and is sent again under its id: after its client has left, or after
/// its answer. Its endpoint may have run it. A class that may be repeated is served again.
#[test]
fn unsafe_request_is_not_sent_again_under_its_id() {
    let endpoint = Endpoint::start(|message| {
        if message.header("x-hang").is_some() {
            EndpointAction::Hang
        } else {
            respond_ok("x")
        }
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    for (request, status_of_second) in [
        (post_request("unsafe", "10", "x"), 409),
        (get_request("10"), 200),
    ] {
        let mut leaving = sidecar.client();
        leaving.write(&request.replace("Host: s", "Host: s\r\nX-Hang: 1"));
        endpoint.next_request();
        drop(leaving);
        wait_until("the request is cancelled", || {
            sidecar.metric("pending") == Some(0)
        });
        let mut client = sidecar.client();
        assert_eq!(client.exchange(&request).status(), status_of_second);
    }
    assert_eq!(endpoint.take_request_count(), 1);

    let request = post_request("unsafe", "10", "x");
    let statuses = [0, 1].map(|_| sidecar.client().exchange(&request).status());
    assert_eq!(statuses, [200, 409]);
}

/// Guards a request that its endpoint has not run: it may come again under its id.
#[test]
fn unsafe_request_that_has_not_run_may_come_again_under_its_id() {
    let rejects = AtomicBool::new(true);
    let endpoint = Endpoint::start(move |message| {
        let is_unsafe = message.header("x-class") == Some("unsafe");
        if is_unsafe && rejects.swap(false, Ordering::Relaxed) {
            let rejection = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            EndpointAction::Respond(rejection.into())
        } else {
            respond_ok("x")
        }
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let request = post_request("unsafe", "2", "x");
    assert_eq!(sidecar.client().exchange(&request).status(), 503);
    wait_until("the request is served", || {
        sidecar.client().exchange(&get_request("5")); // shows that the endpoint serves again
        let status = sidecar.client().exchange(&request).status();
        assert!(matches!(status, 200 | 503), "{status}");
        status == 200
    });
}
