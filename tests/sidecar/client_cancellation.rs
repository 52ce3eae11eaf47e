//! Cancellation by the client: once it has closed its connection no attempt of its request begins, first or further.
//!
//! `leaving.rs` has the first attempts that are held or dialled. Here are further attempts, requests that wait for the gap
//! of a throttled endpoint, closes that arrive together with the request, and callers that die in an earlier tier. Each
//! test has a second request in the same place whose client stays: that one is served, so that the wait was over.

use crate::cancellation_support::{
    ALL_CLOSES, CloseKind, FullBacklogEndpoint, LifecycleSidecar, QueueingSidecar, WaitingClient,
    close, count_connecting, has_received_close, in_every_lifecycle_phase, request_id,
};
use crate::stubs::*;
use serde_json::{Value, json};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

// ---- Further attempts ------------------------------------------------------------------------------------

const NOT_RUN_RESPONSE: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Safe requests that earn the retries of a test.
const RETRY_EARNING_REQUESTS: usize = 20;

/// An endpoint that serves safe requests, and turns away each unsafe one when the test says so, by the request's body.
struct RejectingEndpoint {
    endpoint: Endpoint,
    closing: Sender<()>,
    staying: Sender<()>,
}

const CLOSING_BODY: &str = "leaves";
const STAYING_BODY: &str = "stays";

impl RejectingEndpoint {
    fn start() -> Self {
        let (closing, closing_released) = channel::<()>();
        let (staying, staying_released) = channel::<()>();
        let gates: [(&str, Mutex<Receiver<()>>); 2] = [
            (CLOSING_BODY, Mutex::new(closing_released)),
            (STAYING_BODY, Mutex::new(staying_released)),
        ];
        let endpoint = Endpoint::start(move |message| {
            let gate = gates
                .iter()
                .find(|(body, _)| message.body == body.as_bytes());
            let Some((_, gate)) = gate else {
                return respond_ok("x");
            };
            let _ = gate.lock().expect("the only one").recv();
            EndpointAction::RespondThenClose(NOT_RUN_RESPONSE.into())
        });
        RejectingEndpoint {
            endpoint,
            closing,
            staying,
        }
    }

    /// Turns the leaver's request away; the answer is on its connection when this returns.
    fn reject_closing(&self) {
        self.closing.send(()).expect("it waits");
        self.endpoint.next_connection_close();
    }

    fn reject_staying(&self) {
        self.staying.send(()).expect("it waits");
        self.endpoint.next_connection_close();
    }
}

/// Two requests of which the first attempt is out at the same endpoint, the only one that is known.
struct FirstAttempts {
    sidecar: LifecycleSidecar,
    rejecting: RejectingEndpoint,
    /// Gone once it has closed.
    closing: Option<WaitingClient>,
    staying: WaitingClient,
    staying_id: String,
    /// Attempts written up to now.
    attempts: u64,
}

impl FirstAttempts {
    fn start(cancel: bool) -> Self {
        let rejecting = RejectingEndpoint::start();
        let mut sidecar = LifecycleSidecar::start(|config| {
            config["known"]["endpoints"] = json!(serving_entries(&[&rejecting.endpoint]));
            config["settings"]["bounds"]["cancel"] = json!(cancel);
            config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        });
        let mut earns = sidecar.queueing.sidecar.client();
        for _ in 0..RETRY_EARNING_REQUESTS {
            assert_eq!(earns.exchange(&get_request("60")).status(), 200);
            rejecting.endpoint.next_request();
        }
        let request = post_request("unsafe", "60", STAYING_BODY);
        let closing = WaitingClient::with(
            &sidecar.queueing.sidecar,
            &post_request("unsafe", "60", CLOSING_BODY),
        );
        let staying = WaitingClient::with(&sidecar.queueing.sidecar, &request);
        (0..2).for_each(|_| drop(rejecting.endpoint.next_request()));
        sidecar.queueing.wait_for_pending(2);
        let attempts = sidecar.attempts();
        FirstAttempts {
            sidecar,
            rejecting,
            closing: Some(closing),
            staying,
            staying_id: request_id(&request),
            attempts,
        }
    }

