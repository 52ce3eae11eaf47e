//! Pairs of events that may come in either order, in the one that is not the usual. `docs/crossings.md` lists them.
//!
//! The order is forced: a stub stops at a step and goes on when told, or the program stands still while all comes.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// An endpoint whose every connection the test writes and ends itself.
fn raw() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = entry("raw", listener.local_addr().expect("an address"), "SERVING");
    (listener, known)
}

fn asked(listener: &TcpListener) -> (Message, TcpStream) {
    let (stream, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).expect("a request");
    (message, reader.into_inner())
}

fn resets(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
}

/// Guards a reset against the answer that came before it: what is whole is served, what is not has failed, and what must
/// not run twice is sent once either way.
#[test]
fn a_reset_right_behind_an_answer_takes_nothing_from_it() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (text, status) in [(whole, 200), (&whole[..whole.len() - 1], 502), ("", 502)] {
        let (listener, known) = raw();
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&with_admin_address(config(discovery.address, &[known])));
        let mut client = sidecar.client();
        client.write(&post_request("unsafe", "9", "x"));
        let (_, mut stream) = asked(&listener);
        sidecar.suspend();
        stream.write_all(text.as_bytes()).expect("it is open");
        resets(stream);
        sidecar.resume();
        assert_eq!(client.read().expect("an answer").status(), status, "{text}");
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        assert_eq!(sidecar.metric("pending"), Some(0));
    }
}

/// Guards answers that say nothing of their length, which last until their connection's end: a reset is none, whatever has
/// come by then, and what may have run fails.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    for (resets_it, status) in [(true, 502), (false, 200)] {
        for text in [
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nbegun",
            "HTTP/1.0 200 OK\r\n\r\nbegun",
        ] {
            let (listener, known) = raw();
            let discovery = Discovery::start();
            let sidecar = Sidecar::start(&with_admin_address(config(discovery.address, &[known])));
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "9", "x"));
            let (_, mut stream) = asked(&listener);
            stream.write_all(text.as_bytes()).expect("it is open");
            std::thread::sleep(Duration::from_millis(50)); // it is read before the end comes, and after
            if resets_it {
                resets(stream);
            } else {
                drop(stream);
            }
            let answer = client.read().expect("an answer");
            assert_eq!(answer.status(), status, "{text}");
            if !resets_it {
                assert_eq!(
                    answer.body,
                    text.split_once("\r\n\r\n").expect("a head").1.as_bytes()
                );
            }
            assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        }
    }
}

/// Guards the time-out against an answer that has come by then: one of them is the end, the client gets one answer, and
/// nothing is sent again. The connection that was given up carries nothing more.
#[test]
fn a_time_out_and_the_answer_at_once_are_one_end() {
    let (listener, known) = raw();
    let discovery = Discovery::start();
    let mut config = config_with_deadline(&discovery, &[], Duration::from_secs(1));
    config["known"]["endpoints"] = json!([known]);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    client.write(&post_request("unsafe", "1", "x"));
    let (_, mut stream) = asked(&listener);
    sidecar.suspend();
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        .expect("it is open");
    std::thread::sleep(Duration::from_millis(1_200));
    sidecar.resume();
    let answer = client.read().expect("an answer");
    assert!(matches!(answer.status(), 200 | 504), "{}", answer.status());
    assert_eq!(
        client.exchange(READY_REQUEST).status(),
        200,
        "the next answer is the next request's"
    );
    wait_until("it is over", || sidecar.metric("pending") == Some(0));
    assert_eq!(sidecar.metric("upstream_requests"), Some(1));
    let ends: u64 = ["completed", "failed"]
        .iter()
        .filter_map(|how| sidecar.requests_ended(how, "unsafe"))
        .sum();
    assert_eq!(ends, 1);
}

/// A sidecar over an endpoint that answers as told, with a few retries earned, which can be given other settings.
struct Retuned {
    told: ScriptedEndpoint,
    sidecar: Sidecar,
    discovery: Discovery,
    watch: Watch,
    config: Value,
    path: PathBuf,
}

impl Retuned {
    fn start() -> Self {
        let (told, discovery) = (ScriptedEndpoint::start(), Discovery::start());
        let config = with_admin_address(config(
            discovery.address,
            &serving_entries(&[&told.endpoint]),
        ));
        let path = temporary_file(&config.to_string());
        let sidecar = Sidecar::start_with_file(&path);
        let watch = discovery.next_watch();
        told.earn_retries(&mut sidecar.client());
        Retuned {
            told,
            sidecar,
            discovery,
            watch,
            config,
            path,
        }
    }

