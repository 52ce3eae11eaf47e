//! The effect of endpoint lists on connections and requests.

use crate::stubs::*;
use serde_json::json;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Guards rules 3 and 6 of `tests/policy/random_sequences.rs`: when an endpoint is listed as draining or is removed, it
/// gets no new request and its idle connections are closed.
#[test]
fn draining_or_removed_endpoint_gets_no_request() {
    let listed_statuses = [Some("DRAINING"), Some("DELETED"), None];
    for status in listed_statuses {
        let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
        let (sidecar, discovery) = Sidecar::start_with_endpoints(&[&endpoints[0], &endpoints[1]]);
        let mut watch = discovery.next_call();
        assert!(
            watch
                .request_line
                .starts_with("GET /v1/endpoints?follow=1&since=41 "),
            "{}",
            watch.request_line
        );
        let mut client = sidecar.client();
        while endpoints[0].take_request_count() == 0 {
            assert_eq!(client.exchange(&get_request("2")).status(), 200);
        }

        watch.write_line("");
        watch.write_line(&match status {
            Some(status) => {
                endpoint_list(42, false, &[list_entry("e0", endpoints[0].address, status)])
            }
            None => endpoint_list(
                42,
                true,
                &[list_entry("e1", endpoints[1].address, "SERVING")],
            ),
        });

        endpoints[0].next_connection_close();
        for _ in 0..20 {
            assert_eq!(client.exchange(&get_request("2")).status(), 200);
        }
        assert_eq!(endpoints[0].take_request_count(), 0);
    }
}

/// Guards against malformed events: the watch is closed, the event has no effect, and the next watch resumes from the
/// last version.
#[test]
fn malformed_event_ends_the_watch_and_has_no_effect() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut watch = discovery.next_call();
    watch.write_line(&endpoint_list(
        57,
        true,
        &[list_entry("e0", endpoint.address, "SERVING")],
    ));

    watch.write_line(r#"{"index":58,"snapshot":false,"endpoints":[{"name":"e0"}]}"#);

    assert!(
        discovery.next_call().request_line.contains("since=57 "),
        "version 58 was not applied"
    );
    sidecar.wait_for_log("watch on discovery ended");
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
}

/// Guards lists that an agent pushes: the sidecar opens a watch on the agent at the start, and again after a watch has
/// ended.
#[test]
fn agent_watch_is_opened_at_the_start_and_reopened() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[list_entry("e0", endpoints[0].address, "SERVING")],
    );
    config["settings"]["discovery"] = json!(PUSHED_MODE);
    let sidecar = Sidecar::start(&config);
    let mut watch = discovery.next_call();
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);

    watch.write_line(&endpoint_list(
        42,
        true,
        &[list_entry("e1", endpoints[1].address, "SERVING")],
    ));

    assert_eq!(endpoints[0].next_connection_close(), 0);
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
    assert_eq!(endpoints[1].take_request_count(), 1);
    drop(watch);
    assert!(discovery.next_call().request_line.contains("since=42 "));
}

/// Guards against a discovery whose machine has failed: it sends nothing, and its connection stays open.
#[test]
fn silent_watch_is_reopened() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (_sidecar, discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let _silent = discovery.next_call();
    assert!(discovery.next_call().request_line.contains("since=41 "));
}

/// Guards the check before the first byte of a request is written: if the endpoint starts to drain while the connection
/// is being established, nothing is written and the request counts as not run. The endpoint's backlog is full, and the
/// connection waits for a slot in it.
#[test]
fn drain_during_the_connect_prevents_the_write() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let backlog: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).collect();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[list_entry("e0", address, "SERVING")]);
    config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
    config["settings"]["categories"][1]["objectiveNs"] = json!(15_000_000_000u64);
    let sidecar = Sidecar::start(&config);
    let mut watch = discovery.next_call();
    let mut client = sidecar.client();
    client.write(&post_request("unsafe", "15", "x"));
    // The sidecar has accepted the request before it answers a later caller.
    assert_eq!(sidecar.client().exchange(READY_REQUEST).status(), 200);

    watch.write_line(&endpoint_list(
        42,
        false,
        &[list_entry("e0", address, "DRAINING")],
    ));
    drop(watch);
    assert!(
        discovery.next_call().request_line.contains("since=42 "),
        "the drain is known"
    );
    let backlog_addresses: Vec<_> = backlog
        .iter()
        .map(|stream| stream.local_addr().expect("an address"))
        .collect();
    let mut sidecar_stream = loop {
        let (stream, peer) = listener.accept().expect("a connection");
        if !backlog_addresses.contains(&peer) {
            break stream;
        }
    };

    let mut written = Vec::new();
    sidecar_stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    sidecar_stream
        .read_to_end(&mut written)
        .expect("the sidecar closes it");
    assert!(written.is_empty(), "{}", String::from_utf8_lossy(&written));
    assert_eq!(client.read().expect("an answer").status(), 503);
}