    /// Both have been turned away, and wait for an endpoint that has not done so.
    fn reject_both(&mut self) {
        self.rejecting.reject_closing();
        self.rejecting.reject_staying();
        self.sidecar.queueing.wait_for_pending(2);
    }

    /// The leaver closes its connection, and the sidecar has seen it.
    fn close_client(&mut self, close_kind: CloseKind) -> Option<TcpStream> {
        let closing = self.closing.take().expect("it closes once");
        let half = close(closing.0, close_kind);
        self.sidecar.queueing.wait_for_pending(1);
        half
    }

    /// Lists an endpoint to which a retry may go.
    fn list_other_endpoint(&mut self, entry: Value) {
        let queueing = &mut self.sidecar.queueing;
        queueing.write_list(&list(42, false, &[entry]));
        queueing.wait_until("it is listed", |sidecar| {
            sidecar.metric("members") == Some(2)
        });
    }

    fn list_queueing_endpoint(&mut self) {
        let address = self.sidecar.queueing.endpoint.address;
        self.list_other_endpoint(entry("other", address, "SERVING"));
    }

    /// The stayer's retry is served at the other endpoint, and there is no further attempt.
    fn assert_only_staying_is_retried(&mut self, context: &str) {
        assert!(self.staying.is_served(), "{context}");
        assert_eq!(self.sidecar.attempts(), self.attempts + 1, "{context}");
        assert_eq!(
            self.sidecar.queueing.received_request_ids(),
            std::slice::from_ref(&self.staying_id),
            "{context}"
        );
    }
}

/// Guards a retry that is held as no endpoint is left for it: its client closes, and then there is one.
#[test]
fn queued_retry_is_not_sent_after_the_client_closes() {
    in_every_lifecycle_phase(|phase| {
        for close_kind in ALL_CLOSES {
            let mut attempts_pair = FirstAttempts::start(true);
            attempts_pair.reject_both();
            attempts_pair.sidecar.enter_phase(phase);
            let _half = attempts_pair.close_client(close_kind);
            attempts_pair.list_queueing_endpoint();
            attempts_pair.assert_only_staying_is_retried(&format!("{phase:?} {close_kind:?}"));
        }
    });
}

/// Guards a first attempt that may not be called off: it fails after its client has closed, and is not followed by another.
#[test]
fn attempt_that_fails_after_the_client_closes_is_not_retried() {
    in_every_lifecycle_phase(|phase| {
        for close_kind in ALL_CLOSES {
            let mut attempts_pair = FirstAttempts::start(false);
            attempts_pair.sidecar.enter_phase(phase);
            let _half = attempts_pair.close_client(close_kind);
            attempts_pair.list_queueing_endpoint();
            attempts_pair.rejecting.reject_closing();
            attempts_pair.rejecting.reject_staying();
            attempts_pair.assert_only_staying_is_retried(&format!("{phase:?} {close_kind:?}"));
        }
    });
}

/// What has been written on any of these connections.
fn written(connections: &mut [TcpStream]) -> String {
    let mut all = Vec::new();
    for connection in connections {
        connection.set_nonblocking(true).expect("an option");
        let mut bytes = [0; 4096];
        match connection.read(&mut bytes) {
            Ok(n) => all.extend_from_slice(&bytes[..n]),
            Err(failure) => assert_eq!(failure.kind(), ErrorKind::WouldBlock),
        }
    }
    String::from_utf8(all).expect("text")
}

