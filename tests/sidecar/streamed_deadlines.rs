//! The deadlines of requests whose bodies are too large to be buffered.

use crate::stubs::raw_http::*;
use crate::stubs::*;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// The length of the bodies. They are streamed.
const BODY_LENGTH: usize = 100_000;

/// The time after SIGTERM at which a process with long deadlines may be killed.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// The time after SIGTERM from which a request must be answered before that.
const EARLIEST_LATE_REQUEST: Duration = Duration::from_millis(700);

/// Starts an endpoint that reads a request and does not respond. It waits until its connection ends.
fn endpoint_without_response() -> RawEndpoint {
    RawEndpoint::start(|head, stream| {
        if read_body(head, stream).is_some() {
            let _ = stream.read(&mut [0]);
        }
    })
}

/// Starts a sidecar whose request classes all have this deadline.
fn start_sidecar_with_deadline(
    endpoints: &[SocketAddr],
    deadline: Duration,
) -> (Sidecar, Discovery) {
    start_sidecar_with(endpoints, |config| with_deadline(config, deadline))
}

/// Sends a request without the last byte of its body.
fn begin_upload(sidecar: &Sidecar) -> BufferedStream {
    let mut client = connect(sidecar);
    let head = request_head("unsafe", &format!("Content-Length: {BODY_LENGTH}"));
    send(&mut client, head.as_bytes());
    send(&mut client, &pattern(BODY_LENGTH)[1..]);
    client
}

/// Guards against uploads that are never answered because a shutdown did not limit their deadlines: they had begun
/// before SIGTERM, and the process ended before the deadline that counts from their last byte.
#[test]
fn shutdown_answers_uploads_that_end_during_it() {
    let endpoint = endpoint_without_response();
    let (mut sidecar, _discovery) =
        start_sidecar_with_deadline(&[endpoint.address], Duration::from_secs(3));
    let mut finished_upload = begin_upload(&sidecar);
    let mut unfinished_upload = begin_upload(&sidecar);
    let mut idle_client = sidecar.client();
    assert_eq!(idle_client.exchange(READY_REQUEST).status(), 200);
    for _ in 0..2 {
        endpoint.next_head();
    }
    sidecar.terminate();
    assert!(
        idle_client.wait_for_clean_close(),
        "idle connections are being closed"
    );
    send(&mut finished_upload, b"x");
    let mut late_upload = begin_upload(&sidecar);
    send(&mut late_upload, b"x");
    let answer = |client: &mut BufferedStream| {
        let head = read_head(client).unwrap_or_else(|| panic!("no answer: {:?}", sidecar.log()));
        status(&head).to_string()
    };
    assert_eq!(answer(&mut finished_upload), "504", "it may have run");
    assert_eq!(answer(&mut unfinished_upload), "503", "it has not run");
    let late_answer = answer(&mut late_upload);
    assert!(
        late_answer == "503" || late_answer == "504",
        "{late_answer}"
    );
    drop((finished_upload, unfinished_upload, late_upload));
    assert!(sidecar.wait().success());
}

/// Guards against the same failure where no endpoint takes the upload: it waits in the queue past the time at which the
/// process may be killed.
#[test]
fn shutdown_rejects_queued_uploads() {
    let endpoint = endpoint_without_response();
    let (mut sidecar, discovery) =
        start_sidecar_with_deadline(&[endpoint.address], Duration::from_secs(10));
    discovery.next_call().write_line(&endpoint_list(
        42,
        false,
        &[list_entry("e0", endpoint.address, "DRAINING")],
    ));
    wait_until("the endpoint is draining", || {
        sidecar.metric("members_unavailable") == Some(1)
    });
    let mut queued_upload = begin_upload(&sidecar);
    for _ in 0..20 {
        // The sidecar reads the upload between these requests.
        assert_eq!(
            sidecar.client().exchange(READY_REQUEST).status(),
            503,
            "no endpoint serves"
        );
    }
    sidecar.terminate();
    sidecar.wait_for_log("queued=1");
    std::thread::sleep(EARLIEST_LATE_REQUEST);
    send(&mut queued_upload, b"x");
    std::thread::sleep(EARLIEST_KILL - EARLIEST_LATE_REQUEST);
    sidecar.kill();
    let head =
        read_head(&mut queued_upload).unwrap_or_else(|| panic!("no answer: {:?}", sidecar.log()));
    assert_eq!(status(&head), "503", "it was not sent");
}

/// Returns the head of a request whose class has a long deadline, and whose client waits for this number of seconds.
fn unsafe_request_head(seconds: u64, framing: &str) -> String {
    request_head("unsafe", framing).replace("X-Deadline: 15", &format!("X-Deadline: {seconds}"))
}

/// Sends a small request whose client waits for some seconds longer than the other client of a test.
fn send_control_request(sidecar: &Sidecar) -> BufferedStream {
    let mut client = connect(sidecar);
    let request = unsafe_request_head(4, "Content-Length: 2") + "ok";
    send(&mut client, request.as_bytes());
    client
}

/// Checks that an upload, whose client waits for 1 s, has its answer when the control request gets its own after 4 s.
fn assert_answered_before(upload: &mut BufferedStream, control: &mut BufferedStream, name: &str) {
    let control_head = read_head(control).expect("an answer");
    assert_eq!(status(&control_head), "504", "{name}");
    upload
        .get_mut()
        .set_nonblocking(true)
        .expect("the mode is set");
    let upload_head = read_head(upload).unwrap_or_else(|| panic!("{name}: no answer"));
    assert!(
        ["503", "504"].contains(&status(&upload_head)),
        "{name}: {upload_head}"
    );
}

/// Returns the framing header and the bytes of a body.
fn encode_body(length: usize, is_chunked: bool) -> (String, Vec<u8>) {
    let body = pattern(length);
    if is_chunked {
        let encoded = [chunk(&body), b"0\r\n\r\n".to_vec()].concat();
        ("Transfer-Encoding: chunked".into(), encoded)
    } else {
        (format!("Content-Length: {length}"), body)
    }
}

/// Guards against answers that come after the client's time because the wait for them had begun before the end of the
/// upload: the endpoint takes the whole body and does not respond.
#[test]
fn complete_upload_is_answered_at_its_deadline() {
    for is_chunked in [false, true] {
        let endpoint = endpoint_without_response();
        let (sidecar, _discovery) = start_sidecar(&[endpoint.address]);
        let mut control = send_control_request(&sidecar);
        endpoint.next_head();
        let (framing, body) = encode_body(BODY_LENGTH, is_chunked);
        let mut upload = connect(&sidecar);
        send(&mut upload, unsafe_request_head(1, &framing).as_bytes());
        send(&mut upload, &body);
        assert_answered_before(&mut upload, &mut control, &framing);
    }
}
