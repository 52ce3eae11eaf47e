//! The second address: what those who run the sidecar may ask of it, and what it answers to anything else.

use crate::stubs::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Guards READY: it is what `/ready` tells the front, and turns to no with it.
#[test]
fn ready_is_told_at_both_addresses() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert!(sidecar.call_is_yes("READY"));
    let mut waits = sidecar.client();
    waits.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    wait_until("it says no once it stops", || !sidecar.call_is_yes("READY"));
}

/// Guards against a sidecar that is called ready with nowhere to send.
#[test]
fn with_no_endpoint_it_is_not_ready() {
    let (sidecar, discovery) = Sidecar::start_with_admin(&[]);
    assert!(!sidecar.call_is_yes("READY"));
    let endpoint = Endpoint::start(|_| respond_ok(""));
    discovery
        .next_watch()
        .write_line(&list(42, true, &[entry("e0", endpoint.address, "SERVING")]));
    wait_until("it knows of an endpoint", || sidecar.call_is_yes("READY"));
}

/// Guards the figures: each request under one outcome of its class, as its client saw it, attempts as endpoints saw
/// them, and what is open for as long as it is.
#[test]
fn figures_tell_what_happened() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start(move |message| match message.header("x-class") {
        Some("safe") => respond_ok("x"),
        Some("keyed") => {
            let _ = released.lock().expect("the only one").recv();
            respond_ok("late")
        }
        _ => EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()),
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    assert_eq!(
        sidecar.requests_ended("completed", "keyed"),
        Some(0),
        "also before the first"
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
    let mut waits = sidecar.client();
    waits.write(
        &post_request("keyed", "15", "x").replace("Host: s", "Host: s\r\nIdempotency-Key: k"),
    );
    while endpoint.next_request().1.header("x-class") != Some("keyed") {}
    assert_eq!(sidecar.metric("pending"), Some(1));
    assert_eq!(sidecar.metric("upstream_requests"), Some(6));
    release.send(()).expect("the endpoint waits");
    assert_eq!(waits.read().expect("an answer").status(), 200);
    let ended = |how| {
        ["safe", "unsafe", "keyed"]
            .map(|class| sidecar.requests_ended(how, class).expect("a count"))
    };
    assert_eq!(ended("completed"), [3, 0, 1]);
    assert_eq!(ended("rejected"), [0, 1, 0]);
    assert_eq!(ended("failed"), [0, 2, 0]);
    let rest = [
        "pending",
        "members",
        "members_unavailable",
        "config_reloads",
        "config_reload_errors",
    ];
    assert_eq!(
        rest.map(|name| sidecar.metric(name)),
        [0, 1, 0, 0, 0].map(Some)
    );
    wait_until("the log tells the same", || {
        ["served", "rejected", "failed"].map(|name| sidecar.logged_count(name)) == [4, 1, 2]
    });
}

/// Guards `pending` against clients that leave, and what never was a request.
#[test]
fn what_is_not_owed_is_not_pending() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let mut leaves = sidecar.client();
    leaves.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    assert_eq!(sidecar.metric("pending"), Some(1));
    drop(leaves);
    wait_until("nothing is owed", || sidecar.metric("pending") == Some(0));
    assert_eq!(
        sidecar.client().exchange(&get_request("soon")).status(),
        400
    );
    let mut short = sidecar.client();
    short.write(&post_request("unsafe", "10", "whole").replace("Length: 5", "Length: 50"));
    assert_eq!(sidecar.metric("pending"), Some(0), "it has not come yet");
    drop(short);
    assert_eq!(sidecar.requests_ended("failed", "safe"), Some(0));
    assert_eq!(sidecar.requests_ended("failed", "unsafe"), Some(0));
}

/// Guards the form: what is no call of one line gets a no or a close, and costs neither the service nor the calls.
#[test]
fn what_is_no_call_gets_a_no_or_a_close() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    let long = [vec![b'x'; 100_000], b"\n".to_vec()].concat();
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
        let answer = sidecar.call_raw(bytes);
        assert!(
            answer.starts_with("NO") && answer.lines().count() == 1,
            "{bytes:?}: {answer:?}"
        );
    }
    // So much may be cut off, with the answer, by the close.
    let mut stream = TcpStream::connect(sidecar.admin()).expect("it accepts");
    let _ = stream.write_all(&long);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.starts_with("NO"), "{answer:?}");
    let mut cut = TcpStream::connect(sidecar.admin()).expect("it accepts");
    cut.write_all(b"STA").expect("it is open");
    cut.shutdown(std::net::Shutdown::Write).expect("it is open");
    cut.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    answer.clear();
    cut.read_to_string(&mut answer).expect("a whole answer");
    assert!(answer.starts_with("NO"), "{answer:?}");
    assert_eq!(
        sidecar.call_raw(b"READY\r\n"),
        "YES\n",
        "as some write lines"
    );
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
}

/// Guards calls, descriptors and service against callers that hold connections with no whole call.
#[test]
fn held_connections_neither_delay_calls_nor_add_up() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    config["limits"]["sockets"] = json!(96);
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_descriptor_limit(&path, 96);
    let mut held = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(sidecar.admin()).expect("it accepts");
        let _ = stream.write_all(b"STA");
        held.push(stream);
        assert!(sidecar.call_is_yes("READY"));
    }
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
    assert!(
        sidecar.descriptor_count() < 96,
        "{}",
        sidecar.descriptor_count()
    );
    for stream in &mut held {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer); // the end comes, in order or not
        assert!(answer.is_empty() || answer.starts_with("NO"), "{answer:?}");
    }
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards the environment's way of naming the address, and the start where it can't be had: one plain line.
#[test]
fn the_address_may_come_from_the_environment_and_must_be_free() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let path =
        temporary_file(&config(discovery.address, &serving_entries(&[&endpoint])).to_string());
    let mut named = sidecar_command();
    let sidecar = Sidecar::spawn(
        named
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN_ADDR", "127.0.0.1:0"),
    );
    assert!(sidecar.call_is_yes("READY"));
    for wrong in [sidecar.admin().to_string(), "nowhere".into()] {
        let output = sidecar_command()
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN_ADDR", &wrong)
            .output();
        let output = output.expect("the program starts");
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success() && error.lines().count() == 1 && error.contains(&wrong),
            "{error}"
        );
    }
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards the days before there was a second address: nothing listens beside the callers' one.
#[test]
fn without_a_second_address_none_is_opened() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (plain, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let (called, _other) = Sidecar::start_with_admin(&[&endpoint]);
    assert_eq!(plain.client().exchange(&get_request("2")).status(), 200);
    assert_eq!(called.client().exchange(&get_request("2")).status(), 200);
    let listening = |sidecar: &Sidecar| sidecar.listener_count();
    assert_eq!((listening(&plain), listening(&called)), (1, 2));
}

/// Guards the tolerance in time: calls are answered while the callers' side is busy.
#[test]
fn calls_are_answered_beside_many_requests() {
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
            let pending = sidecar.metric("pending").expect("a figure");
            assert!(pending <= 4, "{pending}");
            std::thread::sleep(Duration::from_millis(5));
        }
        done.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    assert_eq!(sidecar.metric("pending"), Some(0));
}
