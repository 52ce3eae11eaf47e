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
fn raw_endpoint() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let endpoint_entry = entry("raw", listener.local_addr().expect("an address"), "SERVING");
    (listener, endpoint_entry)
}

fn accept_request(listener: &TcpListener) -> (Message, TcpStream) {
    let (stream, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).expect("a request");
    (message, reader.into_inner())
}

fn reset_on_drop(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
}

/// Guards a reset against the answer that came before it: what is whole is served, what is not has failed, and what must
/// not run twice is sent once either way.
#[test]
fn complete_response_is_served_when_a_reset_follows_it() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (text, status) in [(whole, 200), (&whole[..whole.len() - 1], 502), ("", 502)] {
        let (listener, endpoint_entry) = raw_endpoint();
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&with_admin_address(config(
            discovery.address,
            &[endpoint_entry],
        )));
        let mut client = sidecar.client();
        client.write(&post_request("unsafe", "9", "x"));
        let (_, mut stream) = accept_request(&listener);
        sidecar.suspend();
        stream.write_all(text.as_bytes()).expect("it is open");
        reset_on_drop(stream);
        sidecar.resume();
        assert_eq!(client.read().expect("an answer").status(), status, "{text}");
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        assert_eq!(sidecar.metric("pending"), Some(0));
    }
}

/// Guards answers that say nothing of their length, which last until their connection's end: a reset is none, whatever has
/// come by then, and what may have run fails.
#[test]
fn reset_fails_a_response_without_a_length() {
    for (is_reset, status) in [(true, 502), (false, 200)] {
        for text in [
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nbegun",
            "HTTP/1.0 200 OK\r\n\r\nbegun",
        ] {
            let (listener, endpoint_entry) = raw_endpoint();
            let discovery = Discovery::start();
            let sidecar = Sidecar::start(&with_admin_address(config(
                discovery.address,
                &[endpoint_entry],
            )));
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "9", "x"));
            let (_, mut stream) = accept_request(&listener);
            stream.write_all(text.as_bytes()).expect("it is open");
            std::thread::sleep(Duration::from_millis(50)); // it is read before the end comes, and after
            if is_reset {
                reset_on_drop(stream);
            } else {
                drop(stream);
            }
            let answer = client.read().expect("an answer");
            assert_eq!(answer.status(), status, "{text}");
            if !is_reset {
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
fn timeout_that_races_the_response_ends_the_request_once() {
    let (listener, endpoint_entry) = raw_endpoint();
    let discovery = Discovery::start();
    let mut config = config_with_deadline(&discovery, &[], Duration::from_secs(1));
    config["known"]["endpoints"] = json!([endpoint_entry]);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    client.write(&post_request("unsafe", "1", "x"));
    let (_, mut stream) = accept_request(&listener);
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
struct ReloadableSidecar {
    told: ScriptedEndpoint,
    sidecar: Sidecar,
    discovery: Discovery,
    watch: Watch,
    config: Value,
    path: PathBuf,
}

impl ReloadableSidecar {
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
        ReloadableSidecar {
            told,
            sidecar,
            discovery,
            watch,
            config,
            path,
        }
    }

    /// A client whose request is out at the endpoint.
    fn send_to_endpoint(&self, request: &str) -> Client {
        let mut client = self.sidecar.client();
        client.write(request);
        self.told.endpoint.next_request();
        client
    }

    fn write_list(&mut self, line: &str) {
        self.watch.write_line_reconnecting(&self.discovery, line);
    }

    fn reload_classes(&mut self, change: impl FnOnce(&mut Vec<Value>)) {
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

    fn fail_next_attempt(&self) {
        self.told.respond_next(EndpointAction::Respond(
            "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
        ));
    }
}

impl Drop for ReloadableSidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards an attempt that is out against a new effect from SIGHUP: a request keeps the class that it came with, so that one
/// that must not run twice is not sent again because others of its name now may.
#[test]
fn reload_of_idempotency_leaves_an_attempt_in_flight_unchanged() {
    let (mut reloadable, other) = (
        ReloadableSidecar::start(),
        Endpoint::start(|_| respond_ok("other")),
    );
    let mut client = reloadable.send_to_endpoint(&post_request("unsafe", "9", "x"));
    reloadable.write_list(&list(
        42,
        true,
        &serving_entries(&[&reloadable.told.endpoint, &other]),
    ));
    wait_until("the other is listed", || {
        reloadable.sidecar.metric("members") == Some(2)
    });
    reloadable.reload_classes(|classes| classes[1]["effect"] = json!("free"));
    reloadable.fail_next_attempt();
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert_eq!(other.take_request_count(), 0, "it is not sent again");
}

/// Guards attempts that are out against fewer worth levels from SIGHUP: a request keeps its worth among those that are left,
/// be it retried, or its client gone.
#[test]
fn reload_with_fewer_priority_levels_leaves_attempts_in_flight_unchanged() {
    let (mut reloadable, other) = (
        ReloadableSidecar::start(),
        Endpoint::start(|_| respond_ok("other")),
    );
    let keyed =
        || post_request("keyed", "9", "x").replace("X-Class", "Idempotency-Key: k\r\nX-Class");
    let (mut client, disconnecting) = (
        reloadable.send_to_endpoint(&keyed()),
        reloadable.send_to_endpoint(&keyed()),
    );
    reloadable.write_list(&list(
        42,
        false,
        &[entry("e0", reloadable.told.endpoint.address, "DRAINING")],
    ));
    wait_until("it drains", || {
        reloadable.sidecar.metric("members_unavailable") == Some(1)
    });
    reloadable.reload_classes(|classes| {
        // Only one class is left beside theirs, and worth as much.
        classes.truncate(1);
        classes[0]["worth"] = json!(2.0);
    });
    drop(disconnecting);
    wait_until("it has left", || {
        reloadable.sidecar.metric("pending") == Some(1)
    });
    (0..2).for_each(|_| reloadable.fail_next_attempt());
    std::thread::sleep(Duration::from_millis(100)); // the retry waits
    reloadable.write_list(&list(43, false, &[entry("e1", other.address, "SERVING")]));
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
        !reloadable
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
fn eviction_that_races_the_next_request_answers_it_or_sends_nothing() {
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
