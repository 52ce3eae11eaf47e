//! Races between two events, each in its less usual order. `docs/event-races.md` lists them.
//!
//! The order is forced: a stub waits for the test before a step, or the sidecar's process is paused while the events
//! arrive.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Listens in the place of an endpoint. Returns the listener and its list entry. The test itself accepts the
/// connections, writes on them and closes them.
fn listen_as_endpoint() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let endpoint_entry = list_entry("raw", listener.local_addr().expect("an address"), "SERVING");
    (listener, endpoint_entry)
}

/// Accepts a connection and reads the request on it.
fn accept_request(listener: &TcpListener) -> (Message, TcpStream) {
    let (stream, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).expect("a request");
    (message, reader.into_inner())
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option");
    drop(stream);
}

/// Guards a response that is followed by a reset: a complete response is served, and an incomplete one fails. In both
/// cases a request that must not run twice is sent only once.
#[test]
fn complete_response_before_a_reset_is_served() {
    let complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (text, status) in [
        (complete, 200),
        (&complete[..complete.len() - 1], 502),
        ("", 502),
    ] {
        let (listener, endpoint_entry) = listen_as_endpoint();
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&with_admin_address(config(
            discovery.address,
            &[endpoint_entry],
        )));
        let mut client = sidecar.client();
        client.write(&post_request("unsafe", "9", "x"));
        let (_, mut stream) = accept_request(&listener);
        sidecar.pause();
        stream.write_all(text.as_bytes()).expect("it is open");
        reset(stream);
        sidecar.resume();
        assert_eq!(client.read().expect("an answer").status(), status, "{text}");
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        assert_eq!(sidecar.metric("pending"), Some(0));
    }
}

