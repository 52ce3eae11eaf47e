//! Clients that leave while their request waits: it is not sent on, wherever it waits, and those beside it are served.

use crate::cancellation_support::{
    ALL_DISCONNECTS, Disconnect, FullBacklogEndpoint, LIFECYCLE_CHANGES, PipelinedBytes,
    QueueingSidecar, WaitingClient, apply_change, request_id,
};
use crate::stubs::*;
use serde_json::{Value, json};
use std::io::Read;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Those that leave, each in another way, among those that stay; then what was held goes. In any tier, whether or not
/// attempts may be called off. Each that leaves is told once, and its neighbours are served.
fn check_queued_requests_of_disconnecting_clients(change: impl FnOnce(&mut Value)) {
    let mut queueing = QueueingSidecar::with(change);
    let (mut staying, mut disconnecting, mut ids) = (Vec::new(), Vec::new(), Vec::new());
    for how in ALL_DISCONNECTS {
        let request = get_request("60");
        disconnecting.push((how, WaitingClient::with(&queueing.sidecar, &request)));
        if let Disconnect::ByFin(_) = how {
            let request = post_request("unsafe", "60", "x");
            ids.push(request_id(&request));
            staying.push(WaitingClient::with(&queueing.sidecar, &request));
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
        "those that stay are served"
    );
    queueing.wait_for_pending(0);
    let mut received_request_ids = queueing.received_request_ids();
    received_request_ids.sort();
    ids.sort();
    assert_eq!(received_request_ids, ids, "and nothing else is sent on");
    drop(staying);
    let mut sidecar = queueing.sidecar;
    sidecar.terminate();
    assert!(sidecar.wait().success());
    let count = |name: &str| sidecar.logged_count(name);
    wait_until("the counts are told", || count("requests") == all as u64);
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
            .any(|l| l.contains("now pending=0 queued=0 in_flight=0")),
        "{:?}",
        sidecar.log()
    );
}

/// Guards the hold: in the first tier, where clients call.
#[test]
fn queued_request_is_not_sent_after_its_client_disconnects() {
    check_queued_requests_of_disconnecting_clients(|_| {});
}

/// Guards later tiers, whose one client is an endpoint that drops its call, and sites that forbid to call off attempts.
#[test]
fn queued_request_in_a_later_tier_without_cancel_is_not_sent_after_its_client_disconnects() {
    check_queued_requests_of_disconnecting_clients(|config| {
        config["settings"]["tier"] = json!(1);
        config["settings"]["stages"] = json!(["one", "two"]);
        config["settings"]["bounds"]["cancel"] = json!(false);
    });
}

/// Guards those that wait for room at an endpoint that is known: two calls out there are a queue in which the least worthy
/// class waits. It goes on when they are answered, without those that have left.
#[test]
fn request_queued_for_a_busy_endpoint_is_not_sent_after_its_client_disconnects() {
    let (tell, told) = channel::<()>();
    let told = Mutex::new(told);
    let busy = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            let _ = told.lock().expect("the only one").recv();
        }
        respond_ok("x")
    });
    let mut queueing = QueueingSidecar::with(|config| {
        config["known"]["endpoints"] = json!(serving_entries(&[&busy]));
    });
    let mut out = [0, 1].map(|_| {
        let client = WaitingClient::with(&queueing.sidecar, &post_request("unsafe", "60", "x"));
        busy.next_request();
        client
    });
    let requests = ALL_DISCONNECTS.map(|how| (how, get_request("60")));
    let disconnecting: Vec<_> = requests
        .iter()
        .map(|(how, request)| (*how, WaitingClient::with(&queueing.sidecar, request)))
        .collect();
    let request = get_request("60");
    let mut staying_client = WaitingClient::with(&queueing.sidecar, &request);
    queueing.wait_for_pending(2 + ALL_DISCONNECTS.len() + 1);
    for (how, client) in disconnecting {
        client.disconnect(how);
    }
    queueing.wait_for_pending(3);
    assert_eq!(busy.take_request_count(), 0, "all of them have waited");
    (0..2).for_each(|_| tell.send(()).expect("it waits"));
    assert!(out.iter_mut().all(WaitingClient::is_served) && staying_client.is_served());
    let received_request_ids: Vec<_> = busy
        .take_requests()
        .iter()
        .filter_map(|m| m.header("x-request-id").map(String::from))
        .collect();
    assert_eq!(received_request_ids, [request_id(&request)]);
}

