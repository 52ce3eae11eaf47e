//! Long responses whose endpoints send the head in time and parts of the body late.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// The latency objective of all classes, at which an attempt times out.
const OBJECTIVE: Duration = Duration::from_millis(600);
/// The time for which a client waits.
const DEADLINE: &str = "4";
/// The pause of an endpoint, which ends well after the objective.
const PAUSE: Duration = Duration::from_millis(1_000);
/// The length of a response, longer than what is buffered.
const LENGTH: usize = 100_958;
/// The length of the part that comes before the pause, where there is one.
const EARLY_PART: usize = 4 << 10;

/// Starts an endpoint that sends the head and the first `early` bytes of its responses at once, and the rest after
/// [`PAUSE`].
fn start_endpoint(framing: &'static str, early: usize) -> RawEndpoint {
    RawEndpoint::start(move |head, stream| {
        read_body(head, stream).expect("the request's body");
        let body = pattern(LENGTH);
        let (first, rest) = body.split_at(early);
        send(
            stream,
            format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes(),
        );
        if !first.is_empty() {
            send(stream, &framed(framing, first));
        }
        std::thread::sleep(PAUSE);
        let end = [&framed(framing, rest)[..], end_of_body(framing)].concat();
        let _ = stream.get_mut().write_all(&end); // fails if it was cut off
        if framing.starts_with("Connection") {
            let _ = stream.get_mut().shutdown(Shutdown::Write);
        }
    })
}

/// Guards a long answer against being cut off at the latency objective because its body, or the rest of it, comes later than
/// its head (issue 48).
fn assert_late_body_is_passed_on(framing: &'static str) {
    for early in [0, EARLY_PART] {
        for class in ["safe", "unsafe"] {
            let endpoint = start_endpoint(framing, early);
            let (sidecar, _discovery) = start_sidecar_with(&[endpoint.address], |mut config| {
                for class in config["settings"]["categories"]
                    .as_array_mut()
                    .expect("a list")
                {
                    class["objectiveNs"] = json!(OBJECTIVE.as_nanos() as u64);
                }
                config
            });
            let mut client = connect(&sidecar);
            let request = match class {
                "safe" => get_request(DEADLINE),
                _ => post_request("unsafe", DEADLINE, "x"),
            };
            send(&mut client, request.as_bytes());
            let case = format!("{framing}, {class}, {early} bytes before the pause");
            let head = read_head(&mut client).expect("an answer");
            assert_eq!(status(&head), "200", "{case}");
            assert!(
                read_body(&head, &mut client).as_deref() == Some(&pattern(LENGTH)),
                "{case}"
            );
            assert_eq!(endpoint.heads.try_iter().count(), 1, "{case}");
        }
    }
}

/// Guards a long answer of declared length against being cut off at the latency objective (issue 48).
#[test]
fn late_body_of_declared_length_is_passed_on() {
    assert_late_body_is_passed_on("Content-Length: 100958");
}

/// Guards a long chunked answer against being cut off at the latency objective (issue 48).
#[test]
fn late_chunked_body_is_passed_on() {
    assert_late_body_is_passed_on("Transfer-Encoding: chunked");
}

/// Guards a long answer that ends with its connection against being cut off at the latency objective (issue 48).
#[test]
fn late_body_up_to_the_close_is_passed_on() {
    assert_late_body_is_passed_on("Connection: close");
}
