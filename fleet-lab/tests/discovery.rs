//! The simulated discovery service over real sockets: lists, watches, capacity, outages and partitions.

#[path = "support/discovery_client.rs"]
mod discovery_client;
#[path = "support/wait.rs"]
mod wait;

use discovery_client::{Client, LIST_PATH, TIMEOUT, summarize, zones};
use fleet_lab::discovery::{
    DiscoveryOptions, DiscoveryServer, EndpointEntry, EndpointStatus, ListChangeAction,
    ListSnapshot,
};
use hyper::body::Incoming;
use serde_json::Value;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use wait::wait_until;

fn options() -> DiscoveryOptions {
    DiscoveryOptions {
        calls_per_second: 10_000.0,
        queue_timeout: TIMEOUT,
        heartbeat: TIMEOUT,
        entries_per_second: None,
        on_change: ListChangeAction::SendChange,
        retained_changes: 3,
    }
}

fn entry(name: &str, status: EndpointStatus) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7070)),
        zone: "r1-z1".into(),
        machine_type: "m2".into(),
        group: 3,
        status,
        weight: 1.0,
        since_ms: 0,
    }
}

fn serving(name: &str) -> EndpointEntry {
    entry(name, EndpointStatus::Serving)
}

/// Starts a discovery service with the serving endpoints `a` and `b`.
fn start_server(options: DiscoveryOptions) -> DiscoveryServer {
    DiscoveryServer::start(options, &zones(), vec![serving("a"), serving("b")]).unwrap()
}

/// Guards the fields of an entry, the version, and the removal of deleted entries.
#[test]
fn full_list_matches_protocol() {
    let server = start_server(options());
    let mut client = Client::connect(&server, 0);
    client.get(LIST_PATH);
    let (status, body) = client.response();
    assert_eq!(status, 200);
    let message: Value = serde_json::from_str(&body).unwrap();
    let first = serde_json::json!({
        "name": "a", "address": "127.0.0.1:7070", "zone": "r1-z1", "type": "m2", "group": 3,
        "status": "SERVING", "weight": 1.0, "since_ms": 0,
    });
    assert_eq!(message["endpoints"][0], first);
    assert_eq!(summarize(&body), "1 list a=SERVING b=SERVING");

    server.publish(vec![entry("a", EndpointStatus::Deleted), serving("c")]);
    client.get(LIST_PATH);
    assert_eq!(
        summarize(&client.response().1),
        "2 list b=SERVING c=SERVING"
    );
    let snapshot = ListSnapshot {
        version: 2,
        endpoints: vec![serving("b"), serving("c")],
    };
    assert_eq!(server.snapshot(), snapshot);
    let usage = server.usage();
    assert_eq!(
        (usage.connections, usage.lists, usage.bytes_written),
        (1, 2, client.bytes_read)
    );
}

/// A watch from an older version first gets one message with the changes since that version.
#[test]
fn watch_sends_past_and_new_changes_in_order() {
    let server = start_server(options());
    server.publish(vec![serving("c"), entry("a", EndpointStatus::Draining)]);
    server.publish(vec![entry("a", EndpointStatus::Deleted)]);
    let mut behind = Client::watch(&server, 0, "&since=1");
    let mut current = Client::watch(&server, 1, "&since=3");
    assert_eq!(behind.message(), "3 changes a=DELETED c=SERVING");
    current.assert_is_quiet();

    for version in 4..40 {
        assert_eq!(
            server.publish(vec![serving(&format!("d{version}"))]),
            version
        );
    }
    for version in 4..40 {
        let change = format!("{version} changes d{version}=SERVING");
        assert_eq!(behind.message(), change);
        assert_eq!(current.message(), change);
    }
    assert_eq!(
        server.watches_by_zone(),
        zones().into_iter().map(|zone| (zone, 1)).collect()
    );
    assert_eq!(
        server.usage().bytes_written,
        behind.bytes_read + current.bytes_read
    );

    drop(behind);
    wait_until("one watch", TIMEOUT, || server.usage().watches_open == 1);
    assert_eq!(server.usage().watches_opened, 2);
}

