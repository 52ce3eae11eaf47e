//! Requests through the sidecar: forwarding, pooled connections, outcomes of attempts, and invalid requests.

use crate::stubs::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A request is forwarded without the headers of the caller's connection and with the time that is left, and the
/// response comes back unchanged.
#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let endpoint = Endpoint::start(|_| respond_ok("from the endpoint"));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let answer = sidecar.client().exchange(
        "POST /api?copy=7&x=%20 HTTP/1.1\r\nHost: s\r\nX-Request-Id: r-1\r\nX-Class: keyed\r\nX-Deadline: 2.5\r\n\
         Idempotency-Key: k-1\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "from the endpoint".as_bytes())
    );
    let request = endpoint.next_request().message;
    assert_eq!(request.start_line, "POST /api?copy=7&x=%20 HTTP/1.1");
    assert_eq!(request.header("x-request-id"), Some("r-1"));
    assert_eq!(request.header("idempotency-key"), Some("k-1"));
    assert_eq!(
        request.header("x-private"),
        None,
        "a header of the caller's connection"
    );
    assert_eq!(request.body, b"hello");
    let time_left: f64 = request
        .header("x-deadline")
        .and_then(|deadline| deadline.parse().ok())
        .expect("a deadline");
    assert!(time_left > 0.0 && time_left <= 2.5, "{time_left}");
}

/// A connection that has carried an attempt is reused for the next request, if that one may be sent twice.
#[test]
fn repeatable_request_reuses_idle_connection() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for _ in 0..5 {
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
        assert_eq!(
            endpoint.next_request().connection,
            0,
            "its first connection"
        );
        std::thread::sleep(Duration::from_millis(100)); // past the settling time of the connection
    }
}

/// The connections of a burst of requests are reused for the next burst. Once the endpoint gets no requests, the
/// surplus connections are closed.
#[test]
fn burst_connections_are_reused_until_endpoint_is_quiet() {
    const BURST: usize = 8;
    const MAX_IDLE_WHEN_QUIET: usize = 4;
    let all_received = Barrier::new(BURST);
    let endpoint = Endpoint::start(move |_| {
        all_received.wait();
        respond_ok("")
    });
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    // With the highest priority weight and a further tier, the whole burst can be in flight at once.
    config["settings"]["stages"] = json!(["one", "two"]);
    config["settings"]["categories"][0]["worth"] = json!(3.0);
    let sidecar = Sidecar::start(&config);
    let mut clients: Vec<Client> = (0..BURST).map(|_| sidecar.client()).collect();
    let mut burst = || -> BTreeSet<usize> {
        for client in &mut clients {
            client.write(&get_request("10"));
        }
        for client in &mut clients {
            assert_eq!(client.read().expect("a response").status(), 200);
        }
        (0..BURST)
            .map(|_| endpoint.next_request().connection)
            .collect()
    };
    let first_burst = burst();
    assert_eq!(
        first_burst.len(),
        BURST,
        "one exchange at a time on each connection"
    );
    std::thread::sleep(Duration::from_millis(100)); // past the settling time of the connections
    assert_eq!(burst(), first_burst);
    let surplus: BTreeSet<usize> = (MAX_IDLE_WHEN_QUIET..BURST)
        .map(|_| endpoint.next_connection_close())
        .collect();
    assert!(surplus.is_subset(&first_burst));
    let remaining: BTreeSet<usize> = first_burst.difference(&surplus).copied().collect();
    assert!(remaining.is_subset(&burst()), "the others are still used");
}

/// A closed connection does not stay in the connection pool: an unsafe request that is written on one would be lost.
#[test]
fn closed_connection_is_not_reused() {
    let endpoint = Endpoint::start(|_| EndpointAction::RespondThenClose(OK_RESPONSE.into()));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for connection in 0..5 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "")).status(),
            200
        );
        assert_eq!(endpoint.next_connection_close(), connection);
    }
}

