//! Cancellation by the client: once it has closed its connection no attempt of its request begins, first or further.
//!
//! `leaving.rs` has the first attempts that are held or dialled. Here are further attempts, requests that wait for the gap
//! of a throttled endpoint, closes that arrive together with the request, and callers that die in an earlier tier. Each
//! test has a second request in the same place whose client stays: that one is served, so that the wait was over.

use crate::cancellation_support::{
    CLOSES, Close, Holds, Late, Replaceable, Waits, close, dialling, has_ended, id, in_every_phase,
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

const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Safe requests that earn the retries of a test.
const EARNING: usize = 20;

/// An endpoint that serves safe requests, and turns away each unsafe one when the test says so, by the request's body.
struct TurnsAway {
    endpoint: Endpoint,
    leaver: Sender<()>,
    stayer: Sender<()>,
}

const LEAVES: &str = "leaves";
const STAYS: &str = "stays";

impl TurnsAway {
    fn start() -> Self {
        let (leaver, leaver_may) = channel::<()>();
        let (stayer, stayer_may) = channel::<()>();
        let gates: [(&str, Mutex<Receiver<()>>); 2] = [
            (LEAVES, Mutex::new(leaver_may)),
            (STAYS, Mutex::new(stayer_may)),
        ];
        let endpoint = Endpoint::start(move |message| {
            let gate = gates
                .iter()
                .find(|(body, _)| message.body == body.as_bytes());
            let Some((_, gate)) = gate else {
                return respond_ok("x");
            };
            let _ = gate.lock().expect("the only one").recv();
            EndpointAction::RespondThenClose(TURNED_AWAY.into())
        });
        TurnsAway {
            endpoint,
            leaver,
            stayer,
        }
    }

    /// Turns the leaver's request away; the answer is on its connection when this returns.
    fn turns_leaver_away(&self) {
        self.leaver.send(()).expect("it waits");
        self.endpoint.next_connection_close();
    }

    fn turns_stayer_away(&self) {
        self.stayer.send(()).expect("it waits");
        self.endpoint.next_connection_close();
    }
}

/// Two requests of which the first attempt is out at the same endpoint, the only one that is known.
struct FirstAttempts {
    sidecar: Replaceable,
    turns_away: TurnsAway,
    /// Gone once it has closed.
    leaver: Option<Waits>,
    stayer: Waits,
    stayer_id: String,
    /// Attempts written up to now.
    attempts: u64,
}

impl FirstAttempts {
    fn start(cancel: bool) -> Self {
        let turns_away = TurnsAway::start();
        let mut sidecar = Replaceable::start(|config| {
            config["known"]["endpoints"] = json!(serving_entries(&[&turns_away.endpoint]));
            config["settings"]["bounds"]["cancel"] = json!(cancel);
            config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        });
        let mut earns = sidecar.holds.sidecar.client();
        for _ in 0..EARNING {
            assert_eq!(earns.exchange(&get_request("60")).status(), 200);
            turns_away.endpoint.next_request();
        }
        let request = post_request("unsafe", "60", STAYS);
        let leaver = Waits::with(
            &sidecar.holds.sidecar,
            &post_request("unsafe", "60", LEAVES),
        );
        let stayer = Waits::with(&sidecar.holds.sidecar, &request);
        (0..2).for_each(|_| drop(turns_away.endpoint.next_request()));
        sidecar.holds.has_pending(2);
        let attempts = sidecar.attempts();
        FirstAttempts {
            sidecar,
            turns_away,
            leaver: Some(leaver),
            stayer,
            stayer_id: id(&request),
            attempts,
        }
    }

    /// Both have been turned away, and wait for an endpoint that has not done so.
    fn both_are_turned_away(&mut self) {
        self.turns_away.turns_leaver_away();
        self.turns_away.turns_stayer_away();
        self.sidecar.holds.has_pending(2);
    }

    /// The leaver closes its connection, and the sidecar has seen it.
    fn leaver_closes(&mut self, how: Close) -> Option<TcpStream> {
        let leaver = self.leaver.take().expect("it closes once");
        let half = close(leaver.0, how);
        self.sidecar.holds.has_pending(1);
        half
    }

    /// Lists an endpoint to which a retry may go.
    fn lists(&mut self, entry: Value) {
        let holds = &mut self.sidecar.holds;
        holds.says(&list(42, false, &[entry]));
        holds.wait_until("it is listed", |sidecar| {
            sidecar.metric("members") == Some(2)
        });
    }

    fn lists_other(&mut self) {
        let address = self.sidecar.holds.endpoint.address;
        self.lists(entry("other", address, "SERVING"));
    }

    /// The stayer's retry is served at the other endpoint, and there is no further attempt.
    fn only_the_stayer_is_retried(&mut self, context: &str) {
        assert!(self.stayer.is_served(), "{context}");
        assert_eq!(self.sidecar.attempts(), self.attempts + 1, "{context}");
        assert_eq!(
            self.sidecar.holds.saw(),
            std::slice::from_ref(&self.stayer_id),
            "{context}"
        );
    }
}

/// Guards a retry that is held as no endpoint is left for it: its client closes, and then there is one.
#[test]
fn a_held_retry_is_not_sent_after_the_close() {
    in_every_phase(|phase| {
        for how in CLOSES {
            let mut both = FirstAttempts::start(true);
            both.both_are_turned_away();
            both.sidecar.enters(phase);
            let _half = both.leaver_closes(how);
            both.lists_other();
            both.only_the_stayer_is_retried(&format!("{phase:?} {how:?}"));
        }
    });
}

/// Guards a first attempt that may not be called off: it fails after its client has closed, and is not followed by another.
#[test]
fn an_attempt_that_fails_after_the_close_is_not_retried() {
    in_every_phase(|phase| {
        for how in CLOSES {
            let mut both = FirstAttempts::start(false);
            both.sidecar.enters(phase);
            let _half = both.leaver_closes(how);
            both.lists_other();
            both.turns_away.turns_leaver_away();
            both.turns_away.turns_stayer_away();
            both.only_the_stayer_is_retried(&format!("{phase:?} {how:?}"));
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
fn a_retry_that_is_being_dialled_is_not_written_after_the_close() {
    in_every_phase(|phase| {
        for cancel in [true, false] {
            let mut both = FirstAttempts::start(cancel);
            both.both_are_turned_away();
            let late = Late::start();
            both.lists(late.entry());
            wait_until("both are dialled", || dialling(&late) == 2);
            both.sidecar.enters(phase);
            let _half = both.leaver_closes(Close::Whole);
            // Called off, the leaver's never comes up.
            let come_up = if cancel { 1 } else { 2 };
            let mut connections = Vec::new();
            wait_until("all have come up", || {
                connections.extend(late.now());
                connections.len() == come_up && dialling(&late) == 0
            });
            let mut seen = String::new();
            wait_until("the stayer's is written", || {
                seen += &written(&mut connections);
                seen.contains(STAYS)
            });
            assert_eq!(
                both.sidecar.attempts(),
                both.attempts + 1,
                "{phase:?}, cancel {cancel}"
            );
            seen += &written(&mut connections);
            assert!(!seen.contains(LEAVES), "{phase:?}, cancel {cancel}");
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
fn a_request_that_waits_for_a_gap_is_not_sent_after_the_close() {
    in_every_phase(|phase| {
        let throttled = Endpoint::start(|message| {
            if message.body == b"throttles" {
                thread::sleep(QUIET);
                return EndpointAction::Respond(THROTTLED.into());
            }
            respond_ok("x")
        });
        let mut sidecar = Replaceable::start(|config| {
            config["known"]["endpoints"] = json!(serving_entries(&[&throttled]));
        });
        let throttles =
            sidecar
                .holds
                .sidecar
                .client()
                .exchange(&post_request("unsafe", "60", "throttles"));
        assert_eq!(throttles.status(), 200);
        throttled.next_request();
        let leavers = CLOSES.map(|how| {
            (
                how,
                Waits::with(
                    &sidecar.holds.sidecar,
                    &post_request("unsafe", "60", LEAVES),
                ),
            )
        });
        let request = post_request("unsafe", "60", STAYS);
        let mut stayer = Waits::with(&sidecar.holds.sidecar, &request);
        sidecar.holds.has_pending(CLOSES.len() + 1);
        sidecar.enters(phase);
        let _half = leavers.map(|(how, client)| close(client.0, how));
        sidecar.holds.has_pending(1);
        assert_eq!(
            throttled.take_request_count(),
            0,
            "{phase:?}: the gap is not over"
        );
        assert!(stayer.is_served(), "{phase:?}");
        let seen: Vec<_> = throttled
            .take_requests()
            .iter()
            .map(|m| m.body.clone())
            .collect();
        assert_eq!(seen, [STAYS.as_bytes()], "{phase:?}");
    });
}

// ---- Closes that come together with the request ----------------------------------------------------------

/// What comes on a connection at once, with the close right behind it.
fn arrivals() -> Vec<(&'static str, String)> {
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
fn has_asked(connection: &mut TcpStream) {
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
fn a_request_that_is_read_together_with_its_close_is_not_sent() {
    for cancel in [true, false] {
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        let sidecar = Sidecar::start(&config);
        for how in CLOSES {
            for (what, text) in arrivals() {
                for is_kept in [true, false] {
                    let context = format!("{what}, {how:?}, kept {is_kept}, cancel {cancel}");
                    let mut leaver = TcpStream::connect(sidecar.address).expect("it accepts");
                    if is_kept {
                        has_asked(&mut leaver);
                    }
                    let from = leaver.local_addr().expect("an address");
                    sidecar.suspend();
                    leaver.write_all(text.as_bytes()).expect("it is open");
                    let _half = close(leaver, how);
                    wait_until("the close is there", || has_ended(from, sidecar.address));
                    sidecar.resume();
                    assert_eq!(
                        sidecar
                            .client()
                            .exchange(&post_request("unsafe", "10", STAYS))
                            .status(),
                        200
                    );
                    let seen: Vec<_> = endpoint
                        .take_requests()
                        .iter()
                        .map(|m| m.body.clone())
                        .collect();
                    assert_eq!(seen, [STAYS.as_bytes()], "{context}");
                }
            }
        }
    }
}

// ---- Later tiers -----------------------------------------------------------------------------------------

/// Guards a later tier against its caller's end: a request that it holds goes with the process of the earlier tier that
/// asked for it, and with that one's client.
#[test]
fn a_request_held_in_a_later_tier_ends_with_its_caller() {
    for caller_dies in [true, false] {
        let mut later = Holds::with(|config| {
            config["settings"]["tier"] = json!(1);
            config["settings"]["stages"] = json!(["one", "two"]);
        });
        let discovery = Discovery::start();
        let known = [entry("later", later.sidecar.address, "SERVING")];
        let mut earlier = Sidecar::start(&with_admin_address(config(discovery.address, &known)));
        let leaver = Waits::with(&earlier, &get_request("10"));
        later.has_pending(1);
        let _open = if caller_dies {
            earlier.kill();
            Some(leaver)
        } else {
            close(leaver.0, Close::Whole).map(Waits)
        };
        later.has_pending(0);
        let request = get_request("60");
        let mut stayer = Waits::with(&later.sidecar, &request);
        later.has_pending(1);
        later.lets_go();
        assert!(stayer.is_served());
        assert_eq!(later.saw(), [id(&request)], "caller dies: {caller_dies}");
    }
}