#[test]
fn watch_from_unretained_version_gets_full_list() {
    let server = start_server(options());
    for _ in 0..4 {
        server.publish(vec![entry("b", EndpointStatus::Draining)]);
    }
    let full_list = "5 list a=SERVING b=DRAINING";
    for query in ["", "&since=0", "&since=1", "&since=6"] {
        assert_eq!(
            Client::watch(&server, 0, query).message(),
            full_list,
            "{query}"
        );
    }
    let retained = "5 changes b=DRAINING";
    assert_eq!(Client::watch(&server, 0, "&since=2").message(), retained);
}

/// A heartbeat is an empty line. Its bytes are counted in the usage.
#[test]
fn idle_watch_gets_heartbeats() {
    let server = start_server(DiscoveryOptions {
        heartbeat: Duration::from_millis(5),
        ..options()
    });
    let mut watch = Client::watch(&server, 0, "&since=1");
    let head_bytes = watch.bytes_read;
    for _ in 0..3 {
        assert_eq!(watch.chunk(), "");
    }
    let usage = server.usage();
    assert_eq!(usage.bytes_written, head_bytes + usage.heartbeat_bytes);
    assert!(
        usage.heartbeat_bytes >= watch.bytes_read - head_bytes,
        "{usage:?}"
    );
}

/// A watch that reads too slowly skips versions. It must get the full list in their place, and no version twice.
#[test]
fn lagging_watch_resumes_from_full_list() {
    const VERSIONS: u64 = 3_000;
    let server = start_server(options());
    let mut watch = Client::watch(&server, 0, "&since=1");
    let long_entry = EndpointEntry {
        machine_type: "x".repeat(20 << 10),
        ..serving("a")
    };
    for _ in 2..=VERSIONS {
        server.publish(vec![long_entry.clone()]);
    }
    let (mut version, mut lists) = (1, 0);
    while version < VERSIONS {
        let message = watch.message();
        let (message_version, rest) = message.split_once(' ').unwrap();
        let message_version: u64 = message_version.parse().unwrap();
        let is_list = rest == "list a=SERVING b=SERVING";
        assert!(
            message_version == version + 1 || (is_list && message_version > version),
            "{message} after {version}"
        );
        version = message_version;
        lists += u64::from(is_list);
    }
    assert!(lists > 0);
    server.publish(vec![serving("c")]);
    assert_eq!(
        watch.message(),
        format!("{} changes c=SERVING", VERSIONS + 1)
    );
}

#[test]
fn calls_beyond_capacity_are_rejected() {
    const CALLERS: u64 = 40;
    let queue_timeout = Duration::from_millis(100);
    let server = start_server(DiscoveryOptions {
        calls_per_second: 2.0,
        queue_timeout,
        ..options()
    });
    let mut clients: Vec<_> = (0..CALLERS).map(|_| Client::connect(&server, 0)).collect();
    for client in &mut clients {
        client.get(LIST_PATH);
    }
    let codes: Vec<u16> = clients
        .iter_mut()
        .map(|client| client.response().0)
        .collect();
    let count = |status| codes.iter().filter(|code| **code == status).count() as u64;
    let usage = server.usage();
    assert_eq!((usage.lists, usage.rejected), (count(200), count(503)));
    assert_eq!(usage.lists + usage.rejected, CALLERS);
    assert!(usage.lists > 0 && usage.rejected > 0, "{usage:?}");
    assert!((1..CALLERS).contains(&usage.max_queue_length), "{usage:?}");
    // A rejection leaves the connection open.
    wait_until("a call is handled again", TIMEOUT, || {
        clients[0].get(LIST_PATH);
        clients[0].response().0 == 200
    });
}

