//! The operators' address: its commands, and its responses to anything else.

use crate::stubs::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// `READY` is answered with yes while the sidecar serves, and with no once it shuts down, even if a request is still
/// pending.
#[test]
fn ready_turns_to_no_on_sigterm() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert!(sidecar.admin_answers_yes("READY"));
    let mut waiting_client = sidecar.client();
    waiting_client.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    wait_until("the sidecar is not ready once it shuts down", || {
        !sidecar.admin_answers_yes("READY")
    });
}

/// A sidecar that knows no endpoint is not ready until discovery lists one.
#[test]
fn sidecar_without_endpoints_is_not_ready() {
    let (sidecar, discovery) = Sidecar::start_with_admin(&[]);
    assert!(!sidecar.admin_answers_yes("READY"));
    let endpoint = Endpoint::start(|_| respond_ok(""));
    discovery.next_call().write_line(&endpoint_list(
        42,
        true,
        &[list_entry("e0", endpoint.address, "SERVING")],
    ));
    wait_until("the sidecar is ready", || {
        sidecar.admin_answers_yes("READY")
    });
}

/// Each request is counted once in its class, under the outcome that its client got. `upstream_requests` counts the
/// attempts that endpoints got, and `pending` the requests that wait for their response.
#[test]
fn metrics_count_each_request_under_one_outcome() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |message| match message.header("x-class") {
        Some("safe") => respond_ok("x"),
        Some("keyed") => {
            gate.wait();
            respond_ok("late")
        }
        _ => EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()),
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert_eq!(
        sidecar.ended_request_count("completed", "keyed"),
        Some(0),
        "zero before the first request"
    );
    let mut client = sidecar.client();
    for _ in 0..3 {
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
    }
    for _ in 0..2 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "5", "x")).status(),
            502
        );
    }
    assert_eq!(
        client
            .exchange(&post_request("unsafe", "0.001", "x"))
            .status(),
        503
    );
    let mut waiting_client = sidecar.client();
    waiting_client.write(
        &post_request("keyed", "15", "x").replace("Host: s", "Host: s\r\nIdempotency-Key: k"),
    );
    while endpoint.next_request().message.header("x-class") != Some("keyed") {}
    assert_eq!(sidecar.metric("pending"), Some(1));
    assert_eq!(sidecar.metric("upstream_requests"), Some(6));
    opener.release_one();
    assert_eq!(waiting_client.read().expect("an answer").status(), 200);
    let ended = |outcome| {
        ["safe", "unsafe", "keyed"].map(|class| {
            sidecar
                .ended_request_count(outcome, class)
                .expect("a count")
        })
    };
    assert_eq!(ended("completed"), [3, 0, 1]);
    assert_eq!(ended("rejected"), [0, 1, 0]);
    assert_eq!(ended("failed"), [0, 2, 0]);
    let other_metrics = [
        "pending",
        "members",
        "members_unavailable",
        "config_reloads",
        "config_reload_errors",
    ];
    assert_eq!(
        other_metrics.map(|name| sidecar.metric(name)),
        [0, 1, 0, 0, 0].map(Some)
    );
    wait_until("the log's counters agree", || {
        ["served", "rejected", "failed"].map(|name| sidecar.logged_count(name)) == [4, 1, 2]
    });
}

/// `pending` counts neither requests of disconnected clients nor requests that never arrived completely.
#[test]
fn disconnected_and_incomplete_requests_are_not_pending() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let mut disconnecting_client = sidecar.client();
    disconnecting_client.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    assert_eq!(sidecar.metric("pending"), Some(1));
    drop(disconnecting_client);
    wait_until("no request is pending", || {
        sidecar.metric("pending") == Some(0)
    });
    assert_eq!(
        sidecar.client().exchange(&get_request("soon")).status(),
        400
    );
    let mut incomplete_client = sidecar.client();
    incomplete_client
        .write(&post_request("unsafe", "10", "whole").replace("Length: 5", "Length: 50"));
    assert_eq!(sidecar.metric("pending"), Some(0), "its body is incomplete");
    drop(incomplete_client);
    assert_eq!(sidecar.ended_request_count("failed", "safe"), Some(0));
    assert_eq!(sidecar.ended_request_count("failed", "unsafe"), Some(0));
}