/// Guards responses without a length, which end when the connection is closed. A reset does not end such a response:
/// the request fails, whatever has arrived by then.
#[test]
fn reset_fails_a_response_without_a_length() {
    for (is_reset, status) in [(true, 502), (false, 200)] {
        for text in [
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nbegun",
            "HTTP/1.0 200 OK\r\n\r\nbegun",
        ] {
            let (listener, endpoint_entry) = listen_as_endpoint();
            let discovery = Discovery::start();
            let sidecar = Sidecar::start(&with_admin_address(config(
                discovery.address,
                &[endpoint_entry],
            )));
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "9", "x"));
            let (_, mut stream) = accept_request(&listener);
            stream.write_all(text.as_bytes()).expect("it is open");
            std::thread::sleep(Duration::from_millis(50)); // the text is read before the connection ends
            if is_reset {
                reset(stream);
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

/// Guards a timeout that races the response: one of the two ends the request, the client gets one response, and nothing
/// is sent again. The next request of the client gets a response of its own.
#[test]
fn timeout_racing_the_response_ends_the_request_once() {
    let (listener, endpoint_entry) = listen_as_endpoint();
    let discovery = Discovery::start();
    let mut config = config_with_deadline(&discovery, &[], Duration::from_secs(1));
    config["known"]["endpoints"] = json!([endpoint_entry]);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    client.write(&post_request("unsafe", "1", "x"));
    let (_, mut stream) = accept_request(&listener);
    sidecar.pause();
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
        "the next response is that of the next request"
    );
    wait_until("the request has ended", || {
        sidecar.metric("pending") == Some(0)
    });
    assert_eq!(sidecar.metric("upstream_requests"), Some(1));
    let ends: u64 = ["completed", "failed"]
        .iter()
        .filter_map(|outcome| sidecar.ended_request_count(outcome, "unsafe"))
        .sum();
    assert_eq!(ends, 1);
}

/// A sidecar whose settings can be reloaded, with a scripted endpoint, and with a few retries in its retry budget.
struct ReloadableSidecar {
    scripted: ScriptedEndpoint,
    sidecar: Sidecar,
    discovery: Discovery,
    watch: StreamedCall,
    config: Value,
    path: PathBuf,
}

impl ReloadableSidecar {
    fn start() -> Self {
        let (scripted, discovery) = (ScriptedEndpoint::start(), Discovery::start());
        let config = with_admin_address(config(
            discovery.address,
            &serving_entries(&[&scripted.endpoint]),
        ));
        let path = temporary_file(&config.to_string());
        let sidecar = Sidecar::start_with_file(&path);
        let watch = discovery.next_call();
        scripted.earn_retries(&mut sidecar.client());
        ReloadableSidecar {
            scripted,
            sidecar,
            discovery,
            watch,
            config,
            path,
        }
    }

    /// Sends a request, and waits until it is in flight to the endpoint.
    fn send_to_endpoint(&self, request: &str) -> Client {
        let mut client = self.sidecar.client();
        client.write(request);
        self.scripted.endpoint.next_request();
        client
    }

    /// Sends a list from discovery.
    fn write_list(&mut self, line: &str) {
        self.watch.write_line_reconnecting(&self.discovery, line);
    }

    /// Reloads the configuration with changed request classes.
    fn reload_classes(&mut self, change: impl FnOnce(&mut Vec<Value>)) {
        change(
            self.config["settings"]["categories"]
                .as_array_mut()
                .expect("a list"),
        );
        std::fs::write(&self.path, self.config.to_string()).expect("the file is written");
        self.sidecar.send_signal("HUP");
        wait_until("the reload has succeeded", || {
            self.sidecar.metric("config_reloads") == Some(1)
        });
    }

    /// Makes the endpoint fail the next attempt.
    fn fail_next_attempt(&self) {
        self.scripted.respond_next(EndpointAction::Respond(
            "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
        ));
    }
}

impl Drop for ReloadableSidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards an attempt in flight against a reload that makes its class idempotent: a request keeps the class that it
/// arrived with, and one that must not run twice is not retried.
#[test]
fn attempt_in_flight_keeps_its_class_after_a_reload() {
    let (mut reloadable, other) = (
        ReloadableSidecar::start(),
        Endpoint::start(|_| respond_ok("other")),
    );
    let mut client = reloadable.send_to_endpoint(&post_request("unsafe", "9", "x"));
    reloadable.write_list(&endpoint_list(
        42,
        true,
        &serving_entries(&[&reloadable.scripted.endpoint, &other]),
    ));
    wait_until("the other endpoint is listed", || {
        reloadable.sidecar.metric("members") == Some(2)
    });
    reloadable.reload_classes(|classes| classes[1]["effect"] = json!("free"));
    reloadable.fail_next_attempt();
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert_eq!(
        other.take_request_count(),
        0,
        "the request is not sent again"
    );
}

/// Guards attempts in flight against a reload with fewer priority levels: a request keeps its rank among the remaining
/// levels, both when it is retried and when its client disconnects.
#[test]
fn attempts_in_flight_survive_a_reload_with_fewer_priority_levels() {
    let (mut reloadable, other) = (
        ReloadableSidecar::start(),
        Endpoint::start(|_| respond_ok("other")),
    );
    let keyed =
        || post_request("keyed", "9", "x").replace("X-Class", "Idempotency-Key: k\r\nX-Class");
    let (mut client, disconnecting_client) = (
        reloadable.send_to_endpoint(&keyed()),
        reloadable.send_to_endpoint(&keyed()),
    );
    reloadable.write_list(&endpoint_list(
        42,
        false,
        &[list_entry(
            "e0",
            reloadable.scripted.endpoint.address,
            "DRAINING",
        )],
    ));
    wait_until("the endpoint is draining", || {
        reloadable.sidecar.metric("members_unavailable") == Some(1)
    });
    reloadable.reload_classes(|classes| {
        // Only one class remains besides that of the requests, with the same priority weight.
        classes.truncate(1);
        classes[0]["worth"] = json!(2.0);
    });
    drop(disconnecting_client);
    wait_until("the client has disconnected", || {
        reloadable.sidecar.metric("pending") == Some(1)
    });
    (0..2).for_each(|_| reloadable.fail_next_attempt());
    std::thread::sleep(Duration::from_millis(100)); // the retry is queued
    reloadable.write_list(&endpoint_list(
        43,
        false,
        &[list_entry("e1", other.address, "SERVING")],
    ));
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "other".as_bytes())
    );
    assert_eq!(
        client.exchange(&get_request("5")).status(),
        200,
        "later requests are served"
    );
    assert!(
        !reloadable
            .sidecar
            .log()
            .iter()
            .any(|line| line.contains("panicked"))
    );
}

/// Guards an eviction that races the next request on the same connection: the caller gets either a complete response,
/// or a close without any byte of a response. In the second case its request was not sent.
#[test]
fn eviction_does_not_truncate_a_response() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    config["limits"]["sockets"] = json!(64);
    let sidecar = Sidecar::start(&config);
    let mut idle_clients: Vec<Client> = (0..16).map(|_| sidecar.client()).collect();
    for client in &mut idle_clients {
        assert_eq!(client.exchange(READY_REQUEST).status(), 200);
    }
    sidecar.pause();
    let mut new_connections: Vec<TcpStream> = (0..24)
        .map(|_| TcpStream::connect(sidecar.address).expect("the backlog has room"))
        .collect();
    let requests: Vec<String> = idle_clients.iter().map(|_| get_request("9")).collect();
    idle_clients
        .iter_mut()
        .zip(&requests)
        .for_each(|(client, request)| client.write(request));
    sidecar.resume();
    let mut answered = 0;
    for client in &mut idle_clients {
        match client.read() {
            Some(answer) => {
                assert_eq!(answer.status(), 200);
                answered += 1;
            }
            None => assert!(client.wait_for_clean_close(), "no byte of a response came"),
        }
    }
    assert_eq!(
        endpoint.take_request_count(),
        answered,
        "requests on evicted connections are not sent"
    );
    for stream in &mut new_connections {
        let _ = stream.write_all(b"x");
    }
}