#[test]
fn changed_capacity_applies_to_later_calls() {
    let queue_timeout = Duration::from_millis(100);
    let server = start_server(DiscoveryOptions {
        queue_timeout,
        ..options()
    });
    let mut client = Client::connect(&server, 0);
    let mut list_status = || {
        client.get(LIST_PATH);
        client.response().0
    };
    assert_eq!([list_status(), list_status()], [200, 200]);
    server.set_capacity(0.01, None).unwrap();
    assert_eq!([list_status(), list_status()], [200, 503]);
    assert!(server.set_capacity(0.0, None).is_err());
}

#[test]
fn entry_rate_delays_later_calls() {
    // Two entries take 0.2 s, which is longer than the queue timeout.
    let server = start_server(DiscoveryOptions {
        entries_per_second: Some(10.0),
        queue_timeout: Duration::from_millis(100),
        ..options()
    });
    let mut client = Client::connect(&server, 0);
    let mut list_status = || {
        client.get(LIST_PATH);
        client.response().0
    };
    assert_eq!([list_status(), list_status()], [200, 503]);
}

/// With `EndWatch`, a watch can resume only from the current version.
#[test]
fn watch_after_ended_watch_gets_full_list() {
    let server = start_server(DiscoveryOptions {
        on_change: ListChangeAction::EndWatch,
        ..options()
    });
    let _watch = Client::watch(&server, 0, "&since=1");
    server.publish(vec![serving("c")]);
    wait_until("the watch has ended", TIMEOUT, || {
        server.usage().watches_open == 0
    });
    let mut next = Client::watch(&server, 0, "&since=1");
    assert_eq!(next.message(), "2 list a=SERVING b=SERVING c=SERVING");
    let mut current = Client::watch(&server, 0, "&since=2");
    current.assert_is_quiet();
}

/// The call of a client that disconnects is counted, and the calls behind it do not move up.
#[test]
fn disconnected_queued_call_keeps_its_slot() {
    let server = start_server(DiscoveryOptions {
        calls_per_second: 1.0,
        ..options()
    });
    let [mut first, mut disconnecting, mut last] = [(); 3].map(|()| Client::connect(&server, 0));
    first.get(LIST_PATH);
    assert_eq!(first.response().0, 200);
    disconnecting.get(LIST_PATH);
    wait_until("one call is queued", TIMEOUT, || {
        server.usage().max_queue_length == 1
    });
    last.get(LIST_PATH);
    wait_until("two calls are queued", TIMEOUT, || {
        server.usage().max_queue_length == 2
    });
    drop(disconnecting);
    assert_eq!(last.response().0, 200);
    assert_eq!(
        (
            server.usage().lists,
            server.usage().disconnected,
            server.usage().rejected
        ),
        (2, 1, 0)
    );
}

#[test]
fn outage_resets_and_refuses_connections() {
    let server = start_server(options());
    let address = server.address(&zones()[0]);
    let mut watch = Client::watch(&server, 0, "&since=1");
    let mut idle = Client::connect(&server, 1);
    server.begin_outage();
    watch.assert_is_reset();
    idle.assert_is_reset();
    assert_eq!(server.usage().watches_open, 0);
    assert_eq!(
        TcpStream::connect(address).unwrap_err().kind(),
        ErrorKind::ConnectionRefused
    );

    server.publish(vec![serving("c")]);
    server.end_outage();
    assert_eq!(server.address(&zones()[0]), address);
    let mut again = Client::watch(&server, 0, "&since=1");
    assert_eq!(again.message(), "2 changes c=SERVING");
}

/// Connections of the zone stay open without traffic and are reset when the partition heals.
#[test]
fn partitioned_zone_has_no_traffic_until_healed() {
    let server = start_server(options());
    let [partitioned, other] = [&zones()[0], &zones()[1]];
    let mut partitioned_watch = Client::watch(&server, 0, "&since=1");
    let mut other_watch = Client::watch(&server, 1, "&since=1");
    server.partition_zone(partitioned);
    assert_eq!(server.publish(vec![serving("c")]), 2);
    let change = "2 changes c=SERVING";
    assert_eq!(other_watch.message(), change);
    let mut new_client = Client::connect(&server, 0);
    new_client.get(LIST_PATH);
    wait_until("the new connection is accepted", TIMEOUT, || {
        server.usage().connections == 3
    });
    partitioned_watch.assert_is_quiet();
    new_client.assert_is_quiet();
    assert_eq!(
        (
            server.watches_by_zone()[partitioned],
            server.watches_by_zone()[other]
        ),
        (0, 1)
    );

    server.heal_zone(partitioned);
    partitioned_watch.assert_is_reset();
    new_client.assert_is_reset();
    assert_eq!(Client::watch(&server, 0, "&since=1").message(), change);
    server.publish(vec![serving("d")]);
    assert_eq!(other_watch.message(), "3 changes d=SERVING");
}

