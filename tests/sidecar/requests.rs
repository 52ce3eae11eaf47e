//! Requests and their answers.

use crate::stubs::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Guards what goes on to an endpoint, and that its answer comes back as it was.
#[test]
fn requests_and_answers_pass_unchanged() {
    let endpoint = Endpoint::start(|_| respond_ok("made by the endpoint"));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let answer = sidecar.client().exchange(
        "POST /api?copy=7&x=%20 HTTP/1.1\r\nHost: s\r\nX-Request-Id: r-1\r\nX-Class: keyed\r\nX-Deadline: 2.5\r\n\
         Idempotency-Key: k-1\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, "made by the endpoint".as_bytes())
    );
    let (_, request) = endpoint.next_request();
    assert_eq!(request.start_line, "POST /api?copy=7&x=%20 HTTP/1.1");
    assert_eq!(request.header("x-request-id"), Some("r-1"));
    assert_eq!(request.header("idempotency-key"), Some("k-1"));
    assert_eq!(
        request.header("x-private"),
        None,
        "it belongs to the caller's connection"
    );
    assert_eq!(request.body, b"hello");
    let left: f64 = request
        .header("x-deadline")
        .and_then(|d| d.parse().ok())
        .expect("a deadline");
    assert!(left > 0.0 && left <= 2.5, "{left}");
}

/// Guards the pool: a connection that has carried one attempt carries the next that may be repeated.
#[test]
fn connections_are_used_again() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for _ in 0..5 {
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
        assert_eq!(endpoint.next_request().0, 0, "the first connection");
        std::thread::sleep(Duration::from_millis(100)); // it settles
    }
}

/// Guards the pool of a busy endpoint: as many connections as a burst needed carry the next one, and those that are
/// spare go once it is quiet.
#[test]
fn a_busy_endpoint_keeps_the_connections_that_a_burst_needed() {
    const AT_ONCE: usize = 8;
    const KEPT_WHEN_QUIET: usize = 4;
    let all_have_come = Barrier::new(AT_ONCE);
    let endpoint = Endpoint::start(move |_| {
        all_have_come.wait();
        respond_ok("")
    });
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving_entries(&[&endpoint]));
    // Worth most, and at an endpoint that calls a further tier, so many are let out at once.
    config["settings"]["stages"] = json!(["one", "two"]);
    config["settings"]["categories"][0]["worth"] = json!(3.0);
    let sidecar = Sidecar::start(&config);
    let mut clients: Vec<Client> = (0..AT_ONCE).map(|_| sidecar.client()).collect();
    let mut burst = || -> BTreeSet<usize> {
        for client in &mut clients {
            client.write(&get_request("10"));
        }
        for client in &mut clients {
            assert_eq!(client.read().expect("an answer").status(), 200);
        }
        (0..AT_ONCE).map(|_| endpoint.next_request().0).collect()
    };
    let first = burst();
    assert_eq!(first.len(), AT_ONCE, "one at a time on each");
    std::thread::sleep(Duration::from_millis(100)); // they settle
    assert_eq!(burst(), first);
    let spare: BTreeSet<usize> = (KEPT_WHEN_QUIET..AT_ONCE)
        .map(|_| endpoint.next_connection_close())
        .collect();
    assert!(spare.is_subset(&first));
    let kept: BTreeSet<usize> = first.difference(&spare).copied().collect();
    assert!(kept.is_subset(&burst()), "the others carry on");
}

/// Guards against a stale connection in the pool: an unsafe request that is written to one is lost.
#[test]
fn a_connection_that_the_endpoint_closed_is_not_used() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let endpoint = Endpoint::start(move |_| EndpointAction::RespondThenClose(answer.into()));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for number in 0..5 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "")).status(),
            200
        );
        assert_eq!(endpoint.next_connection_close(), number);
    }
}

/// Guards requests that must not run twice against kept connections: endpoints may reset one at the next request, and
/// what was written then may have run.
#[test]
fn an_unsafe_request_is_not_written_to_a_kept_connection() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let endpoint = Endpoint::start(move |_| EndpointAction::RespondThenReset(answer.into()));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut client = sidecar.client();
    for _ in 0..8 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "x")).status(),
            200
        );
        std::thread::sleep(Duration::from_millis(60)); // what is kept has settled
    }
    assert_eq!(endpoint.take_request_count(), 8);
}

/// Guards the pool's clock: an idle connection goes before the endpoint would close it, by the sidecar's doing.
#[test]
fn an_idle_connection_is_given_up_first() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    );
    config["settings"]["bounds"]["connIdleNs"] = json!(500_000_000);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    for number in 0..2 {
        assert_eq!(
            client.exchange(&post_request("unsafe", "2", "x")).status(),
            200
        );
        assert_eq!(endpoint.next_connection_close(), number);
    }
}

/// Guards rule 2: once written, an unsafe request that breaks off may have run. It is neither sent again nor
/// refused, as a refusal says that trying again is harmless.
#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for answer in [
        "",                                                                    // a reset
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", // a body that breaks off
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",      // an error
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",      // no word that it has not run
        "HTTP/1.1 429 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", // a status that does not say so
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", // chunks with no end
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