/// Input other than a one-line command is refused, or its connection is closed. Neither callers nor later commands are
/// affected.
#[test]
fn invalid_commands_are_refused_or_closed() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let long_line = [vec![b'x'; 100_000], b"\n".to_vec()].concat();
    for bytes in [
        &b"\n"[..],
        b"ready\n",
        b"READY NOW\n",
        b"STATS e0\n",
        b"GET /ready HTTP/1.1\r\nHost: s\r\n\r\n",
        b"READY\0\n",
        b"\xff\xfe\n",
        b"DISABLE\n",
        b"ENABLE\n",
    ] {
        let response = sidecar.exchange_admin_bytes(bytes);
        assert!(
            response.starts_with("NO") && response.lines().count() == 1,
            "{bytes:?}: {response:?}"
        );
    }
    // The connection of so long a line may be reset when it is closed, which can lose the response.
    let mut stream = TcpStream::connect(sidecar.admin_address()).expect("it accepts");
    let _ = stream.write_all(&long_line);
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert!(
        response.is_empty() || response.starts_with("NO"),
        "{response:?}"
    );
    let mut half_closed_stream = TcpStream::connect(sidecar.admin_address()).expect("it accepts");
    half_closed_stream.write_all(b"STA").expect("it is open");
    half_closed_stream
        .shutdown(std::net::Shutdown::Write)
        .expect("it is open");
    half_closed_stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    response.clear();
    half_closed_stream
        .read_to_string(&mut response)
        .expect("a complete response");
    assert!(response.starts_with("NO"), "{response:?}");
    assert_eq!(
        sidecar.exchange_admin_bytes(b"READY\r\n"),
        "YES\n",
        "a line may end in CRLF"
    );
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
}

/// Connections that never send a complete command neither delay other commands nor take descriptors from callers.
#[test]
fn idle_connections_neither_delay_commands_nor_accumulate() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    config["limits"]["sockets"] = json!(96);
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_descriptor_limit(&path, 96);
    let mut idle_connections = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(sidecar.admin_address()).expect("it accepts");
        let _ = stream.write_all(b"STA");
        idle_connections.push(stream);
        assert!(sidecar.admin_answers_yes("READY"));
    }
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
    assert!(
        sidecar.descriptor_count() < 96,
        "{}",
        sidecar.descriptor_count()
    );
    for stream in &mut idle_connections {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let mut response = String::new();
        let _ = stream.read_to_string(&mut response); // the connection is closed or reset
        assert!(
            response.is_empty() || response.starts_with("NO"),
            "{response:?}"
        );
    }
    std::fs::remove_file(path).expect("the file is removed");
}

/// The address may come from the environment. An address that cannot be bound fails the start with a single line.
#[test]
fn operators_address_may_come_from_the_environment() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let path =
        temporary_file(&config(discovery.address, &serving_entries(&[&endpoint])).to_string());
    let mut command = sidecar_command();
    let sidecar = Sidecar::spawn(
        command
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN_ADDR", "127.0.0.1:0"),
    );
    assert!(sidecar.admin_answers_yes("READY"));
    for unusable_address in [sidecar.admin_address().to_string(), "nowhere".into()] {
        let output = sidecar_command()
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN_ADDR", &unusable_address)
            .output();
        let output = output.expect("the program starts");
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success()
                && error.lines().count() == 1
                && error.contains(&unusable_address),
            "{error}"
        );
    }
    std::fs::remove_file(path).expect("the file is removed");
}

/// Without an operators' address, the sidecar listens on the callers' address only.
#[test]
fn sidecar_without_an_operators_address_opens_one_listener() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (without_operators, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let (with_operators, _other) = Sidecar::start_with_admin(&[&endpoint]);
    assert_eq!(
        without_operators
            .client()
            .exchange(&get_request("2"))
            .status(),
        200
    );
    assert_eq!(
        with_operators.client().exchange(&get_request("2")).status(),
        200
    );
    let listener_count_of = |sidecar: &Sidecar| sidecar.listener_count();
    assert_eq!(
        (
            listener_count_of(&without_operators),
            listener_count_of(&with_operators)
        ),
        (1, 2)
    );
}

/// Commands are answered while callers keep the sidecar busy.
#[test]
fn commands_are_answered_under_load() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let done = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut client = sidecar.client();
                while !done.load(std::sync::atomic::Ordering::Relaxed) {
                    assert!(matches!(
                        client.exchange(&get_request("5")).status(),
                        200 | 503
                    ));
                }
            });
        }
        for _ in 0..20 {
            let pending = sidecar.metric("pending").expect("a number");
            assert!(pending <= 4, "{pending}");
            std::thread::sleep(Duration::from_millis(5));
        }
        done.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    assert_eq!(sidecar.metric("pending"), Some(0));
}