/// Guards a retry whose connection comes up after the close: nothing is written on it, whether or not it may be called off.
#[test]
fn connecting_retry_is_not_written_after_the_client_closes() {
    in_every_lifecycle_phase(|phase| {
        for cancel in [true, false] {
            let mut attempts_pair = FirstAttempts::start(cancel);
            attempts_pair.reject_both();
            let full_backlog_endpoint = FullBacklogEndpoint::start();
            attempts_pair.list_other_endpoint(full_backlog_endpoint.entry());
            wait_until("both are dialled", || {
                count_connecting(&full_backlog_endpoint) == 2
            });
            attempts_pair.sidecar.enter_phase(phase);
            let _half = attempts_pair.close_client(CloseKind::Full);
            // Called off, the leaver's never comes up.
            let come_up = if cancel { 1 } else { 2 };
            let mut connections = Vec::new();
            wait_until("all have come up", || {
                connections.extend(full_backlog_endpoint.try_accept());
                connections.len() == come_up && count_connecting(&full_backlog_endpoint) == 0
            });
            let mut seen = String::new();
            wait_until("the stayer's is written", || {
                seen += &written(&mut connections);
                seen.contains(STAYING_BODY)
            });
            assert_eq!(
                attempts_pair.sidecar.attempts(),
                attempts_pair.attempts + 1,
                "{phase:?}, cancel {cancel}"
            );
            seen += &written(&mut connections);
            assert!(!seen.contains(CLOSING_BODY), "{phase:?}, cancel {cancel}");
        }
    });
}

// ---- Waiting for a gap -----------------------------------------------------------------------------------

/// An answer whose report has the class of the more worth held to the gap, and not yet discarded.
const THROTTLED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\
                         X-Load: TEXT concurrent=3, depth=2.3, load_share=0.5\r\n\r\nx";

/// After so long without a request the sidecar sees a low rate, and keeps long gaps: some seconds.
const QUIET: Duration = Duration::from_secs(3);

/// Guards requests that wait for the gap of a throttled endpoint to be over, the only one there is.
#[test]
fn request_queued_for_a_gap_is_not_sent_after_the_client_closes() {
    in_every_lifecycle_phase(|phase| {
        let throttled = Endpoint::start(|message| {
            if message.body == b"throttles" {
                thread::sleep(QUIET);
                return EndpointAction::Respond(THROTTLED.into());
            }
            respond_ok("x")
        });
        let mut sidecar = LifecycleSidecar::start(|config| {
            config["known"]["endpoints"] = json!(serving_entries(&[&throttled]));
        });
        let throttles =
            sidecar
                .queueing
                .sidecar
                .client()
                .exchange(&post_request("unsafe", "60", "throttles"));
        assert_eq!(throttles.status(), 200);
        throttled.next_request();
        let leavers = ALL_CLOSES.map(|close_kind| {
            (
                close_kind,
                WaitingClient::with(
                    &sidecar.queueing.sidecar,
                    &post_request("unsafe", "60", CLOSING_BODY),
                ),
            )
        });
        let request = post_request("unsafe", "60", STAYING_BODY);
        let mut staying = WaitingClient::with(&sidecar.queueing.sidecar, &request);
        sidecar.queueing.wait_for_pending(ALL_CLOSES.len() + 1);
        sidecar.enter_phase(phase);
        let _half = leavers.map(|(close_kind, client)| close(client.0, close_kind));
        sidecar.queueing.wait_for_pending(1);
        assert_eq!(
            throttled.take_request_count(),
            0,
            "{phase:?}: the gap is not over"
        );
        assert!(staying.is_served(), "{phase:?}");
        let seen: Vec<_> = throttled
            .take_requests()
            .iter()
            .map(|m| m.body.clone())
            .collect();
        assert_eq!(seen, [STAYING_BODY.as_bytes()], "{phase:?}");
    });
}

// ---- Closes that come together with the request ----------------------------------------------------------