/// Guards the outcome of a turned-away attempt: it never ran, so an unsafe request may be sent again, and the
/// endpoint's own status is not passed on.
#[test]
fn a_request_that_was_turned_away_is_sent_again() {
    for status in ["503", "504"] {
        let unseen = Arc::new(AtomicBool::new(true));
        let endpoints = [0, 1].map(|_| {
            let unseen = unseen.clone();
            Endpoint::start(move |message| {
                if message.header("x-class") == Some("unsafe")
                    && unseen.swap(false, Ordering::Relaxed)
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
        // The module grants a further attempt for so many requests.
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

/// Guards the outcome of a refused connection: nothing ran, so that an unsafe request may be tried again.
#[test]
fn a_refused_connection_is_no_failure() {
    let discovery = Discovery::start();
    // The near end of a connection: a port that nobody listens on, and that nobody else is given meanwhile.
    let taken = TcpStream::connect(discovery.address).expect("a connection");
    let closed = taken.local_addr().expect("an address");
    let sidecar = Sidecar::start(&config(
        discovery.address,
        &[entry("dead", closed, "SERVING")],
    ));
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "2", "x"))
            .status(),
        503
    );
}

/// Guards the time-out: an endpoint that says nothing costs one answer, once the aim has passed, and its
/// connection. The module answers, and not the backstop at the deadline, which logs.
#[test]
fn silence_is_answered_in_time() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let discovery = Discovery::start();
    let mut config = config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    );
    config["settings"]["categories"][1]["objectiveNs"] = json!(300_000_000);
    let sidecar = Sidecar::start(&config);
    assert_eq!(
        sidecar
            .client()
            .exchange(&post_request("unsafe", "10", "x"))
            .status(),
        504
    );
    assert_eq!(endpoint.next_request().0, endpoint.next_connection_close());
    assert_eq!(endpoint.take_request_count(), 0, "no second attempt");
    let log = sidecar.log();
    assert!(
        log.iter()
            .all(|line| line.contains("balancer-sidecar: counts ")),
        "{log:?}"
    );
}

/// Guards abandoning: a client that goes takes its attempt with it, which ends by its connection.
#[test]
fn a_client_that_goes_ends_its_attempt() {
    for request in [get_request("10"), post_request("unsafe", "10", "x")] {
        let endpoint = Endpoint::start(|_| EndpointAction::Hang);
        let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
        let mut client = sidecar.client();
        client.write(&request);
        let (number, _) = endpoint.next_request();
        let asked = Instant::now();
        drop(client);
        assert_eq!(endpoint.next_connection_close(), number);
        assert!(
            asked.elapsed() < Duration::from_secs(8),
            "before the attempt's time-out"
        );
        assert_eq!(endpoint.take_request_count(), 0);
    }
}

/// Guards the refusal: it comes at once, and tells the client when to come back.
#[test]
fn a_hopeless_request_is_refused_with_advice() {
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

/// Guards the caller's side against what is no request: it fails in words, on a connection that goes on, and is
/// never a refusal, which would have it tried again.
#[test]
fn what_is_no_request_fails() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let with = |line: &str, headers: &str| format!("{line} HTTP/1.1\r\nHost: s\r\n{headers}\r\n");
    let good = "X-Request-Id: r\r\nX-Class: safe\r\nX-Deadline: 1\r\n";
    let mut client = sidecar.client();
    for (request, status) in [
        (with("GET /elsewhere", good), 404),
        (with("DELETE /api", good), 405),
        (with("POST /ready", ""), 405),
        (with("POST /api", good), 405),
        (with("GET /api", &good.replace("safe", "unsafe")), 405),
        (with("GET /api", &good.replace("safe", "unheard-of")), 400),
        (with("GET /api", &good.replace("X-Class", "X-Other")), 400),
        (
            with("GET /api", &good.replace("X-Request-Id", "X-Other")),
            400,
        ),
        (
            with("GET /api", &good.replace("X-Deadline", "X-Other")),
            400,
        ),
        (with("GET /api", &good.replace(": 1", ": soon")), 400),
        (with("GET /api", &good.replace(": 1", ": -1")), 400),
        (with("GET /api", &good.replace(": 1", ": NaN")), 400),
        (with("POST /api", &good.replace("safe", "keyed")), 400),
    ] {
        assert_eq!(client.exchange(&request).status(), status, "{request}");
    }
    assert_eq!(
        client
            .exchange(&with("GET /api", &good.replace(": 1", ": 1e300")))
            .status(),
        200,
        "however long"
    );
    let large = format!(
        "{}Content-Length: 62914560\r\n",
        good.replace("safe", "unsafe")
    );
    assert_eq!(
        sidecar
            .client()
            .exchange(&with("POST /api", &large))
            .status(),
        413
    );
    assert_eq!(endpoint.take_request_count(), 1);
}

/// Guards the module's ids: a second request with an open one's would never be answered.
#[test]
fn an_open_request_s_id_is_not_taken_again() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let (sidecar, _discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let request = get_request("3");
    let mut first = sidecar.client();
    first.write(&request);
    endpoint.next_request();
    assert_eq!(sidecar.client().exchange(&request).status(), 409);
}
