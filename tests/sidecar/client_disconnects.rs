//! Clients that disconnect while their request waits. Wherever it waits, it is not sent, and other requests are served.

use crate::cancellation_support::{
    ALL_DISCONNECTS, Disconnect, FullBacklogEndpoint, LIFECYCLE_CHANGES, PipelinedBytes,
    QueueingSidecar, WaitingClient, apply_change, request_id,
};
use crate::stubs::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Queues requests of clients that disconnect, each in another way, and of clients that stay, and then lists an
/// endpoint. Asserts that each disconnect is counted once and that only the requests of clients that stay are sent.
fn assert_disconnect_cancels_queued_request(configure: impl FnOnce(&mut Value)) {
    let mut queueing = QueueingSidecar::with_config(configure);
    let (mut staying, mut disconnecting, mut ids) = (Vec::new(), Vec::new(), Vec::new());
    for how in ALL_DISCONNECTS {
        let request = get_request("60");
        disconnecting.push((how, WaitingClient::send(&queueing.sidecar, &request)));
        if let Disconnect::ByFin(_) = how {
            let request = post_request("unsafe", "60", "x");
            ids.push(request_id(&request));
            staying.push(WaitingClient::send(&queueing.sidecar, &request));
        }
    }
    let all = disconnecting.len() + staying.len();
    queueing.wait_for_pending(all);
    for (how, client) in disconnecting {
        client.disconnect(how);
    }
    queueing.wait_for_pending(staying.len());
    queueing.list_endpoint();
    assert!(
        staying.iter_mut().all(WaitingClient::is_served),
        "the requests of clients that stay are served"
    );
    queueing.wait_for_pending(0);
    let mut received_request_ids = queueing.received_request_ids();
    received_request_ids.sort();
    ids.sort();
    assert_eq!(received_request_ids, ids, "no other request is sent");
    drop(staying);
    let mut sidecar = queueing.sidecar;
    sidecar.terminate();
    assert!(sidecar.wait().success());
    let count = |name: &str| sidecar.logged_count(name);
    wait_until("the counts are logged", || count("requests") == all as u64);
    assert_eq!(
        (count("disconnected"), count("served")),
        (ALL_DISCONNECTS.len() as u64, ids.len() as u64),
        "{:?}",
        sidecar.log()
    );
    assert!(
        sidecar
            .log()
            .iter()
            .any(|line| line.contains("now pending=0 queued=0 in_flight=0")),
        "{:?}",
        sidecar.log()
    );
}

/// Guards queued requests in the first tier.
#[test]
fn disconnect_cancels_queued_request() {
    assert_disconnect_cancels_queued_request(|_| {});
}

/// Guards queued requests in a later tier. Its clients are endpoints of the tier before it, which disconnect when they
/// cancel a call. The settings do not allow attempts to be cancelled.
#[test]
fn disconnect_cancels_queued_request_in_later_tier() {
    assert_disconnect_cancels_queued_request(|config| {
        config["settings"]["tier"] = json!(1);
        config["settings"]["stages"] = json!(["one", "two"]);
        config["settings"]["bounds"]["cancel"] = json!(false);
    });
}