/// An endpoint may close an idle connection just as the next request arrives on it, and that request may have run by
/// then. A request that must not run twice is therefore never written on an idle connection.
#[test]
fn unsafe_request_gets_new_connection() {
    let endpoint =
        Endpoint::start(|_| EndpointAction::RespondThenCloseOnNextRequest(OK_RESPONSE.into()));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for _ in 0..8 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "x")).status(),
            200
        );
        std::thread::sleep(Duration::from_millis(60)); // past the settling time of an idle connection
    }
    assert_eq!(endpoint.take_request_count(), 8);
}

/// An idle connection is closed by the sidecar before its endpoint's idle timeout.
#[test]
fn idle_connection_is_closed_before_endpoint_timeout() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    config["settings"]["bounds"]["connIdleNs"] = json!(500_000_000);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    for connection in 0..2 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "x")).status(),
            200
        );
        assert_eq!(endpoint.next_connection_close(), connection);
    }
}

/// An unsafe request that was written and got no valid response may have run. It is not sent again. It is not rejected
/// either, because a rejection says that trying again is harmless.
#[test]
fn unsafe_request_that_may_have_run_fails() {
    for answer in [
        "",                                                                    // closed without a response
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",                   // a truncated body
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",                        // an error
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", // without X-Not-Run it may have run
        "HTTP/1.1 429 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", // X-Not-Run counts with 503 and 504 only
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", // no last chunk
        "nothing that is HTTP\r\n\r\n",
    ] {
        let endpoints = [0, 1]
            .map(|_| Endpoint::start(move |_| EndpointAction::RespondThenClose(answer.into())));
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoints[0], &endpoints[1]]);
        let reply = sidecar.client().exchange(&post_request("unsafe", "2", "x"));
        assert_eq!(reply.status(), 502, "{answer}");
        assert_eq!(
            endpoints
                .iter()
                .map(Endpoint::take_request_count)
                .sum::<usize>(),
            1,
            "{answer}"
        );
    }
}

/// A rejected attempt never ran, so an unsafe request may be sent again. The endpoint's own status is not forwarded.
#[test]
fn rejected_unsafe_request_is_retried() {
    for status in ["503", "504"] {
        let is_first_unsafe = Arc::new(AtomicBool::new(true));
        let endpoints = [0, 1].map(|_| {
            let is_first_unsafe = is_first_unsafe.clone();
            Endpoint::start(move |message| {
                if message.header("x-class") == Some("unsafe")
                    && is_first_unsafe.swap(false, Ordering::Relaxed)
                {
                    EndpointAction::Respond(format!(
                        "HTTP/1.1 {status} No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    ))
                } else {
                    respond_ok("done")
                }
            })
        });
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoints[0], &endpoints[1]]);
        let mut client = sidecar.client();
        // This number of requests earns a retry.
        for _ in 0..10 {
            assert_eq!(client.exchange(&get_request("2")).status(), 200);
        }
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "x")).status(),
            200
        );
        assert_eq!(
            endpoints
                .iter()
                .map(Endpoint::take_request_count)
                .sum::<usize>(),
            12
        );
    }
}

/// A request whose connection is refused has not run and may be tried again, even an unsafe one. It is rejected and
/// does not fail.
#[test]
fn refused_connection_rejects_unsafe_request() {
    let discovery = Discovery::start();
    // The local port of an open connection: nobody listens on it, and it is assigned to nobody else.
    let connection = TcpStream::connect(discovery.address).expect("a connection");
    let closed = connection.local_addr().expect("a bound address");
    let sidecar = Sidecar::start(&config(
        discovery.address,
        &[list_entry("dead", closed, "SERVING")],
    ));
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "2", "x"))
            .status(),
        503
    );
}

/// An attempt without a response times out after the latency objective, closes its connection and is not repeated. The
/// request is ended by the balancer and not by the fallback at the deadline, which would write a log line.
#[test]
fn attempt_without_response_times_out_once() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    config["settings"]["categories"][1]["objectiveNs"] = json!(300_000_000);
    let sidecar = Sidecar::start(&config);
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "10", "x"))
            .status(),
        504
    );
    assert_eq!(
        endpoint.next_request().connection,
        endpoint.next_connection_close()
    );
    assert_eq!(endpoint.take_request_count(), 0, "no second attempt");
    let log = sidecar.log();
    let expected_lines = [
        "balancer-sidecar: counts ",
        "balancer-sidecar: the watch on discovery opened after ",
    ];
    let is_expected = |line: &String| expected_lines.iter().any(|start| line.starts_with(start));
    assert!(log.iter().all(is_expected), "{log:?}");
}

