//! Cancellation by the client: once it has closed its connection, no attempt of its request begins, neither the first
//! one nor a retry.
//!
//! `client_disconnects.rs` covers first attempts that are queued or connecting. This file covers retries, requests that
//! wait for the gap of a throttled endpoint, closes that arrive together with the request, and callers in an earlier
//! tier that end. In each test a second request waits in the same way, and its client stays connected. The second
//! request is served, which shows that the wait of the first one was over too.

use crate::cancellation_support::{
    CLOSE_KINDS, CloseKind, FullBacklogEndpoint, LifecycleSidecar, QueueingSidecar, WaitingClient,
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

// ---- Retries ---------------------------------------------------------------------------------------------

const NOT_RUN_RESPONSE: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// The number of safe requests that earn enough retry budget for a test.
const RETRY_EARNING_REQUESTS: usize = 20;

/// An endpoint that rejects requests with [`CLOSING_BODY`] or [`STAYING_BODY`] when the test releases them, and serves
/// all others.
struct RejectingEndpoint {
    endpoint: Endpoint,
    /// Releases the rejection of the request with [`CLOSING_BODY`].
    closing: Sender<()>,
    /// Releases the rejection of the request with [`STAYING_BODY`].
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
            let _ = gate.lock().expect("the lock is not poisoned").recv();
            EndpointAction::RespondThenClose(NOT_RUN_RESPONSE.into())
        });
        RejectingEndpoint {
            endpoint,
            closing,
            staying,
        }
    }

    /// Rejects the request of the client that closes its connection. Returns once the response has been written.
    fn reject_closing(&self) {
        self.closing.send(()).expect("the endpoint waits");
        self.endpoint.next_connection_close();
    }

    fn reject_staying(&self) {
        self.staying.send(()).expect("the endpoint waits");
        self.endpoint.next_connection_close();
    }
}

/// Two requests whose first attempts are in flight to the same endpoint, the only one that is listed.
struct FirstAttempts {
    sidecar: LifecycleSidecar,
    rejecting: RejectingEndpoint,
    /// The client that closes its connection; `None` after the close.
    closing: Option<WaitingClient>,
    staying: WaitingClient,
    staying_id: String,
    /// The number of attempts written so far.
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
        let mut earning_client = sidecar.queueing.sidecar.client();
        for _ in 0..RETRY_EARNING_REQUESTS {
            assert_eq!(earning_client.exchange(&get_request("60")).status(), 200);
            rejecting.endpoint.next_request();
        }
        let request = post_request("unsafe", "60", STAYING_BODY);
        let closing = WaitingClient::send(
            &sidecar.queueing.sidecar,
            &post_request("unsafe", "60", CLOSING_BODY),
        );
        let staying = WaitingClient::send(&sidecar.queueing.sidecar, &request);
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

    /// Rejects both requests, which then wait for another endpoint.
    fn reject_both(&mut self) {
        self.rejecting.reject_closing();
        self.rejecting.reject_staying();
        self.sidecar.queueing.wait_for_pending(2);
    }

    /// Closes one client's connection, and waits until the sidecar has noticed. Returns the stream after a half close.
    fn close_client(&mut self, close_kind: CloseKind) -> Option<TcpStream> {
        let closing = self.closing.take().expect("the client has not closed yet");
        let half_closed = close(closing.0, close_kind);
        self.sidecar.queueing.wait_for_pending(1);
        half_closed
    }

    /// Lists an endpoint to which retries can be sent.
    fn list_other_endpoint(&mut self, entry: Value) {
        let queueing = &mut self.sidecar.queueing;
        queueing.write_list(&endpoint_list(42, false, &[entry]));
        queueing.wait_until("the endpoint is listed", |sidecar| {
            sidecar.metric("members") == Some(2)
        });
    }

    fn list_unused_endpoint(&mut self) {
        let address = self.sidecar.queueing.endpoint.address;
        self.list_other_endpoint(list_entry("other", address, "SERVING"));
    }