/// Guards requests that wait for a busy endpoint. While two attempts are in flight there, requests of the class with
/// the lowest priority are queued. They are sent when the two attempts are answered.
#[test]
fn disconnect_cancels_request_waiting_for_busy_endpoint() {
    let (opener, gate) = response_gate();
    let busy = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            gate.wait();
        }
        respond_ok("x")
    });
    let mut queueing = QueueingSidecar::with_config(|config| {
        config["known"]["endpoints"] = json!(serving_entries(&[&busy]));
    });
    let mut in_flight = [0, 1].map(|_| {
        let client = WaitingClient::send(&queueing.sidecar, &post_request("unsafe", "60", "x"));
        busy.next_request();
        client
    });
    let requests = ALL_DISCONNECTS.map(|how| (how, get_request("60")));
    let disconnecting: Vec<_> = requests
        .iter()
        .map(|(how, request)| (*how, WaitingClient::send(&queueing.sidecar, request)))
        .collect();
    let request = get_request("60");
    let mut staying_client = WaitingClient::send(&queueing.sidecar, &request);
    queueing.wait_for_pending(2 + ALL_DISCONNECTS.len() + 1);
    for (how, client) in disconnecting {
        client.disconnect(how);
    }
    queueing.wait_for_pending(3);
    assert_eq!(
        busy.take_request_count(),
        0,
        "no queued request has been sent"
    );
    for _ in 0..2 {
        opener.release_one();
    }
    assert!(in_flight.iter_mut().all(WaitingClient::is_served) && staying_client.is_served());
    let received_request_ids: Vec<_> = busy
        .take_requests()
        .iter()
        .filter_map(|message| message.header("x-request-id").map(String::from))
        .collect();
    assert_eq!(received_request_ids, [request_id(&request)]);
}

/// Guards two kinds of requests: those with an unread or incomplete body, for which the disconnect is not detected by a
/// read, and chunked ones, which are read together with the bytes after them.
#[test]
fn disconnect_cancels_request_with_unread_or_partial_body() {
    let mut queueing = QueueingSidecar::with_config(|_| {});
    let large = |length: usize, written: usize| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        format!("{head}{}", "x".repeat(written))
    };
    let chunked = |end: &str| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}5\r\nhello\r\n{end}")
    };
    let without_pipelined_bytes = [
        Disconnect::ByFin(PipelinedBytes::Nothing),
        Disconnect::ByReset(PipelinedBytes::Nothing),
    ];
    let with_second_request = [
        Disconnect::ByFin(PipelinedBytes::CompleteRequest),
        Disconnect::ByReset(PipelinedBytes::CompleteRequest),
    ];
    let accepted = [
        large(100_000, 100_000),
        large(300_000, 90_000),
        chunked("0\r\n\r\n"),
    ];
    let mut disconnecting: Vec<_> = Vec::new();
    for request in &accepted {
        for how in without_pipelined_bytes {
            let text = request.replace(
                &request_id(request),
                &format!("{}-{}", request_id(request), disconnecting.len()),
            );
            disconnecting.push((how, WaitingClient::send(&queueing.sidecar, &text)));
        }
    }
    for how in with_second_request {
        let second = get_request("60");
        disconnecting.push((
            how,
            WaitingClient::send(
                &queueing.sidecar,
                &format!("{}{second}", chunked("0\r\n\r\n")),
            ),
        ));
    }
    // Only complete or large requests are passed to the balancer. An incomplete small one is not pending.
    let mut partial: Vec<_> = without_pipelined_bytes
        .map(|how| {
            (
                how,
                WaitingClient::send(&queueing.sidecar, &large(50_000, 10)),
            )
        })
        .into_iter()
        .collect();
    partial.extend(without_pipelined_bytes.map(|how| {
        (
            how,
            WaitingClient::send(&queueing.sidecar, &chunked("5\r\nhel")),
        )
    }));
    let request = post_request("unsafe", "60", &"y".repeat(90_000));
    let mut staying_client = WaitingClient::send(&queueing.sidecar, &request);
    // A large body is not read while its request is queued. Such a request does not count as pending yet.
    queueing.wait_for_pending(4);
    queueing.wait_until("all large requests are accepted", |sidecar| {
        sidecar.logged_count("requests") == 9
    });
    disconnecting
        .into_iter()
        .chain(partial)
        .for_each(|(how, client)| client.disconnect(how));
    queueing.wait_for_pending(0);
    queueing.wait_until("all clients have disconnected", |sidecar| {
        sidecar.logged_count("disconnected") == 8
    });
    queueing.list_endpoint();
    assert!(staying_client.is_served());
    assert_eq!(queueing.received_request_ids(), [request_id(&request)]);
}