/// What comes on a connection at once, with the close right behind it.
fn pipelined_arrivals() -> Vec<(&'static str, String)> {
    let chunked = |end: &str| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}5\r\nhello\r\n{end}")
    };
    let part_of_a_body = |length: usize, part: usize| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        format!("{head}{}", "x".repeat(part))
    };
    vec![
        ("a request", get_request("60")),
        (
            "a request with its body",
            post_request("unsafe", "60", "hello"),
        ),
        (
            "a request and half a head",
            format!("{}GET /api HTTP/1.1\r\nX-Ha", get_request("60")),
        ),
        (
            "two requests",
            format!("{}{}", get_request("60"), get_request("60")),
        ),
        (
            "a request and part of the next one's body",
            format!("{}{}", get_request("60"), part_of_a_body(9, 4)),
        ),
        ("part of a body", part_of_a_body(1000, 10)),
        (
            "part of a body that is not kept",
            part_of_a_body(300_000, 90_000),
        ),
        ("a body in chunks", chunked("0\r\n\r\n")),
        ("part of a body in chunks", chunked("5\r\nhel")),
    ]
}

/// Has the connection asked something, and all of the answer read: a close over unread bytes would be a reset.
fn complete_exchange(connection: &mut TcpStream) {
    connection
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    connection
        .write_all(b"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
        .expect("it is open");
    let answer = read_message(&mut BufReader::new(connection)).expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// Guards the moment in which a request is read: with its client's close already there, no attempt is written, on a new
/// connection as on a kept one, whether or not attempts may be called off.
#[test]
fn request_read_together_with_its_close_is_not_sent() {
    for cancel in [true, false] {
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        let sidecar = Sidecar::start(&config);
        for close_kind in ALL_CLOSES {
            for (what, text) in pipelined_arrivals() {
                for is_kept in [true, false] {
                    let context =
                        format!("{what}, {close_kind:?}, kept {is_kept}, cancel {cancel}");
                    let mut closing = TcpStream::connect(sidecar.address).expect("it accepts");
                    if is_kept {
                        complete_exchange(&mut closing);
                    }
                    let from = closing.local_addr().expect("an address");
                    sidecar.suspend();
                    closing.write_all(text.as_bytes()).expect("it is open");
                    let _half = close(closing, close_kind);
                    wait_until("the close is there", || {
                        has_received_close(from, sidecar.address)
                    });
                    sidecar.resume();
                    assert_eq!(
                        sidecar
                            .client()
                            .exchange(&post_request("unsafe", "10", STAYING_BODY))
                            .status(),
                        200
                    );
                    let seen: Vec<_> = endpoint
                        .take_requests()
                        .iter()
                        .map(|m| m.body.clone())
                        .collect();
                    assert_eq!(seen, [STAYING_BODY.as_bytes()], "{context}");
                }
            }
        }
    }
}

// ---- Later tiers -----------------------------------------------------------------------------------------

/// Guards a later tier against its caller's end: a request that it holds goes with the process of the earlier tier that
/// asked for it, and with that one's client.
#[test]
fn request_queued_in_a_later_tier_ends_with_its_caller() {
    for caller_dies in [true, false] {
        let mut later = QueueingSidecar::with(|config| {
            config["settings"]["tier"] = json!(1);
            config["settings"]["stages"] = json!(["one", "two"]);
        });
        let discovery = Discovery::start();
        let known = [entry("later", later.sidecar.address, "SERVING")];
        let mut earlier = Sidecar::start(&with_admin_address(config(discovery.address, &known)));
        let closing = WaitingClient::with(&earlier, &get_request("10"));
        later.wait_for_pending(1);
        let _open = if caller_dies {
            earlier.kill();
            Some(closing)
        } else {
            close(closing.0, CloseKind::Full).map(WaitingClient)
        };
        later.wait_for_pending(0);
        let request = get_request("60");
        let mut staying = WaitingClient::with(&later.sidecar, &request);
        later.wait_for_pending(1);
        later.list_endpoint();
        assert!(staying.is_served());
        assert_eq!(
            later.received_request_ids(),
            [request_id(&request)],
            "caller dies: {caller_dies}"
        );
    }
}