    /// Asserts that the other endpoint serves the retry of the client that stays, and that no other attempt is made.
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

/// Guards a retry that is queued for lack of an endpoint when its client closes its connection.
#[test]
fn client_close_cancels_queued_retry() {
    in_every_lifecycle_phase(|phase| {
        for close_kind in CLOSE_KINDS {
            let mut requests = FirstAttempts::start(true);
            requests.reject_both();
            requests.sidecar.enter_phase(phase);
            let _half_closed = requests.close_client(close_kind);
            requests.list_unused_endpoint();
            requests.assert_only_staying_is_retried(&format!("{phase:?} {close_kind:?}"));
        }
    });
}

/// Guards a first attempt that may not be cancelled. It fails after its client has closed its connection, and is not
/// retried.
#[test]
fn client_close_prevents_retry_of_failed_attempt() {
    in_every_lifecycle_phase(|phase| {
        for close_kind in CLOSE_KINDS {
            let mut requests = FirstAttempts::start(false);
            requests.sidecar.enter_phase(phase);
            let _half_closed = requests.close_client(close_kind);
            requests.list_unused_endpoint();
            requests.rejecting.reject_closing();
            requests.rejecting.reject_staying();
            requests.assert_only_staying_is_retried(&format!("{phase:?} {close_kind:?}"));
        }
    });
}

/// Reads the text that has been written on these connections.
fn read_written(connections: &mut [TcpStream]) -> String {
    let mut all = Vec::new();
    for connection in connections {
        connection.set_nonblocking(true).expect("the option is set");
        let mut bytes = [0; 4096];
        match connection.read(&mut bytes) {
            Ok(length) => all.extend_from_slice(&bytes[..length]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
    }
    String::from_utf8(all).expect("text")
}

/// Guards a retry whose connection to the endpoint is established after the client's close. Nothing is written on it,
/// whether attempts may be cancelled or not.
#[test]
fn client_close_cancels_connecting_retry() {
    in_every_lifecycle_phase(|phase| {
        for cancel in [true, false] {
            let mut requests = FirstAttempts::start(cancel);
            requests.reject_both();
            let full_backlog_endpoint = FullBacklogEndpoint::start();
            requests.list_other_endpoint(full_backlog_endpoint.list_entry());
            wait_until("both retries are connecting", || {
                count_connecting(&full_backlog_endpoint) == 2
            });
            requests.sidecar.enter_phase(phase);
            let _half_closed = requests.close_client(CloseKind::Full);
            // A cancelled retry's connection is never established.
            let expected_connections = if cancel { 1 } else { 2 };
            let mut connections = Vec::new();
            wait_until("all connections are established", || {
                connections.extend(full_backlog_endpoint.try_accept());
                connections.len() == expected_connections
                    && count_connecting(&full_backlog_endpoint) == 0
            });
            let mut seen = String::new();
            wait_until("the retry of the client that stays is written", || {
                seen += &read_written(&mut connections);
                seen.contains(STAYING_BODY)
            });
            assert_eq!(
                requests.sidecar.attempts(),
                requests.attempts + 1,
                "{phase:?}, cancel {cancel}"
            );
            seen += &read_written(&mut connections);
            assert!(!seen.contains(CLOSING_BODY), "{phase:?}, cancel {cancel}");
        }
    });
}

// ---- Waiting for a gap -----------------------------------------------------------------------------------

/// A response whose load report puts the class of the higher priority into the gapping state, but not into the
/// discarding state.
const THROTTLING_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\
                         X-Load: TEXT concurrent=3, depth=2.3, load_share=0.5\r\n\r\nx";

/// After this time without a request the sidecar measures a low rate, which makes gaps last some seconds.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Guards requests that wait for the end of a gap of the only endpoint.
#[test]
fn client_close_cancels_request_waiting_for_gap() {
    in_every_lifecycle_phase(|phase| {
        let throttled = Endpoint::start(|message| {
            if message.body == b"throttles" {
                thread::sleep(QUIET_TIME);
                return EndpointAction::Respond(THROTTLING_RESPONSE.into());
            }
            respond_ok("x")
        });
        let mut sidecar = LifecycleSidecar::start(|config| {
            config["known"]["endpoints"] = json!(serving_entries(&[&throttled]));
        });
        let throttling_response =
            sidecar
                .queueing
                .sidecar
                .client()
                .exchange(&post_request("unsafe", "60", "throttles"));
        assert_eq!(throttling_response.status(), 200);
        throttled.next_request();
        let closing_clients = CLOSE_KINDS.map(|close_kind| {
            (
                close_kind,
                WaitingClient::send(
                    &sidecar.queueing.sidecar,
                    &post_request("unsafe", "60", CLOSING_BODY),
                ),
            )
        });
        let request = post_request("unsafe", "60", STAYING_BODY);
        let mut staying = WaitingClient::send(&sidecar.queueing.sidecar, &request);
        sidecar.queueing.wait_for_pending(CLOSE_KINDS.len() + 1);
        sidecar.enter_phase(phase);
        let _half_closed = closing_clients.map(|(close_kind, client)| close(client.0, close_kind));
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
            .map(|message| message.body.clone())
            .collect();
        assert_eq!(seen, [STAYING_BODY.as_bytes()], "{phase:?}");
    });
}

// ---- Closes that arrive together with the request --------------------------------------------------------

/// Returns the texts that arrive on a connection at once, directly before the close, each with a description.
fn texts_before_close() -> Vec<(&'static str, String)> {
    let chunked = |end: &str| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}5\r\nhello\r\n{end}")
    };
    let partial_body = |length: usize, written: usize| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        format!("{head}{}", "x".repeat(written))
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
            format!("{}{}", get_request("60"), partial_body(9, 4)),
        ),
        ("part of a body", partial_body(1000, 10)),
        (
            "part of a body that is not buffered",
            partial_body(300_000, 90_000),
        ),
        ("a body in chunks", chunked("0\r\n\r\n")),
        ("part of a body in chunks", chunked("5\r\nhel")),
    ]
}