/// Guards attempts whose connection is established late. Nothing is written on it once the client has disconnected,
/// whether attempts may be cancelled or not.
#[test]
fn disconnect_cancels_connecting_request() {
    for cancel in [true, false] {
        let full_backlog_endpoint = FullBacklogEndpoint::start();
        let discovery = Discovery::start();
        let mut config = with_admin_address(config(
            discovery.address,
            &[full_backlog_endpoint.list_entry()],
        ));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start(&config);
        let wait_for_pending = |count| {
            wait_until(&format!("{count} requests are pending"), || {
                sidecar.metric("pending") == Some(count)
            });
        };
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| (how, WaitingClient::send(&sidecar, &get_request("10"))))
            .collect();
        let request = get_request("10");
        let staying_client = WaitingClient::send(&sidecar, &request);
        wait_for_pending(9);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        wait_for_pending(1);
        // Without cancellation the connections of the others are established too, with nothing written on them.
        assert!(
            full_backlog_endpoint
                .next_written_text()
                .contains(&request_id(&request)),
            "the request is that of the client that stays"
        );
        std::thread::sleep(Duration::from_secs(3)); // SYN is retransmitted after 1 s, and again 2 s later
        while let Some(mut stream) = full_backlog_endpoint.try_accept() {
            stream.set_nonblocking(true).expect("the option is set");
            assert!(
                !matches!(stream.read(&mut [0; 64]), Ok(1..)),
                "nothing is written on other connections"
            );
        }
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        drop(staying_client);
        wait_for_pending(0);
    }
}

/// Guards a queued retry: the client disconnects while its request, whose first attempt failed, waits for another
/// endpoint.
#[test]
fn disconnect_cancels_queued_retry() {
    let failing = Endpoint::start(|message| match message.header("x-class") {
        Some("safe") => {
            EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => respond_ok("x"),
    });
    let mut queueing = QueueingSidecar::with_config(|config| {
        config["known"]["endpoints"] = json!(serving_entries(&[&failing]));
    });
    // These requests earn retry budget.
    let mut earning_client = queueing.sidecar.client();
    for _ in 0..20 {
        assert_eq!(
            earning_client
                .exchange(&post_request("unsafe", "10", "x"))
                .status(),
            200
        );
        failing.next_request();
    }
    for how in [
        Disconnect::ByFin(PipelinedBytes::CompleteRequest),
        Disconnect::ByReset(PipelinedBytes::Nothing),
    ] {
        let request = get_request("60");
        let client = WaitingClient::send(&queueing.sidecar, &request);
        assert_eq!(
            failing.next_request().message.header("x-request-id"),
            Some(&*request_id(&request))
        );
        // The request stays pending after the failure, and waits for an endpoint that has not failed it.
        queueing.wait_for_pending(1);
        client.disconnect(how);
        queueing.wait_for_pending(0);
    }
    let names = [("e0", &failing), ("other", &queueing.endpoint)];
    let all: Vec<Value> = names
        .iter()
        .map(|(name, endpoint)| list_entry(name, endpoint.address, "SERVING"))
        .collect();
    queueing.write_list(&endpoint_list(42, false, &all));
    queueing.wait_until("the other endpoint is listed", |sidecar| {
        sidecar.metric("members") == Some(2)
    });
    let mut next_client = WaitingClient::send(&queueing.sidecar, &get_request("60"));
    assert!(next_client.is_served(), "its retry is sent there");
    assert_eq!(
        queueing.received_request_ids().len(),
        1,
        "no other request is sent there"
    );
}

/// Guards requests that stay queued in the balancer for lack of an endpoint during a drain, a shutdown or a hot
/// restart.
#[test]
fn disconnect_cancels_queued_request_during_lifecycle_change() {
    for change in LIFECYCLE_CHANGES {
        let directory = temporary_directory();
        let mut queueing = QueueingSidecar::start(
            |_| {},
            |config| Sidecar::start_in_directory(&directory, config),
        );
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| {
                (
                    how,
                    WaitingClient::send(&queueing.sidecar, &get_request("60")),
                )
            })
            .collect();
        let request = get_request("60");
        // This request is the last in the queue: the others would be sent first.
        let mut staying_client = WaitingClient::send(&queueing.sidecar, &request);
        queueing.wait_for_pending(9);
        let new_process = apply_change(change, &queueing.sidecar, &directory, &queueing.endpoint);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        queueing.wait_for_pending(1);
        queueing.list_endpoint();
        assert!(staying_client.is_served(), "{change:?}");
        assert_eq!(
            queueing.received_request_ids(),
            [request_id(&request)],
            "{change:?}"
        );
        assert_eq!(
            new_process.map_or(0, |new_process| new_process
                .metric("upstream_requests")
                .expect("the metric is reported")),
            0
        );
        let _ = std::fs::remove_dir_all(directory);
    }
}