/// When a client disconnects, its attempt is cancelled, which closes the attempt's connection.
#[test]
fn client_disconnect_cancels_attempt() {
    for request in [get_request("10"), post_request("unsafe", "10", "x")] {
        let endpoint = Endpoint::start(|_| EndpointAction::Hang);
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        let mut client = sidecar.client();
        client.write(&request);
        let connection = endpoint.next_request().connection;
        let disconnected_at = Instant::now();
        drop(client);
        assert_eq!(endpoint.next_connection_close(), connection);
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(8),
            "before the attempt's timeout"
        );
        assert_eq!(endpoint.take_request_count(), 0);
    }
}

/// A request that cannot be answered by its deadline is rejected at once, with a Retry-After header.
#[test]
fn too_short_deadline_is_rejected_with_retry_after() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let reply = sidecar
        .client()
        .exchange(&post_request("unsafe", "0.001", "x"));
    assert_eq!(
        (reply.status(), reply.header("retry-after")),
        (503, Some("2"))
    );
    assert_eq!(endpoint.take_request_count(), 0);
}

/// An invalid request gets a status that says what is wrong, and its connection stays open. It is never rejected,
/// because the client would try again.
#[test]
fn invalid_request_leaves_connection_open() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let request_with =
        |line: &str, headers: &str| format!("{line} HTTP/1.1\r\nHost: s\r\n{headers}\r\n");
    let valid_headers = "X-Request-Id: r\r\nX-Class: safe\r\nX-Deadline: 1\r\n";
    let mut client = sidecar.client();
    for (request, status) in [
        (request_with("GET /elsewhere", valid_headers), 404),
        (request_with("DELETE /api", valid_headers), 405),
        (request_with("POST /ready", ""), 405),
        (request_with("POST /api", valid_headers), 405),
        (
            request_with("GET /api", &valid_headers.replace("safe", "unsafe")),
            405,
        ),
        (
            request_with("GET /api", &valid_headers.replace("safe", "unheard-of")),
            400,
        ),
        (
            request_with("GET /api", &valid_headers.replace("X-Class", "X-Other")),
            400,
        ),
        (
            request_with(
                "GET /api",
                &valid_headers.replace("X-Request-Id", "X-Other"),
            ),
            400,
        ),
        (
            request_with("GET /api", &valid_headers.replace("X-Deadline", "X-Other")),
            400,
        ),
        (
            request_with("GET /api", &valid_headers.replace(": 1", ": soon")),
            400,
        ),
        (
            request_with("GET /api", &valid_headers.replace(": 1", ": -1")),
            400,
        ),
        (
            request_with("GET /api", &valid_headers.replace(": 1", ": NaN")),
            400,
        ),
        (
            request_with("POST /api", &valid_headers.replace("safe", "keyed")),
            400,
        ),
    ] {
        assert_eq!(client.exchange(&request).status(), status, "{request}");
    }
    assert_eq!(
        client
            .exchange(&request_with(
                "GET /api",
                &valid_headers.replace(": 1", ": 1e300")
            ))
            .status(),
        200,
        "there is no longest deadline"
    );
    let large = format!(
        "{}Content-Length: 62914560\r\n",
        valid_headers.replace("safe", "unsafe")
    );
    assert_eq!(
        sidecar
            .client()
            .exchange(&request_with("POST /api", &large))
            .status(),
        413
    );
    assert_eq!(endpoint.take_request_count(), 1);
}

/// A second request with the id of a pending one would never be answered, so it gets a conflict.
#[test]
fn id_of_pending_request_is_a_conflict() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let request = get_request("3");
    let mut first = sidecar.client();
    first.write(&request);
    endpoint.next_request();
    assert_eq!(sidecar.client().exchange(&request).status(), 409);
}