#[test]
fn malformed_and_unknown_requests_are_rejected() {
    let server = start_server(options());
    let long_header = format!(
        "GET {LIST_PATH} HTTP/1.1\r\nX: {}\r\n",
        "x".repeat(20 << 10)
    );
    let invalid = [
        "what is this\r\n\r\n",
        "GET /v1/endpoints HTTP/1.0\r\n\r\n",
        "DELETE /v1/endpoints HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints?follow=yes HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints?follow=1&since=-1 HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints HTTP/1.1\r\nContent-Length: 4\r\n\r\n",
        long_header.as_str(),
    ];
    for request in invalid {
        let mut client = Client::connect(&server, 0);
        client.send(request);
        assert_eq!(client.response().0, 400, "{request}");
        assert_eq!(client.read_once().unwrap(), 0, "{request}");
    }
    let mut client = Client::connect(&server, 0);
    client.get("/v1/elsewhere");
    assert_eq!(client.response().0, 404);
    client.send("GET /v1/endpoints HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert_eq!(client.response().0, 200);
    assert_eq!(client.read_once().unwrap(), 0);
    assert_eq!((server.usage().lists, server.usage().rejected), (1, 0));
}

#[test]
fn invalid_options_are_rejected() {
    let rates = [0.0, -1.0, f64::NAN, 1e-300];
    let invalid_rates = rates.map(|calls_per_second| DiscoveryOptions {
        calls_per_second,
        ..options()
    });
    let no_heartbeat = DiscoveryOptions {
        heartbeat: Duration::ZERO,
        ..options()
    };
    for options in invalid_rates.into_iter().chain([no_heartbeat]) {
        assert!(DiscoveryServer::start(options, &zones(), Vec::new()).is_err());
    }
}

/// Sidecars use a hyper client too.
#[tokio::test]
async fn hyper_client_follows_watch() {
    use http_body_util::{BodyExt, Empty};
    use hyper::Request;
    use hyper::body::Bytes;
    let server = start_server(options());
    let stream = tokio::net::TcpStream::connect(server.address(&zones()[0]))
        .await
        .unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    let connection = tokio::spawn(connection);
    let call = |target: &str| {
        Request::get(target)
            .header("host", "discovery")
            .body(Empty::<Bytes>::new())
    };
    let list = sender
        .send_request(call(LIST_PATH).unwrap())
        .await
        .unwrap()
        .into_body();
    let list = list.collect().await.unwrap().to_bytes();
    assert_eq!(
        summarize(std::str::from_utf8(&list).unwrap()),
        "1 list a=SERVING b=SERVING"
    );

    let target = format!("{LIST_PATH}?follow=1&since=1");
    let mut watch: Incoming = sender
        .send_request(call(&target).unwrap())
        .await
        .unwrap()
        .into_body();
    for version in 2..5 {
        server.publish(vec![serving("c")]);
        let line = watch.frame().await.unwrap().unwrap().into_data().unwrap();
        let text = std::str::from_utf8(&line).unwrap();
        assert_eq!(summarize(text), format!("{version} changes c=SERVING"));
    }
    drop(watch);
    drop(sender);
    let ended = tokio::time::timeout(TIMEOUT, connection).await;
    assert!(
        ended.is_ok(),
        "the client's connection did not end with the watch"
    );
    wait_until("the watch has ended", TIMEOUT, || {
        server.usage().watches_open == 0
    });
}