/// Guards requests whose connection to an endpoint is being established during a drain, a shutdown or a hot restart.
#[test]
fn disconnect_cancels_connecting_request_during_lifecycle_change() {
    for change in LIFECYCLE_CHANGES {
        let directory = temporary_directory();
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let full_backlog_endpoint = FullBacklogEndpoint::start();
        let mut config = with_admin_address(config(
            discovery.address,
            &[full_backlog_endpoint.list_entry()],
        ));
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start_in_directory(&directory, &config);
        let wait_for_pending = |count| {
            wait_until(&format!("{change:?}: {count} requests are pending"), || {
                sidecar.metric("pending") == Some(count)
            });
        };
        let request = get_request("10");
        let staying_client = WaitingClient::send(&sidecar, &request);
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| (how, WaitingClient::send(&sidecar, &get_request("10"))))
            .collect();
        wait_for_pending(9);
        let new_process = apply_change(change, &sidecar, &directory, &endpoint);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        wait_for_pending(1);
        assert!(
            full_backlog_endpoint
                .next_written_text()
                .contains(&request_id(&request)),
            "{change:?}: the request is that of the client that stays"
        );
        assert_eq!(sidecar.metric("upstream_requests"), Some(1), "{change:?}");
        assert_eq!(
            new_process.map_or(0, |new_process| new_process
                .metric("upstream_requests")
                .expect("the metric is reported")),
            0
        );
        drop(staying_client);
        let _ = std::fs::remove_dir_all(directory);
    }
}

/// Enough pipelined requests to fill the sidecar's receive buffer, so that the client's FIN waits in its own kernel.
const PIPELINED_REQUESTS: usize = 5_000;

/// Guards against requests that are sent on after their client has closed the connection. Its FIN cannot arrive, because
/// more requests wait than the sidecar's kernel takes. Only the response to the first one makes the client's kernel
/// reset the connection, when the second one has already been read.
#[test]
fn response_to_a_closed_client_cancels_its_pipelined_requests() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |_| {
        gate.wait();
        respond_ok("x")
    });
    let (sidecar, _discovery) = Sidecar::start_with_admin(&[&endpoint]);
    // Two idle connections to the endpoint, so that the second request needs no dial.
    let mut clients = [0, 1].map(|_| sidecar.client());
    for client in &mut clients {
        client.write(&get_request("10"));
        endpoint.next_request();
    }
    for client in &mut clients {
        opener.release_one();
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    for _ in 0..5 {
        let requests: String = (0..PIPELINED_REQUESTS).map(|_| get_request("10")).collect();
        let mut stream = TcpStream::connect(sidecar.address).expect("the sidecar accepts");
        stream
            .write_all(requests.as_bytes())
            .expect("the kernel takes all of it");
        endpoint.next_request();
        drop(stream);
        opener.release_one();
        wait_until("the connection has ended", || {
            sidecar.metric("pending") == Some(0)
        });
        // A request that had been sent would be answered before this one.
        opener.release_one();
        let mut client = sidecar.client();
        client.write(&post_request("unsafe", "10", "x"));
        let next = endpoint.next_request().message;
        assert_eq!(
            next.header("x-class"),
            Some("unsafe"),
            "a request of the closed client"
        );
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
}