/// Guards large bodies: one that is held has its body unread, or has come half, and nobody reads on to see its client
/// leave. One that comes in chunks has what is behind it read with it.
#[test]
fn request_with_unread_or_partial_body_is_not_sent_after_its_client_disconnects() {
    let mut queueing = QueueingSidecar::with(|_| {});
    let large = |length: usize, part: usize| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        format!("{head}{}", "x".repeat(part))
    };
    let chunked = |end: &str| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}5\r\nhello\r\n{end}")
    };
    let ways = [
        Disconnect::ByFin(PipelinedBytes::Nothing),
        Disconnect::ByReset(PipelinedBytes::Nothing),
    ];
    let behind = [
        Disconnect::ByFin(PipelinedBytes::CompleteRequest),
        Disconnect::ByReset(PipelinedBytes::CompleteRequest),
    ];
    let whole = [
        large(100_000, 100_000),
        large(300_000, 90_000),
        chunked("0\r\n\r\n"),
    ];
    let mut disconnecting: Vec<_> = Vec::new();
    for request in &whole {
        for how in ways {
            let text = request.replace(
                &request_id(request),
                &format!("{}-{}", request_id(request), disconnecting.len()),
            );
            disconnecting.push((how, WaitingClient::with(&queueing.sidecar, &text)));
        }
    }
    for how in behind {
        let behind = get_request("60");
        disconnecting.push((
            how,
            WaitingClient::with(
                &queueing.sidecar,
                &format!("{}{behind}", chunked("0\r\n\r\n")),
            ),
        ));
    }
    // What comes whole or is large; half of a small one is not shown to the module, and not pending.
    let mut half: Vec<_> = ways
        .map(|how| {
            (
                how,
                WaitingClient::with(&queueing.sidecar, &large(50_000, 10)),
            )
        })
        .into_iter()
        .collect();
    half.extend(ways.map(|how| {
        (
            how,
            WaitingClient::with(&queueing.sidecar, &chunked("5\r\nhel")),
        )
    }));
    let request = post_request("unsafe", "60", &"y".repeat(90_000));
    let mut staying_client = WaitingClient::with(&queueing.sidecar, &request);
    // A large body that is held is not whole, so that it does not count as pending yet.
    queueing.wait_for_pending(4);
    queueing.wait_until("all that is large is taken", |sidecar| {
        sidecar.logged_count("requests") == 9
    });
    disconnecting
        .into_iter()
        .chain(half)
        .for_each(|(how, client)| client.disconnect(how));
    queueing.wait_for_pending(0);
    queueing.wait_until("all of them have left", |sidecar| {
        sidecar.logged_count("disconnected") == 8
    });
    queueing.list_endpoint();
    assert!(staying_client.is_served());
    assert_eq!(queueing.received_request_ids(), [request_id(&request)]);
}

/// Guards attempts whose connection comes up late: nothing is written once the client has left, whether or not attempts
/// may be called off, and the neighbour's goes on.
#[test]
fn late_endpoint_connection_carries_nothing_after_the_client_disconnects() {
    for cancel in [true, false] {
        let full_backlog_endpoint = FullBacklogEndpoint::start();
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &[full_backlog_endpoint.entry()]));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start(&config);
        let pending = |n| {
            wait_until(&format!("{n} pending"), || {
                sidecar.metric("pending") == Some(n)
            });
        };
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| (how, WaitingClient::with(&sidecar, &get_request("10"))))
            .collect();
        let request = get_request("10");
        let staying_client = WaitingClient::with(&sidecar, &request);
        pending(9);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        pending(1);
        // Those that were given up come up too where nothing may be called off, with nothing written on them.
        assert!(
            full_backlog_endpoint
                .next_written_text()
                .contains(&request_id(&request)),
            "it is that of the one that stays"
        );
        std::thread::sleep(Duration::from_secs(3)); // a connection is asked for again after 1 s and 2 s
        while let Some(mut stream) = full_backlog_endpoint.try_accept() {
            stream.set_nonblocking(true).expect("an option");
            assert!(
                !matches!(stream.read(&mut [0; 64]), Ok(1..)),
                "nothing is written on others"
            );
        }
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        drop(staying_client);
        pending(0);
    }
}

