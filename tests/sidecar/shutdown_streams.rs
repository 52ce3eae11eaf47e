//! Answers that take longer than a shutdown's longest deadline.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use std::time::Duration;

/// The deadline of all classes, and so the longest one.
const DEADLINE: Duration = Duration::from_secs(1);
/// Twice the limit of buffering, so that the response is streamed.
const FIRST_PART: usize = 128 << 10;
const LENGTH: usize = 3 * FIRST_PART;

/// Starts an endpoint that sends the first part of a response in a framing, and the rest once the gate opens.
fn start_endpoint(is_chunked: bool) -> (GateOpener, RawEndpoint) {
    let (opener, gate) = response_gate();
    let endpoint = RawEndpoint::start(move |head, stream| {
        read_body(head, stream).expect("the request's body");
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {LENGTH}")
        };
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes(),
        );
        let body = pattern(LENGTH);
        let (first, rest) = body.split_at(FIRST_PART);
        send(stream, &framed(&framing, first));
        gate.wait();
        send(stream, &framed(&framing, rest));
        send(stream, end_of_body(&framing));
    });
    (opener, endpoint)
}

/// Guards against a shutdown that ends the process while an endpoint's answer is being streamed (`review/6`).
#[test]
fn shutdown_passes_on_streamed_answers_to_their_end() {
    for is_chunked in [false, true] {
        let (opener, endpoint) = start_endpoint(is_chunked);
        let (mut sidecar, _discovery) = start_sidecar_with(&[endpoint.address], |config| {
            with_deadline(config, DEADLINE)
        });
        let mut client = connect(&sidecar);
        send(&mut client, post_request("unsafe", "1", "x").as_bytes());
        let head = read_head(&mut client).expect("the beginning of the answer");
        assert_eq!(status(&head), "200");
        sidecar.terminate();
        sidecar.wait_for_log("still open");
        opener.release_one();
        let body = read_body(&head, &mut client);
        assert!(
            body.as_deref() == Some(&pattern(LENGTH)),
            "chunked: {is_chunked}, {:?}",
            sidecar.log()
        );
        assert!(sidecar.wait().success());
    }
}

/// Guards requests whose deadline is longer than those of the settings in force: a reload to shorter deadlines and a
/// SIGTERM right after it do not end the process before they are answered.
#[test]
fn shutdown_after_a_reload_to_shorter_deadlines_answers_earlier_requests() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |_| {
        gate.wait();
        respond_ok("late")
    });
    let discovery = Discovery::start();
    let long = config_with_deadline(&discovery, &[&endpoint], 20 * DEADLINE);
    let path = temporary_file(&long.to_string());
    let mut sidecar = Sidecar::start_with_file(&path);
    let mut client = sidecar.client();
    client.write(&post_request("unsafe", "20", "x"));
    endpoint.next_request();
    std::fs::write(&path, with_deadline(long, DEADLINE).to_string()).expect("the file is written");
    sidecar.send_signal("HUP");
    wait_until("the settings are reloaded", || {
        sidecar.metric("config_reloads") == Some(1)
    });
    sidecar.terminate();
    sidecar.wait_for_log("still open");
    opener.release_one();
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), &*answer.body), (200, &b"late"[..]));
    assert!(sidecar.wait().success());
    std::fs::remove_file(path).expect("the file is removed");
}
