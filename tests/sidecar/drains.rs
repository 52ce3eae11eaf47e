//! `DRAIN` and `UNDRAIN`: the operators drain a sidecar of its callers, and take it back into service.

use crate::stubs::*;
use std::time::{Duration, Instant};

/// The time after the command by which a drain must have closed idle connections.
const IDLE_CLOSE_DEADLINE: Duration = Duration::from_secs(4);

/// From the command on the sidecar is not ready. Callers that still come are served. Later, busy connections close with
/// their responses, and idle ones close too. A request in flight is answered. `UNDRAIN` undoes all of this.
#[test]
fn drain_closes_connections_and_answers_requests() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            gate.wait();
        }
        respond_ok("x")
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let (mut busy, mut idle, mut waiting) = (sidecar.client(), sidecar.client(), sidecar.client());
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    let mut readiness_client = sidecar.client();
    assert_eq!(readiness_client.exchange(READY_REQUEST).status(), 200);
    waiting.write(&post_request("unsafe", "15", "x"));
    while endpoint.next_request().message.header("x-class") != Some("unsafe") {}
    assert!(sidecar.admin_answers_yes("DRAIN"));
    let started_at = Instant::now();
    assert!(
        sidecar.admin_answers_yes("DRAIN"),
        "a second command changes nothing"
    );
    assert!(!sidecar.admin_answers_yes("READY"));
    assert_eq!(readiness_client.exchange(READY_REQUEST).status(), 503);
    assert_eq!(sidecar.client().exchange(READY_REQUEST).status(), 503);
    // The caller sends requests until a response closes its connection.
    loop {
        let response = busy.exchange(&get_request("5"));
        assert_eq!(response.status(), 200);
        if response.header("connection") == Some("close") {
            break;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no response closes the connection"
        );
    }
    assert!(busy.wait_for_clean_close());
    assert!(
        idle.wait_for_clean_close() && started_at.elapsed() < IDLE_CLOSE_DEADLINE,
        "an idle connection closes in time"
    );
    let mut late = sidecar.client();
    assert_eq!(
        late.exchange(&get_request("5")).status(),
        200,
        "a late caller is served"
    );
    assert!(late.wait_for_clean_close());
    assert_eq!(sidecar.metric("pending"), Some(1));
    opener.release_one();
    assert_eq!(waiting.read().expect("a response").status(), 200);
    assert!(waiting.wait_for_clean_close());

    assert!(sidecar.admin_answers_yes("UNDRAIN"));
    assert!(sidecar.admin_answers_yes("READY"));
    let mut client = sidecar.client();
    assert_eq!(client.exchange(READY_REQUEST).status(), 200);
    for _ in 0..3 {
        let response = client.exchange(&get_request("5"));
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, None)
        );
    }
}

/// `UNDRAIN` cancels the remaining steps of a drain. Without a drain it changes nothing.
#[test]
fn undrain_cancels_remaining_drain_steps() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert!(sidecar.admin_answers_yes("UNDRAIN") && sidecar.admin_answers_yes("READY"));
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(READY_REQUEST).status(), 200);
    assert!(sidecar.admin_answers_yes("DRAIN") && !sidecar.admin_answers_yes("READY"));
    assert!(sidecar.admin_answers_yes("UNDRAIN") && sidecar.admin_answers_yes("READY"));
    std::thread::sleep(Duration::from_secs(3)); // past all steps of the cancelled drain
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    assert!(
        !sidecar.admin_answers_yes("DRAIN NOW")
            && !sidecar.admin_answers_yes("UNDRAIN e0")
            && sidecar.admin_answers_yes("READY")
    );
}

/// A drained sidecar shuts down like any other.
#[test]
fn drained_sidecar_shuts_down_on_sigterm() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (mut sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    assert!(sidecar.admin_answers_yes("DRAIN"));
    sidecar.terminate();
    assert!(idle.wait_for_clean_close());
    assert!(sidecar.wait().success());
}