/// Guards the hold before a retry: a request that failed once waits for another endpoint, and its client leaves then.
#[test]
fn queued_retry_is_not_sent_after_its_client_disconnects() {
    let fails = Endpoint::start(|message| match message.header("x-class") {
        Some("safe") => {
            EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => respond_ok("x"),
    });
    let mut queueing = QueueingSidecar::with(|config| {
        config["known"]["endpoints"] = json!(serving_entries(&[&fails]));
    });
    // The module grants a retry for so many requests.
    let mut earns = queueing.sidecar.client();
    for _ in 0..20 {
        assert_eq!(
            earns.exchange(&post_request("unsafe", "10", "x")).status(),
            200
        );
        fails.next_request();
    }
    for how in [
        Disconnect::ByFin(PipelinedBytes::CompleteRequest),
        Disconnect::ByReset(PipelinedBytes::Nothing),
    ] {
        let request = get_request("60");
        let client = WaitingClient::with(&queueing.sidecar, &request);
        assert_eq!(
            fails.next_request().1.header("x-request-id"),
            Some(&*request_id(&request))
        );
        // It has ended there when what is asked later is answered, and waits for a place that has not failed it.
        queueing.wait_for_pending(1);
        client.disconnect(how);
        queueing.wait_for_pending(0);
    }
    let names = [("e0", &fails), ("other", &queueing.endpoint)];
    let all: Vec<Value> = names
        .iter()
        .map(|(n, e)| entry(n, e.address, "SERVING"))
        .collect();
    queueing.write_list(&list(42, false, &all));
    queueing.wait_until("the other is listed", |sidecar| {
        sidecar.metric("members") == Some(2)
    });
    let mut neighbour = WaitingClient::with(&queueing.sidecar, &get_request("60"));
    assert!(neighbour.is_served(), "a retry goes there");
    assert_eq!(
        queueing.received_request_ids().len(),
        1,
        "and nothing else did"
    );
}

/// Guards the same for those that the module itself holds: nowhere is there an endpoint to send them to.
#[test]
fn queued_request_is_not_sent_after_a_disconnect_during_a_lifecycle_change() {
    for word in LIFECYCLE_CHANGES {
        let folder = temporary_directory();
        let mut queueing = QueueingSidecar::start(
            |_| {},
            |config| Sidecar::start_in_directory(&folder, config),
        );
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| {
                (
                    how,
                    WaitingClient::with(&queueing.sidecar, &get_request("60")),
                )
            })
            .collect();
        let request = get_request("60");
        let mut staying_client = WaitingClient::with(&queueing.sidecar, &request); // the last, so that those before it would go first
        queueing.wait_for_pending(9);
        let next = apply_change(word, &queueing.sidecar, &folder, &queueing.endpoint);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        queueing.wait_for_pending(1);
        queueing.list_endpoint();
        assert!(staying_client.is_served(), "{word}");
        assert_eq!(
            queueing.received_request_ids(),
            [request_id(&request)],
            "{word}"
        );
        assert_eq!(
            next.map_or(0, |next| next
                .metric("upstream_requests")
                .expect("a figure")),
            0
        );
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Guards the waits that go on over the end of a process: a drain by hand, a stop, and an upgrade by which another process
/// serves meanwhile. Who stays is served, who leaves is not sent on.
#[test]
fn connecting_request_is_not_sent_after_a_disconnect_during_a_lifecycle_change() {
    for word in LIFECYCLE_CHANGES {
        let folder = temporary_directory();
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let full_backlog_endpoint = FullBacklogEndpoint::start();
        let mut config =
            with_admin_address(config(discovery.address, &[full_backlog_endpoint.entry()]));
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start_in_directory(&folder, &config);
        let pending = |n| {
            wait_until(&format!("{word}: {n} pending"), || {
                sidecar.metric("pending") == Some(n)
            });
        };
        let request = get_request("10");
        let staying_client = WaitingClient::with(&sidecar, &request);
        let disconnecting: Vec<_> = ALL_DISCONNECTS
            .into_iter()
            .map(|how| (how, WaitingClient::with(&sidecar, &get_request("10"))))
            .collect();
        pending(9);
        let next = apply_change(word, &sidecar, &folder, &endpoint);
        for (how, client) in disconnecting {
            client.disconnect(how);
        }
        pending(1);
        assert!(
            full_backlog_endpoint
                .next_written_text()
                .contains(&request_id(&request)),
            "{word}: it is that of the one that stays"
        );
        assert_eq!(sidecar.metric("upstream_requests"), Some(1), "{word}");
        assert_eq!(
            next.map_or(0, |next| next
                .metric("upstream_requests")
                .expect("a figure")),
            0
        );
        drop(staying_client);
        let _ = std::fs::remove_dir_all(folder);
    }
}