    /// A client whose request is out at the endpoint.
    fn asks(&self, request: &str) -> Client {
        let mut client = self.sidecar.client();
        client.write(request);
        self.told.endpoint.next_request();
        client
    }

    fn lists(&mut self, line: &str) {
        self.watch.write_line_reconnecting(&self.discovery, line);
    }

    fn retunes(&mut self, change: impl FnOnce(&mut Vec<Value>)) {
        change(
            self.config["settings"]["categories"]
                .as_array_mut()
                .expect("a list"),
        );
        std::fs::write(&self.path, self.config.to_string()).expect("the file is written");
        self.sidecar.send_signal("HUP");
        wait_until("it is taken", || {
            self.sidecar.metric("config_reloads") == Some(1)
        });
    }

    fn fails(&self) {
        self.told.respond_next(EndpointAction::Respond(
            "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
        ));
    }
}

impl Drop for Retuned {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards an attempt that is out against a new effect from SIGHUP: a request keeps the class that it came with, so that one
/// that must not run twice is not sent again because others of its name now may.
#[test]
fn a_new_effect_does_not_reach_an_attempt_that_is_out() {
    let (mut retuned, other) = (Retuned::start(), Endpoint::start(|_| respond_ok("other")));
    let mut client = retuned.asks(&post_request("unsafe", "9", "x"));
    retuned.lists(&list(
        42,
        true,
        &serving_entries(&[&retuned.told.endpoint, &other]),
    ));
    wait_until("the other is listed", || {
        retuned.sidecar.metric("members") == Some(2)
    });
    retuned.retunes(|classes| classes[1]["effect"] = json!("free"));
    retuned.fails();
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert_eq!(other.take_request_count(), 0, "it is not sent again");
}

/// Guards attempts that are out against fewer worth levels from SIGHUP: a request keeps its worth among those that are left,
/// be it retried, or its client gone.
#[test]
fn fewer_levels_do_not_reach_an_attempt_that_is_out() {
    let (mut retuned, other) = (Retuned::start(), Endpoint::start(|_| respond_ok("other")));
    let keyed =
        || post_request("keyed", "9", "x").replace("X-Class", "Idempotency-Key: k\r\nX-Class");
    let (mut client, gone) = (retuned.asks(&keyed()), retuned.asks(&keyed()));
    retuned.lists(&list(
        42,
        false,
        &[entry("e0", retuned.told.endpoint.address, "DRAINING")],
    ));
    wait_until("it drains", || {
        retuned.sidecar.metric("members_unavailable") == Some(1)
    });
    retuned.retunes(|classes| {
        // Only one class is left beside theirs, and worth as much.
        classes.truncate(1);
        classes[0]["worth"] = json!(2.0);
    });
    drop(gone);
    wait_until("it has left", || {
        retuned.sidecar.metric("pending") == Some(1)
    });
    (0..2).for_each(|_| retuned.fails());
    std::thread::sleep(Duration::from_millis(100)); // the retry waits
    retuned.lists(&list(43, false, &[entry("e1", other.address, "SERVING")]));
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "other".as_bytes())
    );
    assert_eq!(
        client.exchange(&get_request("5")).status(),
        200,
        "and all is as ever"
    );
    assert!(
        !retuned
            .sidecar
            .log()
            .iter()
            .any(|line| line.contains("panicked"))
    );
}

// ---- Idle connections ------------------------------------------------------------------------------------

/// Guards the close that makes room against the request that is on its way: each caller gets its answer whole, or a close
/// with nothing on it, and then its request was not sent on.
#[test]
fn a_close_to_make_room_and_the_next_request_do_not_cross() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    config["limits"]["sockets"] = json!(64);
    let sidecar = Sidecar::start(&config);
    let mut idle: Vec<Client> = (0..16).map(|_| sidecar.client()).collect();
    for client in &mut idle {
        assert_eq!(client.exchange(READY_REQUEST).status(), 200);
    }
    sidecar.suspend();
    let mut new: Vec<TcpStream> = (0..24)
        .map(|_| TcpStream::connect(sidecar.address).expect("the backlog has room"))
        .collect();
    let requests: Vec<String> = idle.iter().map(|_| get_request("9")).collect();
    idle.iter_mut()
        .zip(&requests)
        .for_each(|(client, request)| client.write(request));
    sidecar.resume();
    let mut answered = 0;
    for client in &mut idle {
        match client.read() {
            Some(answer) => {
                assert_eq!(answer.status(), 200);
                answered += 1;
            }
            None => assert!(client.is_closed(), "nothing of an answer came"),
        }
    }
    assert_eq!(
        endpoint.take_request_count(),
        answered,
        "what was closed on was not sent on"
    );
    for stream in &mut new {
        let _ = stream.write_all(b"x");
    }
}
