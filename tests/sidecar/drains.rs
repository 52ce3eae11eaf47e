//! Draining a sidecar of its callers, and taking it back to work.

use crate::stubs::*;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// When the rule on drains looks: 4 s after the call.
const DUE: Duration = Duration::from_secs(4);

/// Guards the steps: the front is told no at once; callers that still come are served, then sent away one by one with
/// their answers, and idle connections close; a request under way keeps its answer; and all is as before after UNDRAIN.
#[test]
fn a_drained_sidecar_sends_its_callers_away_and_loses_none() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            let _ = released.lock().expect("the only one").recv();
        }
        respond_ok("x")
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let (mut busy, mut idle, mut waits) = (sidecar.client(), sidecar.client(), sidecar.client());
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    let mut front = sidecar.client();
    assert_eq!(front.exchange(READY_REQUEST).status(), 200);
    waits.write(&post_request("unsafe", "15", "x"));
    while endpoint.next_request().1.header("x-class") != Some("unsafe") {}
    assert!(sidecar.call_is_yes("DRAIN"));
    let begun = Instant::now();
    assert!(sidecar.call_is_yes("DRAIN"), "twice is as once");
    assert!(!sidecar.call_is_yes("READY"));
    assert_eq!(front.exchange(READY_REQUEST).status(), 503);
    assert_eq!(sidecar.client().exchange(READY_REQUEST).status(), 503);
    // Callers come back until they are told that their connection closes.
    loop {
        let answer = busy.exchange(&get_request("5"));
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            break;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it is never sent away");
    }
    assert!(busy.is_closed());
    assert!(
        idle.is_closed() && begun.elapsed() < DUE,
        "an idle one closes in time"
    );
    let mut late = sidecar.client();
    assert_eq!(
        late.exchange(&get_request("5")).status(),
        200,
        "one that comes all the same is served"
    );
    assert!(late.is_closed());
    assert_eq!(sidecar.metric("pending"), Some(1));
    release.send(()).expect("the endpoint waits");
    assert_eq!(waits.read().expect("its answer").status(), 200);
    assert!(waits.is_closed());

    assert!(sidecar.call_is_yes("UNDRAIN"));
    assert!(sidecar.call_is_yes("READY"));
    let mut client = sidecar.client();
    assert_eq!(client.exchange(READY_REQUEST).status(), 200);
    for _ in 0..3 {
        let answer = client.exchange(&get_request("5"));
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}

/// Guards UNDRAIN in the middle of a drain: the steps still to come do not, and one that was never drained is not.
#[test]
fn a_drain_that_is_called_off_closes_nothing_more() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert!(sidecar.call_is_yes("UNDRAIN") && sidecar.call_is_yes("READY"));
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(READY_REQUEST).status(), 200);
    assert!(sidecar.call_is_yes("DRAIN") && !sidecar.call_is_yes("READY"));
    assert!(sidecar.call_is_yes("UNDRAIN") && sidecar.call_is_yes("READY"));
    std::thread::sleep(Duration::from_secs(3)); // past all steps of the one called off
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    assert!(
        !sidecar.call_is_yes("DRAIN NOW")
            && !sidecar.call_is_yes("UNDRAIN e0")
            && sidecar.call_is_yes("READY")
    );
}

/// Guards a drained sidecar that is stopped: it ends in order.
#[test]
fn a_drained_sidecar_stops_as_any() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (mut sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(&get_request("5")).status(), 200);
    assert!(sidecar.call_is_yes("DRAIN"));
    sidecar.terminate();
    assert!(idle.is_closed());
    assert!(sidecar.wait().success());
}
