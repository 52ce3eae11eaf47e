//! The discovery service over real sockets: lists, watches, capacity, outages and partitions.

#[path = "support/discovery_client.rs"]
mod discovery_client;
#[path = "support/wait.rs"]
mod wait;

use discovery_client::{Client, LIST, TIMEOUT, summarize, zones};
use fleet_lab::discovery::{
    DiscoveryOptions, DiscoveryServer, EndpointEntry, EndpointStatus, ListSnapshot, WatchOnChange,
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
        on_change: WatchOnChange::Sends,
        retained_changes: 3,
    }
}

fn entry(name: &str, status: EndpointStatus) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7070)),
        zone: "r1-z1".into(),
        kind: "m2".into(),
        group: 3,
        status,
        weight: 1.0,
        since_ms: 0,
    }
}

fn serving(name: &str) -> EndpointEntry {
    entry(name, EndpointStatus::Serving)
}

fn start(options: DiscoveryOptions) -> DiscoveryServer {
    DiscoveryServer::start(options, &zones(), vec![serving("a"), serving("b")]).unwrap()
}

#[test]
fn the_full_list_has_the_published_form() {
    let server = start(options());
    let mut client = Client::connect(&server, 0);
    client.get(LIST);
    let (status, body) = client.answer();
    assert_eq!(status, 200);
    let message: Value = serde_json::from_str(&body).unwrap();
    let first = serde_json::json!({
        "name": "a", "address": "127.0.0.1:7070", "zone": "r1-z1", "type": "m2", "group": 3,
        "status": "SERVING", "weight": 1.0, "since_ms": 0,
    });
    assert_eq!(message["endpoints"][0], first);
    assert_eq!(summarize(&body), "1 list a=SERVING b=SERVING");

    server.publish(vec![entry("a", EndpointStatus::Deleted), serving("c")]);
    client.get(LIST);
    assert_eq!(summarize(&client.answer().1), "2 list b=SERVING c=SERVING");
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

#[test]
fn a_watch_sends_the_changes_since_its_version_and_then_each_change_in_order() {
    let server = start(options());
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
fn a_watch_from_an_unretained_version_gets_the_full_list() {
    let server = start(options());
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

#[test]
fn a_watch_gets_an_empty_line_each_heartbeat_and_all_bytes_are_counted() {
    let server = start(DiscoveryOptions {
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

#[test]
fn a_lagging_watch_gets_the_full_list_and_resumes_from_it() {
    const VERSIONS: u64 = 3_000;
    let server = start(options());
    let mut watch = Client::watch(&server, 0, "&since=1");
    let long = EndpointEntry {
        kind: "x".repeat(20 << 10),
        ..serving("a")
    };
    for _ in 2..=VERSIONS {
        server.publish(vec![long.clone()]);
    }
    let (mut version, mut lists) = (1, 0);
    while version < VERSIONS {
        let message = watch.message();
        let (index, rest) = message.split_once(' ').unwrap();
        let index: u64 = index.parse().unwrap();
        let is_list = rest == "list a=SERVING b=SERVING";
        assert!(
            index == version + 1 || (is_list && index > version),
            "{message} after {version}"
        );
        version = index;
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
fn calls_beyond_the_capacity_are_rejected() {
    const CALLERS: u64 = 40;
    let queue_timeout = Duration::from_millis(100);
    let server = start(DiscoveryOptions {
        calls_per_second: 2.0,
        queue_timeout,
        ..options()
    });
    let mut clients: Vec<_> = (0..CALLERS).map(|_| Client::connect(&server, 0)).collect();
    for client in &mut clients {
        client.get(LIST);
    }
    let answers: Vec<u16> = clients.iter_mut().map(|client| client.answer().0).collect();
    let count = |status| answers.iter().filter(|answer| **answer == status).count() as u64;
    let usage = server.usage();
    assert_eq!((usage.lists, usage.rejected), (count(200), count(503)));
    assert_eq!(usage.lists + usage.rejected, CALLERS);
    assert!(usage.lists > 0 && usage.rejected > 0, "{usage:?}");
    assert!((1..CALLERS).contains(&usage.max_queue_length), "{usage:?}");
    // A connection can be used again after a rejection.
    wait_until("a list again", TIMEOUT, || {
        clients[0].get(LIST);
        clients[0].answer().0 == 200
    });
}

#[test]
fn a_changed_capacity_applies_to_later_calls() {
    let queue_timeout = Duration::from_millis(100);
    let server = start(DiscoveryOptions {
        queue_timeout,
        ..options()
    });
    let mut client = Client::connect(&server, 0);
    let mut list_status = || {
        client.get(LIST);
        client.answer().0
    };
    assert_eq!([list_status(), list_status()], [200, 200]);
    server.set_capacity(0.01, None).unwrap();
    assert_eq!([list_status(), list_status()], [200, 503]);
    assert!(server.set_capacity(0.0, None).is_err());
}

#[test]
fn a_price_for_entries_delays_later_calls() {
    // Two entries take 0.2 s, longer than a call may be queued.
    let server = start(DiscoveryOptions {
        entries_per_second: Some(10.0),
        queue_timeout: Duration::from_millis(100),
        ..options()
    });
    let mut client = Client::connect(&server, 0);
    let mut list_status = || {
        client.get(LIST);
        client.answer().0
    };
    assert_eq!([list_status(), list_status()], [200, 503]);
}

#[test]
fn a_watch_that_ends_on_changes_is_followed_by_the_full_list() {
    let server = start(DiscoveryOptions {
        on_change: WatchOnChange::Ends,
        ..options()
    });
    let _watch = Client::watch(&server, 0, "&since=1");
    server.publish(vec![serving("c")]);
    wait_until("the watch ends", TIMEOUT, || {
        server.usage().watches_open == 0
    });
    let mut next = Client::watch(&server, 0, "&since=1");
    assert_eq!(next.message(), "2 list a=SERVING b=SERVING c=SERVING");
    let mut current = Client::watch(&server, 0, "&since=2");
    current.assert_is_quiet();
}

#[test]
fn a_client_that_disconnects_while_queued_is_counted_and_uses_its_slot() {
    let server = start(DiscoveryOptions {
        calls_per_second: 1.0,
        ..options()
    });
    let [mut first, mut disconnecting, mut last] = [(); 3].map(|()| Client::connect(&server, 0));
    first.get(LIST);
    assert_eq!(first.answer().0, 200);
    disconnecting.get(LIST);
    wait_until("one call is queued", TIMEOUT, || {
        server.usage().max_queue_length == 1
    });
    last.get(LIST);
    wait_until("two calls are queued", TIMEOUT, || {
        server.usage().max_queue_length == 2
    });
    drop(disconnecting);
    assert_eq!(last.answer().0, 200);
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
fn an_outage_resets_connections_and_refuses_new_ones_until_its_end() {
    let server = start(options());
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

#[test]
fn a_partitioned_zone_has_no_traffic_and_its_connections_are_reset_when_it_heals() {
    let server = start(options());
    let [cut, other] = [&zones()[0], &zones()[1]];
    let mut cut_watch = Client::watch(&server, 0, "&since=1");
    let mut other_watch = Client::watch(&server, 1, "&since=1");
    server.partition_zone(cut);
    assert_eq!(server.publish(vec![serving("c")]), 2);
    let change = "2 changes c=SERVING";
    assert_eq!(other_watch.message(), change);
    let mut new = Client::connect(&server, 0);
    new.get(LIST);
    wait_until("the new connection is accepted", TIMEOUT, || {
        server.usage().connections == 3
    });
    cut_watch.assert_is_quiet();
    new.assert_is_quiet();
    assert_eq!(
        (
            server.watches_by_zone()[cut],
            server.watches_by_zone()[other]
        ),
        (0, 1)
    );

    server.heal_zone(cut);
    cut_watch.assert_is_reset();
    new.assert_is_reset();
    assert_eq!(Client::watch(&server, 0, "&since=1").message(), change);
    server.publish(vec![serving("d")]);
    assert_eq!(other_watch.message(), "3 changes d=SERVING");
}

#[test]
fn malformed_and_unknown_requests_are_rejected() {
    let server = start(options());
    let long_header = format!("GET {LIST} HTTP/1.1\r\nX: {}\r\n", "x".repeat(20 << 10));
    let bad = [
        "what is this\r\n\r\n",
        "GET /v1/endpoints HTTP/1.0\r\n\r\n",
        "DELETE /v1/endpoints HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints?follow=yes HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints?follow=1&since=-1 HTTP/1.1\r\n\r\n",
        "GET /v1/endpoints HTTP/1.1\r\nContent-Length: 4\r\n\r\n",
        long_header.as_str(),
    ];
    for request in bad {
        let mut client = Client::connect(&server, 0);
        client.send(request);
        assert_eq!(client.answer().0, 400, "{request}");
        assert_eq!(client.ending().unwrap(), 0, "{request}");
    }
    let mut client = Client::connect(&server, 0);
    client.get("/v1/elsewhere");
    assert_eq!(client.answer().0, 404);
    client.send("GET /v1/endpoints HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert_eq!(client.answer().0, 200);
    assert_eq!(client.ending().unwrap(), 0);
    assert_eq!((server.usage().lists, server.usage().rejected), (1, 0));
}

#[test]
fn invalid_options_are_rejected() {
    let rates = [0.0, -1.0, f64::NAN, 1e-300];
    let bad_rates = rates.map(|calls_per_second| DiscoveryOptions {
        calls_per_second,
        ..options()
    });
    let no_heartbeat = DiscoveryOptions {
        heartbeat: Duration::ZERO,
        ..options()
    };
    for options in bad_rates.into_iter().chain([no_heartbeat]) {
        assert!(DiscoveryServer::start(options, &zones(), Vec::new()).is_err());
    }
}

#[tokio::test]
async fn a_hyper_client_like_that_of_the_sidecars_follows_a_watch() {
    use http_body_util::{BodyExt, Empty};
    use hyper::Request;
    use hyper::body::Bytes;
    let server = start(options());
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
        .send_request(call(LIST).unwrap())
        .await
        .unwrap()
        .into_body();
    let list = list.collect().await.unwrap().to_bytes();
    assert_eq!(
        summarize(std::str::from_utf8(&list).unwrap()),
        "1 list a=SERVING b=SERVING"
    );

    let target = format!("{LIST}?follow=1&since=1");
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
    assert!(ended.is_ok(), "the client's connection ends with the call");
    wait_until("the watch's end", TIMEOUT, || {
        server.usage().watches_open == 0
    });
}