/// Sends a readiness check and reads its whole response, because a close with unread bytes would be a reset.
fn exchange_readiness_check(connection: &mut TcpStream) {
    connection
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is set");
    connection
        .write_all(b"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
        .expect("the connection is open");
    let answer = read_message(&mut BufReader::new(connection)).expect("a response");
    assert_eq!(answer.status(), 200);
}

/// Guards a request that is read only after its client's close has arrived: no attempt is written. This holds for new
/// and reused connections of the client, and whether attempts may be cancelled or not.
#[test]
fn request_read_with_client_close_is_not_sent() {
    for cancel in [true, false] {
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        let sidecar = Sidecar::start(&config);
        for close_kind in CLOSE_KINDS {
            for (description, text) in texts_before_close() {
                for is_reused in [true, false] {
                    let context = format!(
                        "{description}, {close_kind:?}, reused {is_reused}, cancel {cancel}"
                    );
                    let mut closing =
                        TcpStream::connect(sidecar.address).expect("the sidecar accepts");
                    if is_reused {
                        exchange_readiness_check(&mut closing);
                    }
                    let from = closing.local_addr().expect("a bound address");
                    sidecar.pause();
                    closing
                        .write_all(text.as_bytes())
                        .expect("the connection is open");
                    let _half_closed = close(closing, close_kind);
                    wait_until("the close has arrived", || {
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
                        .map(|message| message.body.clone())
                        .collect();
                    assert_eq!(seen, [STAYING_BODY.as_bytes()], "{context}");
                }
            }
        }
    }
}

// ---- Later tiers -----------------------------------------------------------------------------------------

/// Guards a request queued in a later tier. It is cancelled when the process of the earlier tier that sent it is
/// killed, and when the client of that process closes its connection.
#[test]
fn caller_end_cancels_request_in_later_tier() {
    for caller_dies in [true, false] {
        let mut later = QueueingSidecar::with_config(|config| {
            config["settings"]["tier"] = json!(1);
            config["settings"]["stages"] = json!(["one", "two"]);
        });
        let discovery = Discovery::start();
        let known = [list_entry("later", later.sidecar.address, "SERVING")];
        let mut earlier = Sidecar::start(&with_admin_address(config(discovery.address, &known)));
        let closing = WaitingClient::send(&earlier, &get_request("10"));
        later.wait_for_pending(1);
        let _open = if caller_dies {
            earlier.kill();
            Some(closing)
        } else {
            close(closing.0, CloseKind::Full).map(WaitingClient)
        };
        later.wait_for_pending(0);
        let request = get_request("60");
        let mut staying = WaitingClient::send(&later.sidecar, &request);
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
